package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/clock"
)

const second clock.Micros = 1_000_000

// newDispatcher starts a dispatcher that knows one node, ticked by a goroutine of the synctest bubble until ctx is
// done.
func newDispatcher(ctx context.Context, t *testing.T, idempotency decision.Idempotency) *Dispatcher {
	t.Helper()
	class := decision.Class{
		Name: "c", LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: idempotency,
	}
	d, err := New(decision.Config{
		Brokers: 1, MaxAttempts: 3, MeanUnits: 1, MaxUnits: 8,
		SendsRetryAfter: true, MaxRetryAfter: time.Second,
		PollsEndpoints: true, MaxPollInterval: 10 * time.Second,
		Classes: []decision.Class{class},
		Plans:   []decision.Plan{{Name: "p", Weight: 1, PriceFactor: 1, UsualRate: 100, ReservedRate: 100}},
	}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	d.UpdateEndpoints([]decision.Endpoint{{Node: "a", Shard: 0}}, true)
	start := time.Now()
	go func() {
		for timer := time.NewTimer(0); ; {
			now := 1000*second + clock.FromDuration(time.Since(start))
			timer.Reset(clock.Duration(d.Tick(now) - now))
			select {
			case <-ctx.Done():
				return
			case <-d.TickDue():
			case <-timer.C:
			}
		}
	}()
	synctest.Wait()
	return d
}

func testRequest() RequestInfo {
	return RequestInfo{Volume: "v", Key: "k", Units: 1, Shard: 0, Brokers: 1, Deadline: 1004 * second}
}

func TestServedRequestLeavesNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		dispatcher := newDispatcher(ctx, t, decision.Idempotent)
		select {
		case <-dispatcher.WatchRequested():
		default:
			t.Error("the module did not ask for the endpoint list")
		}
		id, d := dispatcher.Submit(ctx, testRequest())
		if d.Verdict != Forward || d.Node != "a" || d.Timeout != 2*second {
			t.Fatalf("got %+v", d)
		}
		if d = dispatcher.Report(ctx, id, decision.Served); d.Verdict != NoFurtherAction {
			t.Fatalf("got %+v", d)
		}
		synctest.Wait()
		if requests := dispatcher.scheduler.OpenRequests(); len(dispatcher.calls) > 0 || requests > 0 {
			t.Errorf("%d calls and %d requests are left", len(dispatcher.calls), requests)
		}
	})
}

// A request that is not idempotent fails if its attempt may have run, and is retried if it did not.
func TestNonIdempotentRequestIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		dispatcher := newDispatcher(ctx, t, decision.NotIdempotent)
		id, _ := dispatcher.Submit(ctx, testRequest())
		d := dispatcher.Report(ctx, id, decision.Rejected)
		if d.Verdict != Forward {
			t.Fatalf("after an attempt that never ran: %+v", d)
		}
		if d = dispatcher.Report(ctx, id, decision.ConnectionLost); d.Verdict != Failed {
			t.Fatalf("after an attempt that may have run: %+v", d)
		}
	})
}

// A caller that stops waiting leaves nothing behind, whether the module had decided or not.
func TestCallerThatStopsWaitingLeavesNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		dispatcher := newDispatcher(ctx, t, decision.Idempotent)
		request := testRequest()
		request.Shard = 0
		var ids []uint64
		for range 3 { // up to the initial depth, so that the next one is queued
			id, d := dispatcher.Submit(ctx, request)
			if d.Verdict != Forward {
				t.Fatalf("got %+v", d)
			}
			ids = append(ids, id)
		}
		leavingCtx, leave := context.WithCancel(ctx)
		done := make(chan Decision)
		go func() {
			_, d := dispatcher.Submit(leavingCtx, request)
			done <- d
		}()
		synctest.Wait()
		leave()
		if d := <-done; d.Verdict != NoFurtherAction {
			t.Errorf("the caller that left got %+v", d)
		}
		doneCtx, cancelDone := context.WithCancel(ctx)
		cancelDone()
		for _, id := range ids {
			if d := dispatcher.Report(doneCtx, id, decision.Cancelled); d.Verdict != NoFurtherAction {
				t.Errorf("got %+v", d)
			}
		}
		// A caller that stops waiting before the module decides: an attempt sent for it is reported as not made.
		if _, d := dispatcher.Submit(doneCtx, request); d.Verdict == Forward {
			t.Errorf("got %+v", d)
		}
		synctest.Wait()
		time.Sleep(time.Second)
		if requests := dispatcher.scheduler.OpenRequests(); len(dispatcher.calls) > 0 || requests > 0 {
			t.Errorf("%d calls and %d requests are left", len(dispatcher.calls), requests)
		}
	})
}

// A response that started and broke ends its request: it is not retried and nobody waits.
func TestBrokenResponseEndsItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		dispatcher := newDispatcher(ctx, t, decision.Idempotent)
		id, _ := dispatcher.Submit(ctx, testRequest())
		dispatcher.ResponseStarted(id)
		time.Sleep(3 * time.Second)
		if d := dispatcher.Report(ctx, id, decision.ConnectionLost); d.Verdict != NoFurtherAction {
			t.Fatalf("got %+v", d)
		}
		synctest.Wait()
		if requests := dispatcher.scheduler.OpenRequests(); requests > 0 {
			t.Errorf("%d requests are left, or attempts of them", requests)
		}
	})
}

func TestRejectionCarriesRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		dispatcher := newDispatcher(ctx, t, decision.Idempotent)
		request := testRequest()
		request.Shard = 7
		if _, d := dispatcher.Submit(ctx, request); d.Verdict != Rejected || d.RetryAfter <= 0 {
			t.Fatalf("got %+v", d)
		}
	})
}
