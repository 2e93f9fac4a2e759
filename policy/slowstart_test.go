package policy

import (
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

func TestWarmingNodeGetsThisBrokersPart(t *testing.T) {
	r := newRig(t, testConfig(), decision.Endpoint{Node: "a", StartedAt: time.Hour + 2*time.Second})
	r.now += 2 * time.Second
	sent := 0
	for i := uint64(1); i <= 30; i++ {
		for _, id := range of(r.after(30*ms, r.arrive(i, 0, 0, "x", "", 1)), decision.Forward) {
			sent++
			r.after(0, answered(id, "a", decision.Served))
		}
	}
	if sent > 4 || sent == 0 {
		t.Fatalf("%d units in the first window, want 1 to 4 (half of 8)", sent)
	}
}

func TestBrokerYoungerThanTheWindowSendsNothingToAWarmingNode(t *testing.T) {
	r := newRig(t, testConfig(), decision.Endpoint{Node: "a", StartedAt: time.Hour - time.Second})
	want(t, "sends", of(r.step(r.arrive(1, 0, 0, "x", "", 1)), decision.Forward))
}

// Sixty nodes restart at once: queued requests are sent or answered, and no node gets more than a warming one
// can bear.
func TestSixtyRestartedNodesAreNotOverloaded(t *testing.T) {
	cfg := testConfig()
	cfg.Brokers = 1
	r := newRig(t, cfg, fleetStartedAt(60, 0)...)
	r.after(3 * time.Second)
	r.step(decision.Event{Kind: decision.EndpointsReplaced, Endpoints: fleetStartedAt(60, r.now)})
	units, sent := map[string]float64{}, 0
	var evs []decision.Event
	for id := uint64(1); id <= 600; id++ {
		a := r.arrive(id, 0, 0, "x", "", 2)
		a.Arrival.Shard = int(id % 60)
		evs = append(evs, a)
	}
	for i := 0; i < 10; i++ {
		for _, a := range r.after(90*ms, evs...) {
			if a.Kind == decision.Forward {
				sent++
				units[a.Node] += 2
				evs = append(evs[:0:0], answered(a.ID, a.Node, decision.Served))
				r.step(evs...)
			}
		}
		evs = nil
	}
	for n, u := range units {
		if u > cfg.SlowStartCapacityUnits {
			t.Errorf("%s got %v units in a window, bears %v", n, u, cfg.SlowStartCapacityUnits)
		}
	}
	if sent < 60 {
		t.Errorf("only %d sent to 60 nodes", sent)
	}
}
