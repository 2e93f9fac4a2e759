package policy

import (
	"math"
	"time"

	"poppyarch/internal/timing/rate"
)

// slowStartShare is the fraction of a node's slow-start capacity that randomly admitted requests use on
// average.
const slowStartShare = 0.5

// slowStartSince returns the start of the node, as listed or presumed from connection faults, whichever is
// later. inSlowStart reports whether the node is in slow start.
func (s *Scheduler) slowStartSince(n *node) (at time.Duration, inSlowStart bool) {
	at = max(n.StartedAt, n.health.presumedStartAt)
	return at, at > 0 && s.cfg.OverloadWindow > 0 && s.now < at+s.cfg.SlowStartDuration
}

// withinSlowStart reports whether the slow start of n, if any, allows r to be sent to it. In each overload
// window this broker may use its equal share of the node's slow-start capacity, which grows with the node's
// age. A broker that started less than one window ago sends nothing, since it may have used its share before
// a restart.
func (s *Scheduler) withinSlowStart(r *request, n *node) bool {
	at, inSlowStart := s.slowStartSince(n)
	if !inSlowStart {
		return true
	}
	if s.now-s.startedAt < s.cfg.OverloadWindow {
		return false
	}
	capacity := s.cfg.SlowStartCapacity(s.now - s.cfg.OverloadWindow - at)
	used := s.recentUnits(n) + r.arrival.Units
	share := capacity / float64(s.cfg.Brokers)
	if share < s.cfg.MeanUnits || share < r.arrival.Units && used == r.arrival.Units {
		return s.admitsAtRandom(r, n, capacity) && used <= max(s.cfg.MaxUnits, r.arrival.Units)
	}
	return used <= share
}

// admitsAtRandom reports whether r is among the requests that are sent to a node in slow start at random. It
// decides if this broker's share is smaller than a mean request, or than the only request in the window.
// The probability is such that all brokers together use slowStartShare of the capacity on average. Their
// demand is estimated from this broker's demand over all nodes, and from its demand for this shard times the
// number of the volume's brokers, as only those see a surge of the volume. Small requests are admitted more
// often, since large ones cause bursts.
func (s *Scheduler) admitsAtRandom(r *request, n *node, capacity float64) bool {
	age := s.now - s.startedAt
	// The fraction of a steady rate that a meter shows at this age of the broker.
	measured := 1 - math.Exp(-age.Seconds()/rate.DecayTime.Seconds())
	demand := s.overall.demand.Rate(s.now) * float64(s.cfg.Brokers) / float64(len(s.nodes.list))
	demand += s.overall.shardDemand[n.Shard].Rate(s.now) * float64(max(r.arrival.Brokers, 1))
	window := s.cfg.OverloadWindow.Seconds()
	return r.slowStartDraw*window*demand*r.arrival.Units/measured < slowStartShare*capacity*s.cfg.MeanUnits
}

// recentUnits returns the units sent to n within the overload window and discards older sends.
func (s *Scheduler) recentUnits(n *node) (units float64) {
	return n.recentSends.SumSince(s.now - s.cfg.OverloadWindow - timerSlack)
}
