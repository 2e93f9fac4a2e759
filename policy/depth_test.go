package policy

import (
	"fmt"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// sparseLoad drives a broker for span with six requests a second, each to another node, answered after latency
// or timed out. Requests with odd ids are beyond the reserve. It returns the parts of both kinds that were sent.
func sparseLoad(r *rig, id *uint64, span, latency time.Duration) (inside, beyond float64) {
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
	next, end := r.now, r.now+span
	for r.now < end {
		var evs []decision.Event
		inFlight = func() (keep []attempt) {
			for _, d := range inFlight {
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
			ev.Arrival.Shard = int(*id*7) % len(r.scheduler.nodes.list)
			r.scheduler.volumeOf(&decision.Arrival{Volume: "v1"}).reserveCredit = -1e9
			r.scheduler.volumeOf(&decision.Arrival{Volume: "v0"}).reserveCredit = 8
			evs = append(evs, ev)
			all[*id%2]++
		}
		for _, a := range r.after(10*ms, evs...) {
			if a.Kind != decision.Forward {
				continue
			}
			sent[a.ID%2]++
			d := attempt{a.ID, a.Node, r.now + latency, decision.Served}
			if latency > a.After {
				d.at, d.out = r.now+a.After, decision.TimedOut
			}
			inFlight = append(inFlight, d)
		}
	}
	for _, d := range inFlight {
		r.step(finalOutcome(d.id, d.node, d.out))
	}
	return sent[0] / all[0], sent[1] / all[1]
}

// When every node is slow, each of many brokers sees it at another node each time. The estimate of the fleet has
// to hold back work beyond the reserves.
func TestSlowFleetHoldsBackWorkBeyondTheReserve(t *testing.T) {
	r := newRig(t, testConfig(), fleetOf(150)...)
	id := uint64(0)
	if in, out := sparseLoad(r, &id, 5*time.Second, 100*ms); in < 0.95 || out < 0.95 {
		t.Errorf("low latencies: sent %.2f of the reserve's work and %.2f of the rest", in, out)
	}
	sparseLoad(r, &id, 2*time.Second, 900*ms) // one latency passes before anything is measured
	if in, out := sparseLoad(r, &id, 5*time.Second, 900*ms); out > 0.2 || in < 0.4 {
		t.Errorf("high latencies: sent %.2f of the reserve's work and %.2f of the rest", in, out)
	}
}

// Once latencies are low again, a broker that seldom sends to a node must not spare it for what it saw there
// last.
func TestPausesEndWhenTheFleetRecovers(t *testing.T) {
	r := newRig(t, testConfig(), fleetOf(12)...)
	id := uint64(0)
	sparseLoad(r, &id, 5*time.Second, 100*ms)
	sparseLoad(r, &id, 15*time.Second, 3*time.Second) // all time out
	paused := 0
	for _, n := range r.scheduler.nodes.list {
		if n.depth < 1 {
			paused++
		}
	}
	if paused < 9 {
		t.Fatalf("only %d nodes are spared after 10 s of time-outs", paused)
	}
	sparseLoad(r, &id, 6*time.Second, 100*ms)
	if in, out := sparseLoad(r, &id, 10*time.Second, 100*ms); in < 0.9 || out < 0.8 {
		t.Errorf("6 s after the end: sent %.2f of the reserve's work and %.2f of the rest", in, out)
	}
}

// A node that answers nothing stays paused while the others are well, as long as such nodes do not recover.
func TestSilentNodeStaysPaused(t *testing.T) {
	r := newRig(t, testConfig(), fleetOf(2)...)
	n := r.scheduler.nodes.byName["n0"]
	r.scheduler.fleet.estimate, r.scheduler.fleet.trialSuccess = estimate{latency: 0.1, depth: 1}, 0.1
	n.health.suspect, n.latency, n.depth = true, 1.5, 0.05
	for range 50 {
		r.after(compensationPeriod)
	}
	if n.depth > 0.2 {
		t.Errorf("D of a silent node is %v after 5 s", n.depth)
	}
}

// Classes with different objectives share a node's queue. The depth has to follow the shortest.
func TestShortestObjectiveBoundsTheDepth(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1].LatencyObjective = 4 * time.Second
	r := newRig(t, cfg, fleetOf(1)...)
	for i := uint64(1); i <= 40; i++ {
		ev := r.arrive(i, int(min(i%4, 1)), 0, "v", fmt.Sprint(i), 2)
		ev.Arrival.Shard = 0
		r.step(ev)
		r.after(100*ms, answered(i, "n0", decision.Served))
	}
	if objective := r.scheduler.nodes.byName["n0"].objective; objective > 2 {
		t.Errorf("a node that serves objectives of 1 s and 4 s is held to %.1f s", objective)
	}
}
