package model

import (
	"math/rand/v2"
	"time"

	"poppyarch/internal/broker/decision"
)

// discovery is one service for all brokers, which works through calls in turn and tells changes late.
type discovery struct {
	r     *run
	lots  *rand.Rand
	seen  []decision.Endpoint // as it tells it, by node
	free  int64               // when it has worked off the calls that wait
	down  bool
	times float64 // by which it is later than usual
	calls int
	fails int
}

func member(n *Node) decision.Endpoint {
	m := decision.Endpoint{Node: n.name, Shard: int(n.shard), Zone: int(n.zone), State: decision.EndpointState(n.state), Capacity: n.kind}
	if n.began > 0 {
		m.StartedAt = time.Duration(n.began) * time.Microsecond
	}
	return m
}

// call is one broker's call for the list; a watch follows from its answer.
func (d *discovery) call(b *broker) {
	d.calls++
	epoch := b.epoch
	say := func(after int64, f func()) {
		d.r.e.After(max(after, 1), func() {
			if b.epoch == epoch && !b.down {
				f()
			}
		})
	}
	fail := func() { b.step(decision.Event{Kind: decision.EndpointWatchFailed}) }
	way := d.r.delay() + d.r.delay()
	if d.down {
		d.fails++
		say(way, fail)
		return
	}
	wait := int64(0)
	if per := d.r.s.Discovery.CallRate; per > 0 {
		now := d.r.e.Now()
		d.free = max(d.free, now) + int64(1e6/per)
		wait = d.free - now
	}
	if most := d.r.s.Discovery.Timeout.us(); most > 0 && wait > most { // it has cost as much as one that is answered
		d.fails++
		say(most+way, fail)
		return
	}
	say(wait+way, func() {
		if d.down {
			d.fails++
			fail()
			return
		}
		b.watching = true
		var list []decision.Endpoint
		for i := range d.seen {
			if d.seen[i].Node != "" && d.seen[i].State != decision.Removed {
				list = append(list, d.seen[i])
			}
		}
		b.notify(decision.EndpointsReplaced, list)
	})
}

// changed is a change of a node, which the watches hear of late.
func (d *discovery) changed(n *Node) {
	m := member(n)
	late := int64(0)
	if mean := d.r.s.Discovery.Delay.us(); mean > 0 {
		late = int64((0.5 + d.lots.ExpFloat64()/2) * float64(mean) * max(d.times, 1))
	}
	d.r.e.After(late, func() { d.tell(n, m) })
}

func (d *discovery) tell(n *Node, m decision.Endpoint) {
	for len(d.seen) <= int(n.id) {
		d.seen = append(d.seen, decision.Endpoint{})
	}
	if old := d.seen[n.id]; old.Node != "" && old.State == decision.Removed && m.State != decision.Removed && m.StartedAt <= old.StartedAt {
		return // the later news came first
	}
	d.seen[n.id] = m
	if d.down {
		return
	}
	for _, b := range d.r.brokers {
		if b.watching {
			epoch := b.epoch
			d.r.e.After(max(d.r.delay(), 1), func() {
				if b.epoch == epoch && b.watching {
					b.notify(decision.EndpointsChanged, []decision.Endpoint{m})
				}
			})
		}
	}
}

// stop ends all watches; what changes meanwhile is told at the return, to those who ask.
func (d *discovery) stop() {
	d.down = true
	for _, b := range d.r.brokers {
		if b.watching {
			b.watching = false
			epoch := b.epoch
			d.r.e.After(max(d.r.delay(), 1), func() {
				if b.epoch == epoch && !b.down {
					b.step(decision.Event{Kind: decision.EndpointWatchFailed})
				}
			})
		}
	}
}

// first is the list that all begin with.
func (d *discovery) first() {
	for _, n := range d.r.nodes {
		d.seen = append(d.seen, member(n))
	}
}
