package model

import (
	"math/rand/v2"
	"time"

	"poppyarch/internal/broker/decision"
)

// discovery is the discovery service of all brokers: a single-server queue of polls, with a delay until changes are
// visible.
type discovery struct {
	run         *run
	random      *rand.Rand
	visible     []decision.Endpoint // as it answers, by node id
	busyUntil   int64               // time at which the queued polls will have been answered
	down        bool
	delayFactor float64 // factor of a fault on the delay of changes
	calls       int     // polls
	failures    int     // polls that failed
}

// endpointOf returns the endpoint list's entry of a node.
func endpointOf(n *Node) decision.Endpoint {
	m := decision.Endpoint{Node: n.name, Shard: int(n.shard), Zone: int(n.zone), State: decision.EndpointState(n.state), Capacity: n.relativeCapacity}
	if n.startedAt > 0 {
		m.StartedAt = time.Duration(n.startedAt) * time.Microsecond
	}
	return m
}

// poll handles a broker's poll of the endpoint list. A successful one also starts a watch, which passes on changes.
func (d *discovery) poll(b *broker) {
	d.calls++
	epoch := b.epoch
	reply := func(after int64, f func()) {
		d.run.e.After(max(after, 1), func() {
			if b.epoch == epoch && !b.down {
				f()
			}
		})
	}
	fail := func() { b.step(decision.Event{Kind: decision.EndpointWatchFailed}) }
	roundTrip := d.run.delay() + d.run.delay()
	if d.down {
		d.failures++
		reply(roundTrip, fail)
		return
	}
	wait := int64(0)
	if rate := d.run.s.Discovery.CallRate; rate > 0 {
		now := d.run.e.Now()
		d.busyUntil = max(d.busyUntil, now) + int64(1e6/rate)
		wait = d.busyUntil - now
	}
	// A poll that times out takes as much service time as an answered one.
	if timeout := d.run.s.Discovery.Timeout.us(); timeout > 0 && wait > timeout {
		d.failures++
		reply(timeout+roundTrip, fail)
		return
	}
	reply(wait+roundTrip, func() {
		if d.down {
			d.failures++
			fail()
			return
		}
		b.watching = true
		var list []decision.Endpoint
		for i := range d.visible {
			if d.visible[i].Node != "" && d.visible[i].State != decision.Removed {
				list = append(list, d.visible[i])
			}
		}
		b.notify(decision.EndpointsReplaced, list)
	})
}

// publish makes the present state of a node visible after a random delay.
func (d *discovery) publish(n *Node) {
	m := endpointOf(n)
	delay := int64(0)
	if mean := d.run.s.Discovery.Delay.us(); mean > 0 {
		delay = int64((0.5 + d.random.ExpFloat64()/2) * float64(mean) * max(d.delayFactor, 1))
	}
	d.run.e.After(delay, func() { d.apply(n, m) })
}

// apply makes an entry visible and sends it to all watches.
func (d *discovery) apply(n *Node, m decision.Endpoint) {
	for len(d.visible) <= int(n.id) {
		d.visible = append(d.visible, decision.Endpoint{})
	}
	if old := d.visible[n.id]; old.Node != "" && old.State == decision.Removed && m.State != decision.Removed && m.StartedAt <= old.StartedAt {
		return // overtaken by a later change
	}
	d.visible[n.id] = m
	if d.down {
		return
	}
	for _, b := range d.run.brokers {
		if b.watching {
			epoch := b.epoch
			d.run.e.After(max(d.run.delay(), 1), func() {
				if b.epoch == epoch && b.watching {
					b.notify(decision.EndpointsChanged, []decision.Endpoint{m})
				}
			})
		}
	}
}

// startOutage ends all watches and makes polls fail. Changes during the outage are visible to polls after it.
func (d *discovery) startOutage() {
	d.down = true
	for _, b := range d.run.brokers {
		if b.watching {
			b.watching = false
			epoch := b.epoch
			d.run.e.After(max(d.run.delay(), 1), func() {
				if b.epoch == epoch && !b.down {
					b.step(decision.Event{Kind: decision.EndpointWatchFailed})
				}
			})
		}
	}
}

// loadInitialList makes all nodes visible at the start of the run.
func (d *discovery) loadInitialList() {
	for _, n := range d.run.nodes {
		d.visible = append(d.visible, endpointOf(n))
	}
}
