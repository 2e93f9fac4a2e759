package engine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/testkit/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.RunTests(m) }

// eventHeap is the reference: the same order of events by container/heap.
type eventHeap []Event

func (p eventHeap) Len() int           { return len(p) }
func (p eventHeap) Less(a, b int) bool { return p[a].before(&p[b]) }
func (p eventHeap) Swap(a, b int)      { p[a], p[b] = p[b], p[a] }
func (p *eventHeap) Push(x any)        { *p = append(*p, x.(Event)) }
func (p *eventHeap) Pop() any {
	e := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return e
}

// The calendar queue returns events in the same order as a heap, whatever the distances between their times.
func TestQueueMatchesHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		var p eventHeap
		now, seq := int64(0), uint64(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "what") > 0 {
				seq++
				e := Event{At: now + rapid.SampledFrom([]int64{0, 1, 7, 1000, 20_000, 1 << 20, 1 << 40}).Draw(t, "in") + rapid.Int64Range(0, 50).Draw(t, "and"), seq: seq}
				q.Push(e)
				heap.Push(&p, e)
				continue
			}
			until := now + rapid.SampledFrom([]int64{0, 100, 1 << 21, 1 << 50}).Draw(t, "until")
			got, ok := q.Pop(until)
			want := len(p) > 0 && p[0].At <= until
			if ok != want {
				t.Fatalf("Pop until %d returned %v, want %v", until, ok, want)
			}
			if ok {
				e := heap.Pop(&p).(Event)
				if got.At != e.At || got.seq != e.seq {
					t.Fatalf("popped event at %d with sequence number %d, want %d, %d", got.At, got.seq, e.At, e.seq)
				}
				now = e.At
			}
			if q.Len() != len(p) {
				t.Fatalf("length %d, want %d", q.Len(), len(p))
			}
		}
	})
}

// Runs with the same seed are the same, and a random stream does not depend on what is drawn from others.
func TestRunsAreDeterministic(t *testing.T) {
	run := func(drawFromOther bool) (out []string) {
		e := New(7)
		a, b := e.Stream("a"), e.Stream("b")
		var tick func()
		tick = func() {
			out = append(out, fmt.Sprint(e.Now(), a.IntN(100)))
			if drawFromOther {
				b.IntN(100)
			}
			e.After(int64(a.IntN(50)), tick)
		}
		e.After(1, tick)
		e.Run(1000)
		return out
	}
	if x, y := fmt.Sprint(run(false)), fmt.Sprint(run(true)); x != y || len(x) < 100 {
		t.Errorf("two runs of one seed, the second with draws from another stream:\n%s\n%s", x, y)
	}
}

// BenchmarkQueue measures the hold operation, a pop followed by a push, at several queue lengths.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000, 1_000_000} {
		r := rand.New(rand.NewPCG(1, 2))
		next := func() int64 { return int64(r.ExpFloat64()*100_000) + 1 }
		b.Run(fmt.Sprintf("calendar/%d", n), func(b *testing.B) {
			var q Queue
			for k := range n {
				q.Push(Event{At: next(), seq: uint64(k)})
			}
			for k := n; b.Loop(); k++ {
				e, _ := q.Pop(1 << 62)
				q.Push(Event{At: e.At + next(), seq: uint64(k)})
			}
		})
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) {
			var p eventHeap
			for k := range n {
				heap.Push(&p, Event{At: next(), seq: uint64(k)})
			}
			for k := n; b.Loop(); k++ {
				e := heap.Pop(&p).(Event)
				heap.Push(&p, Event{At: e.At + next(), seq: uint64(k)})
			}
		})
	}
}
