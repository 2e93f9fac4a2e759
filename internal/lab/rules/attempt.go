package rules

import "poppyarch/internal/lab/history"

// attemptSent checks an attempt against every rule about attempts.
func (c *Checker) attemptSent(r *history.Record) {
	q := c.requests[r.Request]
	if q == nil || q.received.Broker != r.Broker {
		c.violate(ruleResponse, r, "sent, and not open at this broker")
		return
	}
	c.checkOpen(q, r)
	if limit := c.settings.MaxAttempts; limit > 0 && int32(len(q.attempts)) >= limit {
		c.violate(ruleAttempts, r, "attempt %d of %d", len(q.attempts)+1, limit)
	}
	for i := range q.attempts {
		if q.attempts[i].mayHaveRun() {
			c.checkRetry(q, i, r)
		}
	}
	c.checkNode(r)
	c.checkOrder(q, r)
	c.checkRetryBudget(q, r)
	c.checkRateLimit(q, r)
	c.trackSlowStart(r)
	q.attempts = append(q.attempts, attempt{node: r.Node, at: r.At})
}

func (c *Checker) checkOpen(q *request, r *history.Record) {
	switch {
	case q.responded:
		c.violate(ruleResponse, r, "sent after its final answer")
	case c.isLate(q, r.At):
		c.violate(ruleResponse, r, "sent %d us after its client had given up", r.At-q.received.Deadline)
	}
}

// checkRetry checks a further attempt of a request against an earlier attempt that may have run.
func (c *Checker) checkRetry(q *request, earlier int, r *history.Record) {
	class := &c.settings.Classes[q.received.Class]
	a := &q.attempts[earlier]
	switch class.Idempotency {
	case NotIdempotent:
		c.violate(ruleRetry, r, "attempt %d may have run at node %d, and the class must never run twice", earlier, a.node)
	case IdempotentByKey:
		if !class.DeduplicationScope.includes(c.node(a.node), c.node(r.Node)) {
			c.violate(ruleRetry, r, "attempt %d may have run at node %d, outside the group of node %d", earlier, a.node, r.Node)
		} else if r.At > a.at+class.DeduplicationWindow {
			c.violate(ruleRetry, r, "attempt %d may have run, %d us ago", earlier, r.At-a.at)
		}
	}
}

// includes reports whether one of the nodes drops repeats of a request that the other has executed.
func (s DeduplicationScope) includes(a, b *node) bool {
	switch s {
	case SameZone:
		return a.zone == b.zone
	case SameShard:
		return a.shard == b.shard
	}
	return true
}

// checkNode checks that the node is on the broker's list, and that the broker was not notified of its drain or removal
// more than the grace period ago.
func (c *Checker) checkNode(r *history.Record) {
	b := c.broker(r.Broker)
	if !b.knows(r.Node, c.node(r.Node)) {
		c.violate(ruleListed, r, "sent to a node that the broker's list has never named")
		return
	}
	state := b.notified[r.Node]
	if state.state != history.Ready && r.At > state.since+c.settings.DrainGrace {
		c.violate(ruleDrain, r, "sent %d us after the broker was notified", r.At-state.since)
	}
}
