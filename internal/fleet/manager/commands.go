package manager

import (
	"fmt"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/timing/clock"
)

const maxCommandID = 128 // bytes

// proposal returns the record of a command as of now, which is nil if the command changes nothing, and the plan to show
// to operators.
type proposal func(now clock.Micros) (*state.Record, *state.Plan, error)

// execute carries out a command once. The command's id is its idempotency key: a repeated command gets the result of
// the first execution.
func (m *Manager) execute(command *state.Command, propose proposal) (api.Reply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if command.ID == "" || len(command.ID) > maxCommandID {
		return api.Reply{}, fmt.Errorf("%w: id: a command needs one of up to 128 letters", api.ErrInvalidRequest)
	}
	if result, seen := m.state.CommandResult(command.ID); seen {
		return api.Reply{Result: result}, nil
	}
	record, plan, err := propose(m.clock.Now())
	if err != nil {
		return api.Reply{Plan: plan}, err
	}
	if record == nil {
		return api.Reply{Result: state.Result{Revision: m.state.NewestRevision(), Text: "nothing changes"}, Plan: plan}, nil
	}
	if command.DryRun {
		result := state.Result{Revision: m.state.NewestRevision(), Text: "dry run: nothing was changed"}
		return api.Reply{Result: result, Plan: plan}, nil
	}
	if err := m.commit(record); err != nil {
		return api.Reply{}, err
	}
	m.requestStep()
	result, _ := m.state.CommandResult(command.ID)
	result.Repeated = false
	return api.Reply{Result: result, Plan: plan}, nil
}

// Apply sets the desired state of the fleet.
func (m *Manager) Apply(request *api.ApplyRequest) (api.Reply, error) {
	return m.execute(&request.Command, func(now clock.Micros) (*state.Record, *state.Plan, error) {
		return m.state.Propose(&request.Command, &request.Spec, request.Strategy, now)
	})
}

// Rollback sets the desired state of an earlier revision.
func (m *Manager) Rollback(request *api.RollbackRequest) (api.Reply, error) {
	return m.execute(&request.Command, func(now clock.Micros) (*state.Record, *state.Plan, error) {
		return m.state.Rollback(&request.Command, request.To, request.Strategy, request.WithNodes, now)
	})
}

// ChangeNodes changes the operators' overrides of storage nodes.
func (m *Manager) ChangeNodes(request *api.NodeOverridesRequest) (api.Reply, error) {
	return m.execute(&request.Command, func(now clock.Micros) (*state.Record, *state.Plan, error) {
		record, err := m.state.SetNodeOverrides(&request.Command, request.Changes, now)
		return record, nil, err
	})
}

// Retire declares that an agent and its machine have failed permanently, so that its instances may start elsewhere.
func (m *Manager) Retire(request *api.RetireRequest) (api.Reply, error) {
	return m.execute(&request.Command, func(now clock.Micros) (*state.Record, *state.Plan, error) {
		record, err := m.state.Retire(&request.Command, request.Agent, now)
		return record, nil, err
	})
}

// SetRolloutPhase pauses, resumes or aborts a rollout.
func (m *Manager) SetRolloutPhase(request *api.SetPhaseRequest) (api.Reply, error) {
	if request.To != state.Paused && request.To != state.Active && request.To != state.Aborted {
		return api.Reply{}, fmt.Errorf("%w: to: %q is none of paused, active, aborted", api.ErrInvalidRequest, request.To)
	}
	return m.execute(&request.Command, func(now clock.Micros) (*state.Record, *state.Plan, error) {
		record, err := m.state.SetRolloutPhase(&request.Command, request.Revision, request.To, now)
		return record, nil, err
	})
}
