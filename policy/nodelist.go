package policy

import (
	"cmp"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// learn takes the node list's news.
func (s *Scheduler) learn(ev *decision.Event) {
	if ev.Kind == decision.EndpointWatchFailed {
		// Asked again at once by all, a queue that has got long never empties.
		s.askAt = s.now + s.backoff.RetryDelay(s.failed, ev.RetryWithin, s.jitter.Float64())
		s.watching, s.failed = false, s.failed+1
		return
	}
	s.failed = 0
	if ev.Kind == decision.EndpointsReplaced {
		for _, n := range s.list {
			n.listed, n.leftAt = false, s.now
		}
	}
	for i := range ev.Endpoints {
		m := &ev.Endpoints[i]
		n := s.nodes[m.Node]
		if n == nil {
			n = &node{byVol: map[*volume]*flow{}, aim: s.cfg.Classes[0].LatencyObjective.Seconds()}
			c := orOne(m.Capacity) // what its kind lets expect, until it is measured
			n.depth, n.lat, n.mean = min(maxDepth, firstDepth*c), s.all.lat/c, s.all.mean/c
			s.nodes[m.Node], s.list = n, append(s.list, n)
		} else if m.StartedAt > n.StartedAt {
			n.depth = 1
		}
		n.Endpoint, n.listed, n.leftAt = *m, m.State != decision.Removed, s.now
	}
	s.byShard = map[int][]*node{-1: s.list}
	for _, n := range s.list {
		s.byShard[n.Shard] = append(s.byShard[n.Shard], n)
		s.askedOf[n.Shard] = cmp.Or(s.askedOf[n.Shard], &rate.Meter{})
	}
	for _, n := range s.list {
		for _, f := range n.flows { // what waits for a node that takes nothing new goes elsewhere or is refused
			for (!n.listed || n.State != decision.Ready) && len(f.queue) > 0 {
				r := f.queue[0]
				s.leave(r)
				s.place(r)
			}
		}
	}
}
