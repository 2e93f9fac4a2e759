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

func TestMain(m *testing.M) { fixedseed.Main(m) }

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
	return &control.State{Boot: incarnation, PID: testPID, StartDigest: "d", AppliedRevision: applied}
}

// nextCommand returns the command that the controller gives out at testTime.
func nextCommand(t *testing.T, c *Controller) *Command {
	t.Helper()
	action, _ := c.Next(testTime)
	if action.Kind != SendCommand {
		t.Fatalf("the next action is %+v, want a command", action)
	}
	return action.Command
}

func TestStateOfAnotherProcessIsIgnored(t *testing.T) {
	c := newRunningController()
	now := testTime
	c.RecordProbe(now, brokerState("b1", 0), true, nil)
	for _, other := range []*control.State{
		{Boot: "b9", PID: 99, StartDigest: "d", AppliedRevision: 5},
		{Boot: "b9", PID: testPID, StartDigest: "x", AppliedRevision: 5},
	} {
		c.RecordProbe(now, other, true, nil)
		if r := c.Report(now); r.Incarnation != "b1" || r.AppliedEdition != 0 {
			t.Fatalf("after the state %+v of another process the report is %+v", other, r)
		}
	}
}

func TestOutcomeOfSupersededCommandIsIgnored(t *testing.T) {
	c := newRunningController()
	now := testTime
	c.RecordProbe(now, brokerState("b1", 0), true, nil)
	superseded := *nextCommand(t, c)
	if superseded.Incarnation != "b1" || superseded.TargetEdition != 5 || superseded.BaseEdition != 0 {
		t.Fatalf("%+v", superseded)
	}
	// The command is not repeated for another target edition, since its id has other content now.
	c.SetDesired(Desired{Run: true, StartDigest: "d", TargetEdition: 8})
	if action, _ := c.Next(now); action.Kind != Probe {
		t.Fatalf("%+v", action)
	}
	c.RecordProbe(now, brokerState("b1", 0), true, nil)
	if command := nextCommand(t, c); command.ID == superseded.ID || command.TargetEdition != 8 {
		t.Fatalf("%+v", command)
	}
	c.RecordOutcome(now, superseded.ID, &control.Outcome{Code: control.CodeApplied, Boot: "b1", AppliedRevision: 5}, nil)
	if r := c.Report(now); r.AppliedEdition != 0 || c.Pending == nil || c.Pending.TargetEdition != 8 {
		t.Fatalf("after the outcome of a superseded command: %+v, pending %+v", r, c.Pending)
	}
}

func TestCommandEndsWithItsIncarnation(t *testing.T) {
	c := newRunningController()
	c.SetDesired(Desired{Run: true, StartDigest: "d", TargetEdition: 8})
	now := testTime
	c.RecordProbe(now, brokerState("b1", 0), true, nil)
	nextCommand(t, c)
	c.RecordProbe(now, brokerState("b2", 0), true, nil)
	if c.Pending != nil || c.Report(now).Incarnation != "b2" {
		t.Fatalf("%+v", c.Pending)
	}
	command := nextCommand(t, c)
	if command.Incarnation != "b2" {
		t.Fatalf("%+v", command)
	}
	c.RecordOutcome(now, command.ID, &control.Outcome{Code: control.CodeApplied, Boot: "b2", AppliedRevision: 8}, nil)
	if r := c.Report(now); r.AppliedEdition != 8 || r.Incarnation != "b2" {
		t.Fatalf("%+v", r)
	}
}

func TestStatusExpires(t *testing.T) {
	c := newRunningController()
	now := testTime
	c.RecordProbe(now, brokerState("b2", 8), true, nil)
	if r := c.Report(now); r.AppliedEdition != 8 || r.Incarnation != "b2" || !r.Healthy {
		t.Fatalf("%+v", r)
	}
	if r := c.Report(now + DefaultConfig().StatusTTL + 1); r.Incarnation != "" || r.AppliedEdition != 0 || r.Healthy {
		t.Fatalf("%+v", r)
	}
}

func TestRejectedEditionIsNotSentAgainUntilTheTargetChanges(t *testing.T) {
	c := newRunningController()
	now := testTime
	c.RecordProbe(now, brokerState("b1", 0), true, nil)
	command := nextCommand(t, c)
	c.RecordOutcome(now, command.ID, &control.Outcome{Code: control.CodeRejected, Reason: "live.log: x", Boot: "b1"}, nil)
	for step := range 50 {
		now += 100_000
		if action, _ := c.Next(now); action.Kind == SendCommand {
			t.Fatalf("sent again at step %d", step)
		} else if action.Kind == Probe {
			c.RecordProbe(now, brokerState("b1", 0), true, nil)
		}
	}
	if r := c.Report(now); r.RejectedEdition != 5 {
		t.Fatalf("%+v", r)
	}
	c.SetDesired(Desired{Run: true, StartDigest: "d", TargetEdition: 6})
	c.RecordProbe(now, brokerState("b1", 0), true, nil)
	if action, _ := c.Next(now); action.Kind != SendCommand || c.Report(now).RejectedEdition != 0 {
		t.Fatalf("%+v", action)
	}
}

// waitForProbe moves the time on until the controller gives out a probe, or until end.
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

func TestBrokerWithoutAnswersIsProbedLessOftenAndFoundAgain(t *testing.T) {
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
		t.Errorf("%d probes in a minute without an answer", probes)
	}
	answersFrom := now
	now, ok := waitForProbe(c, now, now+minute)
	if !ok {
		t.Fatal("not probed for a minute")
	}
	c.RecordProbe(now, brokerState("b1", 5), true, nil)
	if now-answersFrom > DefaultConfig().Breaker.MaxOpen+1_000_000 || c.Report(now).Incarnation != "b1" {
		t.Errorf("found again after %d µs", now-answersFrom)
	}
}
