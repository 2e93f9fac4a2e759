package supervisor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/retry"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/timing/clock"
)

// Delays before further attempts to reach the manager.
const (
	initialManagerBackoff = 100 * time.Millisecond
	maxManagerBackoff     = 5 * time.Second
)

// HistoryError reports a manager that belongs to another fleet than the one that the agent follows, or whose journal is
// older than what the agent has seen, for example because it was restored from a backup. The agent leaves its brokers
// as they are until an operator accepts the manager with Options.AcceptNewFleet.
type HistoryError struct {
	FleetID      string // fleet of the manager
	Edition      uint64 // newest edition of the manager
	KnownFleetID string // fleet that the agent follows
	KnownEdition uint64 // highest edition that the agent has seen
}

func (e *HistoryError) Error() string {
	return fmt.Sprintf("agent: manager belongs to another fleet or has lost history: it has fleet %s at edition %d, this agent follows fleet %s and has seen edition %d",
		e.FleetID, e.Edition, e.KnownFleetID, e.KnownEdition)
}

// followManager keeps a session with the manager and takes assignments in it until ctx is done. It returns
// state.ErrFenced if a newer agent has registered.
func (s *Supervisor) followManager(ctx context.Context) error {
	backoff := &retry.Backoff{Initial: clock.FromDuration(initialManagerBackoff), Max: clock.FromDuration(maxManagerBackoff)}
	for ctx.Err() == nil {
		err := s.runSession(ctx, backoff)
		if ctx.Err() != nil {
			return nil
		}
		var history *HistoryError
		switch {
		case errors.Is(err, state.ErrFenced):
			s.log.Error("agent: fenced off by a newer agent of the same name, exiting")
			return err
		case errors.As(err, &history):
			s.log.Error("agent: manager not accepted, its history does not match the agent's", "err", err)
		default:
			s.log.Warn("agent: manager not reached", "err", err)
		}
		_ = retry.Sleep(ctx, backoff.Next()) // the loop checks ctx
	}
	return nil
}

// runSession registers with the manager and then takes assignments until a call fails.
func (s *Supervisor) runSession(ctx context.Context, backoff *retry.Backoff) error {
	registration, err := s.register(ctx)
	if err != nil {
		return err
	}
	if err := s.runInLoop(ctx, func() error {
		s.session = session{registration: registration, token: registration.Token}
		return nil
	}); err != nil {
		return err
	}
	s.log.Info("agent: registered", "token", registration.Token, "epoch", registration.Epoch)
	return s.pollAssignments(ctx, registration, backoff)
}

// register registers with the manager. It returns a HistoryError for a manager that the agent must not follow.
func (s *Supervisor) register(ctx context.Context) (api.Registration, error) {
	// The manager may fence off the previous token before this agent receives the new one. Without a current
	// registration, that is not mistaken for a newer agent.
	if err := s.runInLoop(ctx, func() error {
		s.session.registration = api.Registration{}
		return nil
	}); err != nil {
		return api.Registration{}, err
	}
	registration, err := s.manager.Register(ctx, s.options.Name, 0)
	if err != nil {
		return api.Registration{}, err
	}
	var history *HistoryError
	err = s.runInLoop(ctx, func() error { return s.checkHistory(registration) })
	if !errors.As(err, &history) || !s.options.AcceptNewFleet {
		return registration, err
	}
	if history.KnownEdition == 0 {
		return registration, nil
	}
	s.log.Warn("agent: accepting a manager of another fleet, or one that lost history", "fleet", registration.FleetID,
		"seen", history.KnownEdition)
	// The manager continues above the highest edition that the brokers may have applied.
	return s.manager.Register(ctx, s.options.Name, history.KnownEdition)
}

// checkHistory returns a HistoryError if the manager belongs to another fleet than the one that the agent follows, or
// has fewer editions than the agent has seen. An agent that follows no fleet yet accepts any manager.
func (s *Supervisor) checkHistory(registration api.Registration) error {
	if s.state.FleetID == "" || s.state.FleetID == registration.FleetID && s.state.Edition <= registration.Edition {
		return nil
	}
	return &HistoryError{
		FleetID:      registration.FleetID,
		Edition:      registration.Edition,
		KnownFleetID: s.state.FleetID,
		KnownEdition: s.state.Edition,
	}
}

// pollAssignments polls for assignments and applies them until the session ends.
func (s *Supervisor) pollAssignments(ctx context.Context, registration api.Registration, backoff *retry.Backoff) error {
	request := &api.AssignmentsRequest{
		Agent:  s.options.Name,
		Token:  registration.Token,
		Epoch:  registration.Epoch,
		WaitMS: s.options.LongPollWait.Milliseconds(),
	}
	for {
		assignments, err := s.manager.Assignments(ctx, request)
		if err == nil {
			err = s.takeAssignments(ctx, registration, &assignments)
		}
		unavailable := errors.Is(err, api.ErrUnavailable)
		switch {
		case unavailable || errors.Is(err, errJournal):
			if unavailable {
				s.log.Warn("agent: manager not reached", "err", err)
			}
			if err := retry.Sleep(ctx, backoff.Next()); err != nil {
				return err
			}
			continue
		case err != nil:
			return err
		}
		backoff.Reset()
		if assignments.Version > 0 {
			request.KnownVersion = assignments.Version
		}
	}
}
