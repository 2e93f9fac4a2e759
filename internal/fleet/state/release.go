package state

import (
	"fmt"
	"maps"
	"slices"

	"poppyarch/internal/fleet/spec"
)

// releaseRecord returns the record that lets members of the active wave change, or nil where none may at the moment.
// Members that are out of service may always change, and others as far as the bound on unavailable instances allows.
// Where the bound allows none and nothing else is under way, members of later waves that are out of service are released
// ahead of them: the change may repair them, and without it the rollout could not continue.
func (s *State) releaseRecord() *Record {
	active := s.rollouts.active
	active.blocked = ""
	names, ofLaterWaves := s.outOfServiceMembers(active)
	names = s.appendWithinBound(active, names)
	stuck := len(names) == 0 && active.blocked != "" && len(active.wave.nonconforming) == 0
	if stuck {
		names = ofLaterWaves[:min(len(ofLaterWaves), s.limits.MaxReleases)]
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

// outOfServiceMembers lists the unreleased members that are out of service: those of the wave under way, up to the
// limit of one record, and those of later waves.
func (s *State) outOfServiceMembers(r *rollout) (ofWave, ofLaterWaves []string) {
	for _, name := range slices.Sorted(maps.Keys(r.outOfService)) {
		if r.members[name].wave != r.wave.index {
			ofLaterWaves = append(ofLaterWaves, name)
		} else if len(ofWave) < s.limits.MaxReleases {
			ofWave = append(ofWave, name)
		}
	}
	return ofWave, ofLaterWaves
}

// appendWithinBound appends unreleased members of the wave that are in service, as far as the bound on unavailable
// instances allows. It sets r.blocked where that ends the list.
func (s *State) appendWithinBound(r *rollout, names []string) []string {
	unavailable, total := s.Unavailable()
	limit := max(r.strategy.MaxUnavailable.Of(total), 1)
	for _, name := range r.wave.unreleased {
		if len(names) >= s.limits.MaxReleases {
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

// releaseRestarts reports whether the release of an instance restarts a process that counts for the bound.
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

// releaseMember lets a member change to its state in the target.
func (s *State) releaseMember(m *rolloutMember) {
	to := s.target.instances[m.name]
	delete(s.target.unreleased, m.name)
	delete(m.rollout.outOfService, m.name)
	m.released = true
	// No time is known during a replay. The timer then starts with the first step.
	m.progress = timer{since: s.now, running: s.now > 0}
	if m.wave == m.rollout.wave.index {
		m.rollout.wave.nonconforming[m.name] = m
	}
	i := s.instances[m.name]
	if i == nil && to == nil { // it has been removed meanwhile
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

// setRelease changes the state that an instance should have.
func (s *State) setRelease(i *instance, to *spec.Instance, revision uint64) {
	i.removeFromCounters()
	// An instance that is desired again while it is ending restarts as well, whatever its settings.
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
