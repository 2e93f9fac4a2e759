package policy

import (
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// retryBudget counts the arrivals and retries that the retry budget compares.
type retryBudget struct {
	arrivals rate.SlidingWindow
	retries  rate.SlidingWindow
}

// maySend reports whether all rules allow r to be sent to n now.
func (s *Scheduler) maySend(r *request, n *node) bool {
	return !r.closed && !r.inFlight && r.attempts < s.cfg.MaxAttempts && s.now < r.arrival.Deadline &&
		n.acceptsNew() && s.mayRetry(r, n) && s.isNextForKey(r) && s.withinRetryBudget(r) &&
		s.withinRateLimit(r) && s.withinSlowStart(r, n)
}

// mayRetry reports whether idempotency allows r to be sent to n: either no earlier attempt can have been
// executed, or the class allows r to be repeated at n at this time.
func (s *Scheduler) mayRetry(r *request, n *node) bool {
	if r.mayHaveRunOn == nil || r.class.Idempotency == decision.Idempotent {
		return true
	}
	if r.class.Idempotency == decision.NotIdempotent || s.now > r.mayHaveRunAt+r.class.DedupWindow {
		return false
	}
	return r.class.DedupScope.Covers(&n.Endpoint, &r.mayHaveRunOn.Endpoint)
}

// withinRetryBudget reports whether the retry budget allows r to be sent. First attempts are not limited.
func (s *Scheduler) withinRetryBudget(r *request) bool {
	if !s.cfg.HasRetryBudget || r.attempts == 0 {
		return true
	}
	from := s.now - s.cfg.RetryBudgetWindow
	arrivals := s.retryBudget.arrivals.SumSince(from + timerSlack)
	retries := s.retryBudget.retries.SumSince(from - timerSlack)
	return retries+1 <= s.cfg.RetryBudgetBase+s.cfg.RetryBudgetRatio*arrivals
}

// withinRateLimit reports whether the token bucket with this broker's equal share of the volume's rate limit
// covers r.
func (s *Scheduler) withinRateLimit(r *request) bool {
	return r.volume.plan.RateLimit <= 0 || r.rateCharged || r.volume.rateLimit.Refill(s.now) >= r.arrival.Units
}

// send starts an attempt and charges it to the retry budget, the rate limit and the node.
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

	// The attempt times out at the latency objective. If nodes drop requests that have timed out, their
	// queues cannot grow beyond the objective, however many brokers send. It also detects nodes that hang,
	// are down or lose requests.
	a := decision.Action{
		Kind:  decision.Forward,
		ID:    r.id,
		Node:  n.Node,
		After: max(min(r.objectiveAt, r.arrival.Deadline)-s.now, timerSlack),
	}
	if r.mayHaveRunOn != nil && r.class.Idempotency == decision.IdempotentByKey {
		// Connecting may take long, and nodes detect duplicates only within the deduplication window.
		a.NotAfter = r.mayHaveRunAt + r.class.DedupWindow
	}
	s.act(a)
}

// addSend records at the node that r is sent to it.
func (n *node) addSend(s *Scheduler, r *request) {
	objective := r.class.LatencyObjective.Seconds()
	n.recentSends.Add(s.now, r.arrival.Units)
	n.maxStartTag = max(n.maxStartTag, r.startTag)
	n.maxFinishTag = max(n.maxFinishTag, r.finishTag)
	n.objective = min(objective, n.objective+latencyGain*(objective-n.objective))
	n.inFlight = append(n.inFlight, r)
	n.lastSendAt = s.now
}
