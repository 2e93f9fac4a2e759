package policy

import (
	"math"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// node is one storage node as seen from here. Seconds unless a type says otherwise.
type node struct {
	decision.Endpoint
	listed       bool
	flows        []*flow
	byVol        map[*volume]*flow
	vStart, vEnd float64 // highest start and finish tag sent
	out          []*request
	queued       float64 // units waiting
	history
	aim                      float64            // mean aim of what was sent
	errors                   float64            // part of its answers of late that were errors
	suspect                  bool               // it let an attempt time out and has served none since
	held                     float64            // how long that took, if nothing else has told of its load yet
	refused                  int                // connections that could not be made since it last served
	heardAt, leftAt          time.Duration      // its last answer; when it left the list
	retryAt, doubtAt, sentAt time.Duration      // nothing goes before; sign of a restart not yet listed
	recent                   rate.SlidingWindow // sends within the tip window
}

// history is what outcomes told of latency, in seconds, and the depth that follows.
type history struct{ lat, mean, depth float64 } // mean: that of a request of mean size

// learn takes one outcome. One that timed out tells only that it would have taken longer.
func (h *history) learn(lat float64, timedOut bool, aim float64, wanted bool) {
	if h.lat == 0 {
		h.lat = lat
	} else if !timedOut || lat > h.lat {
		h.lat += latGain * (lat - h.lat)
	}
	if timedOut && lat > pauseAim*aim {
		h.depth = max(minDepth, h.depth/2)
	} else if h.lat > pauseAim*aim {
		h.depth = max(minDepth, h.depth*(1-depthDown))
	} else if h.lat > aimPart*aim && h.depth >= 1 {
		h.depth = max(1, h.depth*(1-depthDown))
	} else if h.depth < 1 {
		h.depth = min(1, h.depth*(1+depthUp))
	} else if wanted {
		h.depth = min(maxDepth, h.depth+depthUp/h.depth)
	}
}

// age brings what is known of a node nearer to what is known of all. A pause ends so where the others are
// well, or it would outlast its cause by minutes at a host that comes by seldom. Where the node was silent,
// that goes by how often such nodes have answered of late.
func (s *Scheduler) age(n *node) {
	part, usual, d := period.Seconds()/nodeAge.Seconds(), s.all.lat/orOne(n.Capacity), s.all.depth
	if n.depth < 1 && n.suspect {
		part *= s.trust * s.trust
	}
	n.lat, n.mean = n.lat+part*(usual-n.lat), n.mean+part*(s.all.mean/orOne(n.Capacity)-n.mean)
	if d < n.depth && d < 1 || n.depth < d {
		n.depth += part * (d - n.depth)
	}
}

// observe takes what an outcome tells of its node: latency, service, depth.
func (s *Scheduler) observe(n *node, r *request, ev *decision.Event) {
	lat, size := (s.now - r.sentAt).Seconds(), r.a.Units/s.cfg.MeanUnits
	if n.suspect && ev.Outcome != decision.Served && ev.Outcome != decision.MalformedResponse {
		s.trust -= trustGain * s.trust
	}
	if ev.Outcome.IsResponse() {
		n.heardAt = s.now
	}
	switch ev.Outcome { // spoilt answers come from good nodes as well: no sign of load, a restart or silence
	case decision.NodeError: // how fast it fails tells nothing of how fast it serves
		n.errors += errorGain * (1 - n.errors)
	case decision.Served, decision.TimedOut:
		if s.stood > 0 || r.streamed { // how long it took tells of this host or the client, not of the node
			break
		}
		if ev.Outcome == decision.TimedOut {
			lat, size = lat*lateStretch, max(size, 1) // a small one's end tells of the queue, not of its work
			if !n.suspect && lat > pauseAim*n.aim {   // one that had little time tells little
				n.suspect = true
				s.log("node %s suspect: no answer in %.0f ms", n.Node, lat*1000)
				if n.depth >= 1 && n.lat > 0 && n.lat <= aimPart*n.aim { // its next answer tells more
					n.held = lat
					break
				}
			}
		}
		// A connection may fall silent and take an attempt along at a node that is quick. Counted as a stay of one
		// and a half aims, one in twenty of these kept D under 1 for good.
		if n.held > 0 && lat > aimPart*n.aim {
			n.history.learn(n.held, true, n.aim, false)
		}
		n.held = 0
		n.history.learn(lat, ev.Outcome == decision.TimedOut, n.aim, n.queued > 0)
		n.mean, s.all.mean = n.mean+latGain*(lat/size-n.mean), s.all.mean+latGain*(lat/size-s.all.mean)
		s.outcomes.Add(s.now, 1) // of all nodes the middle counts, so that a few bad ones do not speak for the rest
		s.all.lat += math.Copysign(min(s.gain(n.aim)*n.aim, math.Abs(lat-s.all.lat)), lat-s.all.lat)
		if up := math.Copysign(1, pauseAim*n.aim-lat); !r.long && (up < 0 || ev.Outcome == decision.Served) {
			s.sway(n.aim, up)
		}
	case decision.Rejected:
		n.depth = max(minDepth, n.depth/2) // a full queue: longer than any stay that pays
		n.retryAt = s.now + tickBusy
	case decision.ConnectFailed, decision.ConnectionLost:
		// Where none can be made, or one breaks after a silence, the process may be down or just restarted: treat
		// it as cold before the list says so. A single connection may break for reasons of its own.
		if ev.Outcome == decision.ConnectFailed {
			n.refused++
		}
		if n.refused < sureRefused && !(n.suspect && s.now > n.heardAt+sureSilence) {
			break
		}
		if s.now > n.doubtAt+s.cfg.SlowStartDuration {
			s.log("node %s may have restarted: outcome %d", n.Node, ev.Outcome)
		}
		n.depth, n.doubtAt = min(1, n.depth), s.now
		n.retryAt = s.now + hintShort
	}
	if ev.VolumeUsage > 0 {
		r.vol.used, r.vol.usedAt = float64(ev.VolumeUsage-1)/100*r.vol.plan.UsualRate, s.now
	}
	r.vol.others.Add(s.now, ev.UnitsElsewhere)
	if ev.Outcome == decision.Served {
		r.vol.served.Add(s.now, r.a.Units)
		n.refused, n.errors = 0, n.errors-errorGain*n.errors
		if f := n.byVol[r.vol]; f != nil {
			f.served += r.a.Units + ev.UnitsElsewhere
		}
		if n.suspect {
			n.suspect, s.trust = false, s.trust+trustGain*(1-s.trust)
			s.log("node %s answers again", n.Node)
		}
	}
}

// gain is the weight of one stay in what is known of all nodes: rare ones turn it within allTime too.
func (s *Scheduler) gain(aim float64) float64 { return 1 / (1 + allTime*aim*s.outcomes.Rate(s.now)) }

// sway moves D of all nodes together by one stay, up by 1 or -1: it falls while most are too long.
func (s *Scheduler) sway(aim, up float64) {
	s.all.depth = max(allLeast, min(1, s.all.depth*(1+up*s.gain(aim))))
}

// wait is how long u units queued here are likely to take until sent, in seconds.
func (s *Scheduler) wait(n *node, u float64) float64 {
	return u / s.cfg.MeanUnits * n.lat / max(n.depth, 1)
}
