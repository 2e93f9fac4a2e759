package policy

import (
	"fmt"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

func TestRateLimitedRequestsDoNotCountAsBacklog(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.scheduler.nodes.byName["a"]
	n.latency, n.depth = 0.3, 1
	r.step(r.arrive(8, 0, 2, "v", "", 4)) // uses the tolerance that the bucket starts with
	r.step(answered(8, "a", decision.Served), r.arrive(1, 0, 2, "v", "", 4), r.arrive(2, 0, 2, "v", "", 3))
	n.latency, n.depth = 0.3, 1
	acts := r.step(r.arrive(3, 0, 0, "x", "", 4))
	want(t, "rejected", of(acts, decision.Shed))
	want(t, "sent past the limited volume", of(acts, decision.Forward), 3)
}

// A request that cannot be sent is rejected at half of its client's wait.
func TestQueuedRequestIsRejectedAtHalfItsDeadline(t *testing.T) {
	r := newRig(t, testConfig())
	r.scheduler.nodes.byName["a"].depth = 1
	r.step(r.arrive(1, 0, 0, "v", "k", 2)) // holds the node
	ev := r.arrive(2, 0, 0, "v", "k2", 2)
	ev.Arrival.Deadline = r.now + 600*ms
	r.step(ev)
	want(t, "rejected before half", of(r.after(260*ms), decision.Shed))
	want(t, "rejected at half", of(r.after(25*ms), decision.Shed), 2)
}

// Until a node is measured its capacity decides: a stronger node gets more new objects and a larger first depth.
func TestCapacityIsThePriorOfAnUnmeasuredNode(t *testing.T) {
	share := func(capacity float64) float64 {
		cfg := testConfig()
		r := newRig(t, cfg)
		r.after(0, endpointsReplaced(decision.Endpoint{Node: "a", Shard: 0}))
		for id := uint64(1); id < 40; id++ { // latencies of a usual node are known
			for _, x := range r.after(50*ms, r.arrive(id, 0, 0, "v", "", 1)) {
				if x.Kind == decision.Forward {
					r.after(50*ms, finalOutcome(x.ID, x.Node, decision.Served))
				}
			}
		}
		r.after(0, endpointsReplaced(decision.Endpoint{Node: "b", Shard: 1, Capacity: capacity}, decision.Endpoint{Node: "c", Shard: 2, Capacity: 1}))
		strong := 0
		for range 200 {
			if r.pick(decision.AnyShard).Node == "b" {
				strong++
			}
		}
		if b, c := r.scheduler.nodes.byName["b"].depth, r.scheduler.nodes.byName["c"].depth; (b > c) != (capacity > 1) {
			t.Errorf("capacity %v: depths %v and %v", capacity, b, c)
		}
		return float64(strong) / 200
	}
	strong, weak := share(4), share(0.25)
	if strong < weak+0.3 {
		t.Errorf("a strong node gets %v of new objects, a weak one %v", strong, weak)
	}
}

// New objects stay in the broker's zone unless a remote node is better by the penalty. Existing objects are read
// where they are.
func TestNewObjectsStayInTheLocalZone(t *testing.T) {
	cfg := testConfig()
	cfg.LocalZone, cfg.RemoteZonePenalty = 2, 50*ms
	r := newRig(t, cfg)
	r.after(0, endpointsReplaced(decision.Endpoint{Node: "near", Shard: 0, Zone: 1}, decision.Endpoint{Node: "far", Shard: 1, Zone: 0}))
	for range 50 {
		if n := r.pick(decision.AnyShard); n.Node != "near" {
			t.Fatalf("a new object goes to %s", n.Node)
		}
	}
	if n := r.pick(1); n.Node != "far" {
		t.Errorf("an object on shard 1 is sought at %s", n.Node)
	}
	r.scheduler.nodes.byName["near"].latency = 0.2
	if n := r.pick(decision.AnyShard); n.Node != "far" {
		t.Errorf("a new object waits at %s", n.Node)
	}
}

// Where a new connection has a cost, new objects go to nodes with an open connection, unless others are better
// by more than the cost.
func TestNewObjectsPreferOpenConnections(t *testing.T) {
	sendsWithoutConnection := func(handshakeCost float64, slow string) (sends, atSlow int) {
		cfg := testConfig()
		cfg.HandshakeCost, cfg.ConnectionReuseWindow = handshakeCost, 5*time.Second
		members := make([]decision.Endpoint, 60)
		for i := range members {
			members[i] = decision.Endpoint{Node: fmt.Sprint("n", i), Shard: i}
		}
		r := newRig(t, cfg, members...)
		respondedAt := map[string]time.Duration{}
		for id := range uint64(300) {
			ev := r.arrive(id, 1, 0, "v", fmt.Sprint(id), 2)
			ev.Arrival.Shard = -1
			for _, a := range r.after(100*ms, ev) {
				if a.Kind != decision.Forward {
					continue
				}
				if at, ok := respondedAt[a.Node]; id >= 100 && (!ok || r.now > at+cfg.ConnectionReuseWindow) {
					sends++
				}
				took := 50 * ms
				if a.Node == slow { // by more than the cost
					took, atSlow = 190*ms, atSlow+1
				}
				r.after(took)
				r.step(answered(a.ID, a.Node, decision.Served))
				respondedAt[a.Node] = r.now
			}
		}
		return sends, atSlow
	}
	free, _ := sendsWithoutConnection(0, "")
	costly, _ := sendsWithoutConnection(0.08, "")
	if costly > free/4 || free < 50 {
		t.Errorf("of 200 objects %d went to nodes without a connection, %d where one has a cost", free, costly)
	}
	if _, n := sendsWithoutConnection(0.08, "n7"); n > 10 {
		t.Errorf("%d of 300 objects went to the one slow node", n)
	}
}

// However high the cost of a connection, it does not justify a slow node; without a reuse window it does not
// count.
func TestHandshakeCostIsBounded(t *testing.T) {
	for reuseWindow, latency := range map[time.Duration]float64{5 * time.Second: 0.5, 0: 0.1} {
		cfg := testConfig()
		cfg.HandshakeCost, cfg.ConnectionReuseWindow = 5, reuseWindow
		r := newRig(t, cfg, decision.Endpoint{Node: "slow"}, decision.Endpoint{Node: "quick", Shard: 1})
		r.scheduler.nodes.byName["slow"].health.respondedAt, r.scheduler.nodes.byName["slow"].latency, r.scheduler.nodes.byName["quick"].latency = r.now, latency, 0.05
		for range 50 {
			if n := r.pick(decision.AnyShard); n.Node != "quick" {
				t.Fatalf("reuse window %v: a new object goes to %s", reuseWindow, n.Node)
			}
		}
	}
}

// A node that fails fast looks like the fastest by latency. It stays in use for its own shard and recovers once
// it serves.
func TestFastErrorsAttractNoNewObjects(t *testing.T) {
	r := newRig(t, testConfig(), decision.Endpoint{Node: "bad"}, decision.Endpoint{Node: "good", Shard: 1})
	bad := r.scheduler.nodes.byName["bad"]
	fails, id := true, uint64(0)
	count := func(shard int) (toBad int) {
		for range 100 {
			id++
			ev := r.arrive(id, 1, 0, "v", fmt.Sprint(id), 2)
			ev.Arrival.Shard = shard
			for _, a := range r.after(100*ms, ev) {
				if a.Kind != decision.Forward {
					continue
				}
				out, wait := decision.Served, 50*ms
				if a.Node == "bad" {
					toBad++
					if fails {
						out, wait = decision.NodeError, ms
					}
				}
				r.after(wait, finalOutcome(a.ID, a.Node, out))
			}
		}
		return toBad
	}
	if n := count(0); n != 100 {
		t.Errorf("%d of 100 sent to the only node that has the data", n)
	}
	if n := count(-1); n > 5 {
		t.Errorf("%d of 100 new objects sent to a node that fails", n)
	}
	if bad.latency < 0.03 { // it knows of it what it knows of the others, where it has served nothing
		t.Errorf("its errors count as answers within %v s", bad.latency)
	}
	fails = false
	count(0)
	if n := count(-1); n < 20 {
		t.Errorf("%d of 100 new objects sent to it since it serves again", n)
	}
}

// Brokers that have measured nothing yet must not all start with the node that the list names first.
func TestUnmeasuredNodesAreChosenAtRandom(t *testing.T) {
	const brokers, nodes = 300, 150
	first := map[string]int{}
	for seed := range uint64(brokers) {
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
			t.Errorf("%d of %d brokers send their first new object to %s of %d nodes", c, brokers, n, nodes)
		}
	}
	if len(first) < nodes/2 {
		t.Errorf("only %d of %d nodes are chosen", len(first), nodes)
	}
}

// Removed nodes are no candidates for new objects, and one that comes back is.
func TestRemovedNodesAreNotPicked(t *testing.T) {
	r := newRig(t, testConfig(), fleetOf(8)...)
	r.after(compensationPeriod, decision.Event{Kind: decision.EndpointsReplaced, Endpoints: fleetOf(3)})
	for range 4 {
		r.after(40 * time.Second) // past idleRetention
	}
	if n := len(r.scheduler.nodes.list); n != 3 {
		t.Fatalf("%d nodes are kept", n)
	}
	seen := map[string]bool{}
	for round := range 2 {
		for range 60 {
			seen[r.pick(decision.AnyShard).Node] = true
		}
		if want := 3 + round; len(seen) != want || r.pick(7) == nil != (round == 0) {
			t.Fatalf("round %d: new objects go to %v", round, seen)
		}
		r.after(compensationPeriod, endpointsChanged(decision.Endpoint{Node: "n7", Shard: 7}))
	}
}

// Latency grows with the size. A request that has less time left than its size needs only fills the queue of its
// node.
func TestLargeRequestsNeedMoreTimeLeft(t *testing.T) {
	cfg := testConfig()
	cfg.QuotaPriorityWeight = 0.3
	r := newRig(t, cfg, fleetOf(1)...)
	n := r.scheduler.nodes.byName["n0"]
	at := func(id uint64, units float64, plan int, latency float64) decision.Event {
		n.meanSizeLatency, n.depth, n.queuedUnits, r.scheduler.fleet.depth = latency, 4, 0, 1
		ev := r.arrive(id, 0, plan, fmt.Sprint("v", plan), "", units)
		ev.Arrival.Shard = 0
		return ev
	}
	for id, x := range []struct {
		what    string
		units   float64
		plan    int
		latency float64 // mean, of an objective of 1 s
		sent    bool
	}{
		{"mean, reserved, enough time left", 2, 0, 1.6, true},
		{"mean, reserved, too little time left", 2, 0, 1.7, false},
		{"large, reserved, enough for four times the size", 8, 0, 0.4, true},
		{"large, reserved, too little", 8, 0, 0.43, false},
		{"one unit, reserved", 1, 0, 3.2, true},
		{"mean, beyond the reserve, enough for its lower weight", 2, 1, 0.48, true},
		{"mean, beyond the reserve, too little", 2, 1, 0.52, false},
		{"large, beyond the reserve", 8, 1, 0.12, true},
		{"large, beyond the reserve, too little", 8, 1, 0.13, false},
		{"of a plan without a reserve nothing is beyond it", 2, 2, 1.6, true},
	} {
		r.scheduler.cfg.Plans[2].RateLimit, r.scheduler.cfg.Plans[2].ReservedRate = 0, 0
		ev := at(uint64(id+1), x.units, x.plan, x.latency)
		v := r.scheduler.volumeOf(&ev.Arrival)
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

// One bad node can bring the fleet's depth down to its minimum. Work inside its reserve is still admitted to the
// other nodes.
func TestReservedWorkIsAdmittedDespiteOneBadNode(t *testing.T) {
	for seed := range uint64(20) {
		cfg := testConfig()
		cfg.Seed, cfg.Brokers = seed, 80
		r := newRig(t, cfg, decision.Endpoint{Node: "bad", Shard: 1}, decision.Endpoint{Node: "good", Shard: 2})
		at := func(id uint64, shard int, vol string) decision.Event {
			ev := r.arrive(id, 0, 0, vol, "", 1)
			ev.Arrival.Shard = shard
			return ev
		}
		for id := range uint64(30) {
			sent := of(r.after(100*ms, at(id, 1, "v")), decision.Forward)
			for range 10 { // in steps: a jump of the clock would mean a stall
				r.after(100 * ms)
			}
			for _, x := range sent {
				r.step(answered(x, "bad", decision.TimedOut))
			}
		}
		if r.scheduler.fleet.depth > 2*minFleetDepth {
			t.Fatalf("D of all nodes is %.2f after time-outs alone", r.scheduler.fleet.depth)
		}
		r.scheduler.fleet.trialSuccess = 0.5 // reserved work is not paused
		for id := uint64(100); id < 120; id++ {
			acts := r.after(100*ms, at(id, 2, "w"))
			if len(of(acts, decision.Shed)) > 0 {
				t.Fatalf("seed %d: request %d inside its reserve was rejected", seed, id)
			}
			for _, x := range of(acts, decision.Forward) {
				r.step(answered(x, "good", decision.Served))
			}
		}
	}
}
