package reconcile

import (
	"fmt"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/retry"
	"poppyarch/internal/host/process"
	"poppyarch/internal/timing/clock"
)

// SetDesired sets the desired state. A new target edition lets a rejected change be tried again; other start settings end
// the restart backoff, since another start may well succeed where this one crashed.
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

// RecordStartIntent notes that a process is about to be started. The intent must be on disk before the start.
func (c *Controller) RecordStartIntent(launchID, startDigest string) {
	c.Phase = StartIntended
	c.LaunchID = launchID
	c.StartDigest = startDigest
}

// RecordRunning notes that the process runs: started now, or found to be running from before.
func (c *Controller) RecordRunning(id process.Identity, now clock.Micros) {
	c.Phase = Running
	c.Process = id
	c.crashes.runningSince = now
	c.drain = drainState{}
	c.status = brokerStatus{}
	c.calls = callState{breaker: retry.NewBreaker(c.config.Breaker)}
}

// RecordNotFound notes that no process has the launch id.
func (c *Controller) RecordNotFound() {
	c.Phase = NoProcess
	c.Process = process.Identity{}
}

// RecordExit notes that the process has ended. cause says how; it counts as a crash unless the process was draining.
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

// RecordStartFailure notes that the process could not be started.
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

// RecordProbe notes the result of a probe: the broker's state and health, or the error of a probe without an answer.
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
	if c.Pending != nil && c.Pending.Incarnation != state.Boot {
		c.Pending = nil // its incarnation has ended, and whatever it had applied with it
	}
	c.status = brokerStatus{
		incarnation:    state.Boot,
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

// RecordOutcome notes the outcome of a command, or the error of a call without an answer. An outcome of any but the
// pending command is ignored.
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
		if outcome.Boot == c.status.incarnation {
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

// RecordNotSent notes that the command that Next gave out could not be written to the journal, and so was not sent.
func (c *Controller) RecordNotSent() {
	c.Pending = nil
	c.calls.breaker.Cancel()
}

func (c *Controller) recordSuccess(now clock.Micros) {
	c.calls.failures = 0
	c.calls.breaker.Record(now, true, 0)
	c.retryBudget.RecordCall()
}

// recordFailure notes a call without an answer. Until a process has answered for the first time it is starting, and
// failures do not count. After that a quick retry needs the budget, and failures in a row open the breaker.
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
