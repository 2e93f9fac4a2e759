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

// newDispatcher returns a dispatcher with one node. A goroutine of the synctest bubble calls Tick until ctx is done.
func newDispatcher(ctx context.Context, t *testing.T, idempotency decision.Idempotency) *Dispatcher {
	t.Helper()
	return newDispatcherWithClass(ctx, t, decision.Class{Idempotency: idempotency})
}

// newDispatcherWithClass is newDispatcher with a class whose order and idempotency are given.
func newDispatcherWithClass(ctx context.Context, t *testing.T, class decision.Class) *Dispatcher {
	t.Helper()
	class.Name = "c"
	class.LatencyObjective = 2 * time.Second
	class.Deadline = 4 * time.Second
	class.PriorityWeight = 1
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

// submit submits a request and waits for the first decision.
func submit(ctx context.Context, d *Dispatcher, r RequestInfo) (uint64, Decision) {
	s := d.Submit(r)
	return s.ID, d.Await(ctx, s)
}

func TestServedRequestIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		dispatcher := newDispatcher(ctx, t, decision.Idempotent)
		select {
		case <-dispatcher.WatchRequested():
		default:
			t.Error("the module did not request a watch of the endpoint list")
		}
		id, d := submit(ctx, dispatcher, testRequest())
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

// A request that is not idempotent fails if its attempt may have been executed, and else is retried.
func TestNonIdempotentRequestIsRetriedOnlyIfNotExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		dispatcher := newDispatcher(ctx, t, decision.NotIdempotent)
		id, _ := submit(ctx, dispatcher, testRequest())
		d := dispatcher.Report(ctx, id, decision.Rejected)
		if d.Verdict != Forward {
			t.Fatalf("after an attempt that was not executed: got %+v, want the verdict Forward", d)
		}
		if d = dispatcher.Report(ctx, id, decision.ConnectionLost); d.Verdict != Failed {
			t.Fatalf("after an attempt that may have been executed: got %+v, want the verdict Failed", d)
		}
	})
}

// The request of a caller that stops waiting is removed, whether or not the module had decided on it.
func TestRequestOfACallerThatStopsWaitingIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		dispatcher := newDispatcher(ctx, t, decision.Idempotent)
		request := testRequest()
		request.Shard = 0
		var ids []uint64
		for range 3 { // up to the initial depth, so that the next one is queued
			id, d := submit(ctx, dispatcher, request)
			if d.Verdict != Forward {
				t.Fatalf("got %+v", d)
			}
			ids = append(ids, id)
		}
		waitingCtx, cancelWaiting := context.WithCancel(ctx)
		done := make(chan Decision)
		go func() {
			_, d := submit(waitingCtx, dispatcher, request)
			done <- d
		}()
		synctest.Wait()
		cancelWaiting()
		if d := <-done; d.Verdict != NoFurtherAction {
			t.Errorf("the caller that stopped waiting got %+v", d)
		}
		cancelledCtx, cancelDone := context.WithCancel(ctx)
		cancelDone()
		for _, id := range ids {
			if d := dispatcher.Report(cancelledCtx, id, decision.Cancelled); d.Verdict != NoFurtherAction {
				t.Errorf("got %+v", d)
			}
		}
		// If the caller stops waiting before the module decides, the attempt is reported as not made.
		if _, d := submit(cancelledCtx, dispatcher, request); d.Verdict == Forward {
			t.Errorf("got %+v", d)
		}
		synctest.Wait()
		time.Sleep(time.Second)
		if requests := dispatcher.scheduler.OpenRequests(); len(dispatcher.calls) > 0 || requests > 0 {
			t.Errorf("%d calls and %d requests are left", len(dispatcher.calls), requests)
		}
	})
}

// A request whose response is interrupted after its start is not retried, and Report does not block.
func TestInterruptedResponseEndsItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		dispatcher := newDispatcher(ctx, t, decision.Idempotent)
		id, _ := submit(ctx, dispatcher, testRequest())
		dispatcher.ResponseStarted(id)
		time.Sleep(3 * time.Second)
		if d := dispatcher.Report(ctx, id, decision.ConnectionLost); d.Verdict != NoFurtherAction {
			t.Fatalf("got %+v", d)
		}
		synctest.Wait()
		if requests := dispatcher.scheduler.OpenRequests(); requests > 0 {
			t.Errorf("%d requests are still open or have attempts in flight", requests)
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
		if _, d := submit(ctx, dispatcher, request); d.Verdict != Rejected || d.RetryAfter <= 0 {
			t.Fatalf("got %+v", d)
		}
	})
}

// Guards against a change of the order between Submit and the module: of two requests on a key of an ordered class, the
// one that was submitted first is executed first, even if its decision is awaited last.
func TestOrderedRequestsAreExecutedInTheOrderOfSubmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		dispatcher := newDispatcherWithClass(ctx, t, decision.Class{Idempotency: decision.Idempotent, Ordered: true})
		first, second := dispatcher.Submit(testRequest()), dispatcher.Submit(testRequest())
		secondDecided := make(chan Decision, 1)
		go func() { secondDecided <- dispatcher.Await(ctx, second) }()
		synctest.Wait()
		if d := dispatcher.Await(ctx, first); d.Verdict != Forward {
			t.Fatalf("first request: got %+v", d)
		}
		if len(secondDecided) > 0 {
			t.Fatal("the second request was decided on before the first was executed")
		}
		dispatcher.Report(ctx, first.ID, decision.Served)
		if d := <-secondDecided; d.Verdict != Forward {
			t.Fatalf("second request: got %+v", d)
		}
		dispatcher.Report(ctx, second.ID, decision.Served)
	})
}
