package supervisor

import (
	"context"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/reconcile"
)

// event is a result that another goroutine passes to Run's goroutine. handle returns an error only if the journal can
// no longer be used.
type event interface {
	handle(s *Supervisor) error
}

// send passes an event to Run's goroutine, unless ctx is done first.
func (s *Supervisor) send(ctx context.Context, e event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// handleEvents handles an event and those queued after it.
func (s *Supervisor) handleEvents(e event) error {
	for {
		if err := e.handle(s); err != nil {
			return err
		}
		select {
		case e = <-s.events:
		default:
			return nil
		}
	}
}

// functionCall is a function that another goroutine passes to Run's goroutine for execution.
type functionCall struct {
	function func() error
	result   chan error
}

func (e *functionCall) handle(*Supervisor) error {
	e.result <- e.function()
	return nil
}

// runInLoop executes a function in Run's goroutine and returns its error, or that of ctx once ctx is done.
func (s *Supervisor) runInLoop(ctx context.Context, function func() error) error {
	call := &functionCall{function: function, result: make(chan error, 1)}
	s.send(ctx, call)
	select {
	case err := <-call.result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// processExited is the end of a process. err is nil for exit code 0.
type processExited struct {
	instance   *managedInstance
	generation int // of the process
	pid        int
	err        error
}

func (e *processExited) handle(s *Supervisor) error {
	if e.instance.generation != e.generation {
		return nil
	}
	cause := "exit code 0"
	if e.err != nil {
		cause = e.err.Error()
	} else if e.instance.Phase != reconcile.Draining {
		cause = "ended with exit code 0 though it was not asked to"
	}
	s.log.Info("agent: instance ended", "instance", e.instance.Name, "pid", e.pid, "how", cause)
	e.instance.handle = nil
	e.instance.RecordExit(s.clock.Now(), cause)
	e.instance.nextActionAt = 0
	s.requestReport()
	return s.commitResult(&record{Kind: recordEnded, Name: e.instance.Name})
}

// probeFinished is the result of a probe.
type probeFinished struct {
	instance   *managedInstance
	generation int // of the process that was probed
	state      *control.State
	healthy    bool
	err        error
}

func (e *probeFinished) handle(s *Supervisor) error {
	e.instance.callInFlight = false
	if e.instance.generation != e.generation {
		return nil
	}
	pending := e.instance.Pending
	now := s.clock.Now()
	e.instance.RecordProbe(now, e.state, e.healthy, e.err)
	if e.err == nil && e.state.Stats != nil {
		e.instance.unreported = &measurement{stats: e.state.Stats, inFlight: e.state.InFlight, measuredAt: now}
	}
	e.instance.nextActionAt = 0
	s.requestReport()
	return s.commitCommandEnd(e.instance, pending)
}

// commandFinished is the outcome of a command, or the error of a call that got no answer.
type commandFinished struct {
	instance   *managedInstance
	generation int // of the process that the command was for
	commandID  string
	outcome    *control.Outcome
	err        error
}

func (e *commandFinished) handle(s *Supervisor) error {
	e.instance.callInFlight = false
	if e.instance.generation != e.generation {
		return nil
	}
	pending := e.instance.Pending
	e.instance.RecordOutcome(s.clock.Now(), e.commandID, e.outcome, e.err)
	e.instance.nextActionAt = 0
	if e.err == nil && e.outcome.Code != control.CodeApplied {
		s.log.Warn("agent: change not applied", "instance", e.instance.Name, "code", e.outcome.Code, "reason", e.outcome.Reason)
	} else if e.err == nil {
		s.log.Info("agent: change applied", "instance", e.instance.Name, "edition", e.outcome.AppliedRevision, "repeated", e.outcome.Repeated)
	}
	s.requestReport()
	return s.commitCommandEnd(e.instance, pending)
}

// commitCommandEnd records that the command that was pending has an outcome, or that its incarnation has ended. If the
// record cannot be written, the next agent repeats the command with the same id or finds another incarnation.
func (s *Supervisor) commitCommandEnd(instance *managedInstance, wasPending *reconcile.Command) error {
	if wasPending == nil || instance.Pending != nil {
		return nil
	}
	return s.commitResult(&record{Kind: recordCommandFinished, Name: instance.Name})
}
