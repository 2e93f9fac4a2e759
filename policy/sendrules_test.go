package policy

import (
	"math"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

func TestBatchIsAppliedBeforeAnySend(t *testing.T) {
	r := newRig(t, testConfig())
	r.scheduler.nodes.byName["a"].depth = 1
	r.step(r.arrive(1, 0, 0, "x", "", 1), r.arrive(2, 0, 0, "x", "", 1))
	acts := r.after(5*ms, answered(1, "a", decision.Served),
		endpointsChanged(decision.Endpoint{Node: "a", State: decision.Draining}))
	want(t, "sends to a draining node", of(acts, decision.Forward))
	want(t, "rejected, as its shard has no node", of(acts, decision.Shed), 2)
}

func TestNonIdempotentRequestFailsIfItMayHaveRun(t *testing.T) {
	for _, o := range []decision.Outcome{decision.NodeError, decision.TimedOut, decision.ConnectionLost, decision.Cancelled} {
		r := newRig(t, testConfig())
		r.step(r.arrive(1, 1, 0, "x", "", 1))
		acts := r.after(5*ms, answered(1, "a", o))
		want(t, "failed", of(acts, decision.Fail), 1)
		want(t, "rejected", of(acts, decision.Shed))
		want(t, "sent", of(acts, decision.Forward))
	}
}

func TestRateLimitIsDividedAmongBrokers(t *testing.T) {
	r := newRig(t, testConfig())
	sent := 0.0
	for i := uint64(1); i <= 400; i++ {
		ev := r.arrive(i, 0, 2, "v", "", 2)
		ev.Arrival.Brokers = 2
		for _, id := range of(r.after(10*ms, ev), decision.Forward) {
			sent += 2
			r.after(0, answered(id, "a", decision.Served))
		}
	}
	// 4 s at half of 10 units a second, plus this broker's part of the tolerance.
	if sent > 4*5+2 || sent < 4*5-4 {
		t.Fatalf("sent %v units in 4 s, want about 20", sent)
	}
}

func TestRateLimitBucketFillsFromStart(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.scheduler.nodes.byName["a"]
	n.depth = 16
	r.now += 2 * time.Second // 20 units, and the tolerance of 4
	sent := 0
	for _, id := range of(r.step(r.arrive(1, 0, 2, "v", "", 8), r.arrive(2, 0, 2, "v", "", 8), r.arrive(3, 0, 2, "v", "", 8),
		r.arrive(4, 0, 2, "v", "", 8)), decision.Forward) {
		sent += int(id)
	}
	if sent != 1+2+3 {
		t.Fatalf("sent requests of sum %d, want the first three of 8 units each", sent)
	}
}

// An attempt times out when its answer would be late and is not retried then, which keeps a node's queue short.
func TestAttemptTimesOutAtTheObjectiveAndIsNotRetried(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.scheduler.nodes.byName["a"]
	acts := r.step(r.arrive(1, 0, 0, "x", "", 1))
	if len(acts) == 0 || acts[0].Kind != decision.Forward || acts[0].After != time.Second {
		t.Fatalf("got %+v, want a send for the 1 s of the objective", acts)
	}
	for i := 0; i < 9; i++ {
		r.after(100 * ms)
	}
	acts = r.after(100*ms, outcomeOf(1, "a", decision.TimedOut))
	want(t, "rejected after its time-out", of(acts, decision.Shed), 1)
	want(t, "sent again", of(acts, decision.Forward))
	if !n.health.suspect || n.latency < 1 {
		t.Fatalf("suspect %v, latency %v after a time-out of 1 s", n.health.suspect, n.latency)
	}
	r.step(r.arrive(2, 0, 0, "x", "", 1))
	if r.after(ms, answered(2, "a", decision.Served)); n.health.suspect {
		t.Fatal("still suspect after an answer")
	}
}

// Eight brokers that each keep their part together keep the volume's rate limit, and each serves requests.
func TestBrokersTogetherKeepTheRateLimit(t *testing.T) {
	cfg := testConfig()
	cfg.Brokers = 40
	cfg.Plans[2].RateLimit, cfg.Plans[2].RateLimitBurst, cfg.Plans[2].RateLimitTolerance = 8, 128, 12.8
	var rigs []*rig
	for i := 0; i < 8; i++ {
		cfg.Seed = uint64(i)
		rigs = append(rigs, newRig(t, cfg))
	}
	level, at := cfg.Plans[2].RateLimitBurst, rigs[0].now
	served := make([]int, 8)
	for id := uint64(1); id < 8000; id++ {
		r := rigs[id%8]
		r.now += 40 * ms
		a := r.arrive(id, 0, 2, "v", "", float64(1+id%8))
		a.Arrival.Brokers = 8
		acts := r.after(0, a)
		for _, x := range of(acts, decision.Forward) {
			level = math.Min(cfg.Plans[2].RateLimitBurst, level+cfg.Plans[2].RateLimit*(r.now-at).Seconds()) - r.scheduler.requests.open[x].arrival.Units
			at = r.now
			if level < -cfg.Plans[2].RateLimitTolerance {
				t.Fatalf("the level of the rate limit is %v", level)
			}
			served[id%8]++
			r.step(answered(x, "a", decision.Served))
		}
	}
	for i, n := range served {
		if n < 5 { // 40 s of one unit a second, for requests of up to 8 units
			t.Errorf("broker %d had %d of its requests served in 40 s", i, n)
		}
	}
}
