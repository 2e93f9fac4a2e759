package policy

import (
	"math"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// maySend holds all seven rules for one send now.
func (s *Scheduler) maySend(r *request, n *node) bool {
	return !r.over && r.out == 0 && r.attempts < s.cfg.MaxAttempts && s.now < r.a.Due && // one answer, in time
		n.listed && n.State == decision.Ready && // drains
		s.mayRepeat(r, n) && s.hasTurn(r) && s.withinBudget(r) && s.withinLimit(r) && s.bears(r, n)
}

// mayRepeat: nothing ran, or the class allows another try there and now.
func (s *Scheduler) mayRepeat(r *request, n *node) bool {
	if r.risk == nil || r.class.Repeat == decision.Safe {
		return true
	}
	if r.class.Repeat == decision.Unsafe || s.now > r.riskAt+r.class.RepeatWindow {
		return false
	}
	return r.class.Group.Holds(&n.Member, &r.risk.Member)
}

// hasTurn: the key's earlier requests are over, their outcomes known, and its rest has passed.
func (s *Scheduler) hasTurn(r *request) bool {
	return r.turn == nil || r.turn.queue[0] == r && (r.attempts > 0 || s.now >= r.turn.rest)
}

// withinBudget: further attempts in the window, this one included, fit the free ones and the share.
func (s *Scheduler) withinBudget(r *request) bool {
	if !s.cfg.Budget || r.attempts == 0 {
		return true
	}
	from := s.now - s.cfg.BudgetWindow
	taken, further := s.taken.Since(from+tickBusy), s.further.Since(from-tickBusy)
	return further+1 <= s.cfg.BudgetFree+s.cfg.BudgetShare*taken
}

// withinLimit: this host's even part of the volume's limit has the units.
func (s *Scheduler) withinLimit(r *request) bool {
	return r.vol.plan.Limit <= 0 || r.drawn || r.vol.limit.Fill(s.now) >= r.a.Units
}

// coldSince is the latest start that the list or a lost connection suggests; ok is false for a warm node.
func (s *Scheduler) coldSince(n *node) (at time.Duration, ok bool) {
	at = max(n.StartedAt, n.doubtAt)
	return at, at > 0 && s.cfg.TipWindow > 0 && s.now < at+s.cfg.Warm
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
	age, window := s.now-s.born, s.cfg.TipWindow.Seconds()
	if age < s.cfg.TipWindow {
		return false
	}
	sum := s.cfg.ColdBudget(s.now - s.cfg.TipWindow - at)
	used, part := s.inWindow(n)+r.a.Units, sum/float64(s.cfg.Hosts)
	if part < s.cfg.MeanUnits || part < r.a.Units && used == r.a.Units {
		known := 1 - math.Exp(-age.Seconds()/rate.Age.Seconds()) // of the rate, this host being so young
		asked := s.asked.Rate(s.now) * float64(s.cfg.Hosts) / float64(len(s.list))
		asked += s.askedOf[n.Shard].Rate(s.now) * float64(max(r.a.Hosts, 1))
		wins := r.lot*window*asked*r.a.Units/known < coldShare*sum*s.cfg.MeanUnits
		return wins && used <= max(s.cfg.MaxUnits, r.a.Units)
	}
	return used <= part
}

// inWindow sums the units sent within the rule's window and forgets older sends.
func (s *Scheduler) inWindow(n *node) (units float64) {
	return n.recent.Since(s.now - s.cfg.TipWindow - tickBusy)
}

// send starts an attempt and books it with every rule that counts sends.
func (s *Scheduler) send(r *request, n *node) {
	s.leave(r)
	if r.attempts > 0 && s.cfg.Budget {
		s.further.Add(s.now, 1)
	}
	if r.vol.plan.Limit > 0 && !r.drawn {
		r.vol.limit.Level -= r.a.Units
	}
	r.drawn = true
	n.recent.Add(s.now, r.a.Units)
	n.vStart, n.vEnd = max(n.vStart, r.start), max(n.vEnd, r.finish)
	n.aim = min(r.class.Aim.Seconds(), n.aim+latGain*(r.class.Aim.Seconds()-n.aim))
	n.out, n.sentAt = append(n.out, r), s.now
	r.attempts, r.out, r.sentAt, r.node, r.long, r.halfAt = r.attempts+1, r.out+1, s.now, n, false, r.a.Due
	// Out until its answer would be late: where nodes drop what timed out, their queues cannot grow beyond the
	// aim however many hosts send. Covers hung, dead and lossy nodes too; may lose late answers that still pay.
	after := max(min(r.aimAt, r.a.Due)-s.now, tickBusy)
	s.act = append(s.act, decision.Action{Kind: decision.Send, ID: r.id, Node: n.Node, After: after})
	if r.risk != nil && r.class.Repeat == decision.Keyed { // a connection may take long to come up
		s.act[len(s.act)-1].By = r.riskAt + r.class.RepeatWindow
	}
}
