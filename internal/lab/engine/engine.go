// Package engine runs events in the order of their times. A run is repeatable to the byte: ties go by the order of
// filing, and every source of randomness has a stream of its own. Times are microseconds.
package engine

import (
	"hash/fnv"
	"math/rand/v2"
)

// Event is something that happens at a time.
type Event struct {
	At  int64
	seq uint64
	Do  func()
}

// before orders events.
func (e *Event) before(o *Event) bool { return e.At < o.At || e.At == o.At && e.seq < o.seq }

// Engine is one run. Not safe for use by several goroutines; runs beside each other have one each.
type Engine struct {
	seed  uint64
	now   int64
	seq   uint64
	queue Queue
	count uint64
}

// New returns a run that begins at 0.
func New(seed uint64) *Engine { return &Engine{seed: seed} }

// Now is the time.
func (e *Engine) Now() int64 { return e.now }

// Count is how many events have happened.
func (e *Engine) Count() uint64 { return e.count }

// At has f happen at a time; one that lies back happens now, after what is filed for now already.
func (e *Engine) At(at int64, f func()) {
	e.seq++
	e.queue.Push(Event{At: max(at, e.now), seq: e.seq, Do: f})
}

// After has f happen after a time.
func (e *Engine) After(d int64, f func()) { e.At(e.now+d, f) }

// Run goes on until a time, or until nothing is left to happen.
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

// Stream is a source's own random numbers: the same for the same seed and name, whatever others draw.
func (e *Engine) Stream(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(e.seed, h.Sum64()))
}
