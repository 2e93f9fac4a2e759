package policy

import (
	"math"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// maySend holds all seven rules for one send now.
func (s *Scheduler) maySend(r *request, n *node) bool {
	// One answer, in time.
	return !r.over && r.out == 0 && r.attempts < s.cfg.MaxAttempts && s.now < r.a.Deadline &&
		n.listed && n.State == decision.Ready && // drains
		s.mayRepeat(r, n) && s.hasTurn(r) && s.withinBudget(r) && s.withinLimit(r) && s.bears(r, n)
}

// mayRepeat: nothing ran, or the class allows another try there and now.
func (s *Scheduler) mayRepeat(r *request, n *node) bool {
	if r.risk == nil || r.class.Idempotency == decision.Idempotent {
		return true
	}
	if r.class.Idempotency == decision.NotIdempotent || s.now > r.riskAt+r.class.DedupWindow {
		return false
	}
	return r.class.DedupScope.Covers(&n.Endpoint, &r.risk.Endpoint)
}

// hasTurn: the key's earlier requests are over, their outcomes known, and its rest has passed.
func (s *Scheduler) hasTurn(r *request) bool {
	return r.turn == nil || r.turn.queue[0] == r && (r.attempts > 0 || s.now >= r.turn.rest)
}

// withinBudget: further attempts in the window, this one included, fit the free ones and the share.
func (s *Scheduler) withinBudget(r *request) bool {
	if !s.cfg.HasRetryBudget || r.attempts == 0 {
		return true
	}
	from := s.now - s.cfg.RetryBudgetWindow
	taken, further := s.taken.SumSince(from+tickBusy), s.further.SumSince(from-tickBusy)
	return further+1 <= s.cfg.RetryBudgetBase+s.cfg.RetryBudgetRatio*taken
}

// withinLimit: this host's even part of the volume's limit has the units.
func (s *Scheduler) withinLimit(r *request) bool {
	return r.vol.plan.RateLimit <= 0 || r.drawn || r.vol.limit.Refill(s.now) >= r.a.Units
}

// coldSince is the latest start that the list or a lost connection suggests; ok is false for a warm node.
func (s *Scheduler) coldSince(n *node) (at time.Duration, ok bool) {
	at = max(n.StartedAt, n.doubtAt)
	return at, at > 0 && s.cfg.OverloadWindow > 0 && s.now < at+s.cfg.SlowStartDuration
}

// bears: a cold node gets this host's even part of what it surely bears in any window, growing as the slowest
// warm-up allows. Where that is less than a mean request, or than the only one in the window, lots are drawn:
// of what all hosts are likely to ask of this node, judged by what this one asks of all, and of this shard
// times the volume's hosts (few see its surge), so much wins that coldShare of the sum is sent in the mean,
// small ones more often: large ones make bursts. No host sends more than a largest request's units in the
// window; one younger than that may have spent its part.
func (s *Scheduler) bears(r *request, n *node) bool {
	at, cold := s.coldSince(n)
	if !cold {
		return true
	}
	age, window := s.now-s.born, s.cfg.OverloadWindow.Seconds()
	if age < s.cfg.OverloadWindow {
		return false
	}
	sum := s.cfg.SlowStartCapacity(s.now - s.cfg.OverloadWindow - at)
	used, part := s.inWindow(n)+r.a.Units, sum/float64(s.cfg.Brokers)
	if part < s.cfg.MeanUnits || part < r.a.Units && used == r.a.Units {
		known := 1 - math.Exp(-age.Seconds()/rate.DecayTime.Seconds()) // of the rate, this host being so young
		asked := s.asked.Rate(s.now) * float64(s.cfg.Brokers) / float64(len(s.list))
		asked += s.askedOf[n.Shard].Rate(s.now) * float64(max(r.a.Brokers, 1))
		wins := r.lot*window*asked*r.a.Units/known < coldShare*sum*s.cfg.MeanUnits
		return wins && used <= max(s.cfg.MaxUnits, r.a.Units)
	}
	return used <= part
}

// inWindow sums the units sent within the rule's window and forgets older sends.
func (s *Scheduler) inWindow(n *node) (units float64) {
	return n.recent.SumSince(s.now - s.cfg.OverloadWindow - tickBusy)
}

// send starts an attempt and books it with every rule that counts sends.
func (s *Scheduler) send(r *request, n *node) {
	s.leave(r)
	if r.attempts > 0 && s.cfg.HasRetryBudget {
		s.further.Add(s.now, 1)
	}
	if r.vol.plan.RateLimit > 0 && !r.drawn {
		r.vol.limit.Tokens -= r.a.Units
	}
	r.drawn = true
	n.recent.Add(s.now, r.a.Units)
	n.vStart, n.vEnd = max(n.vStart, r.start), max(n.vEnd, r.finish)
	n.aim = min(r.class.LatencyObjective.Seconds(), n.aim+latGain*(r.class.LatencyObjective.Seconds()-n.aim))
	n.out, n.sentAt = append(n.out, r), s.now
	r.attempts, r.out, r.sentAt, r.node, r.long, r.halfAt = r.attempts+1, r.out+1, s.now, n, false, r.a.Deadline
	// Out until its answer would be late: where nodes drop what timed out, their queues cannot grow beyond the
	// aim however many hosts send. Covers hung, dead and lossy nodes too; may lose late answers that still pay.
	after := max(min(r.aimAt, r.a.Deadline)-s.now, tickBusy)
	s.act = append(s.act, decision.Action{Kind: decision.Forward, ID: r.id, Node: n.Node, After: after})
	if r.risk != nil && r.class.Idempotency == decision.IdempotentByKey {
		// A connection may take long to come up.
		s.act[len(s.act)-1].NotAfter = r.riskAt + r.class.DedupWindow
	}
}
