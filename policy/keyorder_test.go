package policy

import (
	"testing"

	"poppyarch/internal/broker/decision"
)

func TestOrderedKeyWaitsForOutcomeAndQuietPeriod(t *testing.T) {
	r := newRig(t, testConfig())
	r.scheduler.nodes.byName["a"].depth = 8
	acts := r.step(r.arrive(1, 2, 0, "x", "k", 1), r.arrive(2, 2, 0, "x", "k", 1), r.arrive(3, 0, 0, "x", "", 1))
	want(t, "the key's first and the request without a key", of(acts, decision.Forward), 1, 3)
	want(t, "the client left, the outcome is unknown", of(r.after(20*ms, decision.Event{Kind: decision.ClientDisconnected, ID: 1}), decision.Forward))
	want(t, "in the quiet period", of(r.after(20*ms, finalOutcome(1, "a", decision.TimedOut)), decision.Forward))
	want(t, "still in the quiet period", of(r.after(180*ms), decision.Forward))
	want(t, "after the quiet period", of(r.after(30*ms), decision.Forward), 2)
}
