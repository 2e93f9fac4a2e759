package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for what, invalidate := range map[string]func(*decision.Config){
		"no class":             func(c *decision.Config) { c.Classes = nil },
		"negative rate":        func(c *decision.Config) { c.Plans[0].UsualRate = -1 },
		"unknown kind":         func(c *decision.Config) { c.Classes[1].Idempotency = 9 },
		"no latency objective": func(c *decision.Config) { c.Classes[0].LatencyObjective = 0 },
		"negative time":        func(c *decision.Config) { c.OrderedKeyQuietPeriod = -1 },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		if _, err := New(cfg); err == nil {
			t.Errorf("%s: no error", what)
		}
	}
}

// A process that stalled for 1.5 s learns nothing of the node from that batch, counts the objective of what came
// meanwhile from its arrival, and rejects at once what is too late.
func TestStalledProcessLearnsNothingFromTheBatch(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.scheduler.nodes.byName["a"]
	n.latency, n.depth = 0.05, 4
	r.step(r.arrive(1, 0, 0, "x", "", 1))
	tooLate, late := r.arrive(2, 0, 0, "x", "p", 1), r.arrive(3, 0, 0, "x", "q", 1)
	late.Arrival.Deadline += 1200 * ms // arrived 1.2 s into the stall
	acts := r.after(1500*ms, answered(1, "a", decision.Served), tooLate, late)
	if n.latency != 0.05 || n.depth != 4 {
		t.Errorf("learned latency %v and depth %v from its own stall", n.latency, n.depth)
	}
	want(t, "rejected at once", of(acts, decision.Shed), 2)
	want(t, "sent", of(acts, decision.Forward), 3)
	if q := r.scheduler.requests.open[3]; q.objectiveAt != r.now+700*ms {
		t.Errorf("the objective ends %v from now, want 700 ms", q.objectiveAt-r.now)
	}
}

func TestShortDeadlineIsNotTakenForARetry(t *testing.T) {
	r := newRig(t, testConfig())
	ev := r.arrive(1, 0, 0, "x", "k", 1)
	ev.Arrival.Deadline = r.now + 600*ms // the class's deadline is 4 s, its objective 1 s
	want(t, "sent", of(r.step(ev), decision.Forward), 1)
}

// Each of 10,000 arrivals in one batch is sent or answered in time.
func TestTenThousandArrivalsInOneBatch(t *testing.T) {
	r := newRig(t, testConfig(), fleetStartedAt(10, 0)...)
	var evs []decision.Event
	for id := uint64(1); id <= 10000; id++ {
		a := r.arrive(id, 0, int(id%2), fmt.Sprint("v", id%50), "", 1)
		a.Arrival.Shard = int(id % 10)
		evs = append(evs, a)
	}
	acts := r.step(evs...)
	open := 10000 - len(of(acts, decision.Shed))
	for i := 0; i < 20; i++ {
		acts = r.after(100 * ms)
		open -= len(of(acts, decision.Shed))
	}
	if out := len(r.scheduler.requests.open); open != out || len(r.scheduler.requests.queueExpiry) > 0 {
		t.Fatalf("%d neither answered nor in flight, %d still queued", open-out, len(r.scheduler.requests.queueExpiry))
	}
}

// The clock jumps by seconds with requests queued and in flight: all end, and none is sent after its deadline.
func TestClockJumpsEndEveryRequest(t *testing.T) {
	r := newRig(t, testConfig())
	rng := rand.New(rand.NewPCG(3, 3))
	for id := uint64(1); id <= 400; id++ {
		jump := time.Duration(rng.IntN(30)) * ms
		if id%20 == 0 {
			jump = time.Duration(rng.IntN(6000)) * ms
		}
		acts := r.after(jump, r.arrive(id, int(id%3), 0, "x", fmt.Sprint(id%4), 1))
		for ; len(acts) > 0; acts = acts[1:] {
			a := acts[0]
			if a.Kind != decision.Forward {
				continue
			}
			if r.now >= r.scheduler.requests.open[a.ID].arrival.Deadline {
				t.Fatalf("request %d is sent after its deadline", a.ID)
			}
			ev := answered(a.ID, "a", decision.Served)
			if ev.Attempt = r.scheduler.requests.open[a.ID].attempts - 1; rng.IntN(3) == 0 {
				ev.Outcome, ev.Final = decision.TimedOut, false
			}
			acts = append(acts, r.step(ev)...)
		}
	}
	for i := 0; i < 100; i++ {
		for acts := r.after(50 * ms); len(acts) > 0; acts = acts[1:] {
			if a := acts[0]; a.Kind == decision.Forward {
				ev := answered(a.ID, "a", decision.Served)
				ev.Attempt = r.scheduler.requests.open[a.ID].attempts - 1
				acts = append(acts, r.step(ev)...)
			}
		}
	}
	if len(r.scheduler.requests.open) > 0 {
		t.Fatalf("%d requests left", len(r.scheduler.requests.open))
	}
}
