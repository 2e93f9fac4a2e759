// Package state is the state machine of a fleet's manager. It holds the desired state in numbered revisions, the
// observed state that agents report, and the rollouts that bring the fleet to the desired state, and decides what the
// manager does next.
//
// The package does no I/O, starts no goroutine and reads no clock. Its inputs are commands (Propose, Rollback,
// SetNodeOverrides and others), agents' calls (Observe) and the time (Step); the time is Unix time in microseconds, and
// an earlier time than the latest one counts as the latest one. Its outputs are Records, assignments and statuses. A
// Record takes effect only when the caller has stored it and calls Apply. If it cannot be stored, the state is
// unchanged, and Step returns the same record again. Reports of agents are not stored: agents send them again after a
// restart of the manager.
package state

import (
	"container/list"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// Limits bounds the state.
type Limits struct {
	MaxRevisions         int          // revisions kept for rollback
	MaxCommands          int          // commands whose results are kept, to recognize repeated commands
	AgentTimeout         clock.Micros // without a call for this long an agent is silent: its instances' state is unknown
	MaxReleasesPerRecord int          // instances released by one record
}

// DefaultLimits returns limits that suit agents which call at least once a second.
func DefaultLimits() Limits {
	return Limits{
		MaxRevisions:         500,
		MaxCommands:          4096,
		AgentTimeout:         5_000_000,
		MaxReleasesPerRecord: 256,
	}
}

// State is the state of one fleet. It is not safe for concurrent use.
type State struct {
	limits   Limits
	now      clock.Micros // latest time passed in
	fleetID  string
	edition  uint64 // number of records applied so far
	desired  desiredState
	target   rolloutTarget
	agents   agentRegistry
	rollouts rolloutList
	commands commandResults

	instances map[string]*instance // released instances, by name
	departed  map[string]*instance // released instances that have ended at an agent where they are no longer desired
}

// desiredState is the fleet as the newest revision defines it, with the history of revisions.
type desiredState struct {
	revision  uint64 // number of the newest revision
	instances map[string]*spec.Instance
	configs   map[string]string // configuration texts by digest
	history   []*Revision       // the kept revisions, oldest first
	nodes     nodeOverrides
}

// nodeOverrides are the operators' overrides of storage nodes, sorted by ID.
type nodeOverrides struct {
	list     []spec.NodeOverride
	revision uint64 // revision that set them
	edition  uint64 // edition of the record that set them
}

// rolloutTarget is the fleet as defined by the rollouts that have been started, or aborted while they were queued.
type rolloutTarget struct {
	instances  map[string]*spec.Instance
	unreleased map[string]bool // names of instances whose released state differs from the target
}

// New returns the state of an empty fleet.
func New(limits Limits) *State {
	return &State{
		limits: limits,
		desired: desiredState{
			instances: map[string]*spec.Instance{},
			configs:   map[string]string{},
		},
		target: rolloutTarget{
			instances:  map[string]*spec.Instance{},
			unreleased: map[string]bool{},
		},
		agents: agentRegistry{
			byName:     map[string]*agent{},
			byLastCall: list.New(),
		},
		commands: commandResults{
			byID: map[string]Result{},
		},
		instances: map[string]*instance{},
		departed:  map[string]*instance{},
	}
}

// FleetID identifies the fleet's history of records. It is empty before the first record.
func (s *State) FleetID() string { return s.fleetID }

// Edition returns the number of records applied so far. It never decreases unless history is lost.
func (s *State) Edition() uint64 { return s.edition }

// Apply applies a stored record. The records of a journal must be applied in order. The error is a *RecordError; after
// it the state must no longer be used.
func (s *State) Apply(r *Record) error {
	s.edition++
	if err := s.apply(r); err != nil {
		return err
	}
	if r.CommandID != "" {
		s.commands.add(r.CommandID, resultOf(r), s.limits.MaxCommands)
	}
	return nil
}

func (s *State) apply(r *Record) error {
	switch r.Kind {
	case RecordFleetCreated:
		s.fleetID = r.FleetID
		return nil
	case RecordAgentRegistered:
		s.applyAgentRegistered(r)
		return nil
	case RecordAgentRetired:
		return s.applyAgentRetired(r)
	case RecordRevisionCreated:
		return s.applyRevisionCreated(r)
	case RecordNodeOverridesSet:
		return s.applyNodeOverridesSet(r)
	case RecordInstanceHandedOver:
		return s.applyInstanceHandedOver(r)
	case RecordInstanceRemoved:
		return s.applyInstanceRemoved(r)
	case RecordRolloutStarted:
		return s.applyRolloutStarted(r)
	case RecordInstancesReleased:
		return s.applyInstancesReleased(r)
	case RecordInstanceFailed:
		return s.applyInstanceFailed(r)
	case RecordWaveFinished:
		return s.applyWaveFinished(r)
	case RecordPhaseChanged:
		return s.applyPhaseChanged(r)
	}
	return recordErrorf(r, "unknown kind")
}

// FinishReplay ends the replay of a journal. No agent has reported yet, so every instance counts as one that has served
// and is unavailable until its agent reports otherwise: an instance that served before the manager's restart must not
// be taken for a new one, even if it has been due to end since then.
func (s *State) FinishReplay() {
	for _, i := range s.instances {
		i.availability.hasServed = true
		s.reindex(i)
	}
}
