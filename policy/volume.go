package policy

import (
	"cmp"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// volume is what this broker knows of a tenant's volume over all nodes.
type volume struct {
	plan          *decision.Plan
	rateLimit     rate.TokenBucket
	reserveCredit float64 // units that may be counted inside the reserve
	queuedUnits   float64 // for all nodes
	lastSeenAt    time.Duration

	demand          rate.Meter    // units asked of this broker
	served          rate.Meter    // units served through this broker
	servedElsewhere rate.Meter    // units served through other brokers, as answers say
	usage           float64       // units a second over all brokers, as the nodes' meter says
	usageAt         time.Duration // of the last word on usage
}

// volumeOf finds or makes the record of a request's volume.
func (s *Scheduler) volumeOf(a *decision.Arrival) *volume {
	if v := s.volumes[a.Volume]; v != nil {
		v.lastSeenAt = s.now
		return v
	}
	plan := s.cfg.Plan(a.Plan)
	brokers := float64(cmp.Or(max(a.Brokers, 0), s.cfg.Brokers))
	v := &volume{
		plan:          plan,
		lastSeenAt:    s.now,
		reserveCredit: plan.ReservedRate + max(s.cfg.MaxUnits, 1),
		// Before a restart this broker may have spent its part of the limit. So the bucket does not start full,
		// but with the broker's part of the tolerance, at the time of the broker's start.
		rateLimit: rate.TokenBucket{
			RefillRate: plan.RateLimit / brokers,
			Burst:      plan.RateLimitBurst / brokers,
			Tokens:     plan.RateLimitTolerance / brokers,
			RefilledAt: s.startedAt,
		},
	}
	s.volumes[a.Volume] = v
	return v
}

// chargeReserve counts a request inside its volume's reserve or not. Each broker counts the part of the
// volume's demand over all brokers that the reserve covers, so that all brokers together come to the
// reserve. Without word of the other brokers, this one may be the only one that the volume uses.
func (s *Scheduler) chargeReserve(r *request) {
	v := r.volume
	if r.clientStartedAt == s.now {
		v.demand.Add(s.now, r.arrival.Units)
	}
	covered := min(1, v.plan.ReservedRate/max(s.totalDemand(v), v.plan.ReservedRate, 1e-9))
	v.reserveCredit = min(v.reserveCredit+r.arrival.Units*covered, v.plan.ReservedRate+max(s.cfg.MaxUnits, 1))
	if v.reserveCredit >= r.arrival.Units && r.objectiveAt > s.now {
		v.reserveCredit -= r.arrival.Units
		r.reserved = true
	} else {
		r.slowStartDraw += 1 - reservedDrawRange
	}
}

// totalDemand is the volume's demand over all brokers, in units a second.
func (s *Scheduler) totalDemand(v *volume) float64 {
	demand := v.demand.Rate(s.now)
	served := v.served.Rate(s.now)
	total := served + v.servedElsewhere.Rate(s.now)
	if s.now < v.usageAt+rate.DecayTime {
		total = max(total, v.usage)
	}
	if served > 0 {
		demand = max(demand, total*max(1, demand/served))
	}
	return demand
}

// observe records what an attempt's outcome says of the volume.
func (v *volume) observe(now time.Duration, units float64, ev *decision.Event) {
	if ev.Usage.Known {
		v.usage = float64(ev.Usage.Percent) / 100 * v.plan.UsualRate
		v.usageAt = now
	}
	v.servedElsewhere.Add(now, ev.UnitsElsewhere)
	if ev.Outcome == decision.Served {
		v.served.Add(now, units)
	}
}
