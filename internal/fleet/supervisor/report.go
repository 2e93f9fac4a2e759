package supervisor

import (
	"context"
	"errors"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/state"
)

// requestReport has a report sent before the interval has passed.
func (s *Supervisor) requestReport() {
	select {
	case s.reportNow <- struct{}{}:
	default: // it has been requested already
	}
}

// observation is what the agent can report at one time.
type observation struct {
	session   session
	instances map[string]state.Report
	stats     []api.BrokerStats
}

// observe returns what the agent can report now. Statistics are given out once.
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

// reporter sends the reports of one session after the other.
type reporter struct {
	agent        string
	manager      Manager
	registration api.Registration
	sequence     uint64                  // of the last report in the session
	acknowledged map[string]state.Report // that the manager has; nil: unknown, the next report is a full one
}

// sendReports reports to the manager what has changed: on request, and at each interval in any case. It returns
// state.ErrFenced where a newer agent has registered, and nil once ctx is done.
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

// isCurrent reports whether no other registration has replaced one.
func (s *Supervisor) isCurrent(ctx context.Context, registration api.Registration) bool {
	var current bool
	err := s.runInLoop(ctx, func() error {
		current = s.session.registration == registration
		return nil
	})
	return err == nil && current
}

// send sends what differs from the acknowledged reports, or everything after an error or in a new session.
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
