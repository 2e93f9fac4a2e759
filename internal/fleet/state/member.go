package state

import "fmt"

// indexOutOfService builds a rollout's set of unreleased members that are out of service.
func (s *State) indexOutOfService(r *rollout) {
	r.outOfService = map[string]bool{}
	for name, m := range r.members {
		if i := s.instances[name]; i != nil && !m.released && i.isOutOfService() {
			r.outOfService[name] = true
		}
	}
}

// updateMember updates a rollout's counters and sets with whether a member conforms.
func (s *State) updateMember(m *rolloutMember, conforming bool) {
	if !m.released {
		s.updateUnreleasedMember(m)
		return
	}
	if m.failure != "" || m.wave > m.rollout.wave.index {
		m.conforming = conforming
		return
	}
	if !conforming {
		s.noteReportedFailure(m)
	}
	if conforming == m.conforming {
		return
	}
	m.conforming = conforming
	wave := &m.rollout.wave
	if conforming {
		delete(wave.unrecordedFailures, m.name)
	}
	if m.wave != wave.index { // it is in an earlier wave; only the current wave has counters
		return
	}
	if conforming {
		wave.conforming++
		delete(wave.nonconforming, m.name)
		return
	}
	wave.conforming--
	wave.soak = timer{}
	wave.nonconforming[m.name] = m
	m.progress = startedAt(s.now)
}

// updateUnreleasedMember adds a member to the set of those that are out of service, or removes it.
func (s *State) updateUnreleasedMember(m *rolloutMember) {
	i := s.instances[m.name]
	switch {
	case i == nil:
	case i.isOutOfService():
		m.rollout.outOfService[m.name] = true
	default:
		delete(m.rollout.outOfService, m.name)
	}
}

// noteReportedFailure notes that a member has failed if its agent reports a failure of the released change. The next
// Step returns the record of the failure.
func (s *State) noteReportedFailure(m *rolloutMember) {
	i := s.instances[m.name]
	if i == nil || !i.observed.known || !i.agent.hasAcknowledged(i.name) {
		return
	}
	report := &i.observed.report
	switch {
	case i.release.desired != nil && s.hasRejected(i):
		m.rollout.wave.unrecordedFailures[m.name] = "turned down by the broker: " + report.Error
	case report.Flapping:
		m.rollout.wave.unrecordedFailures[m.name] = fmt.Sprintf("crashed %d times: %s", report.Crashes, report.Error)
	}
}

func (s *State) applyInstanceFailed(r *Record) error {
	active, err := s.activeRollout(r)
	if err != nil {
		return err
	}
	for _, name := range r.Instances {
		if m := active.members[name]; m != nil && m.failure == "" {
			active.failMember(m, r.Reason)
		}
	}
	return nil
}

// failMember marks a member as failed and updates the rollout's counters and sets.
func (r *rollout) failMember(m *rolloutMember, reason string) {
	m.failure = reason
	r.failures++
	delete(r.wave.unrecordedFailures, m.name)
	delete(r.wave.nonconforming, m.name)
	if m.wave != r.wave.index {
		return
	}
	if m.conforming {
		r.wave.conforming--
	}
	r.wave.failed++
}
