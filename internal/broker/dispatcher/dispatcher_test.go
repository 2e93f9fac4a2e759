package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"poppyarch/internal/broker/decision"
)

const second = int64(1000000)

// newFacade starts a facade that knows one node, ticked by a loop in a synctest bubble.
func newFacade(t *testing.T, ctx context.Context, repeat decision.Idempotency) *Dispatcher {
	t.Helper()
	f, err := New(decision.Config{Brokers: 1, MaxAttempts: 3, MeanUnits: 1, MaxUnits: 8, SendsRetryAfter: true, MaxRetryAfter: time.Second,
		PollsEndpoints: true, MaxPollInterval: 10 * time.Second,
		Classes: []decision.Class{{Name: "c", LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: repeat}},
		Plans:   []decision.Plan{{Name: "p", Weight: 1, PriceFactor: 1, UsualRate: 100, ReservedRate: 100}}}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	f.UpdateEndpoints([]decision.Endpoint{{Node: "a", Shard: 0}}, true)
	start := time.Now()
	go func() {
		for timer := time.NewTimer(0); ; {
			now := 1000*second + time.Since(start).Microseconds()
			timer.Reset(micros(f.Tick(now) - now))
			select {
			case <-ctx.Done():
				return
			case <-f.TickDue():
			case <-timer.C:
			}
		}
	}()
	synctest.Wait()
	return f
}

func job() RequestInfo {
	return RequestInfo{Volume: "v", Key: "k", Units: 1, Shard: 0, Brokers: 1, Deadline: 1004 * second}
}

func TestFacadeServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFacade(t, ctx, decision.Idempotent)
		select {
		case <-f.WatchRequested():
		default:
			t.Error("the module did not ask for the node list")
		}
		id, d := f.Submit(ctx, job())
		if d.Verdict != Forward || d.Node != "a" || d.Timeout != 2*second {
			t.Fatalf("got %+v", d)
		}
		if d = f.Report(ctx, id, decision.Served); d.Verdict != NoFurtherAction {
			t.Fatalf("got %+v", d)
		}
		synctest.Wait()
		if requests := f.sched.OpenRequests(); len(f.calls) > 0 || requests > 0 {
			t.Errorf("%d calls and %d requests are left", len(f.calls), requests)
		}
	})
}

// An unsafe request whose attempt may have run fails; one whose attempt never ran goes out again.
func TestFacadeUnsafe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFacade(t, ctx, decision.NotIdempotent)
		id, _ := f.Submit(ctx, job())
		d := f.Report(ctx, id, decision.Rejected)
		if d.Verdict != Forward {
			t.Fatalf("after an attempt that never ran: %+v", d)
		}
		if d = f.Report(ctx, id, decision.ConnectionLost); d.Verdict != Failed {
			t.Fatalf("after an attempt that may have run: %+v", d)
		}
	})
}

// A caller that stops waiting leaves nothing behind, whether the module had decided or not.
func TestFacadeCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFacade(t, ctx, decision.Idempotent)
		j := job()
		j.Shard = 0
		var ids []uint64
		for range 3 { // fills the first depth, so that the next one waits
			id, d := f.Submit(ctx, j)
			if d.Verdict != Forward {
				t.Fatalf("got %+v", d)
			}
			ids = append(ids, id)
		}
		leaving, leave := context.WithCancel(ctx)
		done := make(chan Decision)
		go func() {
			_, d := f.Submit(leaving, j)
			done <- d
		}()
		synctest.Wait()
		leave()
		if d := <-done; d.Verdict != NoFurtherAction {
			t.Errorf("the one that left got %+v", d)
		}
		gone, cancelled := context.WithCancel(ctx)
		cancelled()
		for _, id := range ids {
			if d := f.Report(gone, id, decision.Cancelled); d.Verdict != NoFurtherAction {
				t.Errorf("got %+v", d)
			}
		}
		// A caller that has left before the module hears of it: what was sent for it is taken back.
		if _, d := f.Submit(gone, j); d.Verdict == Forward {
			t.Errorf("got %+v", d)
		}
		synctest.Wait()
		time.Sleep(time.Second)
		if requests := f.sched.OpenRequests(); len(f.calls) > 0 || requests > 0 {
			t.Errorf("%d calls and %d requests are left", len(f.calls), requests)
		}
	})
}

// An answer that began and broke ends its request: nothing is sent again and nobody waits.
func TestFacadeBegunAnswerBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFacade(t, ctx, decision.Idempotent)
		id, _ := f.Submit(ctx, job())
		f.ResponseStarted(id)
		time.Sleep(3 * time.Second)
		if d := f.Report(ctx, id, decision.ConnectionLost); d.Verdict != NoFurtherAction {
			t.Fatalf("got %+v", d)
		}
		synctest.Wait()
		if requests := f.sched.OpenRequests(); requests > 0 {
			t.Errorf("%d requests are left, or attempts of them", requests)
		}
	})
}

// A refusal carries the module's advice.
func TestFacadeRefusalHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFacade(t, ctx, decision.Idempotent)
		j := job()
		j.Shard = 7
		if _, d := f.Submit(ctx, j); d.Verdict != Rejected || d.RetryAfter <= 0 {
			t.Fatalf("got %+v", d)
		}
	})
}
