package timerwheel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/testkit/fixedseed"
	"poppyarch/internal/timing/clock"
)

func TestMain(m *testing.M) { fixedseed.RunTests(m) }

// wheelModel applies the same operations to a wheel and to a map of the expected deadlines.
type wheelModel struct {
	wheel     *Wheel
	now       clock.Micros
	timers    []Timer
	deadlines map[string]clock.Micros // of the active timers, by ID
}

const modelTick = 10

func newWheelModel(now clock.Micros) *wheelModel {
	m := &wheelModel{
		wheel:     New(now, modelTick),
		now:       now,
		timers:    make([]Timer, 12),
		deadlines: map[string]clock.Micros{},
	}
	for i := range m.timers {
		m.timers[i].ID = fmt.Sprint(i)
	}
	return m
}

func (m *wheelModel) set(timer *Timer, deadline clock.Micros) {
	m.wheel.Set(timer, deadline)
	m.deadlines[timer.ID] = max(deadline, m.now)
}

func (m *wheelModel) stop(timer *Timer) {
	m.wheel.Stop(timer)
	delete(m.deadlines, timer.ID)
}

// checkNext checks that no timer is due before the time that Next returns.
func (m *wheelModel) checkNext(t *rapid.T) {
	next, ok := m.wheel.Next()
	if !ok {
		return
	}
	for id, at := range m.deadlines {
		roundedUp := (at + modelTick - 1) / modelTick * modelTick
		if at+modelTick < next && roundedUp < next && at > m.now {
			t.Fatalf("timer %s is due at %d, but Next returned the later time %d", id, at, next)
		}
	}
}

// advance moves the time forward by step and checks that exactly the due timers fire.
func (m *wheelModel) advance(t *rapid.T, step clock.Micros) {
	m.now += step
	m.wheel.Advance(m.now, func(timer *Timer) {
		at, ok := m.deadlines[timer.ID]
		if !ok || at > m.now {
			t.Fatalf("timer %s fired at %d, its deadline is %d (active: %v)", timer.ID, m.now, at, ok)
		}
		delete(m.deadlines, timer.ID)
	})
	for id, at := range m.deadlines {
		if at <= m.now-modelTick {
			t.Fatalf("timer %s was due at %d and has not fired by %d", id, at, m.now)
		}
	}
}

func TestTimersFireOnceAtTheirDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newWheelModel(clock.Micros(rapid.Int64Range(0, 1<<40).Draw(t, "start")))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			timer := &m.timers[rapid.IntRange(0, len(m.timers)-1).Draw(t, "timer")]
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				delay := rapid.SampledFrom([]clock.Micros{-5, 1, 10, 2555, 2560, 700000, 1 << 28, 1 << 38, 1 << 45}).Draw(t, "delay")
				m.set(timer, m.now+delay+clock.Micros(rapid.Int64Range(0, 3000).Draw(t, "extra delay")))
			case 2:
				m.stop(timer)
			default:
				m.checkNext(t)
				m.advance(t, rapid.SampledFrom([]clock.Micros{1, 9, 10, 300, 2560, 655360, 5000000}).Draw(t, "step"))
			}
			if m.wheel.Len() != len(m.deadlines) {
				t.Fatalf("%d active timers, want %d", m.wheel.Len(), len(m.deadlines))
			}
		}
	})
}

// deadline is an entry of a deadlineHeap.
type deadline struct {
	at    clock.Micros
	index int // in the heap
}

// deadlineHeap is the binary heap that the benchmark compares with the wheel.
type deadlineHeap struct {
	items []*deadline
}

func (h *deadlineHeap) Len() int           { return len(h.items) }
func (h *deadlineHeap) Less(a, b int) bool { return h.items[a].at < h.items[b].at }
func (h *deadlineHeap) Swap(a, b int) {
	h.items[a], h.items[b] = h.items[b], h.items[a]
	h.items[a].index = a
	h.items[b].index = b
}

func (h *deadlineHeap) Push(x any) {
	d := x.(*deadline)
	d.index = len(h.items)
	h.items = append(h.items, d)
}

func (h *deadlineHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}

// BenchmarkTimers reschedules timers before they are due, in a wheel and in a heap.
func BenchmarkTimers(b *testing.B) {
	const n = 100_000
	r := rand.New(rand.NewPCG(1, 2))
	b.Run("wheel", func(b *testing.B) {
		w := New(0, 1000)
		ts := make([]Timer, n)
		for i := range ts {
			w.Set(&ts[i], 1000+clock.Micros(r.Int64N(30_000_000)))
		}
		now := clock.Micros(0)
		for b.Loop() {
			now += 10
			w.Set(&ts[r.IntN(n)], now+1000+clock.Micros(r.Int64N(30_000_000)))
			w.Advance(now, func(t *Timer) { w.Set(t, now+30_000_000) })
		}
	})
	b.Run("heap", func(b *testing.B) {
		h := &deadlineHeap{}
		items := make([]deadline, n)
		for i := range items {
			items[i].at = 1000 + clock.Micros(r.Int64N(30_000_000))
			heap.Push(h, &items[i])
		}
		now := clock.Micros(0)
		for b.Loop() {
			now += 10
			it := &items[r.IntN(n)]
			it.at = now + 1000 + clock.Micros(r.Int64N(30_000_000))
			heap.Fix(h, it.index)
			for h.items[0].at <= now {
				h.items[0].at = now + 30_000_000
				heap.Fix(h, 0)
			}
		}
	})
}
