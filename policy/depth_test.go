package policy

import (
	"fmt"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// sparseLoad sends six requests a second to a broker for the duration span, spread over all nodes. Attempts are
// served after latency or time out. Requests with odd ids are beyond their volume's reserve. It returns which
// fractions of the reserved requests and of the others were sent.
func sparseLoad(h *harness, id *uint64, span, latency time.Duration) (inside, beyond float64) {
	type attempt struct {
		id   uint64
		node string
		at   time.Duration
		out  decision.Outcome
	}
	var inFlight []attempt
	var sent, all [2]float64
	const perSecond = 6
	gap := time.Second / perSecond
	next, end := h.now, h.now+span
	for h.now < end {
		var evs []decision.Event
		inFlight = func() (keep []attempt) {
			for _, d := range inFlight {
				if d.at > h.now {
					keep = append(keep, d)
					continue
				}
				evs = append(evs, decision.Event{Kind: decision.AttemptEnded, ID: d.id, Node: d.node, Outcome: d.out, Final: d.out == decision.Served})
			}
			return keep
		}()
		if h.now >= next {
			next += gap
			*id++
			ev := h.arrival(*id, 0, 0, fmt.Sprint("v", *id%2), fmt.Sprint(*id), 2)
			ev.Arrival.Shard = int(*id*7) % len(h.scheduler.nodes.list)
			h.scheduler.volumeOf(&decision.Arrival{Volume: "v1"}).reserveCredit = -1e9
			h.scheduler.volumeOf(&decision.Arrival{Volume: "v0"}).reserveCredit = 8
			evs = append(evs, ev)
			all[*id%2]++
		}
		for _, a := range h.stepAfter(10*ms, evs...) {
			if a.Kind != decision.Forward {
				continue
			}
			sent[a.ID%2]++
			d := attempt{a.ID, a.Node, h.now + latency, decision.Served}
			if latency > a.After {
				d.at, d.out = h.now+a.After, decision.TimedOut
			}
			inFlight = append(inFlight, d)
		}
	}
	for _, d := range inFlight {
		h.step(finalOutcome(d.id, d.node, d.out))
	}
	return sent[0] / all[0], sent[1] / all[1]
}

// If all nodes are slow, each of many brokers rarely sends twice to the same node. The overall estimate must
// reject requests beyond the reserves.
func TestSlowNodesReduceRequestsBeyondTheReserve(t *testing.T) {
	h := newHarness(t, testConfig(), nodeList(150)...)
	id := uint64(0)
	if in, out := sparseLoad(h, &id, 5*time.Second, 100*ms); in < 0.95 || out < 0.95 {
		t.Errorf("low latencies: sent %.2f of the reserved requests and %.2f of the others", in, out)
	}
	sparseLoad(h, &id, 2*time.Second, 900*ms) // the first latency is measured only after 900 ms
	if in, out := sparseLoad(h, &id, 5*time.Second, 900*ms); out > 0.2 || in < 0.4 {
		t.Errorf("high latencies: sent %.2f of the reserved requests and %.2f of the others", in, out)
	}
}

// Once latencies are low again, a broker that rarely sends to a node must not keep pausing because of the node's
// last high latency.
func TestPausesEndWhenTheNodesRecover(t *testing.T) {
	h := newHarness(t, testConfig(), nodeList(12)...)
	id := uint64(0)
	sparseLoad(h, &id, 5*time.Second, 100*ms)
	sparseLoad(h, &id, 15*time.Second, 3*time.Second) // all attempts time out
	paused := 0
	for _, n := range h.scheduler.nodes.list {
		if n.depth < 1 {
			paused++
		}
	}
	if paused < 9 {
		t.Fatalf("only %d nodes have a depth below 1 after 15 s of time-outs", paused)
	}
	sparseLoad(h, &id, 6*time.Second, 100*ms)
	if in, out := sparseLoad(h, &id, 10*time.Second, 100*ms); in < 0.9 || out < 0.8 {
		t.Errorf("from 6 s after the recovery: sent %.2f of the reserved requests and %.2f of the others", in, out)
	}
}

// An unresponsive node stays paused while the other nodes are healthy, if attempts at suspect nodes rarely
// succeed.
func TestUnresponsiveNodeStaysPaused(t *testing.T) {
	h := newHarness(t, testConfig(), nodeList(2)...)
	n := h.scheduler.nodes.byName["n0"]
	h.scheduler.overall.estimate, h.scheduler.overall.suspectSuccessRatio = estimate{latency: 0.1, depth: 1}, 0.1
	n.health.suspect, n.latency, n.depth = true, 1.5, 0.05
	for range 50 {
		h.stepAfter(compensationPeriod)
	}
	if n.depth > 0.2 {
		t.Errorf("the depth of an unresponsive node is %v after 5 s, want at most 0.2", n.depth)
	}
}

// Requests of classes with different objectives share a node's queue. The depth must follow the shortest one.
func TestShortestObjectiveBoundsTheDepth(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1].LatencyObjective = 4 * time.Second
	h := newHarness(t, cfg, nodeList(1)...)
	for i := uint64(1); i <= 40; i++ {
		ev := h.arrival(i, int(min(i%4, 1)), 0, "v", fmt.Sprint(i), 2)
		ev.Arrival.Shard = 0
		h.step(ev)
		h.stepAfter(100*ms, attemptEnded(i, "n0", decision.Served))
	}
	if objective := h.scheduler.nodes.byName["n0"].objective; objective > 2 {
		t.Errorf("a node that serves objectives of 1 s and 4 s has the objective %.1f s, want at most 2 s", objective)
	}
}
