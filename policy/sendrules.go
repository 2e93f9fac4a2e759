package policy

import (
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// retryBudget counts what the budget for retries is measured by.
type retryBudget struct {
	arrivals rate.SlidingWindow
	retries  rate.SlidingWindow
}

// maySend reports whether every rule on sends allows to send r to n now.
func (s *Scheduler) maySend(r *request, n *node) bool {
	return !r.closed && !r.inFlight && r.attempts < s.cfg.MaxAttempts && s.now < r.arrival.Deadline &&
		n.acceptsNew() && s.mayRetry(r, n) && s.isNextForKey(r) && s.withinRetryBudget(r) &&
		s.withinRateLimit(r) && s.withinSlowStart(r, n)
}

// mayRetry reports whether r may be sent to n as far as idempotency goes: no attempt may have been
// executed, or the class allows a repeat there and now.
func (s *Scheduler) mayRetry(r *request, n *node) bool {
	if r.mayHaveRunOn == nil || r.class.Idempotency == decision.Idempotent {
		return true
	}
	if r.class.Idempotency == decision.NotIdempotent || s.now > r.mayHaveRunAt+r.class.DedupWindow {
		return false
	}
	return r.class.DedupScope.Covers(&n.Endpoint, &r.mayHaveRunOn.Endpoint)
}

// withinRetryBudget reports whether the retries in the window, this one included, fit the budget.
func (s *Scheduler) withinRetryBudget(r *request) bool {
	if !s.cfg.HasRetryBudget || r.attempts == 0 {
		return true
	}
	from := s.now - s.cfg.RetryBudgetWindow
	arrivals := s.retryBudget.arrivals.SumSince(from + timerSlack)
	retries := s.retryBudget.retries.SumSince(from - timerSlack)
	return retries+1 <= s.cfg.RetryBudgetBase+s.cfg.RetryBudgetRatio*arrivals
}

// withinRateLimit reports whether this broker's even part of the volume's rate limit has the units.
func (s *Scheduler) withinRateLimit(r *request) bool {
	return r.volume.plan.RateLimit <= 0 || r.rateCharged || r.volume.rateLimit.Refill(s.now) >= r.arrival.Units
}

// send starts an attempt and charges it to every rule that counts sends.
func (s *Scheduler) send(r *request, n *node) {
	s.dequeue(r)
	if r.attempts > 0 && s.cfg.HasRetryBudget {
		s.retryBudget.retries.Add(s.now, 1)
	}
	if r.volume.plan.RateLimit > 0 && !r.rateCharged {
		r.volume.rateLimit.Tokens -= r.arrival.Units
	}
	n.addSend(s, r)

	r.rateCharged = true
	r.attempts++
	r.inFlight = true
	r.sentAt = s.now
	r.node = n
	r.countedSlow = false
	r.maxQueueUntil = r.arrival.Deadline

	// The attempt times out when its answer would be late. Where nodes drop what timed out, their queues
	// cannot grow beyond the objective however many brokers send, and hung, dead and lossy nodes are found
	// too.
	a := decision.Action{
		Kind:  decision.Forward,
		ID:    r.id,
		Node:  n.Node,
		After: max(min(r.objectiveAt, r.arrival.Deadline)-s.now, timerSlack),
	}
	if r.mayHaveRunOn != nil && r.class.Idempotency == decision.IdempotentByKey {
		// Making a connection may take long, and a repeat is dropped as such within the window only.
		a.NotAfter = r.mayHaveRunAt + r.class.DedupWindow
	}
	s.act(a)
}

// addSend counts a send at its node.
func (n *node) addSend(s *Scheduler, r *request) {
	objective := r.class.LatencyObjective.Seconds()
	n.recentSends.Add(s.now, r.arrival.Units)
	n.maxStartTag = max(n.maxStartTag, r.startTag)
	n.maxFinishTag = max(n.maxFinishTag, r.finishTag)
	n.objective = min(objective, n.objective+latencyGain*(objective-n.objective))
	n.inFlight = append(n.inFlight, r)
	n.lastSendAt = s.now
}
