package policy

import (
	"testing"

	"poppyarch/internal/broker/decision"
)

// The state of a removed node is deleted, but not while its slow start, a recent send or an attempt may matter.
func TestRemovedNodesAreDeletedOnceTheirStateIsObsolete(t *testing.T) {
	h := newHarness(t, testConfig(), decision.Endpoint{Node: "a"}, decision.Endpoint{Node: "b", Shard: 1})
	h.step(h.arrival(1, 0, 0, "v", "k", 2))
	h.step(endpointsChanged(decision.Endpoint{Node: "a", State: decision.Removed}, decision.Endpoint{Node: "b", Shard: 1, State: decision.Removed}))
	for range 600 {
		h.stepAfter(compensationPeriod)
	}
	if h.scheduler.nodes.byName["b"] == nil {
		t.Error("b was deleted while a slow start was possible")
	}
	for range 200 {
		h.stepAfter(compensationPeriod)
	}
	if h.scheduler.nodes.byName["b"] != nil || h.scheduler.nodes.byName["a"] == nil || len(h.scheduler.nodes.list) != 1 {
		t.Errorf("kept b: %v, want false; kept a, which has an attempt in flight: %v, want true", h.scheduler.nodes.byName["b"] != nil, h.scheduler.nodes.byName["a"] != nil)
	}
	h.stepAfter(compensationPeriod, finalOutcome(1, "a", decision.Served))
	h.stepAfter(compensationPeriod)
	if len(h.scheduler.nodes.byName)+len(h.scheduler.nodes.list) != 0 {
		t.Error("a was not deleted after its attempt ended")
	}
}
