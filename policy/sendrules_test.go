package policy

import (
	"math"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

func TestBatchIsAppliedBeforeAnySend(t *testing.T) {
	h := newHarness(t, testConfig())
	h.scheduler.nodes.byName["a"].depth = 1
	h.step(h.arrival(1, 0, 0, "x", "", 1), h.arrival(2, 0, 0, "x", "", 1))
	acts := h.stepAfter(5*ms, attemptEnded(1, "a", decision.Served),
		endpointsChanged(decision.Endpoint{Node: "a", State: decision.Draining}))
	wantIDs(t, "sent to a draining node", requestIDs(acts, decision.Forward))
	wantIDs(t, "rejected, as no node of its shard accepts requests", requestIDs(acts, decision.Shed), 2)
}

func TestNonIdempotentRequestFailsIfItMayHaveRun(t *testing.T) {
	for _, o := range []decision.Outcome{decision.NodeError, decision.TimedOut, decision.ConnectionLost, decision.Cancelled} {
		h := newHarness(t, testConfig())
		h.step(h.arrival(1, 1, 0, "x", "", 1))
		acts := h.stepAfter(5*ms, attemptEnded(1, "a", o))
		wantIDs(t, "failed", requestIDs(acts, decision.Fail), 1)
		wantIDs(t, "rejected", requestIDs(acts, decision.Shed))
		wantIDs(t, "sent", requestIDs(acts, decision.Forward))
	}
}

func TestRateLimitIsDividedAmongBrokers(t *testing.T) {
	h := newHarness(t, testConfig())
	sent := 0.0
	for i := uint64(1); i <= 400; i++ {
		ev := h.arrival(i, 0, 2, "v", "", 2)
		ev.Arrival.Brokers = 2
		for _, id := range requestIDs(h.stepAfter(10*ms, ev), decision.Forward) {
			sent += 2
			h.stepAfter(0, attemptEnded(id, "a", decision.Served))
		}
	}
	// 4 s at half of 10 units per second, plus this broker's share of the tolerance.
	if sent > 4*5+2 || sent < 4*5-4 {
		t.Fatalf("sent %v units in 4 s, want about 20", sent)
	}
}

func TestRateLimitBucketFillsFromStart(t *testing.T) {
	h := newHarness(t, testConfig())
	n := h.scheduler.nodes.byName["a"]
	n.depth = 16
	h.now += 2 * time.Second // 20 units, and the tolerance of 4
	sent := 0
	for _, id := range requestIDs(h.step(h.arrival(1, 0, 2, "v", "", 8), h.arrival(2, 0, 2, "v", "", 8), h.arrival(3, 0, 2, "v", "", 8),
		h.arrival(4, 0, 2, "v", "", 8)), decision.Forward) {
		sent += int(id)
	}
	if sent != 1+2+3 {
		t.Fatalf("the ids of the sent requests sum up to %d, want 6 for the first three of 8 units each", sent)
	}
}

// An attempt times out at the latency objective and is then not retried, which keeps the node's queue short.
func TestAttemptTimesOutAtTheObjectiveAndIsNotRetried(t *testing.T) {
	h := newHarness(t, testConfig())
	n := h.scheduler.nodes.byName["a"]
	acts := h.step(h.arrival(1, 0, 0, "x", "", 1))
	if len(acts) == 0 || acts[0].Kind != decision.Forward || acts[0].After != time.Second {
		t.Fatalf("got %+v, want a send with a time-out of 1 s, the objective", acts)
	}
	for i := 0; i < 9; i++ {
		h.stepAfter(100 * ms)
	}
	acts = h.stepAfter(100*ms, nonFinalOutcome(1, "a", decision.TimedOut))
	wantIDs(t, "rejected after the time-out", requestIDs(acts, decision.Shed), 1)
	wantIDs(t, "sent again", requestIDs(acts, decision.Forward))
	if !n.health.suspect || n.latency < 1 {
		t.Fatalf("after a time-out of 1 s: suspect %v, latency %v s, want true and at least 1 s", n.health.suspect, n.latency)
	}
	h.step(h.arrival(2, 0, 0, "x", "", 1))
	if h.stepAfter(ms, attemptEnded(2, "a", decision.Served)); n.health.suspect {
		t.Fatal("still suspect after a served request")
	}
}

// Eight brokers that each keep to their share together keep to the volume's rate limit, and each serves requests.
func TestBrokersTogetherKeepTheRateLimit(t *testing.T) {
	cfg := testConfig()
	cfg.Brokers = 40
	cfg.Plans[2].RateLimit, cfg.Plans[2].RateLimitBurst, cfg.Plans[2].RateLimitTolerance = 8, 128, 12.8
	var brokers []*harness
	for i := 0; i < 8; i++ {
		cfg.Seed = uint64(i)
		brokers = append(brokers, newHarness(t, cfg))
	}
	level, at := cfg.Plans[2].RateLimitBurst, brokers[0].now
	served := make([]int, 8)
	for id := uint64(1); id < 8000; id++ {
		h := brokers[id%8]
		h.now += 40 * ms
		a := h.arrival(id, 0, 2, "v", "", float64(1+id%8))
		a.Arrival.Brokers = 8
		acts := h.stepAfter(0, a)
		for _, x := range requestIDs(acts, decision.Forward) {
			level = math.Min(cfg.Plans[2].RateLimitBurst, level+cfg.Plans[2].RateLimit*(h.now-at).Seconds()) - h.scheduler.requests.open[x].arrival.Units
			at = h.now
			if level < -cfg.Plans[2].RateLimitTolerance {
				t.Fatalf("the token bucket of the rate limit is at %v, below the tolerance of %v", level, -cfg.Plans[2].RateLimitTolerance)
			}
			served[id%8]++
			h.step(attemptEnded(x, "a", decision.Served))
		}
	}
	for i, n := range served {
		if n < 5 { // 40 s of one unit per second, for requests of up to 8 units
			t.Errorf("broker %d served %d requests in 40 s, want at least 5", i, n)
		}
	}
}
