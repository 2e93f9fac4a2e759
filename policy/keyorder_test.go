package policy

import (
	"testing"

	"poppyarch/internal/broker/decision"
)

func TestOrderedKeyWaitsForOutcomeAndQuietPeriod(t *testing.T) {
	h := newHarness(t, testConfig())
	h.scheduler.nodes.byName["a"].depth = 8
	acts := h.step(h.arrival(1, 2, 0, "x", "k", 1), h.arrival(2, 2, 0, "x", "k", 1), h.arrival(3, 0, 0, "x", "", 1))
	wantIDs(t, "sent: the first request on the key, and the request without a key", requestIDs(acts, decision.Forward), 1, 3)
	wantIDs(t, "sent after the client disconnected, with the attempt still in flight", requestIDs(h.stepAfter(20*ms, decision.Event{Kind: decision.ClientDisconnected, ID: 1}), decision.Forward))
	wantIDs(t, "sent at the start of the quiet period", requestIDs(h.stepAfter(20*ms, finalOutcome(1, "a", decision.TimedOut)), decision.Forward))
	wantIDs(t, "sent later in the quiet period", requestIDs(h.stepAfter(180*ms), decision.Forward))
	wantIDs(t, "sent after the quiet period", requestIDs(h.stepAfter(30*ms), decision.Forward), 2)
}
