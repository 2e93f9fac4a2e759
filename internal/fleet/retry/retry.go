// Package retry decides on retries of calls between the parts of a fleet: the delay before an attempt, whether the retry
// budget allows it, and when a circuit breaker holds calls back. Its decisions read no clock and draw no random numbers:
// times come in as microseconds, random numbers from 0 to 1.
package retry

import (
	"context"
	"time"

	"poppyarch/internal/timing/clock"
)

// Policy bounds the attempts of one call.
type Policy struct {
	Attempts     int          // in all, the first one included
	InitialDelay clock.Micros // longest delay before the first retry; doubles with each further one
	MaxDelay     clock.Micros // bound of the doubling
}

// Delay returns the delay before retry n, counted from 1. It is spread over the whole of the doubled delay by random, so
// that callers that failed together do not come back together.
func (p Policy) Delay(n int, random float64) clock.Micros {
	backoff := Backoff{Initial: p.InitialDelay, Max: p.MaxDelay}
	var longest clock.Micros
	for range n {
		longest = backoff.Next()
	}
	return clock.Micros(random * float64(longest))
}

// Backoff gives delays that double from Initial up to Max. The zero state gives Initial first.
type Backoff struct {
	Initial clock.Micros
	Max     clock.Micros
	last    clock.Micros // 0 before the first
}

// Next returns the next delay.
func (b *Backoff) Next() clock.Micros {
	b.last = min(max(2*b.last, b.Initial), b.Max)
	return b.last
}

// Reset makes Initial the next delay again.
func (b *Backoff) Reset() { b.last = 0 }

// Jitter spreads a delay over its second half.
func Jitter(delay clock.Micros, random float64) clock.Micros {
	return delay/2 + clock.Micros(random*float64(delay/2))
}

// Sleep waits for a delay, or returns the error of ctx as soon as that is done.
func Sleep(ctx context.Context, delay clock.Micros) error {
	timer := time.NewTimer(clock.Duration(delay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
