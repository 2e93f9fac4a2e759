package state

import (
	"fmt"

	"poppyarch/internal/timing/clock"
)

// Observe applies an agent's reports. An instance whose last change is newer than the reported assignment version is not
// confirmed by its report, however much it looks as desired. A call whose sequence number is not newer than that of the
// last one is ignored: it arrived late or twice.
//
// Errors are ErrNotFound for an agent that is not registered, ErrFenced for a token that is not the newest, and
// ErrInvalidState for reports of changes before a full report.
func (s *State) Observe(c *AgentSync, now clock.Micros) error {
	if err := s.CheckToken(c.Agent, c.Token); err != nil {
		return err
	}
	s.now = max(s.now, now)
	a := s.agents.byName[c.Agent]
	if c.Sequence <= a.session.lastSequence {
		return nil
	}
	if !c.Full && !a.session.reportedFully {
		return fmt.Errorf("agent %s: %w: it has not told everything yet", c.Agent, ErrInvalidState)
	}
	s.recordCall(a, c.Sequence)
	s.observeReports(a, c.Reports)
	if c.Full {
		a.session.reportedFully = true
		s.observeAbsent(a, c.Reports)
	}
	// After the reports: they say nothing about changes that the agent did not know of.
	s.acknowledge(a, c.AssignmentVersion)
	if a.session.silent {
		a.session.silent = false
		for _, i := range a.instances {
			s.reindex(i)
		}
	}
	return nil
}

// recordCall notes that an agent has called.
func (s *State) recordCall(a *agent, sequence uint64) {
	a.session.called = true
	a.session.lastCall = s.now
	a.session.lastSequence = sequence
	if a.session.element != nil {
		s.agents.byLastCall.MoveToBack(a.session.element)
	} else {
		a.session.element = s.agents.byLastCall.PushBack(a)
	}
}

// observeReports stores what an agent reports. Reports of instances that it does not hold are ignored.
func (s *State) observeReports(a *agent, reports []Report) {
	for k := range reports {
		i := a.instances[reports[k].Name]
		if i == nil {
			continue
		}
		if i.observed.known && i.observed.report == reports[k] {
			i.observed.at = s.now
			continue
		}
		i.observed.report = reports[k]
		i.observed.at = s.now
		i.observed.known = true
		s.reindex(i)
	}
}

// observeAbsent stores that an agent has nothing of the instances that its full report does not mention.
func (s *State) observeAbsent(a *agent, reports []Report) {
	reported := make(map[string]bool, len(reports))
	for k := range reports {
		reported[reports[k].Name] = true
	}
	for name, i := range a.instances {
		if !reported[name] {
			i.observed = observation{report: Report{Name: name, Process: Absent}, at: s.now, known: true}
			s.reindex(i)
		}
	}
}

// acknowledge notes the version of its assignments that an agent works by.
func (s *State) acknowledge(a *agent, version uint64) {
	version = min(version, a.assignments.newest)
	if version <= a.assignments.acknowledged {
		return
	}
	a.assignments.acknowledged = version
	for name, changedIn := range a.assignments.unacknowledged {
		if changedIn > version {
			continue
		}
		delete(a.assignments.unacknowledged, name)
		if i := a.instances[name]; i != nil {
			s.reindex(i)
		}
	}
}
