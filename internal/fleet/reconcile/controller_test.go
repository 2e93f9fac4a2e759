package reconcile

import (
	"errors"
	"testing"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/retry"
	"poppyarch/internal/host/process"
	"poppyarch/internal/testkit/fixedseed"
	"poppyarch/internal/timing/clock"
)

func TestMain(m *testing.M) { fixedseed.RunTests(m) }

const (
	testPID  = 7
	testTime = clock.Micros(2000)
)

// newRunningController returns the controller of an instance whose process has just been started.
func newRunningController() *Controller {
	c := New("n", DefaultConfig(), retry.NewBudget(20, 0.1), func() float64 { return 0.5 })
	c.SetDesired(Desired{Run: true, StartDigest: "d", TargetEdition: 5})
	c.RecordStartIntent("launch", "d")
	c.RecordRunning(process.Identity{PID: testPID, StartTicks: 1, BootID: "m"}, 1000)
	return c
}

func brokerState(incarnation string, applied uint64) *control.State {
	return &control.State{Incarnation: incarnation, PID: testPID, StartDigest: "d", AppliedRevision: applied}
}

// nextCommand returns the command that Next returns at testTime. It fails the test for any other action.
func nextCommand(t *testing.T, c *Controller) *Command {
	t.Helper()
	action, _ := c.Next(testTime)
	if action.Kind != SendCommand {
		t.Fatalf("next action is %+v, want SendCommand", action)
	}
	return action.Command
}

func TestStateOfAnotherProcessIsIgnored(t *testing.T) {
	c := newRunningController()
	now := testTime
	c.RecordProbe(now, brokerState("b1", 0), true, nil)
	for _, other := range []*control.State{
		{Incarnation: "b9", PID: 99, StartDigest: "d", AppliedRevision: 5},
		{Incarnation: "b9", PID: testPID, StartDigest: "x", AppliedRevision: 5},
	} {
		c.RecordProbe(now, other, true, nil)
		if r := c.Report(now); r.Incarnation != "b1" || r.AppliedEdition != 0 {
			t.Fatalf("after a probe that returned the state of another process, %+v, the report is %+v", other, r)
		}
	}
}

func TestOutcomeOfSupersededCommandIsIgnored(t *testing.T) {
	c := newRunningController()
	now := testTime
	c.RecordProbe(now, brokerState("b1", 0), true, nil)
	superseded := *nextCommand(t, c)
	if superseded.Incarnation != "b1" || superseded.TargetEdition != 5 || superseded.BaseEdition != 0 {
		t.Fatalf("first command is %+v, want incarnation b1 from edition 0 to 5", superseded)
	}
	// The command is not repeated, since the same id would now carry another target edition.
	c.SetDesired(Desired{Run: true, StartDigest: "d", TargetEdition: 8})
	if action, _ := c.Next(now); action.Kind != Probe {
		t.Fatalf("next action is %+v, want Probe", action)
	}
	c.RecordProbe(now, brokerState("b1", 0), true, nil)
	if command := nextCommand(t, c); command.ID == superseded.ID || command.TargetEdition != 8 {
		t.Fatalf("second command is %+v, want a new id and target edition 8", command)
	}
	c.RecordOutcome(now, superseded.ID, &control.Outcome{Code: control.CodeApplied, Incarnation: "b1", AppliedRevision: 5}, nil)
	if r := c.Report(now); r.AppliedEdition != 0 || c.Pending == nil || c.Pending.TargetEdition != 8 {
		t.Fatalf("after the outcome of a superseded command: %+v, pending %+v", r, c.Pending)
	}
}

func TestPendingCommandIsDroppedWhenItsIncarnationEnds(t *testing.T) {
	c := newRunningController()
	c.SetDesired(Desired{Run: true, StartDigest: "d", TargetEdition: 8})
	now := testTime
	c.RecordProbe(now, brokerState("b1", 0), true, nil)
	nextCommand(t, c)
	c.RecordProbe(now, brokerState("b2", 0), true, nil)
	if c.Pending != nil || c.Report(now).Incarnation != "b2" {
		t.Fatalf("pending command is %+v, reported incarnation %q; want none and b2", c.Pending, c.Report(now).Incarnation)
	}
	command := nextCommand(t, c)
	if command.Incarnation != "b2" {
		t.Fatalf("command is %+v, want incarnation b2", command)
	}
	c.RecordOutcome(now, command.ID, &control.Outcome{Code: control.CodeApplied, Incarnation: "b2", AppliedRevision: 8}, nil)
	if r := c.Report(now); r.AppliedEdition != 8 || r.Incarnation != "b2" {
		t.Fatalf("report is %+v, want incarnation b2 with edition 8", r)
	}
}

func TestStatusExpires(t *testing.T) {
	c := newRunningController()
	now := testTime
	c.RecordProbe(now, brokerState("b2", 8), true, nil)
	if r := c.Report(now); r.AppliedEdition != 8 || r.Incarnation != "b2" || !r.Healthy {
		t.Fatalf("report is %+v, want the healthy incarnation b2 with edition 8", r)
	}
	if r := c.Report(now + DefaultConfig().StatusTTL + 1); r.Incarnation != "" || r.AppliedEdition != 0 || r.Healthy {
		t.Fatalf("report after the status TTL is %+v, want no broker status", r)
	}
}

func TestRejectedEditionIsNotSentAgainUntilTheTargetChanges(t *testing.T) {
	c := newRunningController()
	now := testTime
	c.RecordProbe(now, brokerState("b1", 0), true, nil)
	command := nextCommand(t, c)
	c.RecordOutcome(now, command.ID, &control.Outcome{Code: control.CodeRejected, Reason: "live.log: x", Incarnation: "b1"}, nil)
	for step := range 50 {
		now += 100_000
		if action, _ := c.Next(now); action.Kind == SendCommand {
			t.Fatalf("rejected edition was sent again at step %d", step)
		} else if action.Kind == Probe {
			c.RecordProbe(now, brokerState("b1", 0), true, nil)
		}
	}
	if r := c.Report(now); r.RejectedEdition != 5 {
		t.Fatalf("report is %+v, want rejected edition 5", r)
	}
	c.SetDesired(Desired{Run: true, StartDigest: "d", TargetEdition: 6})
	c.RecordProbe(now, brokerState("b1", 0), true, nil)
	if action, _ := c.Next(now); action.Kind != SendCommand || c.Report(now).RejectedEdition != 0 {
		t.Fatalf("next action is %+v, rejected edition %d; want SendCommand and 0", action, c.Report(now).RejectedEdition)
	}
}

// waitForProbe advances the time until Next returns a probe, or until end.
func waitForProbe(c *Controller, now, end clock.Micros) (probeAt clock.Micros, ok bool) {
	for now < end {
		action, wakeAt := c.Next(now)
		if action.Kind == Probe {
			return now, true
		}
		now = max(wakeAt, now+1000)
	}
	return now, false
}

func TestUnresponsiveBrokerIsProbedLessOftenUntilItRecovers(t *testing.T) {
	const minute = clock.Micros(60_000_000)
	c := newRunningController()
	now := testTime
	c.RecordProbe(now, brokerState("b1", 5), true, nil)
	probes := 0
	for end := now + minute; ; probes++ {
		probeAt, ok := waitForProbe(c, now, end)
		now = probeAt
		if !ok {
			break
		}
		c.RecordProbe(now, nil, false, errors.New("connection refused"))
	}
	if probes > 40 || probes < 5 {
		t.Errorf("%d probes in a minute of an unresponsive broker, want 5 to 40", probes)
	}
	recoveredAt := now
	now, ok := waitForProbe(c, now, now+minute)
	if !ok {
		t.Fatal("the broker was not probed within a minute of its recovery")
	}
	c.RecordProbe(now, brokerState("b1", 5), true, nil)
	if now-recoveredAt > DefaultConfig().Breaker.MaxOpen+1_000_000 || c.Report(now).Incarnation != "b1" {
		t.Errorf("probed %d µs after the recovery, and reported as %+v", now-recoveredAt, c.Report(now))
	}
}
