package reconcile

import (
	"fmt"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/retry"
	"poppyarch/internal/host/process"
	"poppyarch/internal/timing/clock"
)

// SetDesired sets the desired state. A new target edition allows another attempt after a rejected change. New start
// settings reset the restart backoff, since a process with them may run although the previous one crashed.
func (c *Controller) SetDesired(desired Desired) {
	if desired.TargetEdition != c.Desired.TargetEdition {
		c.rejectedEdition = 0
	}
	if desired.StartDigest != c.Desired.StartDigest || desired.Run != c.Desired.Run {
		c.resetBackoff()
		c.crashes.recent = nil
	}
	c.Desired = desired
	c.calls.nextProbeAt = 0
}

// RecordStartIntent records that a process is about to be started. The intent must be on disk before the start.
func (c *Controller) RecordStartIntent(launchID, startDigest string) {
	c.Phase = StartIntended
	c.LaunchID = launchID
	c.StartDigest = startDigest
}

// RecordRunning records that the process runs, whether it was started just now or found running.
func (c *Controller) RecordRunning(id process.Identity, now clock.Micros) {
	c.Phase = Running
	c.Process = id
	c.crashes.runningSince = now
	c.drain = drainState{}
	c.status = brokerStatus{}
	c.calls = callState{breaker: retry.NewBreaker(c.config.Breaker)}
}

// RecordNotFound records that no process has the launch id.
func (c *Controller) RecordNotFound() {
	c.Phase = NoProcess
	c.Process = process.Identity{}
}

// RecordExit records that the process has ended, and the cause. An exit counts as a crash unless the process was
// draining.
func (c *Controller) RecordExit(now clock.Micros, cause string) {
	wasDraining := c.Phase == Draining
	c.Phase = NoProcess
	c.Process = process.Identity{}
	c.Pending = nil
	c.status = brokerStatus{}
	if wasDraining {
		c.lastError = ""
		c.resetBackoff()
		return
	}
	c.recordCrash(now, cause)
}

// RecordStartFailure records that the process could not be started.
func (c *Controller) RecordStartFailure(now clock.Micros, err error) {
	c.Phase = NoProcess
	c.Process = process.Identity{}
	c.crashes.runningSince = now
	c.recordCrash(now, err.Error())
}

func (c *Controller) recordCrash(now clock.Micros, cause string) {
	if now-c.crashes.runningSince >= c.config.StableRunTime {
		c.crashes.backoff.Reset()
	}
	c.crashes.total++
	c.crashes.recent = append(c.crashes.recent, now)
	c.crashes.nextRestartAt = now + c.jitter(c.crashes.backoff.Next())
	c.lastError = cause
}

func (c *Controller) resetBackoff() {
	c.crashes.nextRestartAt = 0
	c.crashes.backoff.Reset()
}

// RecordProbe records the result of a probe: the broker's state and health, or the error of a probe that got no answer.
func (c *Controller) RecordProbe(now clock.Micros, state *control.State, healthy bool, err error) {
	if c.Phase != Running {
		return
	}
	if err != nil {
		c.recordFailure(now, "control endpoint: "+err.Error())
		return
	}
	if state.StartDigest != c.StartDigest || state.PID != c.Process.PID {
		c.recordFailure(now, fmt.Sprintf("the control endpoint is that of pid %d started as %q", state.PID, state.StartDigest))
		return
	}
	c.recordSuccess(now)
	if c.Pending != nil && c.Pending.Incarnation != state.Incarnation {
		c.Pending = nil // its incarnation has ended, and what that had applied is lost
	}
	c.status = brokerStatus{
		incarnation:    state.Incarnation,
		appliedEdition: state.AppliedRevision,
		healthy:        healthy && !state.Draining,
		listRevision:   state.EndpointListRevision,
		nodeCount:      state.NodeCount,
		observedAt:     now,
	}
	c.calls.answered = true
	c.calls.nextProbeAt = now + c.config.HealthyProbeInterval
	if !c.status.healthy {
		c.calls.nextProbeAt = now + c.config.UnhealthyProbeInterval
	}
}

// RecordOutcome records the outcome of a command, or the error of a call that got no answer. The outcome of a command
// that is not pending is ignored.
func (c *Controller) RecordOutcome(now clock.Micros, commandID string, outcome *control.Outcome, err error) {
	if c.Pending == nil || c.Pending.ID != commandID {
		return
	}
	if err != nil {
		c.recordFailure(now, "change: "+err.Error())
		return
	}
	c.recordSuccess(now)
	command := c.Pending
	c.Pending = nil
	c.calls.nextProbeAt = 0
	switch outcome.Code {
	case control.CodeApplied:
		if outcome.Incarnation == c.status.incarnation {
			c.status.appliedEdition = outcome.AppliedRevision
			c.status.observedAt = now
			c.lastError = ""
		}
		return
	case control.CodeRejected, control.CodeIDConflict:
		c.rejectedEdition = command.TargetEdition
	case control.CodeFenced, control.CodeDraining:
		c.calls.nextCommandAt = now + c.jitter(c.config.HealthyProbeInterval)
	}
	c.lastError = string(outcome.Code) + ": " + outcome.Reason
}

// RecordNotSent records that the command that Next returned was not sent, because it could not be written to the
// journal.
func (c *Controller) RecordNotSent() {
	c.Pending = nil
	c.calls.breaker.Cancel()
}

func (c *Controller) recordSuccess(now clock.Micros) {
	c.calls.failures = 0
	c.calls.breaker.Record(now, true, 0)
	c.retryBudget.RecordCall()
}

// recordFailure records a call that got no answer. Until a process has answered for the first time, it is assumed to be
// starting, and failures do not count. After that, an early retry needs the retry budget, and consecutive failures open
// the circuit breaker.
func (c *Controller) recordFailure(now clock.Micros, cause string) {
	if !c.calls.answered {
		c.calls.breaker.Record(now, true, 0)
		c.calls.nextProbeAt = now + c.jitter(2*c.config.UnhealthyProbeInterval)
		return
	}
	c.lastError = cause
	c.calls.failures++
	c.calls.breaker.Record(now, false, c.random())
	c.calls.nextProbeAt = now + c.jitter(c.config.HealthyProbeInterval)
	if c.retryBudget.TakeRetry() {
		c.calls.nextProbeAt = now + c.jitter(2*c.config.UnhealthyProbeInterval)
	}
}
