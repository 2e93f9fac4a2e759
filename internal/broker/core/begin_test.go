package core

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

// lateBackend connects for as long as it is told and then asks whether its attempt may begin, as the real ones do. Attempts
// that begin end as told.
type lateBackend struct {
	connect  []time.Duration // by attempt
	outcomes []Outcome
	began    []int64
	asked    int
	clock    *clock.Clock
}

func (b *lateBackend) Attempt(ctx context.Context, a Attempt[string]) (string, Outcome) {
	n := b.asked
	b.asked++
	time.Sleep(b.connect[min(n, len(b.connect)-1)])
	if !a.MayStart() {
		return "", NotAttempted
	}
	b.began = append(b.began, b.clock.Now())
	return "v", b.outcomes[min(n, len(b.outcomes)-1)]
}

// broker over two nodes and one class whose repeats are dropped for a second.
func startKeyed(ctx context.Context, t *testing.T, be *lateBackend, group decision.DedupScope) *Broker[string, string] {
	t.Helper()
	f, err := dispatcher.New(decision.Config{Brokers: 1, MaxAttempts: 3, MeanUnits: 1, MaxUnits: 8,
		Classes: []decision.Class{{Name: "c", LatencyObjective: 4 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: decision.IdempotentByKey, DedupScope: group,
			DedupWindow: time.Second}},
		Plans: []decision.Plan{{Name: "p", Weight: 1, PriceFactor: 1, UsualRate: 100, ReservedRate: 100}}}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	n := NewEndpointTable()
	n.Update([]Node{{ID: "a", Addr: "x"}}, true)
	f.UpdateEndpoints([]decision.Endpoint{{Node: "a", Shard: 0}}, true)
	be.clock = clock.New()
	go RunDecisions(ctx, f, be.clock)
	return NewBroker[string, string](f, n, NewConcurrencyLimiter(2), be, be.clock, &limits.Limits{AnswerMargin: 5000})
}

// A repeat is decided on within the class's window, but its connection comes up after that: it must not be sent. What may
// then be answered goes by whom repeats are dropped.
func TestRepeatDoesNotBeginAfterItsWindow(t *testing.T) {
	for _, x := range []struct {
		group   decision.DedupScope
		connect time.Duration
		begins  int
		kind    Status
	}{
		{decision.DedupEverywhere, 900 * time.Millisecond, 2, Success},
		{decision.DedupEverywhere, 1100 * time.Millisecond, 1, Rejection},
		{decision.DedupShard, 1100 * time.Millisecond, 1, Failure},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			be := &lateBackend{connect: []time.Duration{0, x.connect}, outcomes: []Outcome{ConnectionLost, Served}}
			b := startKeyed(ctx, t, be, x.group)
			if a := b.Handle(ctx, request(be.clock)); a.Status != x.kind || len(be.began) != x.begins {
				t.Errorf("connected after %v: kind %d and %d attempts begun, want %d and %d", x.connect, a.Status, len(be.began), x.kind, x.begins)
			}
		})
	}
}

// A client that has gone without its front having noticed gets no attempt, neither a first nor a further one.
func TestNoAttemptBeginsForAClientThatHasGone(t *testing.T) {
	for begins := range 2 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			be := &lateBackend{connect: []time.Duration{0}, outcomes: []Outcome{ConnectionLost}}
			b := startKeyed(ctx, t, be, decision.DedupEverywhere)
			r := request(be.clock)
			var looks atomic.Int32
			r.ClientGone = func() bool { return int(looks.Add(1)) > begins }
			a := b.Handle(ctx, r)
			if len(be.began) != begins || looks.Load() != int32(begins+1) || a.Status != Failure {
				t.Errorf("%d attempts begun after %d looks, want %d; kind %d", len(be.began), looks.Load(), begins, a.Status)
			}
			if n := b.open.InFlight(); n != 0 {
				t.Errorf("%d still open", n)
			}
		})
	}
}

// The cause of a drain's end counts as the client's time being up: a node that was silent until then has timed out.
func TestDrainEndsAttemptsAsTimedOut(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(ErrDeadlineExceeded)
	child, stop := context.WithCancelCause(ctx)
	defer stop(errors.New("later"))
	if out := OutcomeOf(child); out != TimedOut {
		t.Errorf("outcome %d", out)
	}
}
