package policy

import (
	"math"
	"time"

	"poppyarch/internal/broker/decision"
)

// How outcomes of attempts are judged.
const (
	trialGain            = 0.1 // weight of one trial in the success at suspect nodes
	errorGain            = 0.1 // weight of one answer in a node's ratio of errors
	timeoutLatencyFactor = 1.5 // an attempt that timed out counts as so many times its time in flight

	restartConnectFailures = 2           // failed connections in a row that mean a restart
	restartSilence         = time.Second // a connection lost after so long without an answer means a restart

	rejectionPause = timerSlack      // between a node's rejection and the next send to it
	restartPause   = shortRetryAfter // between a sign of a restart and the next send
)

// observeOutcome applies what an outcome says of its node and its volume.
func (s *Scheduler) observeOutcome(n *node, r *request, ev *decision.Event) {
	// A malformed response comes from good nodes as well: it is no sign of load, a restart or silence.
	if n.health.suspect && ev.Outcome != decision.Served && ev.Outcome != decision.MalformedResponse {
		s.fleet.trialSuccess -= trialGain * s.fleet.trialSuccess
	}
	if ev.Outcome.IsResponse() {
		n.health.respondedAt = s.now
	}
	switch ev.Outcome {
	case decision.NodeError: // how fast it fails says nothing of how fast it serves
		n.health.errorRatio += errorGain * (1 - n.health.errorRatio)
	case decision.Served, decision.TimedOut:
		s.observeLatency(n, r, ev.Outcome)
	case decision.Rejected: // its queue is full
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

// observeLatency applies the latency of an attempt that was served or timed out.
func (s *Scheduler) observeLatency(n *node, r *request, outcome decision.Outcome) {
	if s.stalledFor > 0 || r.streamed {
		return // this process or the client was slow, not the node
	}
	timedOut := outcome == decision.TimedOut
	latency := (s.now - r.sentAt).Seconds()
	size := r.arrival.Units / s.cfg.MeanUnits
	if timedOut {
		latency *= timeoutLatencyFactor
		size = max(size, 1) // the time-out of a small request says something of the queue, not of its work
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

	s.fleet.meanSizeLatency += latencyGain * (latency/size - s.fleet.meanSizeLatency)
	s.fleet.outcomes.Add(s.now, 1)
	s.fleet.moveLatency(s.now, n.objective, latency)
	direction := math.Copysign(1, overloadLatencyRatio*n.objective-latency)
	if !r.countedSlow && (direction < 0 || !timedOut) {
		s.fleet.adjustDepth(s.now, n.objective, direction)
	}
}

// suspectAfterTimeout makes a node suspect after an attempt that had enough time. It reports whether the
// time-out is to count only once the next outcome confirms it: at a node that was fast until now, a single
// connection may have lost the attempt.
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

// observeConnectionFault treats a node as restarted before the list says so, if connections cannot be made
// or one is lost after a silence. A single connection may be lost for reasons of its own.
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

// observeService applies that a request was served.
func (s *Scheduler) observeService(n *node, r *request, unitsElsewhere float64) {
	n.health.connectFailures = 0
	n.health.errorRatio -= errorGain * n.health.errorRatio
	if f := n.flowOf[r.volume]; f != nil {
		f.servedUnits += r.arrival.Units + unitsElsewhere
	}
	if n.health.suspect {
		n.health.suspect = false
		s.fleet.trialSuccess += trialGain * (1 - s.fleet.trialSuccess)
		s.logf("node %s answers again", n.Node)
	}
}
