package policy

import (
	"fmt"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// The benchmarks measure the cost of a request and of a timer step for several numbers of listed nodes. Results
// are in docs/measurements/full-fleet.md.

func benchHarness(b *testing.B, nodes int) *harness {
	s, err := New(testConfig())
	if err != nil {
		b.Fatal(err)
	}
	h := &harness{scheduler: s, now: time.Hour}
	h.step(decision.Event{Kind: decision.EndpointsReplaced, Endpoints: nodeList(nodes)})
	return h
}

func benchRequests(b *testing.B, shard func(i, nodes int) int) {
	for _, nodes := range []int{16, 128, 1024} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			h := benchHarness(b, nodes)
			id := uint64(0)
			for i := 0; b.Loop(); i++ {
				id++
				h.now += time.Millisecond
				ev := h.arrival(id, 0, 0, fmt.Sprint("v", i%64), "", 2)
				ev.Arrival.Shard = shard(i, nodes)
				for _, a := range h.step(ev) {
					if a.Kind == decision.Forward {
						h.step(attemptEnded(a.ID, a.Node, decision.Served))
					}
				}
			}
		})
	}
}

func BenchmarkRead(b *testing.B)      { benchRequests(b, func(i, nodes int) int { return i % nodes }) }
func BenchmarkNewObject(b *testing.B) { benchRequests(b, func(int, int) int { return -1 }) }

func BenchmarkTimerTurn(b *testing.B) {
	for _, nodes := range []int{16, 128, 1024} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			h := benchHarness(b, nodes)
			for b.Loop() {
				h.stepAfter(compensationPeriod)
			}
		})
	}
}

// BenchmarkStep measures the arrival and the response of one request at a broker with 50 nodes.
func BenchmarkStep(b *testing.B) {
	s, err := New(testConfig())
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	s.Step(now, []decision.Event{{Kind: decision.EndpointsReplaced, Endpoints: nodeListStartedAt(50, 0)}}, nil)
	acts := make([]decision.Action, 0, 16)
	for id := uint64(1); b.Loop(); id++ {
		now += 5 * ms
		acts = s.Step(now, []decision.Event{{Kind: decision.RequestArrived, ID: id, Arrival: decision.Arrival{Volume: fmt.Sprint("v", id%300), Units: 2,
			Shard: int(id % 50), Brokers: 2, Deadline: now + 4*time.Second}}}, acts[:0])
		for _, a := range acts {
			if a.Kind == decision.Forward {
				s.Step(now+2*ms, []decision.Event{attemptEnded(a.ID, a.Node, decision.Served)}, nil)
			}
		}
	}
}
