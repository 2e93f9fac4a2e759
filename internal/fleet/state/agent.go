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
	lastToken  uint64 // highest token issued so far
	byName     map[string]*agent
	byLastCall *list.List // of *agent: those that are not silent, ordered by their last call, oldest first
}

// agent is one agent and the instances that it holds. It holds an instance until the instance is handed over to another
// agent or removed.
type agent struct {
	name      string
	token     uint64 // of its latest registration or retirement; 0 if it has never registered
	session   agentSession
	instances map[string]*instance // by name
	counters  availabilityCounters

	nonconforming map[string]*instance // instances that do not conform, by name
	assignments   assignmentVersions
}

// agentSession records the calls of an agent to the manager.
type agentSession struct {
	silent        bool // no call within Limits.AgentTimeout
	called        bool // has called since the manager's start
	lastCall      clock.Micros
	lastSequence  uint64        // of the last call since its registration
	reportedFully bool          // has sent a full report since its registration
	element       *list.Element // in agentRegistry.byLastCall; nil if the agent is silent
}

// assignmentVersions numbers the changes of an agent's assignments and tracks which of them the agent knows.
type assignmentVersions struct {
	newest         uint64            // version after the latest change
	acknowledged   uint64            // version that the agent's latest reports were made under
	unacknowledged map[string]uint64 // by instance name: version of a change that the agent has not acknowledged
}

// agent returns the named agent. If it is unknown, it is created as a silent agent.
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

// assignmentChanged records that the agent has to be notified of a change of an instance's assignment.
func (a *agent) assignmentChanged(instance string) {
	a.assignments.newest++
	a.assignments.unacknowledged[instance] = a.assignments.newest
}

// hasAcknowledged reports whether the agent knows the latest change of an instance's assignment.
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

// Register returns the record that makes the caller the only valid agent of its name. knownEdition is the highest
// edition that the agent followed before it joined this fleet, or 0 if there is none.
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
		// The agent's brokers may hold editions from another history. Editions assigned from now on must be higher.
		s.edition = max(s.edition, r.KnownEdition) + 1
		for _, i := range a.instances {
			i.release.edition = s.edition
		}
	}
	for name := range a.instances {
		a.assignmentChanged(name)
	}
	// The reports of the agent's previous process do not count for the new one.
	for _, i := range a.instances {
		i.observed.known = false
		s.reindex(i)
	}
}

// Retire returns the record by which an operator states that an agent and its machine will not come back. It
// invalidates the agent's token, hands over its instances that are desired on other agents, and removes those no longer
// desired.
//
// Errors are ErrConflict for an unexpected revision, ErrNotFound for an unknown agent, and ErrInvalidState for one that
// is not silent.
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
	a.token = r.Token // no process has this token
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

// markSilentAgents marks the agents that have not called within Limits.AgentTimeout. It visits only the agents that
// become silent and their instances.
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
