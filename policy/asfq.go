package policy

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// compensationPeriod is the interval at which the compensation of flows is updated.
	compensationPeriod = 100 * time.Millisecond
	// unfairnessTolerance is the permitted gap between flows in served units over weight, in mean requests.
	unfairnessTolerance = 2.0
	// maxLookahead is how many requests at the head of a flow are considered for sending, so that one that
	// may not be sent yet does not delay those behind it.
	maxLookahead = 8
	// minSuspectSuccessRatio is the success ratio at suspect nodes below which the pauses between sends apply
	// to reserved requests too.
	minSuspectSuccessRatio = 0.35
	// reservedDepthFactor multiplies the depth for reserved requests, so that their pauses are shorter.
	reservedDepthFactor = 10
)

// flow is one volume's queue at one node.
type flow struct {
	volume        *volume
	queue         []*request // sorted by start tag
	lastFinishTag float64
	servedUnits   float64 // units served in this period through all brokers, as far as known
	compensation  float64 // added to start tags when flows are compared
}

// enqueue assigns a request its tags and adds it to its volume's flow at n. A retry at the same node keeps
// its tags.
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

// virtualTime returns the highest start tag sent while requests are in flight, else the highest finish tag
// sent.
func (n *node) virtualTime() float64 {
	if len(n.inFlight) > 0 {
		return n.maxStartTag
	}
	return n.maxFinishTag
}

// compensatedTag returns the start tag plus the flow's compensation, by which flows are compared.
func (r *request) compensatedTag() float64 { return r.startTag + r.flow.compensation }

// dequeue removes a request from its flow's queue, if it is queued. If it was the last one tagged in its flow
// and has not been sent, its tags become available to the next request.
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

// dispatch sends requests queued for n in order of their compensated start tags, while fewer than the
// concurrency limit are in flight.
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

// concurrencyLimit returns how many requests may be in flight: the depth rounded down and at least 1, or 1
// while a time-out is unconfirmed.
func (n *node) concurrencyLimit() int {
	if n.health.unconfirmedTimeout > 0 {
		return 1
	}
	return int(max(n.depth, 1))
}

// firstSendable returns the first request of a flow that may be sent now, or nil if there is none.
func (s *Scheduler) firstSendable(f *flow, n *node) *request {
	for i := 0; i < len(f.queue) && i < maxLookahead; i++ {
		if r := f.queue[i]; s.maySend(r, n) && s.sendPause(r, n) <= 0 {
			return r
		}
	}
	return nil
}

// sendPause returns how long r must still wait before it may be sent to n. At a depth below 1, requests are
// sent one at a time, at intervals of the mean latency divided by the depth. Reserved requests do not wait,
// unless attempts at suspect nodes rarely succeed, as when nodes are down or keep executing requests that
// have timed out.
func (s *Scheduler) sendPause(r *request, n *node) time.Duration {
	depth := n.depth
	if r.reserved {
		depth *= reservedDepthFactor
	}
	if depth >= 1 || len(n.inFlight) > 0 ||
		r.reserved && s.overall.suspectSuccessRatio >= minSuspectSuccessRatio {
		return 0
	}
	return n.lastSendAt + seconds(n.latency/depth) - s.now
}

// endPeriod updates the estimates and compensations of every node at the end of a compensation period.
func (s *Scheduler) endPeriod() {
	for _, n := range s.nodes.list {
		s.recentUnits(n)
		s.countSlowInFlight(n)
		if s.overall.latency > 0 {
			s.decayEstimates(n)
		}
		s.compensate(n)
		n.dropIdleFlows()
	}
}

// compensate sets the compensation of the flows at n from their served units over weight, relative to the
// least served flow that has queued requests. Gaps within unfairnessTolerance leave it unchanged.
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
			f.compensation = 0 // there is no queued request to delay
		} else if gap > unfairnessTolerance*s.cfg.MeanUnits {
			f.compensation = gap * weight
		}
		f.servedUnits = 0
	}
}

// dropIdleFlows removes the flows without queued requests whose last finish tag the virtual time has reached.
func (n *node) dropIdleFlows() {
	n.flows = slices.DeleteFunc(n.flows, func(f *flow) bool {
		idle := len(f.queue) == 0 && f.lastFinishTag <= n.virtualTime()
		if idle {
			delete(n.flowOf, f.volume)
		}
		return idle
	})
}
