package rules

import (
	"math"
	"slices"

	"poppyarch/internal/lab/history"
)

// roundingError is the tolerance for floating-point errors of the bucket, in units.
const roundingError = 1e-9

const microsPerSecond = 1e6

// bucket is the token bucket of a volume's rate limit.
type bucket struct {
	level float64 // units
	at    int64   // time of the level
}

// checkRateLimit charges a request's first attempt to its volume.
func (c *Checker) checkRateLimit(q *request, r *history.Record) {
	if c.settings.RateLimit == nil || q.rateConsumed {
		return
	}
	q.rateConsumed = true
	limit := c.settings.RateLimit(q.received.Volume)
	if limit.Rate <= 0 {
		return
	}
	b := c.buckets[q.received.Volume]
	if b == nil {
		b = &bucket{level: limit.Burst, at: r.At}
		c.buckets[q.received.Volume] = b
	}
	refilled := b.level + limit.Rate*float64(r.At-b.at)/microsPerSecond
	b.level = math.Min(limit.Burst, refilled) - q.received.Units
	b.at = r.At
	if b.level < -limit.Tolerance-roundingError {
		c.violate(ruleLimit, r, "volume %d is %.2f units beyond its limit and slack", q.received.Volume, -b.level-limit.Tolerance)
	}
}

// checkRetryBudget counts a retry against the budget of its broker.
func (c *Checker) checkRetryBudget(q *request, r *history.Record) {
	if !c.settings.RetryBudget || len(q.attempts) == 0 {
		return
	}
	b := c.broker(r.Broker)
	expired := func(at int64) bool { return at < r.At-c.settings.RetryBudgetWindow }
	b.received = slices.DeleteFunc(b.received, expired)
	b.retries = append(slices.DeleteFunc(b.retries, expired), r.At)
	retries := float64(len(b.retries))
	budget := c.settings.RetryBudgetBase + c.settings.RetryBudgetRatio*float64(len(b.received))
	if retries > budget {
		c.violate(ruleBudget, r, "%.0f further attempts, %.1f allowed", retries, budget)
	}
}
