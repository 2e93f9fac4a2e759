package policy

import (
	"math"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// The depth is how many requests of this broker may be in flight at a node. Under 1 it is a pause between
// sends.
const (
	initialDepth  = 3.0 // of a usual node that is not yet measured
	minDepth      = 0.02
	maxDepth      = 16.0
	minFleetDepth = 0.05
	depthIncrease = 0.5  // growth over as many answers as the depth is, while requests are queued
	depthDecrease = 0.10 // part cut by one answer when the latency is too high
)

// Bounds on the latency at a node, as parts of the latency objective.
const (
	targetLatencyRatio   = 0.17 // above it the depth falls, down to 1
	overloadLatencyRatio = 0.3  // above it the depth falls under 1
)

// How estimates follow measurements.
const (
	latencyGain       = 0.12            // weight of one answer in a node's mean latency
	fleetTimeConstant = 0.25            // latency objectives within which the fleet's estimates follow
	estimateLifetime  = 3 * time.Second // in which a node's estimates approach the fleet's without answers
)

// estimate is what outcomes say of latency, in seconds, and the depth that follows.
type estimate struct {
	latency         float64 // 0: not measured
	meanSizeLatency float64 // of a request of mean size
	depth           float64
}

// sample is one measured latency.
type sample struct {
	latency    float64 // seconds
	objective  float64 // seconds
	timedOut   bool    // the answer would have taken longer than latency
	backlogged bool    // more requests are queued, so that a higher depth would be used
}

// add applies a sample to the latency and the depth.
func (e *estimate) add(x sample) {
	if e.latency == 0 {
		e.latency = x.latency
	} else if !x.timedOut || x.latency > e.latency {
		e.latency += latencyGain * (x.latency - e.latency)
	}
	switch {
	case x.timedOut && x.latency > overloadLatencyRatio*x.objective:
		e.depth = max(minDepth, e.depth/2)
	case e.latency > overloadLatencyRatio*x.objective:
		e.depth = max(minDepth, e.depth*(1-depthDecrease))
	case e.latency > targetLatencyRatio*x.objective && e.depth >= 1:
		e.depth = max(1, e.depth*(1-depthDecrease))
	case e.depth < 1:
		e.depth = min(1, e.depth*(1+depthIncrease))
	case x.backlogged:
		e.depth = min(maxDepth, e.depth+depthIncrease/e.depth)
	}
}

// fleetEstimate is what is known of all nodes and requests together.
type fleetEstimate struct {
	estimate
	trialSuccess float64             // part of the attempts at suspect nodes that were served
	demand       rate.Meter          // units of all requests
	shardDemand  map[int]*rate.Meter // units by shard, for every shard that was ever listed
	outcomes     rate.Meter          // outcomes that say something of latency
}

func newFleetEstimate() fleetEstimate {
	return fleetEstimate{
		estimate:     estimate{depth: 1},
		trialSuccess: 0.5,
		shardDemand:  map[int]*rate.Meter{},
	}
}

// addDemand counts an arriving request.
func (f *fleetEstimate) addDemand(now time.Duration, a *decision.Arrival) {
	f.demand.Add(now, a.Units)
	if m := f.shardDemand[a.Shard]; m != nil {
		m.Add(now, a.Units)
	}
}

// gain is the weight of one latency in the fleet's estimates: rare ones move them as quickly as frequent
// ones.
func (f *fleetEstimate) gain(now time.Duration, objective float64) float64 {
	return 1 / (1 + fleetTimeConstant*objective*f.outcomes.Rate(now))
}

// adjustDepth moves the fleet's depth by one latency, up (direction 1) or down (-1).
func (f *fleetEstimate) adjustDepth(now time.Duration, objective, direction float64) {
	f.depth = max(minFleetDepth, min(1, f.depth*(1+direction*f.gain(now, objective))))
}

// moveLatency moves the fleet's latency towards a measured one by a bounded step. It so follows the median,
// and a few bad nodes do not speak for the rest.
func (f *fleetEstimate) moveLatency(now time.Duration, objective, latency float64) {
	step := min(f.gain(now, objective)*objective, math.Abs(latency-f.latency))
	f.latency += math.Copysign(step, latency-f.latency)
}

// decayEstimates moves a node's estimates towards the fleet's. Without this a pause would outlast its cause
// by minutes at a broker that seldom sends there. At a suspect node it depends on how often such nodes
// answer.
func (s *Scheduler) decayEstimates(n *node) {
	part := compensationPeriod.Seconds() / estimateLifetime.Seconds()
	if n.depth < 1 && n.health.suspect {
		part *= s.fleet.trialSuccess * s.fleet.trialSuccess
	}
	capacity := n.RelativeCapacity()
	n.latency += part * (s.fleet.latency/capacity - n.latency)
	n.meanSizeLatency += part * (s.fleet.meanSizeLatency/capacity - n.meanSizeLatency)
	depth := s.fleet.depth
	if depth < n.depth && depth < 1 || n.depth < depth {
		n.depth += part * (depth - n.depth)
	}
}

// countSlowInFlight lowers the fleet's depth for attempts that are in flight for too long, before their
// outcome shows it.
func (s *Scheduler) countSlowInFlight(n *node) {
	for _, r := range n.inFlight {
		if !r.countedSlow && (s.now-r.sentAt).Seconds() > overloadLatencyRatio*n.objective {
			r.countedSlow = true
			s.fleet.adjustDepth(s.now, n.objective, -1)
		}
	}
}
