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
func newFacade(t *testing.T, ctx context.Context, repeat decision.Repeat) *Facade {
	t.Helper()
	f, err := NewFacade(decision.Config{Hosts: 1, MaxAttempts: 3, MeanUnits: 1, MaxUnits: 8, Hints: true, MaxHint: time.Second,
		Ask: true, AskWithin: 10 * time.Second,
		Classes: []decision.Class{{Name: "c", Aim: 2 * time.Second, Deadline: 4 * time.Second, Worth: 1, Repeat: repeat}},
		Plans:   []decision.Plan{{Name: "p", Weight: 1, Price: 1, Rate: 100, Reserve: 100}}}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	f.List([]decision.Member{{Node: "a", Shard: 0}}, true)
	start := time.Now()
	go func() {
		for timer := time.NewTimer(0); ; {
			now := 1000*second + time.Since(start).Microseconds()
			timer.Reset(micros(f.Tick(now) - now))
			select {
			case <-ctx.Done():
				return
			case <-f.Wake():
			case <-timer.C:
			}
		}
	}()
	synctest.Wait()
	return f
}

func job() Job {
	return Job{Volume: "v", Key: "k", Units: 1, Shard: 0, Hosts: 1, Due: 1004 * second}
}

func TestFacadeServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFacade(t, ctx, decision.Safe)
		select {
		case <-f.WatchWanted():
		default:
			t.Error("the module did not ask for the node list")
		}
		id, d := f.Pick(ctx, job())
		if d.Verdict != ToNode || d.Node != "a" || d.Timeout != 2*second {
			t.Fatalf("got %+v", d)
		}
		if d = f.Report(ctx, id, decision.Served); d.Verdict != Ended {
			t.Fatalf("got %+v", d)
		}
		synctest.Wait()
		if requests := f.sched.Open(); len(f.calls) > 0 || requests > 0 {
			t.Errorf("%d calls and %d requests are left", len(f.calls), requests)
		}
	})
}

// An unsafe request whose attempt may have run fails; one whose attempt never ran goes out again.
func TestFacadeUnsafe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFacade(t, ctx, decision.Unsafe)
		id, _ := f.Pick(ctx, job())
		d := f.Report(ctx, id, decision.TurnedAway)
		if d.Verdict != ToNode {
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
		f := newFacade(t, ctx, decision.Safe)
		j := job()
		j.Shard = 0
		var ids []uint64
		for range 3 { // fills the first depth, so that the next one waits
			id, d := f.Pick(ctx, j)
			if d.Verdict != ToNode {
				t.Fatalf("got %+v", d)
			}
			ids = append(ids, id)
		}
		leaving, leave := context.WithCancel(ctx)
		done := make(chan Decision)
		go func() {
			_, d := f.Pick(leaving, j)
			done <- d
		}()
		synctest.Wait()
		leave()
		if d := <-done; d.Verdict != Ended {
			t.Errorf("the one that left got %+v", d)
		}
		gone, cancelled := context.WithCancel(ctx)
		cancelled()
		for _, id := range ids {
			if d := f.Report(gone, id, decision.Cancelled); d.Verdict != Ended {
				t.Errorf("got %+v", d)
			}
		}
		// A caller that has left before the module hears of it: what was sent for it is taken back.
		if _, d := f.Pick(gone, j); d.Verdict == ToNode {
			t.Errorf("got %+v", d)
		}
		synctest.Wait()
		time.Sleep(time.Second)
		if requests := f.sched.Open(); len(f.calls) > 0 || requests > 0 {
			t.Errorf("%d calls and %d requests are left", len(f.calls), requests)
		}
	})
}

// An answer that began and broke ends its request: nothing is sent again and nobody waits.
func TestFacadeBegunAnswerBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFacade(t, ctx, decision.Safe)
		id, _ := f.Pick(ctx, job())
		f.Began(id)
		time.Sleep(3 * time.Second)
		if d := f.Report(ctx, id, decision.ConnectionLost); d.Verdict != Ended {
			t.Fatalf("got %+v", d)
		}
		synctest.Wait()
		if requests := f.sched.Open(); requests > 0 {
			t.Errorf("%d requests are left, or attempts of them", requests)
		}
	})
}

// A refusal carries the module's advice.
func TestFacadeRefusalHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFacade(t, ctx, decision.Safe)
		j := job()
		j.Shard = 7
		if _, d := f.Pick(ctx, j); d.Verdict != Refused || d.Hint <= 0 {
			t.Fatalf("got %+v", d)
		}
	})
}
