package reconcile

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/retry"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/host/process"
	"poppyarch/internal/testkit/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func mind() *Controller {
	m := New("n", DefaultConfig(), retry.NewBudget(20, 0.1), func() float64 { return 0.5 })
	m.SetDesired(Desired{Run: true, StartDigest: "d", TargetEdition: 5})
	m.RecordStartIntent("mark", "d")
	m.RecordRunning(process.Identity{PID: 7, StartTicks: 1, BootID: "m"}, 1000)
	return m
}

func state1(boot string, applied uint64) *control.State {
	return &control.State{Boot: boot, PID: 7, StartDigest: "d", AppliedRevision: applied}
}

// An answer to an older command, to another process's, or from another boot changes nothing that is reported.
func TestOldAnswersAreNotBelieved(t *testing.T) {
	m := mind()
	now := int64(2000)
	m.RecordProbe(now, state1("b1", 0), true, nil)
	a, _ := m.Next(now)
	if a.Kind != SendCommand || a.Command.Incarnation != "b1" || a.Command.TargetEdition != 5 || a.Command.BaseEdition != 0 {
		t.Fatalf("%+v", a)
	}
	old := *a.Command
	// Another process answers at the address: it is not this one's word.
	m.RecordProbe(now, &control.State{Boot: "b9", PID: 99, StartDigest: "d", AppliedRevision: 5}, true, nil)
	m.RecordProbe(now, &control.State{Boot: "b9", PID: 7, StartDigest: "x", AppliedRevision: 5}, true, nil)
	if r := m.Report(now); r.Incarnation != "b1" || r.AppliedEdition != 0 {
		t.Fatalf("another process's word: %+v", r)
	}
	// What is wanted moves on while the answer is out: the old command is not asked again, since its id has another content now.
	m.SetDesired(Desired{Run: true, StartDigest: "d", TargetEdition: 8})
	if a, _ := m.Next(now); a.Kind != Probe {
		t.Fatalf("%+v", a)
	}
	m.RecordProbe(now, state1("b1", 0), true, nil)
	a, _ = m.Next(now)
	if a.Kind != SendCommand || a.Command.ID == old.ID || a.Command.TargetEdition != 8 {
		t.Fatalf("%+v", a)
	}
	// Now the old answer comes, after the newer command: it must not count as that one's.
	m.RecordOutcome(now, old.ID, &control.Outcome{Code: control.CodeApplied, Boot: "b1", AppliedRevision: 5}, nil)
	if r := m.Report(now); r.AppliedEdition != 0 || m.Pending == nil || m.Pending.TargetEdition != 8 {
		t.Fatalf("an old answer: %+v, pending %+v", r, m.Pending)
	}
	// The broker is back with another boot at the same address: the command meant for the old one is gone.
	m.RecordProbe(now, state1("b2", 0), true, nil)
	if m.Pending != nil || m.Report(now).Incarnation != "b2" {
		t.Fatalf("%+v", m.Pending)
	}
	a, _ = m.Next(now)
	if a.Kind != SendCommand || a.Command.Incarnation != "b2" {
		t.Fatalf("%+v", a)
	}
	m.RecordOutcome(now, a.Command.ID, &control.Outcome{Code: control.CodeApplied, Boot: "b2", AppliedRevision: 8}, nil)
	if r := m.Report(now); r.AppliedEdition != 8 || r.Incarnation != "b2" {
		t.Fatalf("%+v", r)
	}
	// A boot that says nothing for too long is not reported any more.
	if r := m.Report(now + DefaultConfig().StatusTTL + 1); r.Incarnation != "" || r.AppliedEdition != 0 || r.Healthy {
		t.Fatalf("%+v", r)
	}
}

// A broker that turns a change down is not asked the same again and again; a new target is another matter.
func TestRefusedOnce(t *testing.T) {
	m := mind()
	now := int64(2000)
	m.RecordProbe(now, state1("b1", 0), true, nil)
	a, _ := m.Next(now)
	m.RecordOutcome(now, a.Command.ID, &control.Outcome{Code: control.CodeRejected, Reason: "live.log: x", Boot: "b1"}, nil)
	for k := range int64(50) {
		now += 100_000
		if a, _ := m.Next(now); a.Kind == SendCommand {
			t.Fatalf("asked again at step %d", k)
		} else if a.Kind == Probe {
			m.RecordProbe(now, state1("b1", 0), true, nil)
		}
	}
	if r := m.Report(now); r.RejectedEdition != 5 {
		t.Fatalf("%+v", r)
	}
	m.SetDesired(Desired{Run: true, StartDigest: "d", TargetEdition: 6})
	m.RecordProbe(now, state1("b1", 0), true, nil)
	if a, _ := m.Next(now); a.Kind != SendCommand || m.Report(now).RejectedEdition != 0 {
		t.Fatalf("%+v", a)
	}
}

// A broker that has answered and then falls deaf is asked less and less often, and again soon after it is back.
func TestDeafBrokerIsLeftAlone(t *testing.T) {
	m := mind()
	now := int64(2000)
	m.RecordProbe(now, state1("b1", 5), true, nil)
	calls := 0
	for end := now + 60_000_000; now < end; {
		a, wake := m.Next(now)
		if a.Kind == Probe {
			calls++
			m.RecordProbe(now, nil, false, errors.New("connection refused"))
			continue
		}
		now = max(wake, now+1000)
	}
	if calls > 40 || calls < 5 {
		t.Errorf("%d calls in a minute of silence", calls)
	}
	last := now
	for {
		a, wake := m.Next(now)
		if a.Kind == Probe {
			m.RecordProbe(now, state1("b1", 5), true, nil)
			break
		}
		now = max(wake, now+1000)
	}
	if now-last > DefaultConfig().MaxBreakerOpen+1_000_000 || m.Report(now).Incarnation != "b1" {
		t.Errorf("found again after %d µs", now-last)
	}
}

// Whatever happens in whatever order: no start while a process may run, none in the midst of a drain, no command but to the boot that was
// looked at last, and no report of what that boot has not said.
func TestOrderOfThings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New("n", DefaultConfig(), retry.NewBudget(5, 0.1), func() float64 { return rapid.Float64Range(0, 1).Draw(t, "rnd") })
		now := int64(1)
		running, draining := false, false
		boot, applied := 0, uint64(0)
		pid := 100
		ids := map[string]uint64{}
		var lastLook string
		start := func() {
			if running {
				t.Fatal("started while it runs")
			}
			running, draining = true, false
			pid++
			boot++
			applied = 0
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Int64Range(0, 2_000_000).Draw(t, "time")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				m.SetDesired(Desired{Run: rapid.IntRange(0, 4).Draw(t, "run") > 0, StartDigest: rapid.SampledFrom([]string{"d", "e"}).Draw(t, "digest"),
					TargetEdition: m.Desired.TargetEdition + uint64(rapid.IntRange(0, 2).Draw(t, "target"))})
				continue
			case 1:
				if running {
					running = false
					m.RecordExit(now, "killed")
				}
				continue
			}
			a, _ := m.Next(now)
			switch a.Kind {
			case StartProcess:
				m.RecordStartIntent("mark", m.Desired.StartDigest)
				if rapid.IntRange(0, 5).Draw(t, "fails") == 0 {
					m.RecordStartFailure(now, errors.New("no"))
					continue
				}
				start()
				m.RecordRunning(process.Identity{PID: pid}, now)
			case Terminate:
				if !running || draining {
					t.Fatalf("told to drain: runs %v, drains %v", running, draining)
				}
				draining = true
			case Kill:
				if !draining {
					t.Fatal("killed without having been asked to drain")
				}
				running = false
				m.RecordExit(now, "killed")
			case Probe:
				if !running {
					t.Fatal("looked at nothing")
				}
				if rapid.IntRange(0, 3).Draw(t, "deaf") == 0 {
					m.RecordProbe(now, nil, false, errors.New("time-out"))
					continue
				}
				lastLook = "b" + string(rune('0'+boot%10)) + string(rune('0'+boot/10))
				m.RecordProbe(now, &control.State{Boot: lastLook, PID: pid, StartDigest: m.StartDigest, AppliedRevision: applied}, true, nil)
			case SendCommand:
				if a.Command.Incarnation != lastLook || draining {
					t.Fatalf("a command to %s, looked at %s", a.Command.Incarnation, lastLook)
				}
				if was, ok := ids[a.Command.ID]; ok && was != a.Command.TargetEdition {
					t.Fatal("one id, two targets")
				}
				ids[a.Command.ID] = a.Command.TargetEdition
				switch rapid.IntRange(0, 3).Draw(t, "answer") {
				case 0:
					m.RecordOutcome(now, a.Command.ID, nil, errors.New("lost"))
				case 1: // taken, but the answer is lost
					if a.Command.BaseEdition == applied {
						applied = a.Command.TargetEdition
					}
					m.RecordOutcome(now, a.Command.ID, nil, errors.New("lost"))
				default:
					o := &control.Outcome{Code: control.CodeApplied, Boot: a.Command.Incarnation}
					if a.Command.BaseEdition == applied {
						applied = a.Command.TargetEdition
					} else if applied != a.Command.TargetEdition {
						o.Code = control.CodeStaleBase
					}
					o.AppliedRevision = applied
					m.RecordOutcome(now, a.Command.ID, o, nil)
				}
			}
			if r := m.Report(now); r.AppliedEdition > applied || r.Incarnation != "" && !running || r.Process == state.Running && !running {
				t.Fatalf("reported %+v, applied %d, runs %v", r, applied, running)
			}
		}
	})
}
