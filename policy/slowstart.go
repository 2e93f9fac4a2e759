package policy

import (
	"math"
	"time"

	"poppyarch/internal/timing/rate"
)

// slowStartShare is the part of a warming node's capacity that requests admitted at random use in the mean.
const slowStartShare = 0.5

// slowStartSince is the latest start that the list or a lost connection suggests; warming is false for a
// node that is not in slow start.
func (s *Scheduler) slowStartSince(n *node) (at time.Duration, warming bool) {
	at = max(n.StartedAt, n.health.presumedStartAt)
	return at, at > 0 && s.cfg.OverloadWindow > 0 && s.now < at+s.cfg.SlowStartDuration
}

// withinSlowStart reports whether n, if in slow start, may get r. A warming node gets this broker's even
// part of what it can bear in any window, which grows as slowly as a warm-up may go. A broker younger than
// the window may have spent its part before a restart.
func (s *Scheduler) withinSlowStart(r *request, n *node) bool {
	at, warming := s.slowStartSince(n)
	if !warming {
		return true
	}
	if s.now-s.startedAt < s.cfg.OverloadWindow {
		return false
	}
	capacity := s.cfg.SlowStartCapacity(s.now - s.cfg.OverloadWindow - at)
	used := s.recentUnits(n) + r.arrival.Units
	part := capacity / float64(s.cfg.Brokers)
	if part < s.cfg.MeanUnits || part < r.arrival.Units && used == r.arrival.Units {
		return s.admitsAtRandom(r, n, capacity) && used <= max(s.cfg.MaxUnits, r.arrival.Units)
	}
	return used <= part
}

// admitsAtRandom reports whether r is among the requests that are sent to a warming node at random. It
// decides where the broker's part is less than a mean request, or than the only one in the window. So many
// are admitted that all brokers together use slowStartShare of the capacity in the mean. Their demand is
// estimated from this broker's demand over all nodes, and from its demand for this shard times the volume's
// brokers, as only those see a surge of the volume. Small requests are admitted more often, since large
// ones make bursts.
func (s *Scheduler) admitsAtRandom(r *request, n *node, capacity float64) bool {
	age := s.now - s.startedAt
	// The part of a steady rate that a meter shows at this age of the broker.
	measured := 1 - math.Exp(-age.Seconds()/rate.DecayTime.Seconds())
	demand := s.fleet.demand.Rate(s.now) * float64(s.cfg.Brokers) / float64(len(s.nodes.list))
	demand += s.fleet.shardDemand[n.Shard].Rate(s.now) * float64(max(r.arrival.Brokers, 1))
	window := s.cfg.OverloadWindow.Seconds()
	return r.slowStartDraw*window*demand*r.arrival.Units/measured < slowStartShare*capacity*s.cfg.MeanUnits
}

// recentUnits sums the units sent to n within the overload window and forgets older sends.
func (s *Scheduler) recentUnits(n *node) (units float64) {
	return n.recentSends.SumSince(s.now - s.cfg.OverloadWindow - timerSlack)
}
