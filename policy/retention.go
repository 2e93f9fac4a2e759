package policy

import (
	"maps"
	"slices"
	"time"

	"poppyarch/internal/broker/decision"
)

// idleRetention is how long the state of idle volumes and removed nodes is kept.
const idleRetention = time.Minute

// evictIdle deletes retry keys that have expired, idle key queues, idle volumes and removed nodes. A removed
// node is kept while its drain, its slow start, an attempt or a recent send may still matter if it is listed
// again.
func (s *Scheduler) evictIdle() {
	s.nodes.list = slices.DeleteFunc(s.nodes.list, s.isEvictable)
	s.nodes.byShard[decision.AnyShard] = s.nodes.list
	maps.DeleteFunc(s.nodes.byName, func(_ string, n *node) bool { return s.isEvictable(n) })
	maps.DeleteFunc(s.requests.unserved, func(_ retryKey, until time.Duration) bool { return until <= s.now })
	maps.DeleteFunc(s.requests.keyQueues, func(_ string, q *keyQueue) bool {
		return len(q.requests) == 0 && q.quietUntil <= s.now
	})
	maps.DeleteFunc(s.volumes, func(_ string, v *volume) bool {
		// The volume may be created again with a full bucket, so its bucket must have had the time to fill up.
		refilled := v.rateLimit.RefillRate*idleRetention.Seconds() >= v.rateLimit.Burst
		return v.queuedUnits == 0 && s.now > v.lastSeenAt+idleRetention && refilled
	})
}

// isEvictable reports whether n was removed long enough ago and has no attempts in flight.
func (s *Scheduler) isEvictable(n *node) bool {
	return !n.listed && s.now > n.removedAt+idleRetention+s.cfg.SlowStartDuration && len(n.inFlight) == 0
}
