package state

import (
	"container/list"
	"fmt"
	"maps"
	"slices"

	"poppyarch/internal/timing/clock"
)

// agentRegistry is the set of known agents.
type agentRegistry struct {
	lastToken  uint64
	byName     map[string]*agent
	byLastCall *list.List // of *agent that are not silent, the one with the oldest call first
}

// agent is one agent with an index of its instances.
type agent struct {
	name      string
	token     uint64 // of its registration
	session   agentSession
	instances map[string]*instance // that it holds
	counters  availabilityCounters

	nonconforming map[string]*instance // instances that are not as they should be
	assignments   assignmentVersions
}

// agentSession is what is known of an agent's calls.
type agentSession struct {
	silent        bool // no call within Limits.AgentTimeout
	called        bool // at least once since the manager's start
	lastCall      clock.Micros
	lastSequence  uint64        // since its registration
	reportedFully bool          // since its registration
	element       *list.Element // in agentRegistry.byLastCall; nil: silent
}

// assignmentVersions tracks which changes of its assignments an agent knows of.
type assignmentVersions struct {
	newest         uint64
	acknowledged   uint64            // the version that the agent works by
	unacknowledged map[string]uint64 // by instance, the version that changed it last
}

// agent returns the named agent. One that is not known yet is created, silent.
func (s *State) agent(name string) *agent {
	a := s.agents.byName[name]
	if a == nil {
		a = &agent{
			name:          name,
			session:       agentSession{silent: true},
			instances:     map[string]*instance{},
			nonconforming: map[string]*instance{},
			assignments:   assignmentVersions{unacknowledged: map[string]uint64{}},
		}
		s.agents.byName[name] = a
	}
	return a
}

// assignmentChanged notes that the agent has to be notified of an instance.
func (a *agent) assignmentChanged(instance string) {
	a.assignments.newest++
	a.assignments.unacknowledged[instance] = a.assignments.newest
}

// hasAcknowledged reports whether the agent knows of the last change of an instance's assignment.
func (a *agent) hasAcknowledged(instance string) bool {
	return a.assignments.unacknowledged[instance] == 0
}

// CheckToken returns ErrNotFound for an agent that is not registered and ErrFenced for a token that is not its newest.
func (s *State) CheckToken(name string, token uint64) error {
	a := s.agents.byName[name]
	if a == nil || a.token == 0 {
		return fmt.Errorf("agent %s: %w: not registered", name, ErrNotFound)
	}
	if token != a.token {
		return fmt.Errorf("agent %s with token %d: %w", name, token, ErrFenced)
	}
	return nil
}

// Register returns the record that makes the caller the only valid agent of its name. knownEdition is the highest edition
// that it followed before it joined this fleet, 0 for none.
func (s *State) Register(name string, knownEdition uint64, at clock.Micros) *Record {
	return &Record{
		Kind:         RecordAgentRegistered,
		Agent:        name,
		Token:        s.agents.lastToken + 1,
		KnownEdition: knownEdition,
		At:           at,
	}
}

func (s *State) applyAgentRegistered(r *Record) {
	s.agents.lastToken = max(s.agents.lastToken, r.Token)
	a := s.agent(r.Agent)
	a.token = r.Token
	a.session.lastSequence = 0
	a.session.reportedFully = false
	a.assignments.acknowledged = 0
	if r.KnownEdition > 0 {
		// Its brokers may hold editions of another history. The editions assigned to them must count as newer.
		s.edition = max(s.edition, r.KnownEdition) + 1
		for _, i := range a.instances {
			i.release.edition = s.edition
		}
	}
	for name := range a.instances {
		a.assignmentChanged(name)
	}
	// What the agent's previous process reported is not valid for the new one.
	for _, i := range a.instances {
		i.observed.known = false
		s.reindex(i)
	}
}

// Retire returns the record by which an operator states that an agent and its machine will not come back. The agent's
// token becomes invalid, and its instances that are desired elsewhere or not at all are free.
//
// Errors are ErrConflict for an unexpected revision, ErrNotFound for an unknown agent, and ErrInvalidState for one that is
// not silent.
func (s *State) Retire(c *Command, name string, at clock.Micros) (*Record, error) {
	if err := s.checkExpectedRevision(c); err != nil {
		return nil, err
	}
	a := s.agents.byName[name]
	if a == nil {
		return nil, fmt.Errorf("agent %s: %w", name, ErrNotFound)
	}
	if !a.session.silent {
		return nil, fmt.Errorf("%w: agent %s is heard of; only a silent one can be retired", ErrInvalidState, name)
	}
	r := &Record{
		Kind:  RecordAgentRetired,
		Agent: name,
		Token: s.agents.lastToken + 1,
	}
	return c.attribute(r, at), nil
}

func (s *State) applyAgentRetired(r *Record) error {
	a := s.agents.byName[r.Agent]
	if a == nil {
		return recordErrorf(r, "no agent %q", r.Agent)
	}
	s.agents.lastToken = max(s.agents.lastToken, r.Token)
	a.token = r.Token // nobody holds this one
	a.session.reportedFully = false
	for _, name := range slices.Sorted(maps.Keys(a.instances)) {
		i := a.instances[name]
		switch {
		case i.release.desired == nil:
			s.removeInstance(i)
		case i.release.desired.Agent != a.name:
			s.handOver(i)
		}
	}
	return nil
}

// markSilentAgents marks the agents whose last call is too long ago. Its cost depends on their number only.
func (s *State) markSilentAgents() {
	for e := s.agents.byLastCall.Front(); e != nil; e = s.agents.byLastCall.Front() {
		a := e.Value.(*agent)
		if s.now-a.session.lastCall < s.limits.AgentTimeout {
			return
		}
		a.session.silent = true
		a.session.element = nil
		s.agents.byLastCall.Remove(e)
		for _, i := range a.instances {
			if i.member != nil {
				s.reindex(i) // it no longer counts as conforming in the active wave
			}
		}
	}
}
