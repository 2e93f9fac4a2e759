// Package state is the state machine of a fleet's manager. It holds the desired state in numbered revisions, the
// observed state that agents report, and the rollouts that bring one to the other, and decides what is due next.
//
// The package does no I/O, starts no goroutine and reads no clock. Its inputs are commands (Propose, Rollback, SetNodes
// and others), agents' calls (Observe) and the time (Step); the time is Unix time in microseconds and never goes back.
// Its outputs are Records, assignments and statuses. A Record takes effect only when the caller has stored it and calls
// Apply; where storing fails nothing has happened, and Step returns the same record again. What agents report is not
// stored: they report it again after a restart of the manager.
package state

import (
	"container/list"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// Limits bounds the state.
type Limits struct {
	MaxRevisions int          // kept for rollback
	MaxCommands  int          // whose results are kept, to recognize repeated ones
	AgentTimeout clock.Micros // an agent without a call for so long is silent: the state of its instances is unknown
	MaxReleases  int          // instances in one record
}

// DefaultLimits returns limits that suit agents which call at least once a second.
func DefaultLimits() Limits {
	return Limits{
		MaxRevisions: 500,
		MaxCommands:  4096,
		AgentTimeout: 5_000_000,
		MaxReleases:  256,
	}
}

// State is the state of one fleet. It is not safe for concurrent use.
type State struct {
	limits   Limits
	now      clock.Micros // the latest time that was passed in
	fleetID  string
	edition  uint64 // records applied so far
	desired  desiredState
	target   rolloutTarget
	agents   agentRegistry
	rollouts rolloutList
	commands commandResults

	instances map[string]*instance // released, by name
	departed  map[string]*instance // of these, ended at an agent that they do not belong to any more
}

// desiredState is the fleet as the newest revision defines it, and how it came about.
type desiredState struct {
	revision  uint64 // the newest
	instances map[string]*spec.Instance
	configs   map[string]string // configuration texts by digest
	history   []*Revision       // the kept revisions, oldest first
	nodes     nodeOverrides
}

// nodeOverrides are the operators' overrides of storage nodes, sorted by ID.
type nodeOverrides struct {
	list     []spec.NodeOverride
	revision uint64 // that set them
	edition  uint64 // of the record that set them
}

// rolloutTarget is the fleet as the rollout that was started last defines it.
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

// FleetID identifies the history that this state is of. It is empty before the first record.
func (s *State) FleetID() string { return s.fleetID }

// Edition counts the records applied so far. It only rises as long as no history is lost.
func (s *State) Edition() uint64 { return s.edition }

// Apply applies a stored record. The records of a journal are applied in their order. After an error, which is a
// *RecordError, the state must not be used any more.
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
// and is out of service until its agent says otherwise: an instance that served before the manager's restart must not be
// taken for a new one, even where it is to end since then.
func (s *State) FinishReplay() {
	for _, i := range s.instances {
		i.availability.hasServed = true
		s.reindex(i)
	}
}
