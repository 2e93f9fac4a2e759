package core

import (
	"context"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

func TestRetriesFollowTheIdempotencyOfTheClass(t *testing.T) {
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
				h := newHarness(ctx, t, b, decision.Class{Idempotency: x.idempotency})
				resp := h.broker.Handle(ctx, h.request())
				if resp.Status != x.status || b.attempts != x.attempts {
					t.Fatalf("status %d after %d attempts, want %d after %d", resp.Status, b.attempts, x.status, x.attempts)
				}
				if resp.Status == Success && resp.Value != "value of w" {
					t.Errorf("value %q, want \"value of w\"", resp.Value)
				}
				if n := h.broker.limiter.InFlight(); n != 0 {
					t.Errorf("%d requests are still in flight, want 0", n)
				}
			})
		})
	}
}

// The response is sent before the request's deadline even if the backend does not end its attempt.
func TestResponseComesBeforeTheDeadline(t *testing.T) {
	for _, idempotency := range []decision.Idempotency{decision.Idempotent, decision.NotIdempotent} {
		inBubble(t, func(ctx context.Context, t *testing.T) {
			b := &fakeBackend{outcomes: []Outcome{Served}, duration: time.Hour}
			h := newHarness(ctx, t, b, decision.Class{Idempotency: idempotency})
			req := h.request()
			req.Deadline = h.clock.Now() + 3_000_000 // earlier than the latency objective, which would also end the attempt
			resp := h.broker.Handle(ctx, req)
			b.mu.Lock()
			defer b.mu.Unlock()
			if resp.Status == Success || h.clock.Now() > req.Deadline {
				t.Errorf("status %d, %d us after the deadline", resp.Status, h.clock.Now()-req.Deadline)
			}
			if resp.Status == Rejection && idempotency == decision.NotIdempotent {
				t.Error("a request that may have been executed was rejected")
			}
			if b.aborted != TimedOut {
				t.Errorf("outcome %d, want TimedOut", b.aborted)
			}
		})
	}
}

// An attempt ends no later than its request, and MayStart reports the current state of the node.
func TestAttemptHasTheRemainingTimeAndChecksForDrain(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		b := &fakeBackend{outcomes: []Outcome{Rejected, Served}, duration: 500 * time.Millisecond}
		h := newHarness(ctx, t, b, decision.Class{Idempotency: decision.Idempotent})
		req := h.request()
		if resp := h.broker.Handle(ctx, req); resp.Status != Success {
			t.Fatalf("status %d", resp.Status)
		}
		if b.last.Deadline > req.Deadline || b.last.Deadline < h.clock.Now() {
			t.Errorf("the attempt's deadline is %d, want a time from now until the request's deadline %d", b.last.Deadline, req.Deadline)
		}
		if !b.last.MayStart() {
			t.Error("MayStart is false although the node is ready")
		}
		h.endpoints.Update([]Node{{ID: testNode, Addr: "x", State: decision.Draining}}, false)
		if b.last.MayStart() {
			t.Error("MayStart is true although the node is draining")
		}
	})
}

func TestClientDisconnectEndsTheAttemptImmediately(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		b := &fakeBackend{outcomes: []Outcome{Served}, duration: time.Hour}
		h := newHarness(ctx, t, b, decision.Class{Idempotency: decision.Idempotent})
		client, disconnect := context.WithCancelCause(ctx)
		startedAt := h.clock.Now()
		time.AfterFunc(time.Second, func() { disconnect(ErrClientDisconnected) })
		if resp := h.broker.Handle(client, h.request()); resp.Status == Success || h.clock.Now()-startedAt != 1_000_000 {
			t.Errorf("status %d after %d us, want no success after 1000000 us", resp.Status, h.clock.Now()-startedAt)
		}
		if b.aborted != Cancelled {
			t.Errorf("outcome %d, want Cancelled", b.aborted)
		}
	})
}

func TestNoAttemptIsMadeAtARemovedNode(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		b := &fakeBackend{outcomes: []Outcome{Served}, duration: time.Second}
		h := newHarness(ctx, t, b, decision.Class{Idempotency: decision.Idempotent})
		// The decision module is not notified of this change.
		h.endpoints.Update([]Node{{ID: testNode, State: decision.Removed}, {ID: "b"}}, false)
		if resp := h.broker.Handle(ctx, h.request()); resp.Status != Rejection || b.attempts != 0 {
			t.Errorf("status %d after %d attempts, want a rejection without an attempt", resp.Status, b.attempts)
		}
		h.endpoints.Update([]Node{{ID: "c"}}, true)
		if n := h.endpoints.Len(); n != 1 {
			t.Errorf("%d nodes listed, want 1", n)
		}
	})
}

func TestRequestBeyondTheConcurrencyLimitIsRejected(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		b := &fakeBackend{outcomes: []Outcome{Served}, duration: time.Second}
		h := newHarness(ctx, t, b, decision.Class{Idempotency: decision.Idempotent})
		statuses := make(chan Status, 3)
		for range 3 {
			go func() { statuses <- h.broker.Handle(ctx, h.request()).Status }()
		}
		count := map[Status]int{}
		for range 3 {
			count[<-statuses]++
		}
		if count[Success] != 2 || count[Rejection] != 1 {
			t.Errorf("responses by status: %v, want 2 of status %d and 1 of status %d", count, Success, Rejection)
		}
	})
}
