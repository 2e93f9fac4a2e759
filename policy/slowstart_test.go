package policy

import (
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

func TestNodeInSlowStartGetsThisBrokersShare(t *testing.T) {
	h := newHarness(t, testConfig(), decision.Endpoint{Node: "a", StartedAt: time.Hour + 2*time.Second})
	h.now += 2 * time.Second
	sent := 0
	for i := uint64(1); i <= 30; i++ {
		for _, id := range requestIDs(h.stepAfter(30*ms, h.arrival(i, 0, 0, "x", "", 1)), decision.Forward) {
			sent++
			h.stepAfter(0, attemptEnded(id, "a", decision.Served))
		}
	}
	if sent > 4 || sent == 0 {
		t.Fatalf("%d units sent in the first window, want 1 to 4 (half of 8)", sent)
	}
}

func TestBrokerYoungerThanTheWindowSendsNothingToANodeInSlowStart(t *testing.T) {
	h := newHarness(t, testConfig(), decision.Endpoint{Node: "a", StartedAt: time.Hour - time.Second})
	wantIDs(t, "sent", requestIDs(h.step(h.arrival(1, 0, 0, "x", "", 1)), decision.Forward))
}

// When sixty nodes restart at the same time, queued requests are sent, and no node gets more than its slow-start
// capacity.
func TestSixtyRestartedNodesAreNotOverloaded(t *testing.T) {
	cfg := testConfig()
	cfg.Brokers = 1
	h := newHarness(t, cfg, nodeListStartedAt(60, 0)...)
	h.stepAfter(3 * time.Second)
	h.step(decision.Event{Kind: decision.EndpointsReplaced, Endpoints: nodeListStartedAt(60, h.now)})
	units, sent := map[string]float64{}, 0
	var evs []decision.Event
	for id := uint64(1); id <= 600; id++ {
		a := h.arrival(id, 0, 0, "x", "", 2)
		a.Arrival.Shard = int(id % 60)
		evs = append(evs, a)
	}
	for i := 0; i < 10; i++ {
		for _, a := range h.stepAfter(90*ms, evs...) {
			if a.Kind == decision.Forward {
				sent++
				units[a.Node] += 2
				evs = append(evs[:0:0], attemptEnded(a.ID, a.Node, decision.Served))
				h.step(evs...)
			}
		}
		evs = nil
	}
	for n, u := range units {
		if u > cfg.SlowStartCapacityUnits {
			t.Errorf("%s got %v units in a window, its slow-start capacity is %v", n, u, cfg.SlowStartCapacityUnits)
		}
	}
	if sent < 60 {
		t.Errorf("only %d requests were sent to 60 nodes, want at least 60", sent)
	}
}
