package supervisor

import (
	"context"
	"errors"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/state"
)

// requestReport requests a report before the report interval has passed.
func (s *Supervisor) requestReport() {
	select {
	case s.reportNow <- struct{}{}:
	default: // a report has already been requested
	}
}

// observation is what the agent has observed at one time.
type observation struct {
	session   session
	instances map[string]state.Report
	stats     []api.BrokerStats
}

// observe returns what the agent can report now. Each set of statistics is returned only once.
func (s *Supervisor) observe() observation {
	now := s.clock.Now()
	o := observation{session: s.session, instances: map[string]state.Report{}}
	for name, instance := range s.instances {
		o.instances[name] = instance.Report(now)
		if m := instance.unreported; m != nil {
			o.stats = append(o.stats, api.BrokerStats{Name: name, Age: now - m.measuredAt, InFlight: m.inFlight, Stats: m.stats})
			instance.unreported = nil
		}
	}
	return o
}

// reporter sends the reports of successive sessions.
type reporter struct {
	agent        string
	manager      Manager
	registration api.Registration
	sequence     uint64                  // sequence number of the last report in the session
	acknowledged map[string]state.Report // reports that the manager has; nil if unknown, so the next one is full
}

// sendReports reports changes to the manager, on request and at every report interval. It returns state.ErrFenced if a
// newer agent has registered, and nil once ctx is done.
func (s *Supervisor) sendReports(ctx context.Context) error {
	ticker := time.NewTicker(s.options.ReportInterval)
	defer ticker.Stop()
	r := &reporter{agent: s.options.Name, manager: s.manager}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.reportNow:
		}
		var current observation
		if s.runInLoop(ctx, func() error { current = s.observe(); return nil }) != nil {
			return nil // ctx is done
		}
		err := r.send(ctx, &current)
		if errors.Is(err, state.ErrFenced) && s.isCurrent(ctx, r.registration) {
			return err
		}
	}
}

// isCurrent reports whether registration is that of the current session.
func (s *Supervisor) isCurrent(ctx context.Context, registration api.Registration) bool {
	var current bool
	err := s.runInLoop(ctx, func() error {
		current = s.session.registration == registration
		return nil
	})
	return err == nil && current
}

// send sends the reports that differ from the acknowledged ones, or all of them after an error or in a new session.
func (r *reporter) send(ctx context.Context, current *observation) error {
	if current.session.registration != r.registration {
		r.registration = current.session.registration
		r.acknowledged = nil
		r.sequence = 0
	}
	if r.registration.Token == 0 {
		return nil // not registered
	}
	r.sequence++
	request := &api.ReportRequest{
		Agent:              r.agent,
		Token:              r.registration.Token,
		Epoch:              r.registration.Epoch,
		Seq:                r.sequence,
		AssignmentsVersion: current.session.assignmentsVersion,
		Full:               r.acknowledged == nil,
		Stats:              current.stats,
	}
	for name, report := range current.instances {
		if known, ok := r.acknowledged[name]; !ok || known != report {
			request.Reports = append(request.Reports, report)
		}
	}
	err := r.manager.Report(ctx, request)
	switch {
	case err == nil:
		r.acknowledged = current.instances
	case !errors.Is(err, state.ErrFenced):
		r.acknowledged = nil // it is unknown whether the report arrived
	}
	return err
}
