package policy

import "time"

// keyQueue holds the open requests of ordered classes on one key, in order of arrival.
type keyQueue struct {
	requests   []*request
	quietUntil time.Duration // no first attempt before this time, as an earlier attempt may still be executed
}

// joinKeyQueue appends a request of an ordered class to its key's queue, unless it is queued there already.
func (s *Scheduler) joinKeyQueue(r *request) {
	if !r.class.Ordered || r.arrival.Key == "" || r.keyQueue != nil {
		return
	}
	q := s.requests.keyQueues[r.arrival.Key]
	if q == nil {
		q = &keyQueue{}
		s.requests.keyQueues[r.arrival.Key] = q
	}
	q.requests = append(q.requests, r)
	r.keyQueue = q
}

// isNextForKey reports whether r is not ordered by a key, or is the first open request on its key and, for a
// first attempt, the key's quiet period is over.
func (s *Scheduler) isNextForKey(r *request) bool {
	if r.keyQueue == nil {
		return true
	}
	return r.keyQueue.requests[0] == r && (r.attempts > 0 || s.now >= r.keyQueue.quietUntil)
}
