package state

import (
	"fmt"

	"poppyarch/internal/timing/clock"
)

// Observe applies an agent's reports. If the assignment of an instance has changed since the reported assignment
// version, the report does not confirm the change, even if the instance looks as desired. A call whose sequence number
// is not above that of the last call arrived late or twice and is ignored.
//
// Errors are ErrNotFound for an agent that is not registered, ErrFenced for a token that is not the newest, and
// ErrInvalidState for a partial report before the first full one.
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
	// Acknowledge after the reports are stored: older reports must not confirm changes unknown to the agent at the
	// time.
	s.acknowledge(a, c.AssignmentVersion)
	if a.session.silent {
		a.session.silent = false
		for _, i := range a.instances {
			s.reindex(i)
		}
	}
	return nil
}

// recordCall records the time and the sequence number of an agent's call.
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

// observeReports stores an agent's reports. Reports of instances that the agent does not hold are ignored.
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

// observeAbsent marks the agent's instances that its full report does not mention as absent.
func (s *State) observeAbsent(a *agent, reports []Report) {
	reported := make(map[string]bool, len(reports))
	for k := range reports {
		reported[reports[k].Name] = true
	}
	for name, i := range a.instances {
		if !reported[name] {
			i.observed = observation{report: Report{Name: name, Process: ProcessAbsent}, at: s.now, known: true}
			s.reindex(i)
		}
	}
}

// acknowledge records that an agent knows its assignments up to a version.
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
