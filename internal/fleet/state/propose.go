package state

import (
	"fmt"
	"slices"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// Plan describes what a new revision would change, and in which waves.
type Plan struct {
	Revision uint64        `json:"rev"`
	Changes  []spec.Change `json:"changes"`
	Waves    [][]string    `json:"waves"`
	WaitsFor []uint64      `json:"waits_for,omitempty"` // unfinished rollouts that come before it
}

// Propose returns the record of a new revision and its plan. The record is nil if nothing changes.
//
// Errors are ErrConflict for an unexpected revision, ErrRolloutActive if another rollout is unfinished and the
// strategy refuses to queue, and those of the validation of want and strategy.
func (s *State) Propose(c *Command, want *spec.Spec, strategy Strategy, at clock.Micros) (*Record, *Plan, error) {
	if err := s.checkExpectedRevision(c); err != nil {
		return nil, nil, err
	}
	if err := strategy.Validate(); err != nil {
		return nil, nil, err
	}
	if err := want.Validate(); err != nil {
		return nil, nil, err
	}
	r := &Record{
		Kind:     RecordRevisionCreated,
		Revision: s.desired.revision + 1,
		Strategy: &strategy,
		Configs:  map[string]string{},
	}
	for _, change := range spec.Diff(s.desired.instances, want.Instances) {
		r.Changes = append(r.Changes, InstanceChange{Name: change.Name, Desired: change.New})
		if err := s.addMissingConfig(r, want, change.New); err != nil {
			return nil, nil, err
		}
	}
	plan := s.planFor(r)
	if len(r.Changes) == 0 && len(plan.Changes) == 0 {
		return nil, plan, nil
	}
	if strategy.Overlap == overlapRefuse && len(plan.WaitsFor) > 0 && !c.DryRun {
		return nil, plan, fmt.Errorf("rollout %d: %w", plan.WaitsFor[0], ErrRolloutActive)
	}
	return c.attribute(r, at), plan, nil
}

// addMissingConfig adds the configuration text of an instance to a record unless the state already has it.
func (s *State) addMissingConfig(r *Record, want *spec.Spec, i *spec.Instance) error {
	if i == nil {
		return nil
	}
	digest := i.Start.Config
	if _, stored := s.desired.configs[digest]; stored {
		return nil
	}
	text, found := want.Configs[digest]
	if !found || spec.ConfigDigest([]byte(text)) != digest {
		return &spec.FieldError{Field: i.Name + ".config", Problem: fmt.Sprintf("the text of %s is not there", digest)}
	}
	r.Configs[digest] = text
	return nil
}

// planFor returns the plan of a revision record that has not been applied yet.
func (s *State) planFor(r *Record) *Plan {
	planned := &rollout{revision: r.Revision, strategy: *r.Strategy}
	for _, c := range r.Changes {
		planned.changes = append(planned.changes, RevisionChange{Name: c.Name, Old: s.desired.instances[c.Name], New: c.Desired})
	}
	plan := &Plan{Revision: r.Revision}
	if !r.IsRollback { // a rollback aborts the unfinished rollouts instead of waiting for them
		plan.WaitsFor = s.rollouts.unfinished()
	}
	if len(plan.WaitsFor) > 0 {
		// By then those rollouts have brought the fleet to the newest desired state.
		for _, change := range planned.changes {
			if c := spec.Compare(change.Old, change.New); c != nil {
				plan.Changes = append(plan.Changes, *c)
			}
		}
	} else {
		plan.Changes = s.changesFor(planned, s.rollouts.queued)
	}
	plan.Waves = Waves(plan.Changes, r.Strategy)
	return plan
}

// Rollback returns the record that takes the fleet back to an earlier revision, and its plan. The record aborts the
// active and the queued rollouts when it is applied. It is nil if nothing changes.
//
// Errors are ErrConflict for an unexpected revision, ErrNotFound for a revision that is not kept, and those of the
// validation of strategy.
func (s *State) Rollback(c *Command, to uint64, strategy Strategy, withNodes bool, at clock.Micros) (*Record, *Plan, error) {
	if err := s.checkExpectedRevision(c); err != nil {
		return nil, nil, err
	}
	if err := strategy.Validate(); err != nil {
		return nil, nil, err
	}
	r, err := s.rollbackRecord(to, strategy, withNodes)
	if err != nil || r == nil {
		return nil, &Plan{Revision: s.desired.revision}, err
	}
	return c.attribute(r, at), s.planFor(r), nil
}

// rollbackRecord returns the record that takes the fleet back to an earlier revision, or nil if nothing changes.
func (s *State) rollbackRecord(to uint64, strategy Strategy, withNodes bool) (*Record, error) {
	instances, nodes, err := s.FleetAt(to)
	if err != nil {
		return nil, err
	}
	strategy.OnFailure = onFailurePause // a rollback that fails must not cause another one
	r := &Record{
		Kind:       RecordRevisionCreated,
		Revision:   s.desired.revision + 1,
		Strategy:   &strategy,
		IsRollback: true,
		RollbackTo: to,
	}
	for _, c := range spec.Diff(s.desired.instances, instances) {
		r.Changes = append(r.Changes, InstanceChange{Name: c.Name, Desired: c.New})
	}
	if withNodes && !slices.Equal(nodes, s.desired.nodes.list) {
		r.Nodes = nodes
		r.WithNodes = true
	}
	unchanged := len(r.Changes) == 0 && !r.WithNodes
	if unchanged && len(s.rollouts.unfinished()) == 0 && len(s.target.unreleased) == 0 {
		return nil, nil
	}
	return r, nil
}
