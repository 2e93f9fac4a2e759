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

// backend answers attempts from a list, each after a while; it counts what it is asked for.
type backend struct {
	mu       sync.Mutex
	outcomes []Outcome
	takes    time.Duration
	calls    int
	last     Attempt[string]
	ended    Outcome // of an attempt that did not end by itself
}

func (b *backend) Attempt(ctx context.Context, a Attempt[string]) (string, Outcome) {
	b.mu.Lock()
	b.last = a
	b.calls++
	o := b.outcomes[min(b.calls, len(b.outcomes))-1]
	b.mu.Unlock()
	select {
	case <-time.After(b.takes):
		return "value of " + a.Work, o
	case <-ctx.Done():
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ended = OutcomeOf(ctx)
		return "", b.ended
	}
}

// start runs a broker over the real module and one node.
func start(ctx context.Context, t *testing.T, b *backend, repeat decision.Idempotency, node string) (*Broker[string, string],
	*clock.Clock, *EndpointTable) {
	t.Helper()
	f, err := dispatcher.New(decision.Config{Brokers: 1, MaxAttempts: 3, MeanUnits: 1, MaxUnits: 8,
		Classes: []decision.Class{{Name: "c", LatencyObjective: 4 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: repeat}},
		Plans:   []decision.Plan{{Name: "p", Weight: 1, PriceFactor: 1, UsualRate: 100, ReservedRate: 100}}}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	c, n := clock.New(), NewEndpointTable()
	n.Update([]Node{{ID: node, Addr: "x"}}, true)
	f.UpdateEndpoints([]decision.Endpoint{{Node: node, Shard: 0}}, true)
	go RunDecisions(ctx, f, c)
	lim := &limits.Limits{AnswerMargin: 5000}
	return NewBroker[string, string](f, n, NewConcurrencyLimiter(2), b, c, lim), c, n
}

func request(c *clock.Clock) Request[string] {
	return Request[string]{Work: "w", RequestInfo: dispatcher.RequestInfo{Volume: "v", Key: "k", Units: 1, Deadline: c.Now() + 4_000_000}}
}

func TestLifeOfARequest(t *testing.T) {
	for _, x := range []struct {
		name     string
		repeat   decision.Idempotency
		outcomes []Outcome
		kind     Status
		calls    int
	}{
		{"served", decision.NotIdempotent, []Outcome{Served}, Success, 1},
		{"unsafe and turned away goes again", decision.NotIdempotent, []Outcome{Rejected, Served}, Success, 2},
		{"unsafe and never connected goes again", decision.NotIdempotent, []Outcome{ConnectFailed, Served}, Success, 2},
		{"unsafe and lost fails", decision.NotIdempotent, []Outcome{ConnectionLost, Served}, Failure, 1},
		{"unsafe and in error fails", decision.NotIdempotent, []Outcome{NodeError, Served}, Failure, 1},
		{"unsafe, turned away, then lost fails", decision.NotIdempotent, []Outcome{Rejected, ConnectionLost, Served}, Failure, 2},
		{"unsafe and always turned away is refused", decision.NotIdempotent, []Outcome{Rejected}, Rejection, 3},
		{"safe and lost goes again", decision.Idempotent, []Outcome{ConnectionLost, Served}, Success, 2},
		{"safe and always lost is refused", decision.Idempotent, []Outcome{ConnectionLost}, Rejection, 3},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				be := &backend{outcomes: x.outcomes, takes: time.Millisecond}
				b, c, _ := start(ctx, t, be, x.repeat, "a")
				a := b.Handle(ctx, request(c))
				if a.Status != x.kind || be.calls != x.calls {
					t.Fatalf("kind %d after %d attempts, want %d after %d", a.Status, be.calls, x.kind, x.calls)
				}
				if a.Status == Success && a.Value != "value of w" {
					t.Errorf("value %q", a.Value)
				}
				if n := b.open.InFlight(); n != 0 {
					t.Errorf("%d still open", n)
				}
			})
		})
	}
}

// A backend that never ends its attempt does not hold the answer past the client's time.
func TestAnswerComesBeforeTheClientGivesUp(t *testing.T) {
	for _, repeat := range []decision.Idempotency{decision.Idempotent, decision.NotIdempotent} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			be := &backend{outcomes: []Outcome{Served}, takes: time.Hour}
			b, c, _ := start(ctx, t, be, repeat, "a")
			r := request(c)
			r.Deadline = c.Now() + 3_000_000 // before its aim, which ends an attempt otherwise
			a := b.Handle(ctx, r)
			be.mu.Lock()
			defer be.mu.Unlock()
			if a.Status == Success || c.Now() > r.Deadline {
				t.Errorf("kind %d, %d us after it was due", a.Status, c.Now()-r.Deadline)
			}
			if a.Status == Rejection && repeat == decision.NotIdempotent {
				t.Error("a refusal of what may have run")
			}
			if be.ended != TimedOut {
				t.Errorf("outcome %d: the module must hear that the node was silent", be.ended)
			}
		})
	}
}

// An attempt's time is what is left of the client's, and its node is asked about once more by Open.
func TestAttemptCarriesWhatIsLeftAndTheDrainState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		be := &backend{outcomes: []Outcome{Rejected, Served}, takes: 500 * time.Millisecond}
		b, c, n := start(ctx, t, be, decision.Idempotent, "a")
		r := request(c)
		if a := b.Handle(ctx, r); a.Status != Success {
			t.Fatalf("kind %d", a.Status)
		}
		if be.last.Deadline > r.Deadline || be.last.Deadline < c.Now() {
			t.Errorf("the attempt ends at %d, its client at %d", be.last.Deadline, r.Deadline)
		}
		if !be.last.MayStart() {
			t.Error("the node takes work, Open says no")
		}
		n.Update([]Node{{ID: "a", Addr: "x", State: decision.Draining}}, false)
		if be.last.MayStart() {
			t.Error("the node drains, Open says it takes work")
		}
	})
}

// A client that leaves ends its attempt at once.
func TestClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		be := &backend{outcomes: []Outcome{Served}, takes: time.Hour}
		b, c, _ := start(ctx, t, be, decision.Idempotent, "a")
		client, leave := context.WithCancelCause(ctx)
		began := c.Now()
		time.AfterFunc(time.Second, func() { leave(ErrClientDisconnected) })
		if a := b.Handle(client, request(c)); a.Status == Success || c.Now()-began != 1_000_000 {
			t.Errorf("kind %d after %d us", a.Status, c.Now()-began)
		}
		if be.ended != Cancelled {
			t.Errorf("outcome %d: it tells nothing of the node", be.ended)
		}
	})
}

// A node that has left the list meanwhile gets nothing, and the table keeps nothing of it.
func TestNodesThatAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		be := &backend{outcomes: []Outcome{Served}, takes: time.Second}
		b, c, n := start(ctx, t, be, decision.Idempotent, "a")
		n.Update([]Node{{ID: "a", State: decision.Removed}, {ID: "b"}}, false) // the module has not heard of it yet
		if a := b.Handle(ctx, request(c)); a.Status != Rejection || be.calls != 0 {
			t.Errorf("kind %d after %d attempts", a.Status, be.calls)
		}
		n.Update([]Node{{ID: "c"}}, true)
		if len(n.byID) != 1 {
			t.Errorf("%d nodes known, want 1", len(n.byID))
		}
	})
}

// Beyond the gate nothing reaches the module; the answer is a refusal, since nothing ran.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		be := &backend{outcomes: []Outcome{Served}, takes: time.Second}
		b, c, _ := start(ctx, t, be, decision.Idempotent, "a")
		kinds := make(chan Status, 3)
		for range 3 {
			go func() { kinds <- b.Handle(ctx, request(c)).Status }()
		}
		count := map[Status]int{}
		for range 3 {
			count[<-kinds]++
		}
		if count[Success] != 2 || count[Rejection] != 1 {
			t.Errorf("%v", count)
		}
	})
}
