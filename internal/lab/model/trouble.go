package model

import (
	"fmt"
	"math/rand/v2"

	"poppyarch/internal/lab/history"
)

// troubles come to nodes, brokers or volumes chosen by lot: once, or each again and again at times of its own.
func (r *run) troubles() {
	for k := range r.s.Faults {
		p := &r.s.Faults[k]
		if r.sink != nil && p.Kind != "hot" && p.Kind != "reconnect" && p.Kind != "load" {
			continue // nothing of it reaches clients
		}
		lot := r.e.Stream(fmt.Sprint("trouble ", k))
		switch p.Kind {
		case "broker":
			r.each(p, lot, len(r.brokers), func(i int) {
				b := r.brokers[i]
				b.crash()
				r.e.After(p.Duration.us(), func() {
					if b.down {
						r.fail(b.start())
					}
				})
			})
		case "hot":
			r.each(p, lot, len(r.volumes), func(i int) {
				r.times(r.volumes[i], p.Factor)
				r.e.After(p.Duration.us(), func() { r.times(r.volumes[i], 1/p.Factor) })
			})
		case "reconnect":
			r.each(p, lot, len(r.volumes), func(i int) {
				v := r.volumes[i]
				v.lead = (v.lead + 1) % len(v.hosts)
			})
		case "load":
			r.each(p, lot, 1, func(int) {
				r.loads(p.Factor)
				r.e.After(p.Duration.us(), func() { r.loads(1 / p.Factor) })
			})
		case "discovery":
			r.each(p, lot, 1, func(int) {
				r.discovery.stop()
				r.e.After(p.Duration.us(), func() { r.discovery.down = false })
			})
		case "late":
			r.each(p, lot, 1, func(int) {
				r.discovery.times = p.Factor
				r.e.After(p.Duration.us(), func() { r.discovery.times = 1 })
			})
		case "zone":
			r.each(p, lot, max(r.s.Zones, 1), func(zone int) {
				for _, n := range r.nodes {
					if int(n.zone) == zone {
						r.vanish(n, p.Duration.us())
					}
				}
			})
		default:
			r.each(p, lot, r.first, func(i int) { r.trouble(p, r.present(i)) })
		}
	}
}

// each has something happen to those that the lot falls on.
func (r *run) each(p *Fault, lot *rand.Rand, n int, f func(i int)) {
	for i := range n {
		if lot.Float64() >= p.Share {
			continue
		}
		if p.At > 0 {
			r.e.At(p.At.us()+int64(lot.Float64()*float64(p.Over.us())), func() { f(i) })
			continue
		}
		when := rand.New(rand.NewPCG(lot.Uint64(), uint64(i)))
		between := float64((p.Every - p.Duration).us())
		var next func()
		next = func() {
			f(i)
			r.e.After(p.Duration.us()+int64(when.ExpFloat64()*between), next)
		}
		r.e.After(int64(when.ExpFloat64()*between), next)
	}
}

// present is the node that stands in a place now, its first one or what has replaced it.
func (r *run) present(i int) *Node {
	n := r.nodes[i]
	for n.heir != nil {
		n = n.heir
	}
	return n
}

func (r *run) trouble(p *Fault, n *Node) {
	epoch, last := n.epoch, p.Duration.us()
	undo := func(f func()) {
		r.e.After(last, func() {
			if n.epoch == epoch {
				f()
			}
		})
	}
	switch p.Kind {
	case "pause":
		n.Pause(last)
	case "silence":
		n.silent = true
		undo(func() { n.silent = false })
	case "hang":
		n.hung = true
		undo(func() {
			n.hung = false
			n.next()
		})
	case "slow":
		n.slow = p.Factor
		undo(func() { n.slow = 0 })
	case "lossy":
		n.lossy = p.Factor
		undo(func() { n.lossy = 0 })
	case "error":
		n.errors = p.Factor
		undo(func() { n.errors = 0 })
	case "vanish":
		r.vanish(n, last)
	case "crash":
		if n.down || n.away {
			return
		}
		n.down = true
		r.crash(n)
		epoch := n.epoch
		r.e.After(last, func() {
			if n.epoch == epoch && n.state == history.Up {
				r.restart(n)
			}
		})
	case "flap":
		r.flap(n, last)
	case "replace":
		r.replace(n, last)
	}
}

// flap: a process ends, discovery says that it is gone, and it comes back under its name, cold. Where that happens again and again, each return
// costs its requests what a cold start costs.
func (r *run) flap(n *Node, last int64) {
	if n.down || n.away || n.state != history.Up {
		return
	}
	n.state, n.down = history.Removed, true
	r.crash(n)
	r.discovery.changed(n)
	r.e.After(last, func() {
		n.state = history.Up
		r.restart(n)
	})
}

// vanish: a machine says nothing and comes back cold.
func (r *run) vanish(n *Node, last int64) {
	if n.down || n.away || n.state != history.Up {
		return
	}
	n.away = true
	n.stop()
	r.e.After(last, func() {
		if n.away && n.state == history.Up {
			r.restart(n)
		}
	})
}

func (r *run) restart(n *Node) {
	n.start()
	r.record(history.Record{Kind: history.NodeStarted, Node: n.id, Shard: n.shard, Zone: n.zone})
	r.discovery.changed(n)
}

// replace: a node drains, a new one of another name and the same shard takes its place, and the old one goes.
func (r *run) replace(n *Node, last int64) {
	if n.state != history.Up {
		return
	}
	n.state = history.Draining
	r.discovery.changed(n)
	r.e.After(last/2, func() {
		heir := r.newNode(n.Cores, n.Speed, n.Room, n.shard, n.zone, n.kind)
		n.heir = heir
		heir.start()
		r.record(history.Record{Kind: history.NodeStarted, Node: heir.id, Shard: heir.shard, Zone: heir.zone})
		r.discovery.changed(heir)
	})
	r.e.After(last, func() {
		n.state, n.down = history.Removed, true
		r.crash(n)
		r.discovery.changed(n)
	})
}

// loads changes the rate of all clients.
func (r *run) loads(by float64) {
	r.loadBy *= by
	for _, v := range r.volumes {
		r.times(v, 1)
	}
}
