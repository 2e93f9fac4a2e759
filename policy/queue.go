package policy

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"
)

// flow is one volume's queue at one node.
type flow struct {
	vol        *volume
	queue      []*request
	lastFinish float64
	served     float64 // units this period, over all hosts as far as told
	comp       float64
}

// enqueue gives a request its tags and puts it in its volume's queue.
func (s *Scheduler) enqueue(r *request, n *node) {
	f := n.byVol[r.vol]
	if f == nil {
		f = &flow{vol: r.vol}
		n.byVol[r.vol], n.flows = f, append(n.flows, f)
	}
	if r.flow != f || r.attempts == 0 {
		r.flow, r.start = f, max(n.virtual(), f.lastFinish)
		r.finish = r.start + r.a.Units/r.vol.plan.Weight
		f.lastFinish = r.finish
	}
	i := sort.Search(len(f.queue), func(i int) bool { return f.queue[i].start > r.start })
	f.queue, r.waiting = slices.Insert(f.queue, i, r), true
	if n.queued <= 0 {
		s.busy = append(s.busy, n)
	}
	n.queued += r.a.Units
	r.vol.waiting += r.a.Units
}

// virtual is the node's virtual time: the highest start tag sent while busy, else the highest finish tag.
func (n *node) virtual() float64 {
	if len(n.out) > 0 {
		return n.vStart
	}
	return n.vEnd
}

// leave takes a waiting request out of its queue. The last of a queue gives its tag back.
func (s *Scheduler) leave(r *request) {
	if !r.waiting {
		return
	}
	r.waiting = false
	s.ends = drop(s.ends, r)
	f := r.flow
	f.queue = drop(f.queue, r)
	r.node.queued -= r.a.Units
	r.vol.waiting -= r.a.Units
	if f.lastFinish == r.finish && r.attempts == 0 {
		f.lastFinish = r.start
	}
}

// dispatch sends while fewer than D requests are out: lowest start tag plus compensation first.
func (s *Scheduler) dispatch(n *node) {
	for n.queued > 0 && len(n.out) < n.room() && s.now >= n.retryAt {
		var best *request
		for _, f := range n.flows {
			if r := s.head(f, n); r != nil && (best == nil || r.start+f.comp < best.start+best.flow.comp) {
				best = r
			}
		}
		if best == nil {
			return
		}
		s.send(best, n)
	}
}

// room is how many requests may be out: D, but one where the last attempt may only have got lost.
func (n *node) room() int {
	if n.held > 0 {
		return 1
	}
	return int(max(n.depth, 1))
}

// paused is how long the pause between sends still lasts: under a D of 1, one goes in every mean stay over D.
// What is inside a reserve is owed in full and waits for none, unless trials at suspect nodes are hardly ever
// served, as where nodes go on with what timed out or are dead: then a tenth, from a D of a tenth on.
func (s *Scheduler) paused(r *request, n *node) time.Duration {
	d := n.depth
	if r.reserved {
		d *= 10
	}
	if d >= 1 || len(n.out) > 0 || r.reserved && s.trust >= trustLeast {
		return 0
	}
	return n.sentAt + time.Duration(n.lat/d*float64(time.Second)) - s.now
}

// head is the first request of a flow that may go now; a blocked one does not hold up those behind it.
func (s *Scheduler) head(f *flow, n *node) *request {
	for i := 0; i < len(f.queue) && i < lookPast; i++ {
		if r := f.queue[i]; s.maySend(r, n) && s.paused(r, n) <= 0 {
			return r
		}
	}
	return nil
}

// tidy forgets clients that try no more, keys at rest, and volumes and nodes long unseen, but no node while
// its drain, cold start, an attempt or a send in the rule's window may count if it comes back.
func (s *Scheduler) tidy() {
	gone := func(n *node) bool {
		return !n.listed && s.now > n.leftAt+forget+s.cfg.SlowStartDuration && len(n.out) == 0
	}
	s.list = slices.DeleteFunc(s.list, gone)
	s.byShard[-1] = s.list
	maps.DeleteFunc(s.nodes, func(_ string, n *node) bool { return gone(n) })
	maps.DeleteFunc(s.unserved, func(_ piece, until time.Duration) bool { return until <= s.now })
	maps.DeleteFunc(s.turns, func(_ string, t *turn) bool { return len(t.queue) == 0 && t.rest <= s.now })
	maps.DeleteFunc(s.vols, func(_ string, v *volume) bool {
		return v.waiting == 0 && s.now > v.seen+forget && // and full when it is met again:
			v.limit.RefillRate*forget.Seconds() >= v.limit.Burst
	})
}

// endPeriod compares the served units of volumes with waiting requests and sets the compensation.
func (s *Scheduler) endPeriod() {
	for _, n := range s.list {
		s.inWindow(n)
		for _, r := range n.out { // what is still out tells of a long stay sooner than its answer would
			if !r.long && (s.now-r.sentAt).Seconds() > pauseAim*n.aim {
				r.long = true
				s.sway(n.aim, -1)
			}
		}
		if s.all.lat > 0 {
			s.age(n)
		}
		least := math.Inf(1)
		for _, f := range n.flows {
			if len(f.queue) > 0 {
				least = min(least, f.served/f.vol.plan.Weight)
			}
		}
		for _, f := range n.flows {
			w := f.vol.plan.Weight
			if gap := f.served/w - least; len(f.queue) > 0 && gap > epsUnits*s.cfg.MeanUnits {
				f.comp = gap * w
			} else if len(f.queue) == 0 {
				f.comp = 0 // nobody waits, so there is nothing to hold back
			}
			f.served = 0
		}
		n.flows = slices.DeleteFunc(n.flows, func(f *flow) bool {
			done := len(f.queue) == 0 && f.lastFinish <= n.virtual()
			if done {
				delete(n.byVol, f.vol)
			}
			return done
		})
	}
}
