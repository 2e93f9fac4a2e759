// Package model is what the broker balances, as events: storage nodes, clients and brokers. The decisions of a broker are a
// Design's; everything else is the same for all designs, down to the random numbers.
package model

import "poppyarch/internal/lab/engine"

// Node is a storage node: it serves in turn of arrival on some cores, has a waiting room, and now and then stands still or is
// silent.
type Node struct {
	Cores int
	Speed float64 // 1: a core does a second of work in a second
	Room  int     // requests that may wait; 0: any number

	e       *engine.Engine
	waiting []*Work // from head on
	head    int
	busy    int
	silent  bool
	stalled int64 // all pauses so far, the present one in full
	awake   int64 // when that is over
	level   func(by float64)
	held    []*Work // done in silence
}

// Work is one attempt at a node.
type Work struct {
	Size float64 // microseconds of a core at speed 1
	done func()
	gone bool // given up: skipped while it waits, carried on with once begun
}

// Take files an attempt, or reports that the room is full.
func (n *Node) Take(w *Work) bool {
	if n.Room > 0 && n.busy >= n.Cores && n.queued() >= n.Room {
		return false
	}
	n.level(1)
	if n.busy < n.Cores {
		n.begin(w)
	} else {
		n.waiting = append(n.waiting, w)
	}
	return true
}

func (n *Node) queued() int { return len(n.waiting) - n.head }

func (n *Node) begin(w *Work) {
	n.busy++
	// Begun within a pause it waits for the rest of it, and for no more.
	before := n.stalled - max(n.awake-n.e.Now(), 0)
	n.e.After(max(int64(w.Size/n.Speed), 1), func() { n.end(w, before) })
}

// end is the end of a request's work, unless the node stood still meanwhile: then it comes so much later.
func (n *Node) end(w *Work, before int64) {
	if late := n.stalled - before; late > 0 {
		stalled := n.stalled
		n.e.After(late, func() { n.end(w, stalled) })
		return
	}
	n.busy--
	n.level(-1)
	if n.silent {
		n.held = append(n.held, w)
	} else {
		w.done()
	}
	n.next()
}

// next begins what waits, past what was given up.
func (n *Node) next() {
	for n.busy < n.Cores && n.head < len(n.waiting) {
		w := n.waiting[n.head]
		n.waiting[n.head] = nil
		if n.head++; 2*n.head >= len(n.waiting) { // memory follows what waits, not what has passed
			n.waiting, n.head = append(n.waiting[:0], n.waiting[n.head:]...), 0
		}
		if w.gone {
			n.level(-1)
			continue
		}
		n.begin(w)
	}
}

// Pause has the node stand still for so long. Pauses do not overlap: one that comes within another begins behind it.
func (n *Node) Pause(d int64) {
	n.awake = max(n.awake, n.e.Now()) + d
	n.stalled += d
}

// Silence has the node answer nothing until Speak; it goes on working.
func (n *Node) Silence() { n.silent = true }

// Speak ends a silence. What was done in it was answered into the void.
func (n *Node) Speak() { n.silent, n.held = false, nil }
