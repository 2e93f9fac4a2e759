// Package model is what the broker balances, as events: storage nodes, the network, discovery, clients and brokers. The decisions of a broker are a
// Design's; everything else is the same for all designs, down to the random numbers.
package model

import (
	"math"

	"poppyarch/internal/lab/engine"
	"poppyarch/internal/lab/history"
)

// Node is a storage node: it serves in turn of arrival on some cores and has a waiting room. It starts cold, stands still now and then, is slow,
// silent or gone.
type Node struct {
	Cores int
	Speed float64 // 1: a core does a second of work in a second
	Room  int     // requests that may wait; 0: any number

	id          int32
	name        string
	shard, zone int32
	state       history.State
	began       int64 // its last start; 0: long ago

	e       *engine.Engine
	service *Service
	cold    *SlowStart
	mean    float64 // of a request's work
	level   func(by float64)
	fell    func(n *Node)
	reached func() // while cold

	waiting []*Work // from head on
	head    int
	busy    int
	epoch   int  // of its process; what an earlier one had is lost
	down    bool // no process: connections are refused
	away    bool // no machine: nothing comes or goes
	fallen  bool
	silent  bool
	hung    bool
	slow    float64 // 0: as it is
	lossy   float64 // part of its answers that get lost
	errors  float64 // part of its answers that are errors
	stalled int64   // all pauses so far, the present one in full
	awake   int64   // when that is over
	conns   int
	keys    []uint64
	putOff  float64
	recent  []offer // within the window of a fall
	peak    float64 // most of it against what the settings say that any node bears, chance included
	told    float64 // requests of mean work that the settings say any node bears in the window at its start
	served  int
	open    []*attempt
	heir    *Node   // what has replaced it
	kind    float64 // its power against the mean, as its kind tells
}

// offer is what has reached a cold node, in requests of mean work.
type offer struct {
	at   int64
	size float64
}

// Work is one attempt at a node.
type Work struct {
	Size  float64 // microseconds of a core at speed 1
	key   uint64
	write bool
	first bool // of the request
	done  func()
	gone  bool // given up: skipped while it waits, carried on with once begun
}

// power is the part of its speed that it has now.
func (n *Node) power() float64 {
	p := 1.0
	if n.slow > 0 {
		p = n.slow
	}
	return p * n.warmth()
}

func (n *Node) warmth() float64 {
	if n.cold == nil || n.cold.Duration == 0 || n.began == 0 {
		return 1
	}
	age := float64(n.e.Now()-n.began) / float64(n.cold.Duration.us())
	return min(1, n.cold.InitialCapacity+(1-n.cold.InitialCapacity)*age)
}

// bears is how many requests of mean work it stands while cold, in the window, before chance is reckoned with.
func (n *Node) bears() float64 {
	return n.cold.OverloadFactor * n.warmth() * n.Speed * float64(n.Cores) * float64(n.cold.Window.us()) / n.mean
}

// offer counts what reaches it, turned away or not: too much of it in too short a time, and a cold node falls.
func (n *Node) offer(size float64) {
	if n.cold == nil || n.cold.OverloadFactor == 0 || n.began == 0 || n.warmth() >= 1 {
		return
	}
	if n.reached != nil {
		n.reached()
	}
	now := n.e.Now()
	n.recent = append(n.recent, offer{now, size / n.mean})
	for n.recent[0].at < now-n.cold.Window.us() {
		n.recent = n.recent[1:]
	}
	sum := 0.0
	for _, x := range n.recent {
		sum += x.size
	}
	told := n.told * (1 + (1-n.cold.InitialCapacity)/n.cold.InitialCapacity*max(0, float64(now-n.began-n.cold.Window.us()))/float64(n.cold.Duration.us()))
	n.peak = max(n.peak, sum/withChance(told))
	if sum > withChance(n.bears()) {
		n.fallen = true
		n.stop()
		n.down = true
		n.fell(n)
	}
}

// withChance is how many requests come in a window at the most if so many do in the mean.
func withChance(n float64) float64 { return n + 3*math.Sqrt(n) + 3 }

// Take files an attempt, or reports that the room is full.
func (n *Node) Take(w *Work) bool {
	if n.Room > 0 && n.busy >= n.Cores && n.queued() >= n.Room {
		return false
	}
	n.level(1)
	if n.busy < n.Cores && !n.hung {
		n.begin(w)
	} else {
		n.waiting = append(n.waiting, w)
	}
	return true
}

func (n *Node) queued() int { return len(n.waiting) - n.head }

// costs is a request's work where it comes to be done: less for a key just met, and a write's rest later.
func (n *Node) costs(w *Work) float64 {
	size := w.Size
	if n.service == nil {
		return size
	}
	if w.write && n.service.DeferredWrite > 0 {
		n.putOff += size * n.service.DeferredWrite
		size *= 1 - n.service.DeferredWrite
	}
	if most := n.service.CachedKeys; most > 0 && w.key != 0 {
		known := false
		for i, k := range n.keys {
			if k == w.key {
				known = true
				n.keys = append(n.keys[:i], n.keys[i+1:]...)
				break
			}
		}
		if known && w.first {
			size *= 1 - n.service.CacheMissCost
		}
		if n.keys = append(n.keys, w.key); len(n.keys) > most {
			n.keys = n.keys[1:]
		}
	}
	return size
}

func (n *Node) begin(w *Work) {
	n.busy++
	// Begun within a pause it waits for the rest of it, and for no more.
	before := n.stalled - max(n.awake-n.e.Now(), 0)
	epoch := n.epoch
	n.e.After(max(int64(n.costs(w)/(n.Speed*n.power())), 1), func() { n.end(w, before, epoch) })
}

// end is the end of a request's work, unless the node stood still meanwhile: then it comes so much later.
func (n *Node) end(w *Work, before int64, epoch int) {
	if epoch != n.epoch {
		return
	}
	if late := n.stalled - before; late > 0 {
		stalled := n.stalled
		n.e.After(late, func() { n.end(w, stalled, epoch) })
		return
	}
	n.busy--
	n.level(-1)
	n.served++
	if !n.silent && w.done != nil {
		w.done()
	}
	n.next()
}

// next begins what waits, past what was given up.
func (n *Node) next() {
	for n.busy < n.Cores && n.head < len(n.waiting) && !n.hung {
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

// backlog is the work of what it holds, in microseconds of a core at speed 1.
func (n *Node) backlog() float64 {
	sum := float64(n.busy) * n.mean / 2
	for _, w := range n.waiting[n.head:] {
		if !w.gone {
			sum += w.Size
		}
	}
	return sum
}

// Pause has the node stand still for so long. Pauses do not overlap: one that comes within another begins behind it.
func (n *Node) Pause(d int64) {
	n.awake = max(n.awake, n.e.Now()) + d
	n.stalled += d
}

// flush does what was put off, all cores at once.
func (n *Node) flush() {
	if n.putOff > 0 && !n.down && !n.away {
		n.Pause(int64(n.putOff / (float64(n.Cores) * n.Speed * n.power())))
		n.putOff = 0
	}
}

// stop ends its process: all that it had is lost.
func (n *Node) stop() {
	n.level(-float64(n.busy + n.queued()))
	n.epoch++
	n.waiting, n.head, n.busy, n.keys, n.recent, n.putOff, n.conns = nil, 0, 0, nil, nil, 0, 0
}

// start begins a new process, cold.
func (n *Node) start() {
	n.down, n.away, n.silent, n.hung, n.fallen = false, false, false, false, false
	n.began = max(n.e.Now(), 1)
}
