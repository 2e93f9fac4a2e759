package manager

import (
	"context"
	"time"

	"poppyarch/internal/fleet/state"
)

// Run commits the records that are due until ctx is done, and then returns nil. It returns an error if the journal can
// no longer be written.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.options.StepInterval)
	defer ticker.Stop()
	for {
		m.step()
		select {
		case <-ctx.Done():
			return nil
		case <-m.failed:
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.failure
		case <-ticker.C:
		case <-m.stepNow:
		}
	}
}

// step commits all records that the state says are due, and compacts the journal if that is due.
func (m *Manager) step() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.failure == nil {
		records := m.state.Step(m.clock.Now())
		if len(records) == 0 {
			break
		}
		for _, r := range records {
			if r.Kind == state.RecordRevisionCreated { // an automatic rollback
				r.At = m.clock.Now()
			}
			if m.commit(r) != nil {
				return // nothing has changed, and the next step proposes the record again
			}
		}
	}
	m.compactIfDue()
}

// requestStep makes Run step without waiting for the interval.
func (m *Manager) requestStep() {
	select {
	case m.stepNow <- struct{}{}:
	default: // a step has already been requested
	}
}
