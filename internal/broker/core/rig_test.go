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

// testNode is the id of the one node of every rig.
const testNode = "a"

// rig is a broker over the decision module, one node and a fake backend.
type rig struct {
	broker    *Broker[string, string]
	clock     *clock.Clock
	endpoints *EndpointTable
}

// inBubble runs a test in a synctest bubble, whose goroutines end with ctx.
func inBubble(t *testing.T, test func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(ctx, t)
	})
}

// newRig starts a rig whose one class has the given properties.
func newRig(ctx context.Context, t *testing.T, b Backend[string, string], class decision.Class) *rig {
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
	r := &rig{clock: clock.New(), endpoints: NewEndpointTable()}
	r.endpoints.Update([]Node{{ID: testNode, Addr: "x"}}, true)
	d.UpdateEndpoints([]decision.Endpoint{{Node: testNode, Shard: 0}}, true)
	go RunDecisions(ctx, d, r.clock)
	r.broker = NewBroker(d, r.endpoints, NewConcurrencyLimiter(2), b, r.clock, &limits.Limits{AnswerMargin: 5000})
	return r
}

// request is one that its client waits 4 s for.
func (r *rig) request() Request[string] {
	return Request[string]{
		Work: "w",
		RequestInfo: dispatcher.RequestInfo{
			Volume:   "v",
			Key:      "k",
			Units:    1,
			Deadline: r.clock.Now() + 4_000_000,
		},
	}
}

// fakeBackend takes a while for each attempt, which then has the next outcome of a list.
type fakeBackend struct {
	outcomes []Outcome // the last one is repeated
	duration time.Duration

	mu       sync.Mutex
	attempts int
	last     Attempt[string]
	aborted  Outcome // of the attempt that ended with its context
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
