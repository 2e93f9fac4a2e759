package policy

import (
	"maps"
	"slices"
	"time"

	"poppyarch/internal/broker/decision"
)

// idleRetention is how long a volume without requests and a node that left the list are remembered.
const idleRetention = time.Minute

// forgetIdle forgets clients that retry no more, idle keys, idle volumes and removed nodes. A node is kept
// while its drain, its slow start, an attempt or a recent send may still count if it comes back.
func (s *Scheduler) forgetIdle() {
	s.nodes.list = slices.DeleteFunc(s.nodes.list, s.isForgettable)
	s.nodes.byShard[decision.AnyShard] = s.nodes.list
	maps.DeleteFunc(s.nodes.byName, func(_ string, n *node) bool { return s.isForgettable(n) })
	maps.DeleteFunc(s.requests.unserved, func(_ retryKey, until time.Duration) bool { return until <= s.now })
	maps.DeleteFunc(s.requests.keyQueues, func(_ string, q *keyQueue) bool {
		return len(q.requests) == 0 && q.quietUntil <= s.now
	})
	maps.DeleteFunc(s.volumes, func(_ string, v *volume) bool {
		// Only if its bucket would be full again when it is next used.
		refilled := v.rateLimit.RefillRate*idleRetention.Seconds() >= v.rateLimit.Burst
		return v.queuedUnits == 0 && s.now > v.lastSeenAt+idleRetention && refilled
	})
}

// isForgettable reports whether nothing of a removed node counts any more.
func (s *Scheduler) isForgettable(n *node) bool {
	return !n.listed && s.now > n.removedAt+idleRetention+s.cfg.SlowStartDuration && len(n.inFlight) == 0
}
