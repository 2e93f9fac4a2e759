package core

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// connectingBackend takes some time to connect and then calls MayStart, as real backends do.
type connectingBackend struct {
	connect  []time.Duration // time to connect, by attempt; the last one is repeated
	outcomes []Outcome       // outcomes of attempts that start, by attempt; the last one is repeated
	attempts int
	started  int
}

func (b *connectingBackend) Attempt(_ context.Context, a Attempt[string]) (string, Outcome) {
	n := b.attempts
	b.attempts++
	time.Sleep(b.connect[min(n, len(b.connect)-1)])
	if !a.MayStart() {
		return "", NotAttempted
	}
	b.started++
	return "v", b.outcomes[min(n, len(b.outcomes)-1)]
}

// keyedClass returns a class whose duplicates are dropped for 1 s.
func keyedClass(scope decision.DedupScope) decision.Class {
	return decision.Class{Idempotency: decision.IdempotentByKey, DedupScope: scope, DedupWindow: time.Second}
}

// A retry is decided on within the class's deduplication window. If its connection is established after the window, it
// must not be sent. The response then depends on which nodes drop duplicates.
func TestRetryDoesNotStartAfterTheDedupWindow(t *testing.T) {
	for _, x := range []struct {
		scope   decision.DedupScope
		connect time.Duration
		started int
		status  Status
	}{
		{decision.DedupEverywhere, 900 * time.Millisecond, 2, Success},
		{decision.DedupEverywhere, 1100 * time.Millisecond, 1, Rejection},
		{decision.DedupShard, 1100 * time.Millisecond, 1, Failure},
	} {
		inBubble(t, func(ctx context.Context, t *testing.T) {
			b := &connectingBackend{
				connect:  []time.Duration{0, x.connect},
				outcomes: []Outcome{ConnectionLost, Served},
			}
			h := newHarness(ctx, t, b, keyedClass(x.scope))
			resp := h.broker.Handle(ctx, h.request())
			if resp.Status != x.status || b.started != x.started {
				t.Errorf("connected after %v: status %d and %d attempts started, want %d and %d",
					x.connect, resp.Status, b.started, x.status, x.started)
			}
		})
	}
}

// No attempt, neither the first nor a retry, is made for a client that has disconnected, even if its frontend has not
// detected that.
func TestNoAttemptStartsForADisconnectedClient(t *testing.T) {
	for wantStarted := range 2 {
		inBubble(t, func(ctx context.Context, t *testing.T) {
			b := &connectingBackend{connect: []time.Duration{0}, outcomes: []Outcome{ConnectionLost}}
			h := newHarness(ctx, t, b, keyedClass(decision.DedupEverywhere))
			req := h.request()
			var checks atomic.Int32
			req.ClientDisconnected = func() bool { return int(checks.Add(1)) > wantStarted }
			resp := h.broker.Handle(ctx, req)
			want := Rejection // nothing was executed
			if wantStarted > 0 {
				want = Failure
			}
			if b.started != wantStarted || checks.Load() != int32(wantStarted+1) || resp.Status != want {
				t.Errorf("%d attempts started after %d checks, want %d; status %d, want %d", b.started, checks.Load(), wantStarted, resp.Status, want)
			}
			if n := h.broker.limiter.InFlight(); n != 0 {
				t.Errorf("%d requests are still in flight, want 0", n)
			}
		})
	}
}

// An attempt that is cancelled at the drain deadline has timed out, as at the client's deadline.
func TestAttemptCancelledAtTheDrainDeadlineHasTimedOut(t *testing.T) {
	drain, expire := context.WithCancelCause(context.Background())
	expire(ErrDeadlineExceeded)
	ctx, cancel := context.WithCancelCause(drain)
	defer cancel(errors.New("another cause"))
	if out := OutcomeOf(ctx); out != TimedOut {
		t.Errorf("outcome %d, want TimedOut", out)
	}
}
