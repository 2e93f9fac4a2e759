package policy

import (
	"maps"
	"slices"
	"time"

	"poppyarch/internal/broker/decision"
)

// maxEvictionCandidates is how many of the least recently used volumes are considered to make room for
// another one.
const maxEvictionCandidates = 8

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
	s.evictIdleVolumes()
}

// evictIdleVolumes deletes the volumes that have not been used for idleRetention.
func (s *Scheduler) evictIdleVolumes() {
	for e := s.volumesByUse.Front(); e != nil; {
		v := e.Value.(*volume)
		e = e.Next()
		if s.now <= v.lastSeenAt+idleRetention {
			return // the following ones were used later
		}
		if v.isEvictable(s.now) {
			s.deleteVolume(v)
		}
	}
}

// isEvictable reports whether n was removed long enough ago and has no attempts in flight.
func (s *Scheduler) isEvictable(n *node) bool {
	return !n.listed && s.now > n.removedAt+idleRetention+s.cfg.SlowStartDuration && len(n.inFlight) == 0
}
