package model

import (
	"math"
	"time"
)

// chooseRandom chooses a random node.
func (p *simpleDesign) chooseRandom(list []*nodeState, _ *pendingRequest) *nodeState {
	return list[p.random.IntN(len(list))]
}

// chooseNext is round robin. Each broker begins at a random node.
func (p *simpleDesign) chooseNext(list []*nodeState, _ *pendingRequest) *nodeState {
	if p.lastChosen < 0 {
		p.lastChosen = p.random.IntN(len(list))
	}
	p.lastChosen = (p.lastChosen + 1) % len(list)
	return list[p.lastChosen]
}

// chooseLeastOutstanding chooses a node with the fewest outstanding requests of this broker, at random among several.
func (p *simpleDesign) chooseLeastOutstanding(list []*nodeState, _ *pendingRequest) *nodeState {
	from := p.random.IntN(len(list))
	best := list[from]
	for k := range list {
		if n := list[(from+k)%len(list)]; n.outstanding+len(n.queue) < best.outstanding+len(best.queue) {
			if best = n; n.outstanding == 0 {
				break
			}
		}
	}
	return best
}

// chooseBetterOfTwo chooses the better of two random nodes.
func (p *simpleDesign) chooseBetterOfTwo(list []*nodeState, _ *pendingRequest) *nodeState {
	a, b := list[p.random.IntN(len(list))], list[p.random.IntN(len(list))]
	if b.outstanding+len(b.queue) < a.outstanding+len(a.queue) {
		return b
	}
	return a
}

// chooseFastest sees the true state of all nodes. It chooses the one that would finish the request first, and none if
// that is after the latency objective or would overload a node in slow start.
func (p *simpleDesign) chooseFastest(list []*nodeState, h *pendingRequest) *nodeState {
	var best *nodeState
	least := math.Inf(1)
	q := p.run.actualRequest(h.id)
	for _, s := range list {
		n := p.run.byName[s.endpoint.Node]
		if n.down || n.unreachable || n.unresponsive || n.hung || n.state != 0 || n.QueueCapacity > 0 && n.queueLength() >= n.QueueCapacity || !n.hasSlowStartCapacity() {
			continue
		}
		if latency := n.expectedLatency(q); latency < least {
			best, least = s, latency
		}
	}
	if p.now+time.Duration(least)*time.Microsecond > h.arrivedAt+h.class.LatencyObjective {
		return nil
	}
	return best
}

// hasSlowStartCapacity reports whether one more request cannot overload a node in slow start.
func (n *Node) hasSlowStartCapacity() bool {
	if n.slowStart == nil || n.slowStart.OverloadFactor == 0 || n.startedAt == 0 || n.slowStartFraction() >= 1 {
		return true
	}
	now, sum := n.e.Now(), 0.0
	for _, x := range n.recentArrivals {
		if x.at >= now-n.slowStart.Window.us() {
			sum += x.size
		}
	}
	return sum+float64(len(n.open)+1) < n.overloadThreshold()
}

// expectedLatency returns how long a request would take at the node, in microseconds.
func (n *Node) expectedLatency(q *request) float64 {
	speed := n.Speed * n.speedFactor()
	return float64(max(n.pausedUntil-n.e.Now(), 0)) + n.backlog()/speed/float64(n.Cores) + q.work/speed
}
