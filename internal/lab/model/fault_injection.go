package model

import (
	"fmt"
	"math/rand/v2"

	"poppyarch/internal/lab/history"
)

// injectFaults schedules the scenario's faults. Each has its own random stream.
func (r *run) injectFaults() {
	for k := range r.s.Faults {
		fault := &r.s.Faults[k]
		if r.sink != nil && fault.Kind != "hot" && fault.Kind != "reconnect" && fault.Kind != "load" {
			continue // does not affect the requests of clients
		}
		rng := r.e.Stream(fmt.Sprint("trouble ", k))
		switch fault.Kind {
		case "broker":
			r.scheduleFault(fault, rng, len(r.brokers), func(i int) {
				b := r.brokers[i]
				b.crash()
				r.e.After(fault.Duration.us(), func() {
					if b.down {
						r.fail(b.start())
					}
				})
			})
		case "hot":
			r.scheduleFault(fault, rng, len(r.volumes), func(i int) {
				r.scaleRate(r.volumes[i], fault.Factor)
				r.e.After(fault.Duration.us(), func() { r.scaleRate(r.volumes[i], 1/fault.Factor) })
			})
		case "reconnect":
			r.scheduleFault(fault, rng, len(r.volumes), func(i int) {
				v := r.volumes[i]
				v.primary = (v.primary + 1) % len(v.brokers)
			})
		case "load":
			r.scheduleFault(fault, rng, 1, func(int) {
				r.scaleLoad(fault.Factor)
				r.e.After(fault.Duration.us(), func() { r.scaleLoad(1 / fault.Factor) })
			})
		case "discovery":
			r.scheduleFault(fault, rng, 1, func(int) {
				r.discovery.startOutage()
				r.e.After(fault.Duration.us(), func() { r.discovery.down = false })
			})
		case "late":
			r.scheduleFault(fault, rng, 1, func(int) {
				r.discovery.delayFactor = fault.Factor
				r.e.After(fault.Duration.us(), func() { r.discovery.delayFactor = 1 })
			})
		case "zone":
			r.scheduleFault(fault, rng, max(r.s.Zones, 1), func(zone int) {
				for _, n := range r.nodes {
					if int(n.zone) == zone {
						r.makeUnreachable(n, fault.Duration.us())
					}
				}
			})
		default:
			r.scheduleFault(fault, rng, r.initialNodes, func(i int) { r.injectNodeFault(fault, r.currentNode(i)) })
		}
	}
}

// scheduleFault schedules calls of f for a fault: of n targets, it affects a random share, once or repeatedly, each at
// independent times.
func (r *run) scheduleFault(fault *Fault, rng *rand.Rand, n int, f func(i int)) {
	for i := range n {
		if rng.Float64() >= fault.Probability {
			continue
		}
		if fault.StartsAt > 0 {
			r.e.At(fault.StartsAt.us()+int64(rng.Float64()*float64(fault.StartSpread.us())), func() { f(i) })
			continue
		}
		times := rand.New(rand.NewPCG(rng.Uint64(), uint64(i)))
		between := float64((fault.MeanInterval - fault.Duration).us())
		var next func()
		next = func() {
			f(i)
			r.e.After(fault.Duration.us()+int64(times.ExpFloat64()*between), next)
		}
		r.e.After(int64(times.ExpFloat64()*between), next)
	}
}

// currentNode returns the initial node with an index, or its latest replacement.
func (r *run) currentNode(i int) *Node {
	n := r.nodes[i]
	for n.replacement != nil {
		n = n.replacement
	}
	return n
}

// injectNodeFault starts a fault of one node. It ends after its duration, unless the node's process has ended before.
func (r *run) injectNodeFault(f *Fault, n *Node) {
	epoch, duration := n.epoch, f.Duration.us()
	afterwards := func(undo func()) {
		r.e.After(duration, func() {
			if n.epoch == epoch {
				undo()
			}
		})
	}
	switch f.Kind {
	case "pause":
		n.Pause(duration)
	case "silence":
		n.unresponsive = true
		afterwards(func() { n.unresponsive = false })
	case "hang":
		n.hung = true
		afterwards(func() {
			n.hung = false
			n.startQueued()
		})
	case "slow":
		n.slowFactor = f.Factor
		afterwards(func() { n.slowFactor = 0 })
	case "lossy":
		n.responseLossRate = f.Factor
		afterwards(func() { n.responseLossRate = 0 })
	case "error":
		n.errorRate = f.Factor
		afterwards(func() { n.errorRate = 0 })
	case "vanish":
		r.makeUnreachable(n, duration)
	case "crash":
		if n.down || n.unreachable {
			return
		}
		n.down = true
		r.crash(n)
		epoch := n.epoch
		r.e.After(duration, func() {
			if n.epoch == epoch && n.state == history.Ready {
				r.restart(n)
			}
		})
	case "flap":
		r.flap(n, duration)
	case "replace":
		r.replace(n, duration)
	}
}

// flap crashes a node and removes it from discovery; after the duration it restarts under the same name, in slow start.
// Repeated flaps make requests pay the cost of a cold start each time.
func (r *run) flap(n *Node, duration int64) {
	if n.down || n.unreachable || n.state != history.Ready {
		return
	}
	n.state, n.down = history.Removed, true
	r.crash(n)
	r.discovery.publish(n)
	r.e.After(duration, func() {
		n.state = history.Ready
		r.restart(n)
	})
}

// makeUnreachable makes a node unreachable, without any notice to brokers; after the duration it restarts in slow
// start.
func (r *run) makeUnreachable(n *Node, duration int64) {
	if n.down || n.unreachable || n.state != history.Ready {
		return
	}
	n.unreachable = true
	n.stop()
	r.e.After(duration, func() {
		if n.unreachable && n.state == history.Ready {
			r.restart(n)
		}
	})
}

// restart starts a new process of a node and publishes it.
func (r *run) restart(n *Node) {
	n.start()
	r.record(history.Record{Kind: history.NodeStarted, Node: n.id, Shard: n.shard, Zone: n.zone})
	r.discovery.publish(n)
}

// replace drains a node and removes it after the duration; a new node with another name and the same shard starts
// halfway through.
func (r *run) replace(n *Node, duration int64) {
	if n.state != history.Ready {
		return
	}
	n.state = history.Draining
	r.discovery.publish(n)
	r.e.After(duration/2, func() {
		replacement := r.newNode(n.Cores, n.Speed, n.QueueCapacity, n.shard, n.zone, n.relativeCapacity)
		n.replacement = replacement
		replacement.start()
		r.record(history.Record{Kind: history.NodeStarted, Node: replacement.id, Shard: replacement.shard, Zone: replacement.zone})
		r.discovery.publish(replacement)
	})
	r.e.After(duration, func() {
		n.state, n.down = history.Removed, true
		r.crash(n)
		r.discovery.publish(n)
	})
}

// scaleLoad multiplies the rate of all volumes by a factor from now on.
func (r *run) scaleLoad(factor float64) {
	r.loadFactor *= factor
	for _, v := range r.volumes {
		r.scaleRate(v, 1)
	}
}
