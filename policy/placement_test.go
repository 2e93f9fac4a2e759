package policy

import (
	"fmt"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

func TestRateLimitedRequestsDoNotCountAsBacklog(t *testing.T) {
	h := newHarness(t, testConfig())
	n := h.scheduler.nodes.byName["a"]
	n.latency, n.depth = 0.3, 1
	h.step(h.arrival(8, 0, 2, "v", "", 4)) // uses up the tolerance that the bucket holds initially
	h.step(attemptEnded(8, "a", decision.Served), h.arrival(1, 0, 2, "v", "", 4), h.arrival(2, 0, 2, "v", "", 3))
	n.latency, n.depth = 0.3, 1
	acts := h.step(h.arrival(3, 0, 0, "x", "", 4))
	wantIDs(t, "rejected", requestIDs(acts, decision.Shed))
	wantIDs(t, "sent before the requests that the rate limit blocks", requestIDs(acts, decision.Forward), 3)
}

// A queued request is rejected after half of the time to its client's deadline.
func TestQueuedRequestIsRejectedAtHalfItsDeadline(t *testing.T) {
	h := newHarness(t, testConfig())
	h.scheduler.nodes.byName["a"].depth = 1
	h.step(h.arrival(1, 0, 0, "v", "k", 2)) // occupies the node
	ev := h.arrival(2, 0, 0, "v", "k2", 2)
	ev.Arrival.Deadline = h.now + 600*ms
	h.step(ev)
	wantIDs(t, "rejected before half of the time", requestIDs(h.stepAfter(260*ms), decision.Shed))
	wantIDs(t, "rejected after half of the time", requestIDs(h.stepAfter(25*ms), decision.Shed), 2)
}

// The initial estimates of a node follow from its capacity: a node of higher capacity gets more new objects and a
// larger initial depth.
func TestInitialEstimatesFollowCapacity(t *testing.T) {
	share := func(capacity float64) float64 {
		cfg := testConfig()
		h := newHarness(t, cfg)
		h.stepAfter(0, endpointsReplaced(decision.Endpoint{Node: "a", Shard: 0}))
		for id := uint64(1); id < 40; id++ { // measures the latency of a node of capacity 1
			for _, x := range h.stepAfter(50*ms, h.arrival(id, 0, 0, "v", "", 1)) {
				if x.Kind == decision.Forward {
					h.stepAfter(50*ms, finalOutcome(x.ID, x.Node, decision.Served))
				}
			}
		}
		h.stepAfter(0, endpointsReplaced(decision.Endpoint{Node: "b", Shard: 1, Capacity: capacity}, decision.Endpoint{Node: "c", Shard: 2, Capacity: 1}))
		strong := 0
		for range 200 {
			if h.pickNode(decision.AnyShard).Node == "b" {
				strong++
			}
		}
		if b, c := h.scheduler.nodes.byName["b"].depth, h.scheduler.nodes.byName["c"].depth; (b > c) != (capacity > 1) {
			t.Errorf("capacity %v: depths %v and %v", capacity, b, c)
		}
		return float64(strong) / 200
	}
	strong, weak := share(4), share(0.25)
	if strong < weak+0.3 {
		t.Errorf("a node of capacity 4 gets a fraction of %v of the new objects, one of capacity 0.25 gets %v", strong, weak)
	}
}

// New objects go to the broker's zone unless a remote node's cost is lower by more than the penalty. Requests for
// existing objects go to the node that stores them.
func TestNewObjectsStayInTheLocalZone(t *testing.T) {
	cfg := testConfig()
	cfg.LocalZone, cfg.RemoteZonePenalty = 2, 50*ms
	h := newHarness(t, cfg)
	h.stepAfter(0, endpointsReplaced(decision.Endpoint{Node: "near", Shard: 0, Zone: 1}, decision.Endpoint{Node: "far", Shard: 1, Zone: 0}))
	for range 50 {
		if n := h.pickNode(decision.AnyShard); n.Node != "near" {
			t.Fatalf("a new object goes to node %s, want near", n.Node)
		}
	}
	if n := h.pickNode(1); n.Node != "far" {
		t.Errorf("a request for shard 1 goes to node %s, want far", n.Node)
	}
	h.scheduler.nodes.byName["near"].latency = 0.2
	if n := h.pickNode(decision.AnyShard); n.Node != "far" {
		t.Errorf("a new object goes to node %s, want far, as near is slow", n.Node)
	}
}

// If new connections have a cost, new objects go to nodes with an open connection, unless the cost of other nodes is
// lower by more than that.
func TestNewObjectsPreferOpenConnections(t *testing.T) {
	sendsWithoutConnection := func(handshakeCost float64, slow string) (sends, atSlow int) {
		cfg := testConfig()
		cfg.HandshakeCost, cfg.ConnectionReuseWindow = handshakeCost, 5*time.Second
		members := make([]decision.Endpoint, 60)
		for i := range members {
			members[i] = decision.Endpoint{Node: fmt.Sprint("n", i), Shard: i}
		}
		h := newHarness(t, cfg, members...)
		respondedAt := map[string]time.Duration{}
		for id := range uint64(300) {
			ev := h.arrival(id, 1, 0, "v", fmt.Sprint(id), 2)
			ev.Arrival.Shard = -1
			for _, a := range h.stepAfter(100*ms, ev) {
				if a.Kind != decision.Forward {
					continue
				}
				if at, ok := respondedAt[a.Node]; id >= 100 && (!ok || h.now > at+cfg.ConnectionReuseWindow) {
					sends++
				}
				latency := 50 * ms
				if a.Node == slow { // slower by more than the cost of a connection
					latency, atSlow = 190*ms, atSlow+1
				}
				h.stepAfter(latency)
				h.step(attemptEnded(a.ID, a.Node, decision.Served))
				respondedAt[a.Node] = h.now
			}
		}
		return sends, atSlow
	}
	free, _ := sendsWithoutConnection(0, "")
	costly, _ := sendsWithoutConnection(0.08, "")
	if costly > free/4 || free < 50 {
		t.Errorf("of 200 objects, %d went to nodes without a connection, and %d if connections have a cost", free, costly)
	}
	if _, n := sendsWithoutConnection(0.08, "n7"); n > 10 {
		t.Errorf("%d of 300 objects went to the one slow node", n)
	}
}

// Even a high cost of a new connection does not make a slow node preferable. Without a reuse window the cost does
// not apply.
func TestHandshakeCostIsBounded(t *testing.T) {
	for reuseWindow, latency := range map[time.Duration]float64{5 * time.Second: 0.5, 0: 0.1} {
		cfg := testConfig()
		cfg.HandshakeCost, cfg.ConnectionReuseWindow = 5, reuseWindow
		h := newHarness(t, cfg, decision.Endpoint{Node: "slow"}, decision.Endpoint{Node: "fast", Shard: 1})
		h.scheduler.nodes.byName["slow"].health.respondedAt, h.scheduler.nodes.byName["slow"].latency, h.scheduler.nodes.byName["fast"].latency = h.now, latency, 0.05
		for range 50 {
			if n := h.pickNode(decision.AnyShard); n.Node != "fast" {
				t.Fatalf("reuse window %v: a new object goes to node %s, want fast", reuseWindow, n.Node)
			}
		}
	}
}

// A node that fails quickly must not be taken for the fastest because of its low latency. It is still used for its own
// shard, and gets new objects again once it serves requests.
func TestFastErrorsAttractNoNewObjects(t *testing.T) {
	h := newHarness(t, testConfig(), decision.Endpoint{Node: "bad"}, decision.Endpoint{Node: "good", Shard: 1})
	bad := h.scheduler.nodes.byName["bad"]
	failing, id := true, uint64(0)
	sendsToBad := func(shard int) (toBad int) {
		for range 100 {
			id++
			ev := h.arrival(id, 1, 0, "v", fmt.Sprint(id), 2)
			ev.Arrival.Shard = shard
			for _, a := range h.stepAfter(100*ms, ev) {
				if a.Kind != decision.Forward {
					continue
				}
				outcome, latency := decision.Served, 50*ms
				if a.Node == "bad" {
					toBad++
					if failing {
						outcome, latency = decision.NodeError, ms
					}
				}
				h.stepAfter(latency, finalOutcome(a.ID, a.Node, outcome))
			}
		}
		return toBad
	}
	if n := sendsToBad(0); n != 100 {
		t.Errorf("%d of 100 requests were sent to the only node of their shard, want all", n)
	}
	if n := sendsToBad(-1); n > 5 {
		t.Errorf("%d of 100 new objects were sent to a failing node, want at most 5", n)
	}
	if bad.latency < 0.03 { // a node that has served nothing gets its estimate from the other nodes
		t.Errorf("the latency of the failing node is %v s, so its errors were counted as latencies", bad.latency)
	}
	failing = false
	sendsToBad(0)
	if n := sendsToBad(-1); n < 20 {
		t.Errorf("%d of 100 new objects were sent to the node after it recovered, want at least 20", n)
	}
}

// Brokers without measurements must not all choose the first node of the endpoint list.
func TestUnmeasuredNodesAreChosenAtRandom(t *testing.T) {
	const brokers, nodes = 300, 150
	first := map[string]int{}
	for seed := range uint64(brokers) {
		cfg := testConfig()
		cfg.Seed = seed
		h := newHarness(t, cfg, nodeList(nodes)...)
		ev := h.arrival(1, 1, 0, "v", "k", 2)
		ev.Arrival.Shard = -1
		for _, a := range h.step(ev) {
			if a.Kind == decision.Forward {
				first[a.Node]++
			}
		}
	}
	for n, c := range first {
		if c > 12 {
			t.Errorf("%d of %d brokers send their first new object to node %s of %d, want at most 12", c, brokers, n, nodes)
		}
	}
	if len(first) < nodes/2 {
		t.Errorf("only %d of %d nodes are chosen, want at least half", len(first), nodes)
	}
}

// New objects do not go to removed nodes, but to one that is listed again.
func TestRemovedNodesAreNotPicked(t *testing.T) {
	h := newHarness(t, testConfig(), nodeList(8)...)
	h.stepAfter(compensationPeriod, decision.Event{Kind: decision.EndpointsReplaced, Endpoints: nodeList(3)})
	for range 4 {
		h.stepAfter(40 * time.Second) // past idleRetention
	}
	if n := len(h.scheduler.nodes.list); n != 3 {
		t.Fatalf("%d nodes are kept, want 3", n)
	}
	seen := map[string]bool{}
	for round := range 2 {
		for range 60 {
			seen[h.pickNode(decision.AnyShard).Node] = true
		}
		if want := 3 + round; len(seen) != want || h.pickNode(7) == nil != (round == 0) {
			t.Fatalf("round %d: new objects go to %v", round, seen)
		}
		h.stepAfter(compensationPeriod, endpointsChanged(decision.Endpoint{Node: "n7", Shard: 7}))
	}
}

// Latency grows with the size of a request. One that has less time left than its size needs is rejected, since it
// would only lengthen the queue of its node.
func TestLargeRequestsNeedMoreTimeLeft(t *testing.T) {
	cfg := testConfig()
	cfg.QuotaPriorityWeight = 0.3
	h := newHarness(t, cfg, nodeList(1)...)
	n := h.scheduler.nodes.byName["n0"]
	arrival := func(id uint64, units float64, plan int, latency float64) decision.Event {
		n.meanSizeLatency, n.depth, n.queuedUnits, h.scheduler.overall.depth = latency, 4, 0, 1
		ev := h.arrival(id, 0, plan, fmt.Sprint("v", plan), "", units)
		ev.Arrival.Shard = 0
		return ev
	}
	for id, x := range []struct {
		what    string
		units   float64
		plan    int
		latency float64 // estimated at mean size; the objective is 1 s
		sent    bool
	}{
		{"mean, reserved, enough time left", 2, 0, 1.6, true},
		{"mean, reserved, too little time left", 2, 0, 1.7, false},
		{"large, reserved, enough time for four times the mean size", 8, 0, 0.4, true},
		{"large, reserved, too little time left", 8, 0, 0.43, false},
		{"one unit, reserved", 1, 0, 3.2, true},
		{"mean, beyond the reserve, enough time left for its lower weight", 2, 1, 0.48, true},
		{"mean, beyond the reserve, too little time left", 2, 1, 0.52, false},
		{"large, beyond the reserve, enough time left", 8, 1, 0.12, true},
		{"large, beyond the reserve, too little time left", 8, 1, 0.13, false},
		{"mean, plan without a reserve, counts as reserved", 2, 2, 1.6, true},
	} {
		h.scheduler.cfg.Plans[2].RateLimit, h.scheduler.cfg.Plans[2].ReservedRate = 0, 0
		ev := arrival(uint64(id+1), x.units, x.plan, x.latency)
		v := h.scheduler.volumeOf(&ev.Arrival)
		if v.reserveCredit = 100; x.plan > 0 {
			v.reserveCredit = -1e9
		}
		acts := h.step(ev)
		if got := len(requestIDs(acts, decision.Forward)) == 1; got != x.sent {
			t.Errorf("%s: sent %v, want %v", x.what, got, x.sent)
		}
		if x.sent {
			h.step(attemptEnded(uint64(id+1), "n0", decision.Served))
		} else if len(requestIDs(acts, decision.Shed)) != 1 {
			t.Errorf("%s: not rejected in the same step", x.what)
		}
	}
}

// A single node that times out can lower the overall depth to its minimum. Reserved requests are still admitted to
// the other nodes.
func TestReservedRequestsAreAdmittedDespiteOneBadNode(t *testing.T) {
	for seed := range uint64(20) {
		cfg := testConfig()
		cfg.Seed, cfg.Brokers = seed, 80
		h := newHarness(t, cfg, decision.Endpoint{Node: "bad", Shard: 1}, decision.Endpoint{Node: "good", Shard: 2})
		arrival := func(id uint64, shard int, vol string) decision.Event {
			ev := h.arrival(id, 0, 0, vol, "", 1)
			ev.Arrival.Shard = shard
			return ev
		}
		for id := range uint64(30) {
			sent := requestIDs(h.stepAfter(100*ms, arrival(id, 1, "v")), decision.Forward)
			for range 10 { // in steps, since a jump of the clock would count as a stall
				h.stepAfter(100 * ms)
			}
			for _, x := range sent {
				h.step(attemptEnded(x, "bad", decision.TimedOut))
			}
		}
		if h.scheduler.overall.depth > 2*minOverallDepth {
			t.Fatalf("the overall depth is %.2f after time-outs only, want at most %.2f", h.scheduler.overall.depth, 2*minOverallDepth)
		}
		h.scheduler.overall.suspectSuccessRatio = 0.5 // so that reserved requests do not wait for pauses
		for id := uint64(100); id < 120; id++ {
			acts := h.stepAfter(100*ms, arrival(id, 2, "w"))
			if len(requestIDs(acts, decision.Shed)) > 0 {
				t.Fatalf("seed %d: reserved request %d was rejected", seed, id)
			}
			for _, x := range requestIDs(acts, decision.Forward) {
				h.step(attemptEnded(x, "good", decision.Served))
			}
		}
	}
}
