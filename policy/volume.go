package policy

import (
	"cmp"
	"container/list"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// volume holds this broker's state for a tenant's volume, over all nodes.
type volume struct {
	name          string
	lastUse       *list.Element // in the scheduler's list of volumes by use
	plan          *decision.Plan
	rateLimit     rate.TokenBucket
	reserveCredit float64 // units that may be counted inside the reserve
	queuedUnits   float64 // queued for all nodes together
	lastSeenAt    time.Duration

	demand          rate.Meter    // units requested from this broker, without retries by clients
	served          rate.Meter    // units served through this broker
	servedElsewhere rate.Meter    // units served through other brokers, as nodes report with responses
	usage           float64       // units per second over all brokers, as the nodes' usage meter reports
	usageAt         time.Duration // time of the last report of usage
}

// volumeOf returns the state of a request's volume and creates it if needed. It returns nil if the state of
// too many volumes has to be kept.
func (s *Scheduler) volumeOf(a *decision.Arrival) *volume {
	if v := s.volumes[a.Volume]; v != nil {
		v.lastSeenAt = s.now
		s.volumesByUse.MoveToBack(v.lastUse)
		return v
	}
	if !s.makeRoomForVolume() {
		return nil
	}
	plan := s.cfg.Plan(a.Plan)
	brokers := float64(cmp.Or(max(a.Brokers, 0), s.cfg.Brokers))
	v := &volume{
		name:          a.Volume,
		plan:          plan,
		lastSeenAt:    s.now,
		reserveCredit: plan.ReservedRate + max(s.cfg.MaxUnits, 1),
		// This broker may have used its share of the limit before a restart. Therefore the bucket is not full
		// initially: at the broker's start it holds the broker's share of the tolerance.
		rateLimit: rate.TokenBucket{
			RefillRate: plan.RateLimit / brokers,
			Burst:      plan.RateLimitBurst / brokers,
			Tokens:     plan.RateLimitTolerance / brokers,
			RefilledAt: s.startedAt,
		},
	}
	s.volumes[a.Volume] = v
	v.lastUse = s.volumesByUse.PushBack(v)
	return v
}

// makeRoomForVolume deletes the state of the volume that was used least recently if there is no room for
// another one. It returns false if the state of the least recently used ones has to be kept.
func (s *Scheduler) makeRoomForVolume() bool {
	if s.cfg.MaxVolumes <= 0 || len(s.volumes) < s.cfg.MaxVolumes {
		return true
	}
	oldest := s.volumesByUse.Front()
	for range maxEvictionCandidates {
		if oldest == nil {
			return false
		}
		if v := oldest.Value.(*volume); v.isEvictable(s.now) {
			s.deleteVolume(v)
			return true
		}
		oldest = oldest.Next()
	}
	return false
}

func (s *Scheduler) deleteVolume(v *volume) {
	delete(s.volumes, v.name)
	s.volumesByUse.Remove(v.lastUse)
}

// isEvictable reports whether the volume's state may be deleted: nothing is queued, and its bucket has had
// the time to fill up, as the volume may be created again with a full one.
func (v *volume) isEvictable(now time.Duration) bool {
	if v.queuedUnits != 0 {
		return false
	}
	return v.plan.RateLimit <= 0 || v.rateLimit.RefillRate*(now-v.lastSeenAt).Seconds() >= v.rateLimit.Burst
}

// chargeReserve decides whether a request counts as inside its volume's reserve. Each broker counts the
// fraction of its requests that the reserve covers of the volume's demand over all brokers, so that all
// brokers together use the reserve once. Without reports of service through other brokers, this one is taken
// for the only broker of the volume.
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

// totalDemand estimates the volume's demand over all brokers, in units per second.
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

// observe records the volume's usage and service that an attempt's outcome reports.
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
