package policy

import (
	"fmt"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// A lost connection takes its attempt along and says nothing of the load. So the first time-out of a fast node
// counts only if the next answer is slow too or does not come; until then at most one request is in flight.
func TestSingleTimeoutOfAFastNodeNeedsConfirmation(t *testing.T) {
	for _, x := range []struct {
		latency time.Duration
		outcome decision.Outcome
		counts  bool
	}{{50 * ms, decision.Served, false}, {400 * ms, decision.Served, true}, {time.Second, decision.TimedOut, true}} {
		r := newRig(t, testConfig())
		n := r.scheduler.nodes.byName["a"]
		n.latency, n.depth = 0.05, 3
		r.step(r.arrive(1, 0, 0, "x", "", 1))
		for range 10 {
			r.after(100 * ms)
		}
		r.step(outcomeOf(1, "a", decision.TimedOut))
		if !n.health.suspect || n.depth != 3 || n.latency != 0.05 {
			t.Fatalf("suspect %v, depth %v, latency %v right after the time-out", n.health.suspect, n.depth, n.latency)
		}
		acts := r.step(r.arrive(2, 0, 0, "x", "", 1), r.arrive(3, 0, 0, "x", "", 1))
		want(t, "sent before the next answer", of(acts, decision.Forward), 2)
		for range x.latency / (50 * ms) {
			r.after(50 * ms)
		}
		r.step(decision.Event{Kind: decision.AttemptEnded, ID: 2, Node: "a", Outcome: x.outcome, Final: x.outcome == decision.Served})
		if counts := n.depth < 2; counts != x.counts || (n.latency > 0.1) != x.counts {
			t.Errorf("next answer %d after %v: depth %v, latency %v", x.outcome, x.latency, n.depth, n.latency)
		}
	}
}

// A malformed response comes from good nodes too: only the attempt fails, and it may have run.
func TestMalformedResponseDoesNotCountAgainstTheNode(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.scheduler.nodes.byName["a"]
	depth := n.depth
	want(t, "sends", of(r.step(r.arrive(1, 0, 0, "v", "k", 2)), decision.Forward), 1)
	want(t, "a safe one goes again", of(r.after(20*ms, outcomeOf(1, "a", decision.MalformedResponse)), decision.Forward), 1)
	r.after(20*ms, decision.Event{Kind: decision.AttemptEnded, ID: 1, Attempt: 1, Node: "a", Outcome: decision.Served, Final: true})
	r.step(r.arrive(2, 1, 0, "v", "k", 2))
	want(t, "an unsafe one fails", of(r.after(20*ms, outcomeOf(2, "a", decision.MalformedResponse)), decision.Fail), 2)
	if _, warming := r.scheduler.slowStartSince(n); warming || n.health.suspect || n.pausedUntil > r.now || n.depth < depth {
		t.Errorf("warming %v, suspect %v, depth %v, was %v", warming, n.health.suspect, n.depth, depth)
	}
}

// A lost connection is no restart by itself. Failed connections in a row, or one lost after a silence, are.
func TestSignsOfARestart(t *testing.T) {
	for _, x := range []struct {
		outcomes []decision.Outcome
		warming  bool
	}{
		{[]decision.Outcome{decision.ConnectionLost, decision.ConnectionLost, decision.SendIncomplete, decision.SendIncomplete}, false},
		{[]decision.Outcome{decision.ConnectFailed, decision.Served, decision.ConnectFailed}, false},
		{[]decision.Outcome{decision.ConnectFailed, decision.ConnectFailed}, true},
		{[]decision.Outcome{decision.TimedOut, decision.TimedOut, decision.TimedOut, decision.ConnectionLost}, true},
		{[]decision.Outcome{decision.TimedOut, decision.TimedOut, decision.ConnectFailed}, true},
		{[]decision.Outcome{decision.TimedOut, decision.TimedOut, decision.TimedOut, decision.Served, decision.ConnectionLost}, false},
		{[]decision.Outcome{decision.Served, decision.TimedOut, decision.ConnectionLost}, false},
	} {
		r := newRig(t, testConfig())
		n := r.scheduler.nodes.byName["a"]
		for id, o := range x.outcomes {
			for n.depth < 1 && len(of(r.after(compensationPeriod), decision.Forward)) == 0 {
				n.depth = 1 // no pause between sends
			}
			r.scheduler.fleet.depth = 1
			want(t, "sends", of(r.step(r.arrive(uint64(id+1), 0, 0, "v", fmt.Sprint(id), 2)), decision.Forward), uint64(id+1))
			for range 4 {
				r.after(compensationPeriod)
			}
			r.step(finalOutcome(uint64(id+1), "a", o))
		}
		if _, warming := r.scheduler.slowStartSince(n); warming != x.warming || (n.pausedUntil > r.now) != x.warming {
			t.Errorf("%v: warming %v, nothing sent for %v", x.outcomes, warming, n.pausedUntil-r.now)
		}
	}
}

// An attempt with little time left that times out does not make its node suspect.
func TestShortAttemptDoesNotMakeANodeSuspect(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.scheduler.nodes.byName["a"]
	r.step(r.arrive(1, 0, 0, "v", "k", 2))
	r.after(50*ms, finalOutcome(1, "a", decision.TimedOut))
	if n.health.suspect {
		t.Error("suspect after 50 ms of an objective of a second")
	}
	r.step(r.arrive(2, 0, 0, "v", "k2", 2))
	for range 4 {
		r.after(compensationPeriod)
	}
	r.after(compensationPeriod, finalOutcome(2, "a", decision.TimedOut))
	if !n.health.suspect {
		t.Error("not suspect after 500 ms of silence")
	}
}

// An outcome of an attempt that is not in flight, late or repeated, changes nothing.
func TestOutcomeOfAnotherAttemptIsIgnored(t *testing.T) {
	r := newRig(t, testConfig())
	r.scheduler.nodes.byName["a"].depth = 8
	r.step(r.arrive(1, 0, 0, "x", "", 1))
	full := answered(1, "a", decision.Rejected)
	r.after(5*ms, full)
	want(t, "second try", of(r.after(30*ms), decision.Forward), 1)
	acts := r.after(5*ms, full)
	want(t, "sent on the repeated outcome", of(append(acts, r.after(30*ms)...), decision.Forward))
	if q := r.scheduler.requests.open[1]; !q.inFlight || q.attempts != 2 {
		t.Fatalf("in flight %v, attempts %d, want true and 2", q.inFlight, q.attempts)
	}
}

// The latency of a request of mean size is learnt from large and small ones alike. At nodes where everything
// times out some requests are still tried, whatever their size.
func TestMeanSizeLatencyDoesNotDependOnTheSizesSent(t *testing.T) {
	for _, units := range []float64{1, 2, 8} {
		r := newRig(t, testConfig(), fleetOf(1)...)
		n := r.scheduler.nodes.byName["n0"]
		try := func(id uint64, took time.Duration, out decision.Outcome) bool {
			n.depth, r.scheduler.fleet.depth = 1, 1
			ev := r.arrive(id, 0, 0, "v", fmt.Sprint(id), units)
			ev.Arrival.Shard = 0
			r.scheduler.volumeOf(&ev.Arrival).reserveCredit = 100
			if len(of(r.step(ev), decision.Forward)) == 0 {
				return false
			}
			r.pass(took)
			r.step(answered(id, "n0", out))
			return true
		}
		id := uint64(0)
		for range 60 {
			if id++; !try(id, time.Duration(units*float64(50*ms)), decision.Served) {
				t.Fatalf("%v units: nothing goes to a quick node", units)
			}
		}
		if n.meanSizeLatency < 0.095 || n.meanSizeLatency > 0.105 {
			t.Errorf("%v units, 50 ms each: a mean request is expected to take %.3f s", units, n.meanSizeLatency)
		}
		sent := 0
		for range 200 {
			if id++; try(id, time.Second, decision.TimedOut) {
				sent++
			}
			n.health.suspect = false
			r.pass(5 * time.Second) // its client retries no more, and pauses are over
		}
		if sent < 190 {
			t.Errorf("%v units: %d of 200 were tried where all time out", units, sent)
		}
	}
}

// The time-out of a small request says something of the queue. Scaled by its size it would keep larger requests
// away for good.
func TestTimeoutOfASmallRequestDoesNotScaleWithItsSize(t *testing.T) {
	r := newRig(t, testConfig(), fleetOf(1)...)
	n := r.scheduler.nodes.byName["n0"]
	for id := uint64(1); id <= 60; id++ {
		units := 1.0
		if id == 60 {
			units = 2
		}
		n.depth, n.health.suspect, r.scheduler.fleet.depth = 1, false, 1
		ev := r.arrive(id, 0, 0, "v", fmt.Sprint(id), units)
		ev.Arrival.Shard = 0
		r.scheduler.volumeOf(&ev.Arrival).reserveCredit = 100
		if len(of(r.step(ev), decision.Forward)) == 0 {
			t.Fatalf("request %d of %v units is rejected; a mean one is expected to take %.2f s", id, units, n.meanSizeLatency)
		}
		r.pass(time.Second)
		r.step(answered(id, "n0", decision.TimedOut))
		r.pass(100 * ms)
	}
}

// A stream to a slow client says nothing of its node.
func TestStreamedResponseDoesNotCountAsLatency(t *testing.T) {
	r := newRig(t, testConfig(), fleetOf(1)...)
	ev := r.arrive(1, 0, 0, "v", "k", 1)
	ev.Arrival.Shard = 0
	if len(of(r.step(ev), decision.Forward)) != 1 {
		t.Fatal("not sent")
	}
	r.step(decision.Event{Kind: decision.ResponseStarted, ID: 1})
	r.pass(3 * time.Second)
	r.step(answered(1, "n0", decision.Served))
	if n := r.scheduler.nodes.byName["n0"]; n.depth < initialDepth || n.latency > 0.1 {
		t.Errorf("depth %v, latency %v s", n.depth, n.latency)
	}
	if requests := r.scheduler.OpenRequests(); requests > 0 {
		t.Errorf("%d requests are left, or attempts of them", requests)
	}
}
