package manager

import (
	"context"
	"fmt"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/state"
)

const (
	maxAgentName = 64 // bytes
	maxLongPoll  = time.Minute
)

// Register makes the caller the newest agent of its name, and fences off all earlier ones. seenEdition is 0, or the
// highest edition that the agent has seen from another manager that it followed before.
func (m *Manager) Register(agent string, seenEdition uint64) (api.Registration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if agent == "" || len(agent) > maxAgentName {
		return api.Registration{}, fmt.Errorf("%w: agent: a name has 1 to 64 letters", api.ErrInvalidRequest)
	}
	r := m.state.Register(agent, seenEdition, m.clock.Now())
	if err := m.commit(r); err != nil {
		return api.Registration{}, err
	}
	return api.Registration{Token: r.Token, Epoch: m.epoch, FleetID: m.state.FleetID(), Edition: m.state.Edition()}, nil
}

// checkEpoch returns api.ErrManagerRestarted for a call of a session with an earlier incarnation of the manager.
func (m *Manager) checkEpoch(epoch string) error {
	if epoch != m.epoch {
		return fmt.Errorf("epoch %s: %w", epoch, api.ErrManagerRestarted)
	}
	return nil
}

// Report processes an agent's report. It returns api.ErrManagerRestarted or state.ErrFenced if the agent's session has
// ended.
func (m *Manager) Report(request *api.ReportRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkEpoch(request.Epoch); err != nil {
		return err
	}
	now := m.clock.Now()
	sync := &state.AgentSync{
		Agent:             request.Agent,
		Token:             request.Token,
		Sequence:          request.Seq,
		AssignmentVersion: request.AssignmentsVersion,
		Full:              request.Full,
		Reports:           request.Reports,
	}
	if err := m.state.Observe(sync, now); err != nil {
		return err
	}
	for _, stats := range request.Stats {
		m.stats[stats.Name] = brokerStats{BrokerStats: stats, measuredAt: now - stats.Age}
	}
	if len(request.Reports) > 0 || request.Full {
		m.notifyChanged()
		m.requestStep()
	}
	return nil
}

// Assignments waits until an agent's assignments differ from the version that it has, or the request's wait has passed,
// and returns the assignments that have changed.
func (m *Manager) Assignments(ctx context.Context, request *api.AssignmentsRequest) (api.Assignments, error) {
	wait := time.Duration(min(request.WaitMS, maxLongPoll.Milliseconds())) * time.Millisecond
	var assignments api.Assignments
	err := m.poll(ctx, wait, func(timedOut bool) (done bool, err error) {
		if err := m.checkEpoch(request.Epoch); err != nil {
			return false, err
		}
		if err := m.state.CheckToken(request.Agent, request.Token); err != nil {
			return false, err
		}
		list, version := m.state.Assignments(request.Agent, request.KnownVersion)
		first := request.KnownVersion == 0
		if changed := version != request.KnownVersion || first && len(list) > 0; !changed && !timedOut {
			return false, nil
		}
		nodes, _ := m.state.NodeOverrides()
		assignments = api.Assignments{Version: version, Full: first, List: list, Nodes: nodes, Edition: m.state.Edition()}
		return true, nil
	})
	return assignments, err
}

// poll calls check with mu held: immediately, after each change of the state and, with timedOut set, after the wait. It
// returns when check returns true or an error, or ctx is done.
func (m *Manager) poll(ctx context.Context, wait time.Duration, check func(timedOut bool) (done bool, err error)) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	timedOut := false
	for {
		m.mu.Lock()
		done, err := check(timedOut)
		changed := m.changed
		m.mu.Unlock()
		if done || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Config returns the text of a configuration, or state.ErrNotFound.
func (m *Manager) Config(digest string) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if text, ok := m.state.ConfigText(digest); ok {
		return text, nil
	}
	return "", fmt.Errorf("configuration %s: %w", digest, state.ErrNotFound)
}
