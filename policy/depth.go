package policy

import (
	"math"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// The depth is how many requests of this broker may be in flight at a node. A depth below 1 means a pause
// between sends.
const (
	initialDepth    = 3.0 // of a node of capacity 1 without measurements
	minDepth        = 0.02
	maxDepth        = 16.0
	minOverallDepth = 0.05
	depthDecrease   = 0.10 // fraction by which one response lowers the depth when the latency is too high

	// depthIncrease is by how much the depth grows over as many responses as the depth is, while requests are
	// queued. Below a depth of 1 it is the relative growth for each response.
	depthIncrease = 0.5
)

// Bounds on the latency at a node, as fractions of the latency objective.
const (
	targetLatencyRatio   = 0.17 // above this the depth falls, but not below 1
	overloadLatencyRatio = 0.3  // above this the depth falls below 1
)

// Weights and time constants of the estimates.
const (
	latencyGain         = 0.12 // weight of one response in a node's mean latency
	overallTimeConstant = 0.25 // time constant of the overall estimates, in latency objectives

	// estimateLifetime is the time constant with which a node's estimates approach the overall ones while no
	// responses arrive.
	estimateLifetime = 3 * time.Second
)

// estimate holds latency estimates from attempt outcomes, in seconds, and the depth that follows from them.
type estimate struct {
	latency         float64 // mean latency; 0 if not measured
	meanSizeLatency float64 // latency of a request of mean size
	depth           float64
}

// sample is one measured latency.
type sample struct {
	latency    float64 // seconds
	objective  float64 // seconds
	timedOut   bool    // the attempt timed out, so its latency would have been higher
	backlogged bool    // requests are queued, so that a higher depth would have an effect
}

// add updates the latency and the depth with a sample.
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

// overallEstimate holds the estimates over all nodes and requests of this broker.
type overallEstimate struct {
	estimate
	suspectSuccessRatio float64             // fraction of the attempts at suspect nodes that were served
	demand              rate.Meter          // units of all arriving requests
	shardDemand         map[int]*rate.Meter // arriving units by shard, for every shard that has ever been listed
	outcomes            rate.Meter          // outcomes from which a latency was measured
}

func newOverallEstimate() overallEstimate {
	return overallEstimate{
		estimate:            estimate{depth: 1},
		suspectSuccessRatio: 0.5,
		shardDemand:         map[int]*rate.Meter{},
	}
}

// addDemand adds an arriving request to the demand meters.
func (f *overallEstimate) addDemand(now time.Duration, a *decision.Arrival) {
	f.demand.Add(now, a.Units)
	if m := f.shardDemand[a.Shard]; m != nil {
		m.Add(now, a.Units)
	}
}

// gain returns the weight of one latency in the overall estimates. It is higher at a lower rate of outcomes,
// so that the estimates adapt equally fast at any rate.
func (f *overallEstimate) gain(now time.Duration, objective float64) float64 {
	return 1 / (1 + overallTimeConstant*objective*f.outcomes.Rate(now))
}

// adjustDepth raises (direction 1) or lowers (direction -1) the overall depth for one measured latency.
func (f *overallEstimate) adjustDepth(now time.Duration, objective, direction float64) {
	f.depth = max(minOverallDepth, min(1, f.depth*(1+direction*f.gain(now, objective))))
}

// moveLatency moves the overall latency towards a measured one by a bounded step. It therefore follows the
// median, on which a few slow nodes have little effect.
func (f *overallEstimate) moveLatency(now time.Duration, objective, latency float64) {
	step := min(f.gain(now, objective)*objective, math.Abs(latency-f.latency))
	f.latency += math.Copysign(step, latency-f.latency)
}

// decayEstimates moves a node's estimates towards the overall ones. Without this, at a broker that rarely
// sends to the node, a pause would outlast its cause by minutes. At a suspect node with a depth below 1 the
// decay slows down with a lower success ratio at suspect nodes.
func (s *Scheduler) decayEstimates(n *node) {
	fraction := compensationPeriod.Seconds() / estimateLifetime.Seconds()
	if n.depth < 1 && n.health.suspect {
		fraction *= s.overall.suspectSuccessRatio * s.overall.suspectSuccessRatio
	}
	capacity := n.RelativeCapacity()
	n.latency += fraction * (s.overall.latency/capacity - n.latency)
	n.meanSizeLatency += fraction * (s.overall.meanSizeLatency/capacity - n.meanSizeLatency)
	depth := s.overall.depth
	if depth < n.depth && depth < 1 || n.depth < depth {
		n.depth += fraction * (depth - n.depth)
	}
}

// countSlowInFlight lowers the overall depth for attempts that have been in flight for too long, without
// waiting for their outcomes.
func (s *Scheduler) countSlowInFlight(n *node) {
	for _, r := range n.inFlight {
		if !r.countedSlow && (s.now-r.sentAt).Seconds() > overloadLatencyRatio*n.objective {
			r.countedSlow = true
			s.overall.adjustDepth(s.now, n.objective, -1)
		}
	}
}
