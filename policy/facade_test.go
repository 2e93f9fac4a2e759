package policy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

const second = int64(1000000)

// newFacade starts a facade that knows one node, ticked by a loop in a synctest bubble.
func newFacade(t *testing.T, ctx context.Context, repeat Repeat) *Facade {
	t.Helper()
	f, err := NewFacade(Config{Hosts: 1, MaxAttempts: 3, MeanUnits: 1, MaxUnits: 8, Hints: true, MaxHint: time.Second,
		Ask: true, AskWithin: 10 * time.Second,
		Classes: []Class{{Name: "c", Aim: 2 * time.Second, Deadline: 4 * time.Second, Worth: 1, Repeat: repeat}},
		Plans:   []Plan{{Name: "p", Weight: 1, Price: 1, Rate: 100, Reserve: 100}}}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	f.List([]Member{{Node: "a", Shard: 0}}, true)
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
		f := newFacade(t, ctx, Safe)
		select {
		case <-f.WatchWanted():
		default:
			t.Error("the module did not ask for the node list")
		}
		id, d := f.Pick(ctx, job())
		if d.Verdict != ToNode || d.Node != "a" || d.Timeout != 2*second {
			t.Fatalf("got %+v", d)
		}
		if d = f.Report(ctx, id, Served); d.Verdict != Ended {
			t.Fatalf("got %+v", d)
		}
		synctest.Wait()
		if len(f.calls) > 0 || len(f.sched.reqs) > 0 {
			t.Errorf("%d calls and %d requests are left", len(f.calls), len(f.sched.reqs))
		}
	})
}

// An unsafe request whose attempt may have run fails; one whose attempt never ran goes out again.
func TestFacadeUnsafe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFacade(t, ctx, Unsafe)
		id, _ := f.Pick(ctx, job())
		d := f.Report(ctx, id, TurnedAway)
		if d.Verdict != ToNode {
			t.Fatalf("after an attempt that never ran: %+v", d)
		}
		if d = f.Report(ctx, id, ConnectionLost); d.Verdict != Failed {
			t.Fatalf("after an attempt that may have run: %+v", d)
		}
	})
}

// A caller that stops waiting leaves nothing behind, whether the module had decided or not.
func TestFacadeCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFacade(t, ctx, Safe)
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
			if d := f.Report(gone, id, Cancelled); d.Verdict != Ended {
				t.Errorf("got %+v", d)
			}
		}
		// A caller that has left before the module hears of it: what was sent for it is taken back.
		if _, d := f.Pick(gone, j); d.Verdict == ToNode {
			t.Errorf("got %+v", d)
		}
		synctest.Wait()
		time.Sleep(time.Second)
		if len(f.calls) > 0 || len(f.sched.reqs) > 0 {
			t.Errorf("%d calls and %d requests are left", len(f.calls), len(f.sched.reqs))
		}
	})
}

// An answer that began and broke ends its request: nothing is sent again and nobody waits.
func TestFacadeBegunAnswerBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFacade(t, ctx, Safe)
		id, _ := f.Pick(ctx, job())
		f.Began(id)
		time.Sleep(3 * time.Second)
		if d := f.Report(ctx, id, ConnectionLost); d.Verdict != Ended {
			t.Fatalf("got %+v", d)
		}
		synctest.Wait()
		if n := f.sched.nodes["a"]; len(f.sched.reqs) > 0 || len(n.out) > 0 {
			t.Errorf("%d requests and %d attempts are left", len(f.sched.reqs), len(n.out))
		}
	})
}

// A stream to a slow client tells nothing of its node: how long it took must not slow the node's other work.
func TestStreamsAreNoSignOfASlowNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFacade(t, ctx, Safe)
		id, _ := f.Pick(ctx, job())
		f.Began(id)
		time.Sleep(3 * time.Second)
		f.Report(ctx, id, Served)
		synctest.Wait()
		if n := f.sched.nodes["a"]; n.depth < firstDepth || n.lat > 0.1 {
			t.Errorf("depth %v, latency %v s", n.depth, n.lat)
		}
	})
}

// A refusal carries the module's advice.
func TestFacadeRefusalHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFacade(t, ctx, Safe)
		j := job()
		j.Shard = 7
		if _, d := f.Pick(ctx, j); d.Verdict != Refused || d.Hint <= 0 {
			t.Fatalf("got %+v", d)
		}
	})
}
