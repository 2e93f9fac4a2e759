package policy

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"poppyarch/internal/broker/decision"
)

// The cost of a node for a new object is its expected wait in seconds and these penalties.
const (
	suspectPenalty   = 10.0  // seconds
	slowStartPenalty = 5.0   // seconds
	errorPenalty     = 5.0   // latency objectives at a node that only fails
	minNodeCost      = 0.001 // seconds; else brokers that measured nothing yet would all choose the first node
	costJitter       = 0.2   // part of the cost that is drawn at random
)

const (
	// requiredTimeRatio is the part of the expected latency that must be left of the objective at a send.
	requiredTimeRatio = 0.6
	// minQuotaWeight is the lowest weight by which the required time of work beyond the reserve is divided.
	minQuotaWeight = 0.25
	// deadlineMargin is how long before its client's deadline a queued request is answered.
	deadlineMargin = 30 * time.Millisecond
	// backlogLatencyRatio is the part of the objective that queueing may take before requests are shed.
	backlogLatencyRatio = 0.60
	// minAdmissionBrokers: requests inside a reserve are admitted as if there were at least so many brokers.
	minAdmissionBrokers = 10
)

// placeRequest picks the request's node and queues it there, or rejects it.
func (s *Scheduler) placeRequest(r *request) {
	n := s.pickNode(r)
	if n == nil {
		s.reject(r, noNodeRetryAfter)
		return
	}
	r.queueUntil = s.queueDeadline(r, n)
	if r.queueUntil <= s.now || r.attempts == 0 && r.admissionDraw > s.admissionRatio(r) {
		s.reject(r, longRetryAfter)
		return
	}
	r.node = n
	s.joinKeyQueue(r)
	s.enqueue(r, n)
	s.requests.insertExpiry(r)
	s.shedBacklog(n)
}

// insertExpiry adds a queued request to the ordered list of expiries.
func (t *requestTable) insertExpiry(r *request) {
	i := sort.Search(len(t.queueExpiry), func(i int) bool {
		x := t.queueExpiry[i]
		return x.queueUntil > r.queueUntil || x.queueUntil == r.queueUntil && x.id > r.id
	})
	t.queueExpiry = slices.Insert(t.queueExpiry, i, r)
}

// queueDeadline is when a request queued for n is rejected: sent later it is not likely to be served within
// its objective. Large requests take longer, and work of a lower weight needs a better chance.
func (s *Scheduler) queueDeadline(r *request, n *node) time.Duration {
	required := requiredTimeRatio * n.meanSizeLatency * r.arrival.Units / s.cfg.MeanUnits
	if !r.reserved && r.volume.plan.ReservedRate > 0 {
		required /= max(cmp.Or(s.cfg.QuotaPriorityWeight, 1), minQuotaWeight)
	}
	return min(r.objectiveAt-seconds(required), r.arrival.Deadline-deadlineMargin, r.maxQueueUntil)
}

// admissionRatio is the part of new requests that is admitted where the depth of the fleet is under 1.
// Pauses between sends to one node hold little back where each of many brokers sends there seldom anyway.
// Work inside a reserve is admitted until the rest has nearly stopped, as one of many brokers sees little
// of the fleet.
func (s *Scheduler) admissionRatio(r *request) float64 {
	if r.reserved {
		return float64(max(minAdmissionBrokers, s.cfg.Brokers)) * s.fleet.depth
	}
	return s.fleet.depth * s.fleet.depth
}

// pickNode finds the node of a request's shard, or for a new object the one with the lowest cost.
func (s *Scheduler) pickNode(r *request) *node {
	var best *node
	lowest := math.Inf(1)
	for _, n := range s.nodes.byShard[max(r.arrival.Shard, decision.AnyShard)] {
		if !n.acceptsNew() {
			continue
		}
		cost := max(s.nodeCost(n, r), minNodeCost) * (1 + costJitter*s.random.Float64())
		if cost < lowest || best == nil {
			best = n
			lowest = cost
		}
	}
	return best
}

// nodeCost is what sending a new object to n is expected to cost, in seconds.
func (s *Scheduler) nodeCost(n *node, r *request) float64 {
	cost := n.latency + s.expectedWait(n, n.queuedUnits+r.arrival.Units*float64(len(n.inFlight)))
	if n.health.suspect {
		cost += suspectPenalty
	}
	if _, warming := s.slowStartSince(n); warming {
		cost += slowStartPenalty
	}
	cost += s.cfg.ZonePenalty(n.Zone).Seconds()
	// A new connection never costs as much as the latency at which a node's depth is cut.
	if s.cfg.ConnectionReuseWindow > 0 && s.now > n.health.respondedAt+s.cfg.ConnectionReuseWindow {
		cost += min(s.cfg.HandshakeCost, targetLatencyRatio) * r.class.LatencyObjective.Seconds()
	}
	// A node that fails fast looks like a fast one by its latency alone.
	return cost + errorPenalty*n.health.errorRatio*n.objective
}

// expectedWait is how long the given units queued for n are likely to take until sent, in seconds.
func (s *Scheduler) expectedWait(n *node, units float64) float64 {
	return units / s.cfg.MeanUnits * n.latency / max(n.depth, 1)
}

// shedBacklog rejects requests, the least valuable first, until the rest of n's queue can be served in
// time.
func (s *Scheduler) shedBacklog(n *node) {
	for {
		victim, units := s.shedCandidate(n)
		if victim == nil || s.expectedWait(n, units-victim.arrival.Units) <= backlogLatencyRatio*n.objective {
			return
		}
		s.reject(victim, longRetryAfter)
	}
}

// shedCandidate is the request of n's queue to reject first, nil if there is none, and the units queued.
// Requests that their volume's rate limit holds back delay nobody and are not counted.
func (s *Scheduler) shedCandidate(n *node) (victim *request, units float64) {
	for _, f := range n.flows {
		if len(f.queue) == 0 || !s.withinRateLimit(f.queue[0]) {
			continue
		}
		for _, r := range f.queue {
			units += r.arrival.Units
			if r.attempts == 0 && (victim == nil || s.shedBefore(r, victim)) {
				victim = r
			}
		}
	}
	return victim, units
}

// shedBefore reports whether a is shed before b: the lower value per unit, then the later place in the
// queue.
func (s *Scheduler) shedBefore(a, b *request) bool {
	if x, y := s.unitValue(a), s.unitValue(b); x != y {
		return x < y
	}
	return a.compensatedTag() > b.compensatedTag()
}

// unitValue is the weight of a unit of a request: in full inside the reserve, else as part of the quota.
func (s *Scheduler) unitValue(r *request) float64 {
	v := r.class.PriorityWeight * r.volume.plan.PriceFactor
	if !r.reserved {
		v *= s.cfg.QuotaPriorityWeight
	}
	return v
}
