// Package engine is a discrete-event simulation engine: it runs events in the order of their times. A run is
// deterministic for its seed: events of the same time run in the order in which they were scheduled, and every source
// of randomness has its own stream. Times are microseconds.
package engine

import (
	"hash/fnv"
	"math/rand/v2"
)

// Event is a function that runs at a simulated time.
type Event struct {
	At  int64
	seq uint64
	Do  func()
}

// before orders events by time, then by the order in which they were scheduled.
func (e *Event) before(o *Event) bool { return e.At < o.At || e.At == o.At && e.seq < o.seq }

// Engine runs the events of one simulation. It is not safe for concurrent use; concurrent simulations need one each.
type Engine struct {
	seed  uint64
	now   int64
	seq   uint64
	queue Queue
	count uint64
}

// New returns an engine whose simulated time is 0.
func New(seed uint64) *Engine { return &Engine{seed: seed} }

// Now returns the simulated time.
func (e *Engine) Now() int64 { return e.now }

// EventCount returns the number of events that have run.
func (e *Engine) EventCount() uint64 { return e.count }

// At schedules f for a time. With a time in the past, f runs now, after the events already scheduled for now.
func (e *Engine) At(at int64, f func()) {
	e.seq++
	e.queue.Push(Event{At: max(at, e.now), seq: e.seq, Do: f})
}

// After schedules f for a time that is d from now.
func (e *Engine) After(d int64, f func()) { e.At(e.now+d, f) }

// Run runs all events up to and including a time, and sets the simulated time to it.
func (e *Engine) Run(until int64) {
	for {
		next, ok := e.queue.Pop(until)
		if !ok {
			break
		}
		e.now = next.At
		e.count++
		next.Do()
	}
	e.now = max(e.now, until)
}

// Stream returns a random number generator that depends on the engine's seed and the name only, not on what is drawn
// from other streams. Renaming a stream changes the results of a seed.
func (e *Engine) Stream(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(e.seed, h.Sum64()))
}
