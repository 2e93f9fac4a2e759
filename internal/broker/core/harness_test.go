package core

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

// testNode is the id of the only node of every harness.
const testNode = "a"

// harness is a broker with a decision module, one node and a test backend.
type harness struct {
	broker    *Broker[string, string]
	clock     *clock.Clock
	endpoints *EndpointTable
}

// inBubble runs a test in a synctest bubble. ctx is cancelled at the end of the test, so that its goroutines end.
func inBubble(t *testing.T, test func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(ctx, t)
	})
}

// newHarness starts a harness whose only class has the given properties.
func newHarness(ctx context.Context, t *testing.T, b Backend[string, string], class decision.Class) *harness {
	t.Helper()
	class.Name = "c"
	class.LatencyObjective = 4 * time.Second
	class.Deadline = 4 * time.Second
	class.PriorityWeight = 1
	d, err := dispatcher.New(decision.Config{
		Brokers:     1,
		MaxAttempts: 3,
		MeanUnits:   1,
		MaxUnits:    8,
		Classes:     []decision.Class{class},
		Plans:       []decision.Plan{{Name: "p", Weight: 1, PriceFactor: 1, UsualRate: 100, ReservedRate: 100}},
	}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{clock: clock.New(), endpoints: NewEndpointTable()}
	h.endpoints.Update([]Node{{ID: testNode, Addr: "x"}}, true)
	d.UpdateEndpoints([]decision.Endpoint{{Node: testNode, Shard: 0}}, true)
	go RunDecisions(ctx, d, h.clock)
	h.broker = NewBroker(d, h.endpoints, NewConcurrencyLimiter(2), b, h.clock, &limits.Limits{ResponseMargin: 5000})
	return h
}

// request returns a request with a deadline in 4 s.
func (h *harness) request() Request[string] {
	return Request[string]{
		Work: "w",
		RequestInfo: dispatcher.RequestInfo{
			Volume:   "v",
			Key:      "k",
			Units:    1,
			Deadline: h.clock.Now() + 4_000_000,
		},
	}
}

// fakeBackend ends each attempt after a fixed duration, with the next outcome of a list.
type fakeBackend struct {
	outcomes []Outcome // the last one is repeated
	duration time.Duration

	mu       sync.Mutex
	attempts int
	last     Attempt[string]
	aborted  Outcome // outcome of the attempt that ended because its context was done
}

func (b *fakeBackend) Attempt(ctx context.Context, a Attempt[string]) (string, Outcome) {
	b.mu.Lock()
	b.last = a
	b.attempts++
	outcome := b.outcomes[min(b.attempts, len(b.outcomes))-1]
	b.mu.Unlock()
	select {
	case <-time.After(b.duration):
		return "value of " + a.Work, outcome
	case <-ctx.Done():
		b.mu.Lock()
		defer b.mu.Unlock()
		b.aborted = OutcomeOf(ctx)
		return "", b.aborted
	}
}
