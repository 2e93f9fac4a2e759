package supervisor

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"time"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/reconcile"
	"poppyarch/internal/timing/clock"
)

// untilNextAction returns the time until the next action of any instance is due, at most maxIdle.
func (s *Supervisor) untilNextAction() time.Duration {
	now := s.clock.Now()
	at := now + clock.FromDuration(maxIdle)
	for _, instance := range s.instances {
		if !instance.callInFlight {
			at = min(at, instance.nextActionAt)
		}
	}
	return clock.Duration(max(at-now, 0))
}

// takeDueActions takes all actions that are due. It returns an error only if the journal can no longer be used.
func (s *Supervisor) takeDueActions(ctx context.Context) error {
	for _, name := range slices.Sorted(maps.Keys(s.instances)) {
		if err := s.takeActionsOf(ctx, s.instances[name]); err != nil {
			return err
		}
	}
	return nil
}

func (s *Supervisor) takeActionsOf(ctx context.Context, instance *managedInstance) error {
	for !instance.callInFlight && instance.nextActionAt <= s.clock.Now() {
		more, err := s.takeNextAction(ctx, instance)
		if err != nil {
			if s.journal.Err() != nil {
				return err
			}
			// The cause may pass, such as a full disk.
			instance.nextActionAt = s.clock.Now() + clock.FromDuration(journalRetryDelay)
			return nil
		}
		if !more {
			return nil
		}
	}
	return nil
}

// takeNextAction takes an instance's next action. It returns false if no other action follows for now, and an error if
// a record could not be written and so the action was not taken.
func (s *Supervisor) takeNextAction(ctx context.Context, instance *managedInstance) (more bool, err error) {
	pending := instance.Pending
	action, wakeAt := instance.Next(s.clock.Now())
	instance.nextActionAt = wakeAt
	switch action.Kind {
	case reconcile.NoAction, reconcile.ForgetInstance:
		return false, nil // an instance is forgotten once the manager knows that it has ended
	case reconcile.FindProcess:
		return true, s.findProcess(instance, action.LaunchID)
	case reconcile.StartProcess:
		return true, s.startProcess(instance)
	case reconcile.Terminate:
		s.log.Info("agent: instance asked to drain", "instance", instance.Name, "pid", instance.Process.PID, "why", action.Reason)
		_ = instance.handle.Terminate() // fails only if the process has ended, which arrives as an event
	case reconcile.Kill:
		s.log.Error("agent: instance killed", "instance", instance.Name, "pid", instance.Process.PID, "why", action.Reason)
		_ = instance.handle.Kill() // fails only if the process has ended
	case reconcile.Probe:
		s.probe(ctx, instance)
	case reconcile.SendCommand:
		if action.Command != pending {
			if err := s.commit(&record{Kind: recordCommandSent, Name: instance.Name, Command: action.Command}); err != nil {
				instance.RecordNotSent()
				return false, err
			}
		}
		s.sendCommand(ctx, instance, action.Command)
	}
	s.requestReport()
	return true, nil
}

// findProcess looks for a process that an earlier agent may have started without recording its identity in the journal.
func (s *Supervisor) findProcess(instance *managedInstance, launchID string) error {
	id, ok := s.runner.Find(launchID)
	if !ok {
		if err := s.commit(&record{Kind: recordEnded, Name: instance.Name}); err != nil {
			return err
		}
		instance.RecordNotFound()
		return nil
	}
	adopted, err := s.runner.Adopt(id)
	if err != nil {
		return nil // the process has just ended, and the next search does not find it
	}
	if err := s.commit(&record{Kind: recordStarted, Name: instance.Name, Process: &id}); err != nil {
		return err
	}
	s.log.Info("agent: instance found by its launch id", "instance", instance.Name, "pid", id.PID)
	instance.RecordRunning(id, s.clock.Now())
	s.watch(instance, adopted)
	s.requestReport()
	return nil
}

// startProcess starts a process. It commits the intent before the start, and the identity after it.
func (s *Supervisor) startProcess(instance *managedInstance) error {
	now := s.clock.Now()
	assigned := s.state.Instances[instance.Name].Assignment.Desired
	launchID := newLaunchID()
	startDigest := assigned.Start.Digest()
	intent := &record{Kind: recordStarting, Name: instance.Name, LaunchID: launchID, StartDigest: startDigest}
	if err := s.commit(intent); err != nil {
		return err
	}
	instance.RecordStartIntent(launchID, startDigest)
	defer s.requestReport()
	config, ok := s.state.Configs[assigned.Start.Config]
	if !ok {
		return s.recordStartFailure(instance, now, fmt.Errorf("configuration %s is not here", assigned.Start.Config))
	}
	started, err := s.runner.Start(assigned, config, launchID)
	if err != nil {
		return s.recordStartFailure(instance, now, err)
	}
	id := started.Identity()
	s.log.Info("agent: instance started", "instance", instance.Name, "pid", id.PID)
	instance.RecordRunning(id, now)
	s.watch(instance, started)
	// If this fails, say on a full disk, the next agent finds the process by its launch id.
	return s.commit(&record{Kind: recordStarted, Name: instance.Name, Process: &id})
}

func (s *Supervisor) recordStartFailure(instance *managedInstance, now clock.Micros, cause error) error {
	s.log.Error("agent: instance cannot be started", "instance", instance.Name, "err", cause)
	instance.RecordStartFailure(now, cause)
	return s.commit(&record{Kind: recordEnded, Name: instance.Name})
}

// newLaunchID returns 24 random hexadecimal digits.
func newLaunchID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // it never fails
	return hex.EncodeToString(b[:])
}

// probe queries the state of an instance's broker in a goroutine.
func (s *Supervisor) probe(ctx context.Context, instance *managedInstance) {
	instance.callInFlight = true
	assigned := s.state.Instances[instance.Name].Assignment.Desired
	finished := &probeFinished{instance: instance, generation: instance.generation}
	s.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, s.options.BrokerTimeout)
		finished.state, finished.healthy, finished.err = s.brokers.Probe(callCtx, assigned)
		cancel()
		s.send(ctx, finished)
	})
}

// sendCommand sends a command to an instance's broker in a goroutine.
func (s *Supervisor) sendCommand(ctx context.Context, instance *managedInstance, command *reconcile.Command) {
	instance.callInFlight = true
	assignment := &s.state.Instances[instance.Name].Assignment
	assigned := assignment.Desired
	change := &control.Change{
		ID:            command.ID,
		FencingToken:  s.session.token,
		Incarnation:   command.Incarnation,
		BaseRevision:  command.BaseEdition,
		Revision:      command.TargetEdition,
		FleetRevision: assignment.Revision,
		Live:          assigned.Live,
		NodeOverrides: s.state.Nodes,
	}
	finished := &commandFinished{instance: instance, generation: instance.generation, commandID: command.ID}
	s.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, s.options.BrokerTimeout)
		finished.outcome, finished.err = s.brokers.SendChange(callCtx, assigned, change)
		cancel()
		s.send(ctx, finished)
	})
}
