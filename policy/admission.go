package policy

import (
	"cmp"
	"math"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// volume is what this host knows of a tenant's volume over all nodes.
type volume struct {
	plan          *decision.Plan
	limit         rate.TokenBucket
	waiting       float64    // units held for all nodes
	credit        float64    // units that may be labelled
	asked, served rate.Meter // of this host
	others        rate.Meter // served through others, as answers tell
	used          float64    // units a second over all hosts, as the meter tells
	seen, usedAt  time.Duration
}

// volume finds or makes the record of a volume.
func (s *Scheduler) volume(a *decision.Arrival) *volume {
	if v := s.vols[a.Volume]; v != nil {
		v.seen = s.now
		return v
	}
	plan := s.cfg.Plan(a.Plan)
	h := float64(cmp.Or(max(a.Brokers, 0), s.cfg.Brokers))
	v := &volume{plan: plan, seen: s.now, credit: plan.ReservedRate + max(s.cfg.MaxUnits, 1)}
	// This host may be a restart that has already spent its part of the limit. So the store starts at its birth,
	// not full but with its part of the slack, which ordinary sending never touches.
	v.limit = rate.TokenBucket{
		RefillRate: plan.RateLimit / h,
		Burst:      plan.RateLimitBurst / h,
		Tokens:     plan.RateLimitTolerance / h,
		RefilledAt: s.born,
	}
	s.vols[a.Volume] = v
	return v
}

// pick finds the node of a request's shard, or for a new object the one with the least expected wait.
func (s *Scheduler) pick(r *request) *node {
	best, cost := (*node)(nil), math.Inf(1)
	for _, n := range s.byShard[max(r.a.Shard, -1)] {
		if !n.listed || n.State != decision.Ready {
			continue
		}
		c := n.lat + s.wait(n, n.queued+r.a.Units*float64(len(n.out)))
		if n.suspect {
			c += 10
		}
		if _, cold := s.coldSince(n); cold {
			c += 5
		}
		c += s.cfg.ZonePenalty(n.Zone).Seconds()
		// Never worth a stay at which a node is held back.
		if s.cfg.ConnectionReuseWindow > 0 && s.now > n.heardAt+s.cfg.ConnectionReuseWindow {
			c += min(s.cfg.HandshakeCost, aimPart) * r.class.LatencyObjective.Seconds()
		}
		c += errorCost * n.errors * n.aim // one that fails fast would draw all new objects
		c = max(c, leastStay) * (1 + 0.2*s.rng.Float64())
		if c < cost || best == nil {
			best, cost = n, c
		}
	}
	return best
}

// shed refuses what the queue cannot serve in time: what pays least a unit first, see sooner. What its limit
// holds back is not in the others' way and is not counted.
func (s *Scheduler) shed(n *node) {
	for {
		var worst *request
		units := 0.0
		for _, f := range n.flows {
			if len(f.queue) == 0 || !s.withinLimit(f.queue[0]) {
				continue
			}
			for _, r := range f.queue {
				units += r.a.Units
				if r.attempts == 0 && (worst == nil || s.sooner(r, worst)) {
					worst = r
				}
			}
		}
		if worst == nil || s.wait(n, units-worst.a.Units) <= backlogAim*n.aim {
			return
		}
		s.giveUp(worst, hintLong)
	}
}

// sooner reports whether a is refused before b: what pays least a unit, at the place its tag gives it.
func (s *Scheduler) sooner(a, b *request) bool {
	if x, y := s.value(a), s.value(b); x != y {
		return x < y
	}
	return a.start+a.flow.comp > b.start+b.flow.comp
}

// value is what a unit is likely to pay: in full inside the reserve, else as part of the share.
func (s *Scheduler) value(r *request) float64 {
	v := r.class.PriorityWeight * r.vol.plan.PriceFactor
	if !r.reserved {
		v *= s.cfg.QuotaPriorityWeight
	}
	return v
}
