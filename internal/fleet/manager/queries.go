package manager

import (
	"context"
	"fmt"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
)

const (
	overviewRollouts = 5    // number of past rollouts in an overview
	waitRollouts     = 20   // number of past rollouts in the response to a wait
	maxStaleStats    = 1000 // number of entries of removed instances that are tolerated
)

// Overview returns the state of the fleet, with the selected instances.
func (m *Manager) Overview(selector spec.Selector) (api.Overview, error) {
	if err := selector.Validate(); err != nil {
		return api.Overview{}, fmt.Errorf("%w: %w", api.ErrInvalidRequest, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	nodes, _ := m.state.NodeOverrides()
	unavailable, enabled := m.state.Unavailable()
	instances := m.state.Instances(selector)
	return api.Overview{
		FleetID:      m.state.FleetID(),
		Revision:     m.state.NewestRevision(),
		Settled:      m.state.Settled(),
		Unavailable:  unavailable,
		Enabled:      enabled,
		NotCurrent:   m.state.NotCurrent(),
		Instances:    instances,
		Agents:       m.state.Agents(),
		Rollouts:     m.state.Rollouts(overviewRollouts),
		Nodes:        nodes,
		Stats:        m.statsOf(instances),
		JournalFault: m.journalFault,
	}, nil
}

// statsOf returns the latest statistics of the instances whose broker is known to run. The caller holds mu.
func (m *Manager) statsOf(instances []state.InstanceStatus) []api.BrokerStats {
	var list []api.BrokerStats
	for i := range instances {
		last, ok := m.stats[instances[i].Name]
		if !ok || instances[i].Report.Incarnation == "" {
			continue
		}
		current := last.BrokerStats
		current.Age = m.clock.Now() - last.measuredAt
		list = append(list, current)
	}
	if len(m.stats) > 2*len(instances)+maxStaleStats {
		clear(m.stats)
	}
	return list
}

// History returns up to limit of the newest revisions.
func (m *Manager) History(limit int) api.History {
	m.mu.Lock()
	defer m.mu.Unlock()
	return api.History{Revisions: m.state.History(limit)}
}

// Wait returns when the rollout of a revision has ended (for revision 0, when the fleet has settled), when a rollout is
// paused, or when the wait has passed.
func (m *Manager) Wait(ctx context.Context, revision uint64, wait time.Duration) (api.WaitResponse, error) {
	var response api.WaitResponse
	err := m.poll(ctx, min(wait, maxLongPoll), func(timedOut bool) (done bool, err error) {
		response = api.WaitResponse{Settled: m.state.Settled(), Rollouts: m.state.Rollouts(waitRollouts)}
		return timedOut || waitEnded(revision, &response), nil
	})
	return response, err
}

func waitEnded(revision uint64, response *api.WaitResponse) bool {
	if revision == 0 && response.Settled {
		return true
	}
	for i := range response.Rollouts {
		r := &response.Rollouts[i]
		ended := r.Phase == state.Done || r.Phase == state.Aborted
		if r.Phase == state.Paused || revision > 0 && r.Revision == revision && ended {
			return true
		}
	}
	return false
}
