package policy

import (
	"fmt"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// An attempt that is lost with its connection times out although the node is not overloaded. Therefore the first
// time-out of a fast node counts only if the next attempt is slow or times out too. Until then at most one request
// is in flight.
func TestSingleTimeoutOfAFastNodeNeedsConfirmation(t *testing.T) {
	for _, x := range []struct {
		latency time.Duration
		outcome decision.Outcome
		counts  bool
	}{{50 * ms, decision.Served, false}, {400 * ms, decision.Served, true}, {time.Second, decision.TimedOut, true}} {
		h := newHarness(t, testConfig())
		n := h.scheduler.nodes.byName["a"]
		n.latency, n.depth = 0.05, 3
		h.step(h.arrival(1, 0, 0, "x", "", 1))
		for range 10 {
			h.stepAfter(100 * ms)
		}
		h.step(nonFinalOutcome(1, "a", decision.TimedOut))
		if !n.health.suspect || n.depth != 3 || n.latency != 0.05 {
			t.Fatalf("after the time-out: suspect %v, depth %v, latency %v, want true, 3 and 0.05", n.health.suspect, n.depth, n.latency)
		}
		acts := h.step(h.arrival(2, 0, 0, "x", "", 1), h.arrival(3, 0, 0, "x", "", 1))
		wantIDs(t, "sent before the next outcome", requestIDs(acts, decision.Forward), 2)
		for range x.latency / (50 * ms) {
			h.stepAfter(50 * ms)
		}
		h.step(decision.Event{Kind: decision.AttemptEnded, ID: 2, Node: "a", Outcome: x.outcome, Final: x.outcome == decision.Served})
		if counts := n.depth < 2; counts != x.counts || (n.latency > 0.1) != x.counts {
			t.Errorf("next outcome %d after %v: depth %v, latency %v", x.outcome, x.latency, n.depth, n.latency)
		}
	}
}

// Healthy nodes send malformed responses too. Only the attempt fails, and it may have been executed.
func TestMalformedResponseDoesNotCountAgainstTheNode(t *testing.T) {
	h := newHarness(t, testConfig())
	n := h.scheduler.nodes.byName["a"]
	depth := n.depth
	wantIDs(t, "sent", requestIDs(h.step(h.arrival(1, 0, 0, "v", "k", 2)), decision.Forward), 1)
	wantIDs(t, "idempotent request retried", requestIDs(h.stepAfter(20*ms, nonFinalOutcome(1, "a", decision.MalformedResponse)), decision.Forward), 1)
	h.stepAfter(20*ms, decision.Event{Kind: decision.AttemptEnded, ID: 1, Attempt: 1, Node: "a", Outcome: decision.Served, Final: true})
	h.step(h.arrival(2, 1, 0, "v", "k", 2))
	wantIDs(t, "request that is not idempotent failed", requestIDs(h.stepAfter(20*ms, nonFinalOutcome(2, "a", decision.MalformedResponse)), decision.Fail), 2)
	if _, inSlowStart := h.scheduler.slowStartSince(n); inSlowStart || n.health.suspect || n.pausedUntil > h.now || n.depth < depth {
		t.Errorf("slow start %v, suspect %v, depth %v, want false, false and at least %v", inSlowStart, n.health.suspect, n.depth, depth)
	}
}

// A lost connection alone does not indicate a restart. Consecutive failed connections do, and a connection fault
// after a time without responses does.
func TestConnectionFaultsThatIndicateARestart(t *testing.T) {
	for _, x := range []struct {
		outcomes    []decision.Outcome
		inSlowStart bool
	}{
		{[]decision.Outcome{decision.ConnectionLost, decision.ConnectionLost, decision.SendIncomplete, decision.SendIncomplete}, false},
		{[]decision.Outcome{decision.ConnectFailed, decision.Served, decision.ConnectFailed}, false},
		{[]decision.Outcome{decision.ConnectFailed, decision.ConnectFailed}, true},
		{[]decision.Outcome{decision.TimedOut, decision.TimedOut, decision.TimedOut, decision.ConnectionLost}, true},
		{[]decision.Outcome{decision.TimedOut, decision.TimedOut, decision.ConnectFailed}, true},
		{[]decision.Outcome{decision.TimedOut, decision.TimedOut, decision.TimedOut, decision.Served, decision.ConnectionLost}, false},
		{[]decision.Outcome{decision.Served, decision.TimedOut, decision.ConnectionLost}, false},
	} {
		h := newHarness(t, testConfig())
		n := h.scheduler.nodes.byName["a"]
		for id, o := range x.outcomes {
			for n.depth < 1 && len(requestIDs(h.stepAfter(compensationPeriod), decision.Forward)) == 0 {
				n.depth = 1 // no pause between sends
			}
			h.scheduler.overall.depth = 1
			wantIDs(t, "sent", requestIDs(h.step(h.arrival(uint64(id+1), 0, 0, "v", fmt.Sprint(id), 2)), decision.Forward), uint64(id+1))
			for range 4 {
				h.stepAfter(compensationPeriod)
			}
			h.step(finalOutcome(uint64(id+1), "a", o))
		}
		if _, inSlowStart := h.scheduler.slowStartSince(n); inSlowStart != x.inSlowStart || (n.pausedUntil > h.now) != x.inSlowStart {
			t.Errorf("outcomes %v: slow start %v, want %v; paused for %v", x.outcomes, inSlowStart, x.inSlowStart, n.pausedUntil-h.now)
		}
	}
}

// A node does not become suspect when an attempt with little time left times out.
func TestShortAttemptDoesNotMakeANodeSuspect(t *testing.T) {
	h := newHarness(t, testConfig())
	n := h.scheduler.nodes.byName["a"]
	h.step(h.arrival(1, 0, 0, "v", "k", 2))
	h.stepAfter(50*ms, finalOutcome(1, "a", decision.TimedOut))
	if n.health.suspect {
		t.Error("suspect after a time-out of 50 ms at an objective of 1 s")
	}
	h.step(h.arrival(2, 0, 0, "v", "k2", 2))
	for range 4 {
		h.stepAfter(compensationPeriod)
	}
	h.stepAfter(compensationPeriod, finalOutcome(2, "a", decision.TimedOut))
	if !n.health.suspect {
		t.Error("not suspect after a time-out of 500 ms")
	}
}

// A late or repeated outcome, of an attempt that is not in flight, has no effect.
func TestOutcomeOfAnotherAttemptIsIgnored(t *testing.T) {
	h := newHarness(t, testConfig())
	h.scheduler.nodes.byName["a"].depth = 8
	h.step(h.arrival(1, 0, 0, "x", "", 1))
	rejected := attemptEnded(1, "a", decision.Rejected)
	h.stepAfter(5*ms, rejected)
	wantIDs(t, "second attempt", requestIDs(h.stepAfter(30*ms), decision.Forward), 1)
	acts := h.stepAfter(5*ms, rejected)
	wantIDs(t, "sent after the repeated outcome", requestIDs(append(acts, h.stepAfter(30*ms)...), decision.Forward))
	if q := h.scheduler.requests.open[1]; !q.inFlight || q.attempts != 2 {
		t.Fatalf("in flight %v, attempts %d, want true and 2", q.inFlight, q.attempts)
	}
}

// The estimated latency of a request of mean size does not depend on the sizes of the measured requests. Requests
// of any size are still sent to a node where all attempts time out.
func TestMeanSizeLatencyDoesNotDependOnTheSizesSent(t *testing.T) {
	for _, units := range []float64{1, 2, 8} {
		h := newHarness(t, testConfig(), nodeList(1)...)
		n := h.scheduler.nodes.byName["n0"]
		trySend := func(id uint64, latency time.Duration, outcome decision.Outcome) bool {
			n.depth, h.scheduler.overall.depth = 1, 1
			ev := h.arrival(id, 0, 0, "v", fmt.Sprint(id), units)
			ev.Arrival.Shard = 0
			h.scheduler.volumeOf(&ev.Arrival).reserveCredit = 100
			if len(requestIDs(h.step(ev), decision.Forward)) == 0 {
				return false
			}
			h.advance(latency)
			h.step(attemptEnded(id, "n0", outcome))
			return true
		}
		id := uint64(0)
		for range 60 {
			if id++; !trySend(id, time.Duration(units*float64(50*ms)), decision.Served) {
				t.Fatalf("requests of %v units are not sent to a fast node", units)
			}
		}
		if n.meanSizeLatency < 0.095 || n.meanSizeLatency > 0.105 {
			t.Errorf("requests of %v units, 50 ms per unit: estimated latency at mean size %.3f s, want 0.1 s", units, n.meanSizeLatency)
		}
		sent := 0
		for range 200 {
			if id++; trySend(id, time.Second, decision.TimedOut) {
				sent++
			}
			n.health.suspect = false
			h.advance(5 * time.Second) // until the client stops retrying and pauses have ended
		}
		if sent < 190 {
			t.Errorf("%v units: %d of 200 requests were sent to a node where all time out, want at least 190", units, sent)
		}
	}
}

// The time-out of a small request is due to queueing. If the estimate scaled it by size, larger requests would never
// be sent to the node again.
func TestTimeoutOfASmallRequestIsNotScaledToMeanSize(t *testing.T) {
	h := newHarness(t, testConfig(), nodeList(1)...)
	n := h.scheduler.nodes.byName["n0"]
	for id := uint64(1); id <= 60; id++ {
		units := 1.0
		if id == 60 {
			units = 2
		}
		n.depth, n.health.suspect, h.scheduler.overall.depth = 1, false, 1
		ev := h.arrival(id, 0, 0, "v", fmt.Sprint(id), units)
		ev.Arrival.Shard = 0
		h.scheduler.volumeOf(&ev.Arrival).reserveCredit = 100
		if len(requestIDs(h.step(ev), decision.Forward)) == 0 {
			t.Fatalf("request %d of %v units was rejected; estimated latency at mean size %.2f s", id, units, n.meanSizeLatency)
		}
		h.advance(time.Second)
		h.step(attemptEnded(id, "n0", decision.TimedOut))
		h.advance(100 * ms)
	}
}

// The duration of a response that is streamed to a slow client is not a latency of the node.
func TestStreamedResponseDoesNotCountAsLatency(t *testing.T) {
	h := newHarness(t, testConfig(), nodeList(1)...)
	ev := h.arrival(1, 0, 0, "v", "k", 1)
	ev.Arrival.Shard = 0
	if len(requestIDs(h.step(ev), decision.Forward)) != 1 {
		t.Fatal("the request was not sent")
	}
	h.step(decision.Event{Kind: decision.ResponseStarted, ID: 1})
	h.advance(3 * time.Second)
	h.step(attemptEnded(1, "n0", decision.Served))
	if n := h.scheduler.nodes.byName["n0"]; n.depth < initialDepth || n.latency > 0.1 {
		t.Errorf("depth %v, latency %v s, want at least %v and at most 0.1 s", n.depth, n.latency, initialDepth)
	}
	if requests := h.scheduler.OpenRequests(); requests > 0 {
		t.Errorf("%d requests are still open or have attempts in flight", requests)
	}
}
