package policy

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// compensationPeriod is the period after which the compensation of flows is set anew.
	compensationPeriod = 100 * time.Millisecond
	// unfairnessTolerance is the permitted gap in service between flows, in mean requests (units over weight).
	unfairnessTolerance = 2.0
	// maxLookahead is how many requests of a flow are considered, so that a blocked one does not delay the
	// rest.
	maxLookahead = 8
	// minTrialSuccess: where a lower part of the trials at suspect nodes is served, pauses bind reserves too.
	minTrialSuccess = 0.35
	// reservedDepthFactor is how much more often than other work the reserve is sent where pauses bind it.
	reservedDepthFactor = 10
)

// flow is one volume's queue at one node.
type flow struct {
	volume        *volume
	queue         []*request // by start tag
	lastFinishTag float64
	servedUnits   float64 // in this period, over all brokers as far as known
	compensation  float64 // added to start tags when flows are compared
}

// enqueue gives a request its tags and puts it in its volume's flow at n.
func (s *Scheduler) enqueue(r *request, n *node) {
	f := n.flowOf[r.volume]
	if f == nil {
		f = &flow{volume: r.volume}
		n.flowOf[r.volume] = f
		n.flows = append(n.flows, f)
	}
	if r.flow != f || r.attempts == 0 {
		r.flow = f
		r.startTag = max(n.virtualTime(), f.lastFinishTag)
		r.finishTag = r.startTag + r.arrival.Units/r.volume.plan.Weight
		f.lastFinishTag = r.finishTag
	}
	i := sort.Search(len(f.queue), func(i int) bool { return f.queue[i].startTag > r.startTag })
	f.queue = slices.Insert(f.queue, i, r)
	r.queued = true
	if n.queuedUnits <= 0 {
		s.nodes.backlogged = append(s.nodes.backlogged, n)
	}
	n.queuedUnits += r.arrival.Units
	r.volume.queuedUnits += r.arrival.Units
}

// virtualTime is the highest start tag sent while the node is busy, else the highest finish tag.
func (n *node) virtualTime() float64 {
	if len(n.inFlight) > 0 {
		return n.maxStartTag
	}
	return n.maxFinishTag
}

// compensatedTag is the start tag by which flows are compared.
func (r *request) compensatedTag() float64 { return r.startTag + r.flow.compensation }

// dequeue takes a request out of its flow, if it is queued. The last one of a flow gives its tag back.
func (s *Scheduler) dequeue(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	s.requests.queueExpiry = removeRequest(s.requests.queueExpiry, r)
	f := r.flow
	f.queue = removeRequest(f.queue, r)
	r.node.queuedUnits -= r.arrival.Units
	r.volume.queuedUnits -= r.arrival.Units
	if f.lastFinishTag == r.finishTag && r.attempts == 0 {
		f.lastFinishTag = r.startTag
	}
}

// dispatch sends while fewer requests than the depth are in flight: the lowest compensated start tag first.
func (s *Scheduler) dispatch(n *node) {
	for n.queuedUnits > 0 && len(n.inFlight) < n.concurrencyLimit() && s.now >= n.pausedUntil {
		var best *request
		for _, f := range n.flows {
			r := s.firstSendable(f, n)
			if r != nil && (best == nil || r.compensatedTag() < best.compensatedTag()) {
				best = r
			}
		}
		if best == nil {
			return
		}
		s.send(best, n)
	}
}

// concurrencyLimit is how many requests may be in flight: the depth, but one while a time-out is
// unconfirmed.
func (n *node) concurrencyLimit() int {
	if n.health.unconfirmedTimeout > 0 {
		return 1
	}
	return int(max(n.depth, 1))
}

// firstSendable is the first request of a flow that may be sent now, or nil.
func (s *Scheduler) firstSendable(f *flow, n *node) *request {
	for i := 0; i < len(f.queue) && i < maxLookahead; i++ {
		if r := f.queue[i]; s.maySend(r, n) && s.sendPause(r, n) <= 0 {
			return r
		}
	}
	return nil
}

// sendPause is how long the pause between sends still lasts: at a depth under 1, one request is sent in
// each mean latency over depth. Work inside a reserve does not wait, unless trials at suspect nodes are
// hardly ever served, as when nodes are dead or go on with what timed out.
func (s *Scheduler) sendPause(r *request, n *node) time.Duration {
	depth := n.depth
	if r.reserved {
		depth *= reservedDepthFactor
	}
	if depth >= 1 || len(n.inFlight) > 0 || r.reserved && s.fleet.trialSuccess >= minTrialSuccess {
		return 0
	}
	return n.lastSendAt + seconds(n.latency/depth) - s.now
}

// endPeriod updates the estimates and the compensation of every node at the end of a compensation period.
func (s *Scheduler) endPeriod() {
	for _, n := range s.nodes.list {
		s.recentUnits(n)
		s.countSlowInFlight(n)
		if s.fleet.latency > 0 {
			s.decayEstimates(n)
		}
		s.compensate(n)
		n.dropIdleFlows()
	}
}

// compensate compares the units served of the flows with queued requests and sets their compensation.
func (s *Scheduler) compensate(n *node) {
	least := math.Inf(1)
	for _, f := range n.flows {
		if len(f.queue) > 0 {
			least = min(least, f.servedUnits/f.volume.plan.Weight)
		}
	}
	for _, f := range n.flows {
		weight := f.volume.plan.Weight
		gap := f.servedUnits/weight - least
		if len(f.queue) == 0 {
			f.compensation = 0 // nothing is queued that could be held back
		} else if gap > unfairnessTolerance*s.cfg.MeanUnits {
			f.compensation = gap * weight
		}
		f.servedUnits = 0
	}
}

// dropIdleFlows forgets the flows without queued requests whose tags the virtual time has passed.
func (n *node) dropIdleFlows() {
	n.flows = slices.DeleteFunc(n.flows, func(f *flow) bool {
		idle := len(f.queue) == 0 && f.lastFinishTag <= n.virtualTime()
		if idle {
			delete(n.flowOf, f.volume)
		}
		return idle
	})
}
