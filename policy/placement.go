package policy

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"poppyarch/internal/broker/decision"
)

// A node's cost for a new object is its latency and expected queueing time, in seconds, plus these penalties.
const (
	suspectPenalty   = 10.0 // seconds
	slowStartPenalty = 5.0  // seconds
	errorPenalty     = 5.0  // in latency objectives, at an error ratio of 1
	costJitter       = 0.2  // range of the random increase, as a fraction of the cost

	// minNodeCost is in seconds. At a cost of 0 the jitter would have no effect, and all brokers without
	// measurements would choose the first node.
	minNodeCost = 0.001
)

const (
	// requiredTimeRatio is the fraction of the expected latency that must be left until the objective when a
	// request is sent.
	requiredTimeRatio = 0.6
	// minQuotaWeight is the lower bound of the weight that divides the required time of requests beyond their
	// volume's reserve.
	minQuotaWeight = 0.25
	// deadlineMargin is how long before its client's deadline a queued request is rejected.
	deadlineMargin = 30 * time.Millisecond
	// backlogLatencyRatio is the fraction of the objective that queueing may take before requests are shed.
	backlogLatencyRatio = 0.60
	// minAdmissionBrokers is the lower bound of the broker count in the admission ratio of reserved requests.
	minAdmissionBrokers = 10
)

// placeRequest picks a node for the request and queues it there, or rejects it.
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

// insertExpiry inserts a queued request into the sorted list queueExpiry.
func (t *requestTable) insertExpiry(r *request) {
	i := sort.Search(len(t.queueExpiry), func(i int) bool {
		x := t.queueExpiry[i]
		return x.queueUntil > r.queueUntil || x.queueUntil == r.queueUntil && x.id > r.id
	})
	t.queueExpiry = slices.Insert(t.queueExpiry, i, r)
}

// queueDeadline returns the time at which a request queued for n is rejected, since it would probably miss
// its objective if sent later. Large requests need more time, and requests beyond their volume's reserve
// must have more time left.
func (s *Scheduler) queueDeadline(r *request, n *node) time.Duration {
	required := requiredTimeRatio * n.meanSizeLatency * r.arrival.Units / s.cfg.MeanUnits
	if !r.reserved && r.volume.plan.ReservedRate > 0 {
		required /= max(cmp.Or(s.cfg.QuotaPriorityWeight, 1), minQuotaWeight)
	}
	return min(r.objectiveAt-seconds(required), r.arrival.Deadline-deadlineMargin, r.maxQueueUntil)
}

// admissionRatio returns the fraction of new requests that is admitted when the overall depth is below 1.
// Pauses between sends to single nodes reduce the load little if each of many brokers rarely sends to a node.
// Reserved requests are admitted until almost no others are, since each of many brokers sees only a small
// sample of the nodes' latencies.
func (s *Scheduler) admissionRatio(r *request) float64 {
	if r.reserved {
		return float64(max(minAdmissionBrokers, s.cfg.Brokers)) * s.overall.depth
	}
	return s.overall.depth * s.overall.depth
}

// pickNode returns the node with the lowest cost, with jitter, among those of the request's shard, or among
// all nodes for a new object. It returns nil if none accepts requests.
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

// nodeCost returns the expected cost of sending a new object to n, in seconds.
func (s *Scheduler) nodeCost(n *node, r *request) float64 {
	cost := n.latency + s.expectedWait(n, n.queuedUnits+r.arrival.Units*float64(len(n.inFlight)))
	if n.health.suspect {
		cost += suspectPenalty
	}
	if _, inSlowStart := s.slowStartSince(n); inSlowStart {
		cost += slowStartPenalty
	}
	cost += s.cfg.ZonePenalty(n.Zone).Seconds()
	// The cost of a new connection is bounded by the latency above which a node's depth is lowered.
	if s.cfg.ConnectionReuseWindow > 0 && s.now > n.health.respondedAt+s.cfg.ConnectionReuseWindow {
		cost += min(s.cfg.HandshakeCost, targetLatencyRatio) * r.class.LatencyObjective.Seconds()
	}
	// Without a penalty, a node that fails quickly would look like a fast one.
	return cost + errorPenalty*n.health.errorRatio*n.objective
}

// expectedWait estimates the time until the given units queued for n have been sent, in seconds.
func (s *Scheduler) expectedWait(n *node, units float64) float64 {
	return units / s.cfg.MeanUnits * n.latency / max(n.depth, 1)
}

// shedBacklog rejects requests queued for n, the least valuable first, until the rest can be served in time.
func (s *Scheduler) shedBacklog(n *node) {
	for {
		victim, units := s.shedCandidate(n)
		if victim == nil || s.expectedWait(n, units-victim.arrival.Units) <= backlogLatencyRatio*n.objective {
			return
		}
		s.reject(victim, longRetryAfter)
	}
}

// shedCandidate returns the request queued for n that is rejected first, or nil if there is none, and the
// units queued for n. Flows that their volume's rate limit blocks do not delay others and are not counted.
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

// shedBefore reports whether a is shed before b: lower values per unit first, then later compensated tags.
func (s *Scheduler) shedBefore(a, b *request) bool {
	if x, y := s.unitValue(a), s.unitValue(b); x != y {
		return x < y
	}
	return a.compensatedTag() > b.compensatedTag()
}

// unitValue returns the value of one unit of a request. QuotaPriorityWeight scales it for requests beyond
// their volume's reserve.
func (s *Scheduler) unitValue(r *request) float64 {
	v := r.class.PriorityWeight * r.volume.plan.PriceFactor
	if !r.reserved {
		v *= s.cfg.QuotaPriorityWeight
	}
	return v
}
