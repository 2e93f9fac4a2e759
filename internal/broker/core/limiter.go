package core

import "sync/atomic"

// ConcurrencyLimiter limits the requests that a process has in flight over all its frontends.
type ConcurrencyLimiter struct {
	inFlight atomic.Int64
	limit    atomic.Int64
}

// NewConcurrencyLimiter returns a limiter that allows up to limit requests in flight.
func NewConcurrencyLimiter(limit int) *ConcurrencyLimiter {
	l := &ConcurrencyLimiter{}
	l.SetLimit(limit)
	return l
}

// SetLimit changes the limit. Requests in flight are not affected.
func (l *ConcurrencyLimiter) SetLimit(limit int) { l.limit.Store(int64(limit)) }

// Limit returns the limit.
func (l *ConcurrencyLimiter) Limit() int { return int(l.limit.Load()) }

// Acquire counts a new request and reports true, or reports false if the limit is reached.
func (l *ConcurrencyLimiter) Acquire() bool {
	if l.inFlight.Add(1) > l.limit.Load() {
		l.inFlight.Add(-1)
		return false
	}
	return true
}

// Release ends a request for which Acquire reported true.
func (l *ConcurrencyLimiter) Release() { l.inFlight.Add(-1) }

// InFlight returns the number of requests in flight.
func (l *ConcurrencyLimiter) InFlight() int64 { return l.inFlight.Load() }
