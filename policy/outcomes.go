package policy

import (
	"math"
	"time"

	"poppyarch/internal/broker/decision"
)

// Weights and thresholds for attempt outcomes.
const (
	suspectSuccessGain   = 0.1 // weight of one attempt in the success ratio at suspect nodes
	errorGain            = 0.1 // weight of one response in a node's error ratio
	timeoutLatencyFactor = 1.5 // factor on the time in flight of an attempt that timed out

	restartConnectFailures = 2           // consecutive failed connections that indicate a restart
	restartSilence         = time.Second // time without responses after which a single fault suffices

	rejectionPause = timerSlack      // pause in sends to a node after it rejected a request
	restartPause   = shortRetryAfter // pause in sends to a node after a sign of a restart
)

// observeOutcome updates the state of the node and the volume with the outcome of an attempt.
func (s *Scheduler) observeOutcome(n *node, r *request, ev *decision.Event) {
	// Healthy nodes send malformed responses too: one is no sign of overload, a restart or unresponsiveness.
	if n.health.suspect && ev.Outcome != decision.Served && ev.Outcome != decision.MalformedResponse {
		s.overall.suspectSuccessRatio -= suspectSuccessGain * s.overall.suspectSuccessRatio
	}
	if ev.Outcome.IsResponse() {
		n.health.respondedAt = s.now
	}
	switch ev.Outcome {
	case decision.NodeError: // the latency of an error tells nothing about the latency of served requests
		n.health.errorRatio += errorGain * (1 - n.health.errorRatio)
	case decision.Served, decision.TimedOut:
		s.observeLatency(n, r, ev.Outcome)
	case decision.Rejected: // the node's queue is full
		n.depth = max(minDepth, n.depth/2)
		n.pausedUntil = s.now + rejectionPause
	case decision.ConnectFailed, decision.ConnectionLost:
		s.observeConnectionFault(n, ev.Outcome)
	}
	r.volume.observe(s.now, r.arrival.Units, ev)
	if ev.Outcome == decision.Served {
		s.observeService(n, r, ev.UnitsElsewhere)
	}
}

// observeLatency updates the estimates with the latency of an attempt that was served or timed out.
func (s *Scheduler) observeLatency(n *node, r *request, outcome decision.Outcome) {
	if s.stalledFor > 0 || r.streamed {
		return // the latency includes delays of this process or of the client
	}
	timedOut := outcome == decision.TimedOut
	latency := (s.now - r.sentAt).Seconds()
	size := r.arrival.Units / s.cfg.MeanUnits
	if timedOut {
		latency *= timeoutLatencyFactor
		size = max(size, 1) // the time-out of a small request is due to queueing, not to its own work
		if s.suspectAfterTimeout(n, latency) {
			return
		}
	}
	if n.health.unconfirmedTimeout > 0 && latency > targetLatencyRatio*n.objective {
		n.add(sample{latency: n.health.unconfirmedTimeout, objective: n.objective, timedOut: true})
	}
	n.health.unconfirmedTimeout = 0
	n.add(sample{latency: latency, objective: n.objective, timedOut: timedOut, backlogged: n.queuedUnits > 0})
	n.meanSizeLatency += latencyGain * (latency/size - n.meanSizeLatency)

	s.overall.meanSizeLatency += latencyGain * (latency/size - s.overall.meanSizeLatency)
	s.overall.outcomes.Add(s.now, 1)
	s.overall.moveLatency(s.now, n.objective, latency)
	direction := math.Copysign(1, overloadLatencyRatio*n.objective-latency)
	if !r.countedSlow && (direction < 0 || !timedOut) {
		s.overall.adjustDepth(s.now, n.objective, direction)
	}
}

// suspectAfterTimeout marks a node as suspect if the attempt that timed out had enough time. It reports
// whether the time-out is unconfirmed, that is, counts only if the next outcome confirms it: at a node that
// has been fast, the attempt may only have been lost with its connection.
func (s *Scheduler) suspectAfterTimeout(n *node, latency float64) (unconfirmed bool) {
	if n.health.suspect || latency <= overloadLatencyRatio*n.objective {
		return false
	}
	n.health.suspect = true
	s.logf("node %s suspect: no answer in %.0f ms", n.Node, latency*1000)
	if n.depth >= 1 && n.latency > 0 && n.latency <= targetLatencyRatio*n.objective {
		n.health.unconfirmedTimeout = latency
		return true
	}
	return false
}

// observeConnectionFault treats a node as restarted, before the endpoint list shows it, if consecutive
// connections fail or a connection fault follows a time without responses. The loss of a single connection
// is not enough, since it may have other causes.
func (s *Scheduler) observeConnectionFault(n *node, outcome decision.Outcome) {
	if outcome == decision.ConnectFailed {
		n.health.connectFailures++
	}
	silent := n.health.suspect && s.now > n.health.respondedAt+restartSilence
	if n.health.connectFailures < restartConnectFailures && !silent {
		return
	}
	if s.now > n.health.presumedStartAt+s.cfg.SlowStartDuration {
		s.logf("node %s may have restarted: outcome %d", n.Node, outcome)
	}
	n.depth = min(1, n.depth)
	n.health.presumedStartAt = s.now
	n.pausedUntil = s.now + restartPause
}

// observeService updates the state of the node after it has served a request.
func (s *Scheduler) observeService(n *node, r *request, unitsElsewhere float64) {
	n.health.connectFailures = 0
	n.health.errorRatio -= errorGain * n.health.errorRatio
	if f := n.flowOf[r.volume]; f != nil {
		f.servedUnits += r.arrival.Units + unitsElsewhere
	}
	if n.health.suspect {
		n.health.suspect = false
		s.overall.suspectSuccessRatio += suspectSuccessGain * (1 - s.overall.suspectSuccessRatio)
		s.logf("node %s answers again", n.Node)
	}
}
