package state

import (
	"fmt"
	"maps"
	"slices"

	"poppyarch/internal/fleet/spec"
)

// releaseRecord returns the record that releases members of the current wave, or nil if none may change at the moment.
// Members that are out of service may always change, the others as far as the limit on unavailable instances allows. If
// the limit allows none and no released member is still changing, out-of-service members of later waves are released
// early: the change may repair them, and without it the rollout could not continue.
func (s *State) releaseRecord() *Record {
	active := s.rollouts.active
	active.blocked = ""
	names, ofLaterWaves := s.outOfServiceMembers(active)
	names = s.appendWithinLimit(active, names)
	stuck := len(names) == 0 && active.blocked != "" && len(active.wave.nonconforming) == 0
	if stuck {
		names = ofLaterWaves[:min(len(ofLaterWaves), s.limits.MaxReleasesPerRecord)]
	}
	if len(names) == 0 {
		return nil
	}
	return &Record{
		Kind:      RecordInstancesReleased,
		Revision:  active.revision,
		Instances: names,
	}
}

// outOfServiceMembers lists the unreleased members that are out of service: those of the current wave, up to
// Limits.MaxReleasesPerRecord, and those of later waves.
func (s *State) outOfServiceMembers(r *rollout) (ofWave, ofLaterWaves []string) {
	for _, name := range slices.Sorted(maps.Keys(r.outOfService)) {
		if r.members[name].wave != r.wave.index {
			ofLaterWaves = append(ofLaterWaves, name)
		} else if len(ofWave) < s.limits.MaxReleasesPerRecord {
			ofWave = append(ofWave, name)
		}
	}
	return ofWave, ofLaterWaves
}

// appendWithinLimit appends unreleased members of the current wave that are in service, as far as the limit on
// unavailable instances allows. It sets r.blocked if the limit holds members back.
func (s *State) appendWithinLimit(r *rollout, names []string) []string {
	unavailable, total := s.Unavailable()
	limit := max(r.strategy.MaxUnavailable.Of(total), 1)
	for _, name := range r.wave.unreleased {
		if len(names) >= s.limits.MaxReleasesPerRecord {
			return names
		}
		if r.outOfService[name] {
			continue
		}
		if s.releaseRestarts(name) {
			if !s.instances[name].isUnavailable() {
				unavailable++
			}
			if unavailable > limit {
				r.blocked = fmt.Sprintf("%d of %d instances are unavailable or would be, at most %d may", unavailable, total, limit)
				return names
			}
		}
		names = append(names, name)
	}
	return names
}

// releaseRestarts reports whether releasing an instance restarts a process that counts towards the limit on unavailable
// instances.
func (s *State) releaseRestarts(name string) bool {
	i := s.instances[name]
	to := s.target.instances[name]
	return i != nil && i.availability.counted && to != nil && to.NeedsRestart(i.release.desired)
}

func (s *State) applyInstancesReleased(r *Record) error {
	active, err := s.activeRollout(r)
	if err != nil {
		return err
	}
	for _, name := range r.Instances {
		m := active.members[name]
		if m == nil || m.released {
			return recordErrorf(r, "%s cannot be released", name)
		}
		s.releaseMember(m)
	}
	active.wave.unreleased = slices.DeleteFunc(active.wave.unreleased, func(name string) bool {
		return active.members[name].released
	})
	return nil
}

// releaseMember releases a member: it may change to its state in the rollout target.
func (s *State) releaseMember(m *rolloutMember) {
	to := s.target.instances[m.name]
	delete(s.target.unreleased, m.name)
	delete(m.rollout.outOfService, m.name)
	m.released = true
	// During a replay the time is unknown. The timer then starts with the first Step.
	m.progress = timer{since: s.now, running: s.now > 0}
	if m.wave == m.rollout.wave.index {
		m.rollout.wave.nonconforming[m.name] = m
	}
	i := s.instances[m.name]
	if i == nil && to == nil { // it has been removed in the meantime
		s.updateMember(m, true)
		return
	}
	if i == nil {
		i = &instance{name: m.name}
		s.instances[m.name] = i
		s.attach(i, to.Agent)
	}
	i.member = m
	s.setRelease(i, to, m.rollout.revision)
}

// setRelease sets the state that an instance should change to.
func (s *State) setRelease(i *instance, to *spec.Instance, revision uint64) {
	i.removeFromCounters()
	// An instance that is desired again while it is ending also restarts, whether its settings have changed or not.
	restarts := to != nil && to.NeedsRestart(i.release.desired)
	if restarts && i.availability.hasServed {
		i.availability.restarting = true
	}
	i.release = release{
		desired:  to,
		previous: i.release.desired,
		revision: revision,
		edition:  s.edition,
	}
	if to != nil {
		i.release.startDigest = to.Start.Digest()
	}
	i.agent.assignmentChanged(i.name)
	s.reindex(i)
}
