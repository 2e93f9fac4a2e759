package timerwheel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/testkit/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// Against a plain list: every timer fires once, at the first advance at or after its time, and stopped ones never.
func TestAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 10
		now := rapid.Int64Range(0, 1<<40).Draw(t, "start")
		w := New(now, tick)
		timers := make([]Timer, 12)
		want := map[int]int64{}
		for i := range timers {
			timers[i].ID = fmt.Sprint(i)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, len(timers)-1).Draw(t, "timer")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				at := now + rapid.SampledFrom([]int64{-5, 1, 10, 2555, 2560, 700000, 1 << 28, 1 << 38, 1 << 45}).Draw(t, "in") + rapid.Int64Range(0, 3000).Draw(t, "and")
				w.Set(&timers[i], at)
				want[i] = max(at, now)
			case 2:
				w.Stop(&timers[i])
				delete(want, i)
			default:
				if next, ok := w.Next(); ok && len(want) > 0 {
					for i, at := range want {
						if at+tick < next && (at+tick-1)/tick*tick < next && at > now {
							t.Fatalf("timer %d at %d, but nothing is said to fire before %d", i, at, next)
						}
					}
				}
				now += rapid.SampledFrom([]int64{1, 9, 10, 300, 2560, 655360, 5000000}).Draw(t, "step")
				w.Advance(now, func(x *Timer) {
					var i int
					fmt.Sscan(x.ID, &i)
					at, ok := want[i]
					if !ok || at > now {
						t.Fatalf("timer %d fired at %d, set to %d (%v)", i, now, at, ok)
					}
					delete(want, i)
				})
				for i, at := range want {
					if at <= now-tick {
						t.Fatalf("timer %d at %d has not fired by %d", i, at, now)
					}
				}
			}
			if w.Len() != len(want) {
				t.Fatalf("%d timers, want %d", w.Len(), len(want))
			}
		}
	})
}

// list is a heap of deadlines, as plain code would have it.
type item struct {
	at int64
	i  int
}
type list struct {
	items []*item
}

func (l *list) Len() int           { return len(l.items) }
func (l *list) Less(a, b int) bool { return l.items[a].at < l.items[b].at }
func (l *list) Swap(a, b int) {
	l.items[a], l.items[b] = l.items[b], l.items[a]
	l.items[a].i, l.items[b].i = a, b
}
func (l *list) Push(x any) { it := x.(*item); it.i = len(l.items); l.items = append(l.items, it) }
func (l *list) Pop() any {
	it := l.items[len(l.items)-1]
	l.items = l.items[:len(l.items)-1]
	return it
}

// Deadlines that are moved again and again before they come.
func BenchmarkTimers(b *testing.B) {
	const n = 100_000
	r := rand.New(rand.NewPCG(1, 2))
	b.Run("wheel", func(b *testing.B) {
		w := New(0, 1000)
		ts := make([]Timer, n)
		for i := range ts {
			w.Set(&ts[i], 1000+r.Int64N(30_000_000))
		}
		now := int64(0)
		for b.Loop() {
			now += 10
			w.Set(&ts[r.IntN(n)], now+1000+r.Int64N(30_000_000))
			w.Advance(now, func(t *Timer) { w.Set(t, now+30_000_000) })
		}
	})
	b.Run("heap", func(b *testing.B) {
		l := &list{}
		items := make([]item, n)
		for i := range items {
			items[i].at = 1000 + r.Int64N(30_000_000)
			heap.Push(l, &items[i])
		}
		now := int64(0)
		for b.Loop() {
			now += 10
			it := &items[r.IntN(n)]
			it.at = now + 1000 + r.Int64N(30_000_000)
			heap.Fix(l, it.i)
			for l.items[0].at <= now {
				l.items[0].at = now + 30_000_000
				heap.Fix(l, 0)
			}
		}
	})
}
