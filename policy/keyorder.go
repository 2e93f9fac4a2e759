package policy

import "time"

// keyQueue orders the requests of one key in classes that ask for order.
type keyQueue struct {
	requests   []*request
	quietUntil time.Duration // no first attempt before: an earlier one may still be executed
}

// joinKeyQueue puts a request of an ordered class at the end of its key's queue, once.
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

// isNextForKey reports whether the key's earlier requests are closed with known outcomes and its quiet
// period is over.
func (s *Scheduler) isNextForKey(r *request) bool {
	if r.keyQueue == nil {
		return true
	}
	return r.keyQueue.requests[0] == r && (r.attempts > 0 || s.now >= r.keyQueue.quietUntil)
}
