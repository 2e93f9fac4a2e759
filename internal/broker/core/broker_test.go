package core

import (
	"context"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

func TestRequestIsRetriedAsItsClassAllows(t *testing.T) {
	for _, x := range []struct {
		name        string
		idempotency decision.Idempotency
		outcomes    []Outcome
		status      Status
		attempts    int
	}{
		{"served", decision.NotIdempotent, []Outcome{Served}, Success, 1},
		{"not idempotent, rejected: retried", decision.NotIdempotent, []Outcome{Rejected, Served}, Success, 2},
		{"not idempotent, never connected: retried", decision.NotIdempotent, []Outcome{ConnectFailed, Served}, Success, 2},
		{"not idempotent, connection lost: fails", decision.NotIdempotent, []Outcome{ConnectionLost, Served}, Failure, 1},
		{"not idempotent, node error: fails", decision.NotIdempotent, []Outcome{NodeError, Served}, Failure, 1},
		{"not idempotent, rejected, then connection lost: fails", decision.NotIdempotent, []Outcome{Rejected, ConnectionLost, Served}, Failure, 2},
		{"not idempotent, always rejected: is rejected", decision.NotIdempotent, []Outcome{Rejected}, Rejection, 3},
		{"idempotent, connection lost: retried", decision.Idempotent, []Outcome{ConnectionLost, Served}, Success, 2},
		{"idempotent, connection always lost: is rejected", decision.Idempotent, []Outcome{ConnectionLost}, Rejection, 3},
	} {
		t.Run(x.name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, t *testing.T) {
				b := &fakeBackend{outcomes: x.outcomes, duration: time.Millisecond}
				r := newRig(ctx, t, b, decision.Class{Idempotency: x.idempotency})
				resp := r.broker.Handle(ctx, r.request())
				if resp.Status != x.status || b.attempts != x.attempts {
					t.Fatalf("status %d after %d attempts, want %d after %d", resp.Status, b.attempts, x.status, x.attempts)
				}
				if resp.Status == Success && resp.Value != "value of w" {
					t.Errorf("value %q", resp.Value)
				}
				if n := r.broker.limiter.InFlight(); n != 0 {
					t.Errorf("%d still in flight", n)
				}
			})
		})
	}
}

// A backend that does not end its attempt does not delay the response beyond the request's deadline.
func TestResponseComesBeforeTheDeadline(t *testing.T) {
	for _, idempotency := range []decision.Idempotency{decision.Idempotent, decision.NotIdempotent} {
		inBubble(t, func(ctx context.Context, t *testing.T) {
			b := &fakeBackend{outcomes: []Outcome{Served}, duration: time.Hour}
			r := newRig(ctx, t, b, decision.Class{Idempotency: idempotency})
			req := r.request()
			req.Deadline = r.clock.Now() + 3_000_000 // before its latency objective, which ends an attempt otherwise
			resp := r.broker.Handle(ctx, req)
			b.mu.Lock()
			defer b.mu.Unlock()
			if resp.Status == Success || r.clock.Now() > req.Deadline {
				t.Errorf("status %d, %d us after the deadline", resp.Status, r.clock.Now()-req.Deadline)
			}
			if resp.Status == Rejection && idempotency == decision.NotIdempotent {
				t.Error("a request that may have been executed is rejected")
			}
			if b.aborted != TimedOut {
				t.Errorf("outcome %d, want a timeout of the node", b.aborted)
			}
		})
	}
}

// An attempt has the time that is left for the request, and MayStart follows the node's state.
func TestAttemptHasTheRemainingTimeAndChecksForDrain(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		b := &fakeBackend{outcomes: []Outcome{Rejected, Served}, duration: 500 * time.Millisecond}
		r := newRig(ctx, t, b, decision.Class{Idempotency: decision.Idempotent})
		req := r.request()
		if resp := r.broker.Handle(ctx, req); resp.Status != Success {
			t.Fatalf("status %d", resp.Status)
		}
		if b.last.Deadline > req.Deadline || b.last.Deadline < r.clock.Now() {
			t.Errorf("the attempt ends at %d, its request at %d", b.last.Deadline, req.Deadline)
		}
		if !b.last.MayStart() {
			t.Error("MayStart is false though the node is ready")
		}
		r.endpoints.Update([]Node{{ID: testNode, Addr: "x", State: decision.Draining}}, false)
		if b.last.MayStart() {
			t.Error("MayStart is true though the node is draining")
		}
	})
}

func TestClientDisconnectEndsTheAttemptAtOnce(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		b := &fakeBackend{outcomes: []Outcome{Served}, duration: time.Hour}
		r := newRig(ctx, t, b, decision.Class{Idempotency: decision.Idempotent})
		client, disconnect := context.WithCancelCause(ctx)
		began := r.clock.Now()
		time.AfterFunc(time.Second, func() { disconnect(ErrClientDisconnected) })
		if resp := r.broker.Handle(client, r.request()); resp.Status == Success || r.clock.Now()-began != 1_000_000 {
			t.Errorf("status %d after %d us", resp.Status, r.clock.Now()-began)
		}
		if b.aborted != Cancelled {
			t.Errorf("outcome %d, want one that does not count against the node", b.aborted)
		}
	})
}

func TestNodeThatHasLeftTheListGetsNoAttempt(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		b := &fakeBackend{outcomes: []Outcome{Served}, duration: time.Second}
		r := newRig(ctx, t, b, decision.Class{Idempotency: decision.Idempotent})
		// The decision module does not know of this change.
		r.endpoints.Update([]Node{{ID: testNode, State: decision.Removed}, {ID: "b"}}, false)
		if resp := r.broker.Handle(ctx, r.request()); resp.Status != Rejection || b.attempts != 0 {
			t.Errorf("status %d after %d attempts", resp.Status, b.attempts)
		}
		r.endpoints.Update([]Node{{ID: "c"}}, true)
		if n := r.endpoints.Len(); n != 1 {
			t.Errorf("%d nodes known, want 1", n)
		}
	})
}

func TestRequestBeyondTheConcurrencyLimitIsRejected(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		b := &fakeBackend{outcomes: []Outcome{Served}, duration: time.Second}
		r := newRig(ctx, t, b, decision.Class{Idempotency: decision.Idempotent})
		statuses := make(chan Status, 3)
		for range 3 {
			go func() { statuses <- r.broker.Handle(ctx, r.request()).Status }()
		}
		count := map[Status]int{}
		for range 3 {
			count[<-statuses]++
		}
		if count[Success] != 2 || count[Rejection] != 1 {
			t.Errorf("%v", count)
		}
	})
}
