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
		"unknown idempotency":  func(c *decision.Config) { c.Classes[1].Idempotency = 9 },
		"no latency objective": func(c *decision.Config) { c.Classes[0].LatencyObjective = 0 },
		"negative time":        func(c *decision.Config) { c.OrderedKeyQuietPeriod = -1 },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		if _, err := New(cfg); err == nil {
			t.Errorf("%s: New returned no error", what)
		}
	}
}

// After a stall of the process for 1.5 s, the next batch does not change the node's estimates, the objectives of
// requests that arrived during the stall start at their arrival, and requests that are too late are rejected.
func TestStallIsNotCountedAsLatencyOfTheNode(t *testing.T) {
	h := newHarness(t, testConfig())
	n := h.scheduler.nodes.byName["a"]
	n.latency, n.depth = 0.05, 4
	h.step(h.arrival(1, 0, 0, "x", "", 1))
	tooLate, late := h.arrival(2, 0, 0, "x", "p", 1), h.arrival(3, 0, 0, "x", "q", 1)
	late.Arrival.Deadline += 1200 * ms // arrived 1.2 s into the stall
	acts := h.stepAfter(1500*ms, attemptEnded(1, "a", decision.Served), tooLate, late)
	if n.latency != 0.05 || n.depth != 4 {
		t.Errorf("the stall changed the latency to %v and the depth to %v, want 0.05 and 4", n.latency, n.depth)
	}
	wantIDs(t, "rejected in the same step", requestIDs(acts, decision.Shed), 2)
	wantIDs(t, "sent", requestIDs(acts, decision.Forward), 3)
	if q := h.scheduler.requests.open[3]; q.objectiveAt != h.now+700*ms {
		t.Errorf("the objective ends in %v, want 700 ms", q.objectiveAt-h.now)
	}
}

func TestShortDeadlineDoesNotIndicateARetry(t *testing.T) {
	h := newHarness(t, testConfig())
	ev := h.arrival(1, 0, 0, "x", "k", 1)
	ev.Arrival.Deadline = h.now + 600*ms // the class's deadline is 4 s, its objective 1 s
	wantIDs(t, "sent", requestIDs(h.step(ev), decision.Forward), 1)
}

// Each of 10,000 requests that arrive in one batch is sent or rejected in time.
func TestTenThousandArrivalsInOneBatch(t *testing.T) {
	h := newHarness(t, testConfig(), nodeListStartedAt(10, 0)...)
	var evs []decision.Event
	for id := uint64(1); id <= 10000; id++ {
		a := h.arrival(id, 0, int(id%2), fmt.Sprint("v", id%50), "", 1)
		a.Arrival.Shard = int(id % 10)
		evs = append(evs, a)
	}
	acts := h.step(evs...)
	open := 10000 - len(requestIDs(acts, decision.Shed))
	for i := 0; i < 20; i++ {
		acts = h.stepAfter(100 * ms)
		open -= len(requestIDs(acts, decision.Shed))
	}
	if out := len(h.scheduler.requests.open); open != out || len(h.scheduler.requests.queueExpiry) > 0 {
		t.Fatalf("%d requests are neither answered nor in flight, %d are still queued", open-out, len(h.scheduler.requests.queueExpiry))
	}
}

// When the clock jumps by seconds while requests are queued and in flight, all requests end and none is sent after
// its deadline.
func TestEveryRequestEndsDespiteClockJumps(t *testing.T) {
	h := newHarness(t, testConfig())
	rng := rand.New(rand.NewPCG(3, 3))
	for id := uint64(1); id <= 400; id++ {
		jump := time.Duration(rng.IntN(30)) * ms
		if id%20 == 0 {
			jump = time.Duration(rng.IntN(6000)) * ms
		}
		acts := h.stepAfter(jump, h.arrival(id, int(id%3), 0, "x", fmt.Sprint(id%4), 1))
		for ; len(acts) > 0; acts = acts[1:] {
			a := acts[0]
			if a.Kind != decision.Forward {
				continue
			}
			if h.now >= h.scheduler.requests.open[a.ID].arrival.Deadline {
				t.Fatalf("request %d was sent after its deadline", a.ID)
			}
			ev := attemptEnded(a.ID, "a", decision.Served)
			if ev.Attempt = h.scheduler.requests.open[a.ID].attempts - 1; rng.IntN(3) == 0 {
				ev.Outcome, ev.Final = decision.TimedOut, false
			}
			acts = append(acts, h.step(ev)...)
		}
	}
	for i := 0; i < 100; i++ {
		for acts := h.stepAfter(50 * ms); len(acts) > 0; acts = acts[1:] {
			if a := acts[0]; a.Kind == decision.Forward {
				ev := attemptEnded(a.ID, "a", decision.Served)
				ev.Attempt = h.scheduler.requests.open[a.ID].attempts - 1
				acts = append(acts, h.step(ev)...)
			}
		}
	}
	if len(h.scheduler.requests.open) > 0 {
		t.Fatalf("%d requests are still open", len(h.scheduler.requests.open))
	}
}
