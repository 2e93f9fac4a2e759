package policy

import (
	"fmt"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// These tests are about one host among hundreds: it asks any one node for little, and what it does all the others do.

// fleetOf lists n nodes.
func fleetOf(n int) (out []decision.Endpoint) {
	for i := range n {
		out = append(out, decision.Endpoint{Node: fmt.Sprint("n", i), Shard: i})
	}
	return out
}

// Hosts that have measured nothing yet must not all begin with the node that the list names first: on a full fleet it got
// 262 new objects in five seconds where the others got 20.
func TestUnmeasuredNodesAreTriedByLot(t *testing.T) {
	const hosts, nodes = 300, 150
	first := map[string]int{}
	for seed := range uint64(hosts) {
		cfg := testConfig()
		cfg.Seed = seed
		r := newRig(t, cfg, fleetOf(nodes)...)
		ev := r.arrive(1, 1, 0, "v", "k", 2)
		ev.Arrival.Shard = -1
		for _, a := range r.step(ev) {
			if a.Kind == decision.Forward {
				first[a.Node]++
			}
		}
	}
	for n, c := range first {
		if c > 12 {
			t.Errorf("%d of %d hosts send their first new object to %s of %d nodes", c, hosts, n, nodes)
		}
	}
	if len(first) < nodes/2 {
		t.Errorf("only %d of %d nodes are tried", len(first), nodes)
	}
}

// thin drives a host that takes perSecond requests for ever other nodes, answered after stay or timed out. Odd ones are
// beyond the reserve. It returns which part of either kind was sent.
func thin(r *rig, id *uint64, perSecond int, span, stay time.Duration) (inside, beyond float64) {
	type due struct {
		id   uint64
		node string
		at   time.Duration
		out  decision.Outcome
	}
	var open []due
	var sent, all [2]float64
	gap := time.Second / time.Duration(perSecond)
	next, end := r.now, r.now+span
	for r.now < end {
		var evs []decision.Event
		open = func() (keep []due) {
			for _, d := range open {
				if d.at > r.now {
					keep = append(keep, d)
					continue
				}
				evs = append(evs, decision.Event{Kind: decision.AttemptEnded, ID: d.id, Node: d.node, Outcome: d.out, Final: d.out == decision.Served})
			}
			return keep
		}()
		if r.now >= next {
			next += gap
			*id++
			ev := r.arrive(*id, 0, 0, fmt.Sprint("v", *id%2), fmt.Sprint(*id), 2)
			ev.Arrival.Shard = int(*id*7) % len(r.s.nodes.list)
			r.s.volumeOf(&decision.Arrival{Volume: "v1"}).reserveCredit = -1e9
			r.s.volumeOf(&decision.Arrival{Volume: "v0"}).reserveCredit = 8
			evs = append(evs, ev)
			all[*id%2]++
		}
		for _, a := range r.after(10*ms, evs...) {
			if a.Kind != decision.Forward {
				continue
			}
			sent[a.ID%2]++
			d := due{a.ID, a.Node, r.now + stay, decision.Served}
			if stay > a.After {
				d.at, d.out = r.now+a.After, decision.TimedOut
			}
			open = append(open, d)
		}
	}
	for _, d := range open {
		r.step(decision.Event{Kind: decision.AttemptEnded, ID: d.id, Node: d.node, Outcome: d.out, Final: true})
	}
	return sent[0] / all[0], sent[1] / all[1]
}

// When every node's stay is long, each of many hosts sees that at another node each time, none of which it has learnt to
// spare. What it knows of all together has to hold back what lies beyond the reserves, before that fills the nodes' queues.
func TestLongStaysEverywhereHoldBackWhatIsBeyondTheReserve(t *testing.T) {
	r := newRig(t, testConfig(), fleetOf(150)...)
	id := uint64(0)
	if in, out := thin(r, &id, 6, 5*time.Second, 100*ms); in < 0.95 || out < 0.95 {
		t.Errorf("short stays: sent %.2f of the reserve's work and %.2f of the rest", in, out)
	}
	thin(r, &id, 6, 2*time.Second, 900*ms) // one stay passes before anything can be known
	if in, out := thin(r, &id, 6, 5*time.Second, 900*ms); out > 0.2 || in < 0.4 {
		t.Errorf("long stays: sent %.2f of the reserve's work and %.2f of the rest", in, out)
	}
}

// Once the stays are short again, a host that comes by a node every half minute must not spare it for what it saw there
// last: on a full fleet half of all requests were refused by idle nodes' brokers for as long as the day went on.
func TestPausesEndWhereTheOthersAreWell(t *testing.T) {
	r := newRig(t, testConfig(), fleetOf(12)...)
	id := uint64(0)
	thin(r, &id, 6, 5*time.Second, 100*ms)
	thin(r, &id, 6, 15*time.Second, 3*time.Second) // all time out
	paused := 0
	for _, n := range r.s.nodes.list {
		if n.depth < 1 {
			paused++
		}
	}
	if paused < 9 {
		t.Fatalf("only %d nodes are spared after 10 s of time-outs", paused)
	}
	thin(r, &id, 6, 6*time.Second, 100*ms)
	if in, out := thin(r, &id, 6, 10*time.Second, 100*ms); in < 0.9 || out < 0.8 {
		t.Errorf("6 s after the end: sent %.2f of the reserve's work and %.2f of the rest", in, out)
	}
}

// A node that takes work and answers none stays spared while the others are well, as long as such nodes do not come back.
func TestSilentNodeStaysSpared(t *testing.T) {
	r := newRig(t, testConfig(), fleetOf(2)...)
	n := r.s.nodes.byName["n0"]
	r.s.fleet.estimate, r.s.fleet.trialSuccess = estimate{latency: 0.1, depth: 1}, 0.1
	n.health.suspect, n.latency, n.depth = true, 1.5, 0.05
	for range 50 {
		r.after(compensationPeriod)
	}
	if n.depth > 0.2 {
		t.Errorf("D of a silent node is %v after 5 s", n.depth)
	}
}

// Classes with different aims share a node's queue. D has to follow the shortest, or work with a long aim fills it up to
// a stay at which the other class is never served in time.
func TestShortestAimRulesTheNode(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1].LatencyObjective = 4 * time.Second
	r := newRig(t, cfg, fleetOf(1)...)
	for i := uint64(1); i <= 40; i++ {
		ev := r.arrive(i, int(min(i%4, 1)), 0, "v", fmt.Sprint(i), 2)
		ev.Arrival.Shard = 0
		r.step(ev)
		r.after(100*ms, answered(i, "n0", decision.Served))
	}
	if aim := r.s.nodes.byName["n0"].objective; aim > 2 {
		t.Errorf("a node that serves aims of 1 s and 4 s is held to %.1f s", aim)
	}
}

// Nodes that left long ago are dropped from what a new object may choose from, and one that comes back may be chosen.
func TestNodesThatLeftAreNotPicked(t *testing.T) {
	r := newRig(t, testConfig(), fleetOf(8)...)
	r.after(compensationPeriod, decision.Event{Kind: decision.EndpointsReplaced, Endpoints: fleetOf(3)})
	for range 4 {
		r.after(40 * time.Second) // past what a node that left is kept for
	}
	if n := len(r.s.nodes.list); n != 3 {
		t.Fatalf("%d nodes are kept", n)
	}
	seen := map[string]bool{}
	for round := range 2 {
		for range 60 {
			seen[r.s.pickNode(&request{class: &r.s.cfg.Classes[0], arrival: decision.Arrival{Shard: -1, Units: 1}}).Node] = true
		}
		if want := 3 + round; len(seen) != want || r.s.pickNode(&request{class: &r.s.cfg.Classes[0], arrival: decision.Arrival{Shard: 7, Units: 1}}) == nil != (round == 0) {
			t.Fatalf("round %d: new objects go to %v", round, seen)
		}
		r.after(compensationPeriod, decision.Event{Kind: decision.EndpointsChanged, Endpoints: []decision.Endpoint{{Node: "n7", Shard: 7}}})
	}
}

// A stay goes with a request's size. One of eight units that has a mean stay left, and would need four of them, only fills its node's
// queue: 70 in 100 of those timed out at nodes that served small ones meanwhile.
func TestLargeRequestsNeedMoreTime(t *testing.T) {
	cfg := testConfig()
	cfg.QuotaPriorityWeight = 0.3
	r := newRig(t, cfg, fleetOf(1)...)
	n := r.s.nodes.byName["n0"]
	at := func(id uint64, units float64, plan int, stay float64) decision.Event {
		n.meanSizeLatency, n.depth, n.queuedUnits, r.s.fleet.depth = stay, 4, 0, 1
		ev := r.arrive(id, 0, plan, fmt.Sprint("v", plan), "", units)
		ev.Arrival.Shard = 0
		return ev
	}
	for id, x := range []struct {
		what  string
		units float64
		plan  int
		stay  float64 // mean, of an aim of 1 s
		sent  bool
	}{
		{"mean, reserved, what has to be left of the stay fits", 2, 0, 1.6, true},
		{"mean, reserved, it does not", 2, 0, 1.7, false},
		{"large, reserved, it fits four times", 8, 0, 0.4, true},
		{"large, reserved, it does not", 8, 0, 0.43, false},
		{"one unit, reserved", 1, 0, 3.2, true},
		{"mean, beyond, surer by what it pays less", 2, 1, 0.48, true},
		{"mean, beyond, not sure enough", 2, 1, 0.52, false},
		{"large, beyond", 8, 1, 0.12, true},
		{"large, beyond, not sure enough", 8, 1, 0.13, false},
		{"of a plan without a reserve nothing is beyond it", 2, 2, 1.6, true},
	} {
		r.s.cfg.Plans[2].RateLimit, r.s.cfg.Plans[2].ReservedRate = 0, 0
		ev := at(uint64(id+1), x.units, x.plan, x.stay)
		v := r.s.volumeOf(&ev.Arrival)
		if v.reserveCredit = 100; x.plan > 0 {
			v.reserveCredit = -1e9
		}
		acts := r.step(ev)
		if got := len(of(acts, decision.Forward)) == 1; got != x.sent {
			t.Errorf("%s: sent %v", x.what, got)
		}
		if x.sent {
			r.step(answered(uint64(id+1), "n0", decision.Served))
		} else if len(of(acts, decision.Shed)) != 1 {
			t.Errorf("%s: no answer at once", x.what)
		}
	}
}

// pass lets time go by as it does for a host that does not stand still.
func (r *rig) pass(d time.Duration) {
	for ; d > compensationPeriod; d -= compensationPeriod {
		r.after(compensationPeriod)
	}
	r.after(d)
}

// What a request of mean size takes is learnt from large and small ones alike, so that it does not depend on what was sent of late; and at
// nodes where all times out something still goes, whatever its size, or they would never be learnt to be well again.
func TestMeanStayIsOfAMeanRequest(t *testing.T) {
	for _, units := range []float64{1, 2, 8} {
		r := newRig(t, testConfig(), fleetOf(1)...)
		n := r.s.nodes.byName["n0"]
		try := func(id uint64, took time.Duration, out decision.Outcome) bool {
			n.depth, r.s.fleet.depth = 1, 1
			ev := r.arrive(id, 0, 0, "v", fmt.Sprint(id), units)
			ev.Arrival.Shard = 0
			r.s.volumeOf(&ev.Arrival).reserveCredit = 100
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
			t.Errorf("%v units, 50 ms each: a mean request is taken to need %.3f s", units, n.meanSizeLatency)
		}
		sent := 0
		for range 200 {
			if id++; try(id, time.Second, decision.TimedOut) {
				sent++
			}
			n.health.suspect = false
			r.pass(5 * time.Second) // its client comes no more, and pauses are over
		}
		if sent < 190 {
			t.Errorf("%v units: %d of 200 were tried where all time out", units, sent)
		}
	}
}

// Small requests that time out tell of the queue. Were their end taken for their work, one of mean size would be taken to need three aims, and where
// none of it comes back to teach otherwise, nothing but small ones would ever go there again.
func TestSmallTimeOutsTellNothingOfWork(t *testing.T) {
	r := newRig(t, testConfig(), fleetOf(1)...)
	n := r.s.nodes.byName["n0"]
	for id := uint64(1); id <= 60; id++ {
		units := 1.0
		if id == 60 {
			units = 2
		}
		n.depth, n.health.suspect, r.s.fleet.depth = 1, false, 1
		ev := r.arrive(id, 0, 0, "v", fmt.Sprint(id), units)
		ev.Arrival.Shard = 0
		r.s.volumeOf(&ev.Arrival).reserveCredit = 100
		if len(of(r.step(ev), decision.Forward)) == 0 {
			t.Fatalf("request %d of %v units is refused; a mean one is taken to need %.2f s", id, units, n.meanSizeLatency)
		}
		r.pass(time.Second)
		r.step(answered(id, "n0", decision.TimedOut))
		r.pass(100 * ms)
	}
}

// A stream to a slow client tells nothing of its node: how long it took must not slow the node's other work.
func TestStreamsAreNoSignOfASlowNode(t *testing.T) {
	r := newRig(t, testConfig(), fleetOf(1)...)
	ev := r.arrive(1, 0, 0, "v", "k", 1)
	ev.Arrival.Shard = 0
	if len(of(r.step(ev), decision.Forward)) != 1 {
		t.Fatal("not sent")
	}
	r.step(decision.Event{Kind: decision.ResponseStarted, ID: 1})
	r.pass(3 * time.Second)
	r.step(answered(1, "n0", decision.Served))
	if n := r.s.nodes.byName["n0"]; n.depth < initialDepth || n.latency > 0.1 {
		t.Errorf("depth %v, latency %v s", n.depth, n.latency)
	}
	if requests := r.s.OpenRequests(); requests > 0 {
		t.Errorf("%d requests are left, or attempts of them", requests)
	}
}
