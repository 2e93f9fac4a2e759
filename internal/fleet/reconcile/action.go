package reconcile

import (
	"fmt"
	"math"

	"poppyarch/internal/timing/clock"
)

// ActionKind is the type of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	NoAction       ActionKind = iota
	FindProcess               // look for a process that was started with LaunchID
	StartProcess              // start a process with a new launch id
	Terminate                 // ask the process to drain
	Kill                      // kill the process
	Probe                     // query the broker's state and health
	SendCommand               // send Command to the broker
	ForgetInstance            // the instance has ended and may be forgotten
)

// Action is the next step for an instance. The agent records its result before it asks for another one.
type Action struct {
	Kind     ActionKind
	LaunchID string   // for FindProcess
	Command  *Command // for SendCommand
	Reason   string   // for the log
}

// never is the wake time when only an event can lead to another action.
const never = clock.Micros(math.MaxInt64 / 2)

// Next returns the action to take now, and the latest time at which to call Next again.
func (c *Controller) Next(now clock.Micros) (action Action, wakeAt clock.Micros) {
	switch c.Phase {
	case StartIntended:
		return Action{Kind: FindProcess, LaunchID: c.LaunchID, Reason: "an earlier agent may have started it"}, now
	case NoProcess:
		return c.nextWithoutProcess(now)
	case Draining:
		return c.nextWhileDraining(now)
	}
	switch {
	case !c.Desired.Run || c.Desired.Released:
		return c.beginDrain(now, "it should not run")
	case c.StartDigest != c.Desired.StartDigest:
		return c.beginDrain(now, "its start settings have changed")
	}
	return c.nextCall(now)
}

func (c *Controller) nextWithoutProcess(now clock.Micros) (Action, clock.Micros) {
	switch {
	case c.Desired.Released:
		if c.forgetRequested {
			return Action{}, never
		}
		c.forgetRequested = true
		return Action{Kind: ForgetInstance, Reason: "it has ended and is no longer this agent's"}, now
	case !c.Desired.Run:
		return Action{}, never
	case now < c.crashes.nextRestartAt:
		return Action{}, c.crashes.nextRestartAt
	}
	c.forgetRequested = false
	return Action{Kind: StartProcess, Reason: "it should run"}, now
}

func (c *Controller) beginDrain(now clock.Micros, reason string) (Action, clock.Micros) {
	c.Phase = Draining
	c.drain = drainState{startedAt: now}
	return Action{Kind: Terminate, Reason: reason}, now
}

func (c *Controller) nextWhileDraining(now clock.Micros) (Action, clock.Micros) {
	if c.drain.killed {
		return Action{}, never
	}
	if deadline := c.drain.startedAt + c.config.DrainTimeout; now < deadline {
		return Action{}, deadline
	}
	c.drain.killed = true
	return Action{Kind: Kill, Reason: "it did not drain in time"}, now
}

// nextCall returns the next call to a broker whose process should keep running with its current start settings.
func (c *Controller) nextCall(now clock.Micros) (Action, clock.Micros) {
	if c.status.known() && now-c.status.observedAt > c.config.StatusTTL {
		c.status = brokerStatus{}
	}
	if c.Pending != nil && c.Pending.TargetEdition != c.Desired.TargetEdition {
		// A repeat would send other content under the same id. The next probe shows whether the broker applied the
		// command.
		c.Pending = nil
		c.status = brokerStatus{}
		c.calls.nextProbeAt = 0
	}
	if c.canRepeatPending() {
		if c.calls.failures > 0 && now < c.calls.nextProbeAt {
			return Action{}, c.calls.nextProbeAt
		}
		return c.ifBreakerAllows(now, Action{Kind: SendCommand, Command: c.Pending, Reason: "the command's outcome is unknown"})
	}
	if c.needsCommand(now) {
		action, wakeAt := c.ifBreakerAllows(now, Action{Kind: SendCommand, Reason: "it holds an older edition"})
		if action.Kind == SendCommand {
			c.Pending = c.newCommand()
			action.Command = c.Pending
		}
		return action, wakeAt
	}
	if now < c.calls.nextProbeAt {
		return Action{}, c.calls.nextProbeAt
	}
	return c.ifBreakerAllows(now, Action{Kind: Probe})
}

// ifBreakerAllows returns call if the circuit breaker allows it, and otherwise no action and the time to ask again.
func (c *Controller) ifBreakerAllows(now clock.Micros, call Action) (Action, clock.Micros) {
	if allowed, retryAt := c.calls.breaker.Allow(now); !allowed {
		return Action{}, retryAt
	}
	return call, now
}

func (c *Controller) canRepeatPending() bool {
	return c.Pending != nil && c.status.known() && c.Pending.Incarnation == c.status.incarnation
}

// needsCommand reports whether a recent status shows an edition older than the target edition, the broker has not
// rejected the target edition, and no command is pending or delayed.
func (c *Controller) needsCommand(now clock.Micros) bool {
	return c.Pending == nil &&
		c.status.known() &&
		now-c.status.observedAt <= c.config.HealthyProbeInterval &&
		c.status.appliedEdition < c.Desired.TargetEdition &&
		c.rejectedEdition != c.Desired.TargetEdition &&
		now >= c.calls.nextCommandAt
}

func (c *Controller) newCommand() *Command {
	return &Command{
		ID:            fmt.Sprintf("%s.%s.%d", c.status.incarnation, c.LaunchID, c.Desired.TargetEdition),
		Incarnation:   c.status.incarnation,
		BaseEdition:   c.status.appliedEdition,
		TargetEdition: c.Desired.TargetEdition,
	}
}
