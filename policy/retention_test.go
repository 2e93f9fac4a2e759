package policy

import (
	"testing"

	"poppyarch/internal/broker/decision"
)

// A removed node is forgotten, but not while its slow start, a recent send or an attempt may still count.
func TestRemovedNodesAreForgottenWhenNothingCounts(t *testing.T) {
	r := newRig(t, testConfig(), decision.Endpoint{Node: "a"}, decision.Endpoint{Node: "b", Shard: 1})
	r.step(r.arrive(1, 0, 0, "v", "k", 2))
	r.step(endpointsChanged(decision.Endpoint{Node: "a", State: decision.Removed}, decision.Endpoint{Node: "b", Shard: 1, State: decision.Removed}))
	for range 600 {
		r.after(compensationPeriod)
	}
	if r.scheduler.nodes.byName["b"] == nil {
		t.Error("b is forgotten in its slow start")
	}
	for range 200 {
		r.after(compensationPeriod)
	}
	if r.scheduler.nodes.byName["b"] != nil || r.scheduler.nodes.byName["a"] == nil || len(r.scheduler.nodes.list) != 1 {
		t.Errorf("b known: %v; a, with an attempt in flight: %v", r.scheduler.nodes.byName["b"] != nil, r.scheduler.nodes.byName["a"] != nil)
	}
	r.after(compensationPeriod, finalOutcome(1, "a", decision.Served))
	r.after(compensationPeriod)
	if len(r.scheduler.nodes.byName)+len(r.scheduler.nodes.list) != 0 {
		t.Error("a is still known")
	}
}
