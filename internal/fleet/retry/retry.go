// Package retry decides on retries of calls between the parts of a fleet: the delay before an attempt, whether the
// retry budget allows the attempt, and when a circuit breaker holds back calls. The decisions do not read the clock or
// draw random numbers: callers pass times in microseconds and random numbers from 0 to 1.
package retry

import (
	"context"
	"time"

	"poppyarch/internal/timing/clock"
)

// Policy limits the attempts of one call.
type Policy struct {
	Attempts     int          // total, including the first one
	InitialDelay clock.Micros // longest delay before the first retry; doubles with each further retry
	MaxDelay     clock.Micros // upper limit of the longest delay
}

// Delay returns the delay before retry n, counted from 1. random, a number from 0 to 1, spreads it from 0 up to the
// longest delay, so that callers that failed together do not retry together.
func (p Policy) Delay(n int, random float64) clock.Micros {
	backoff := Backoff{Initial: p.InitialDelay, Max: p.MaxDelay}
	var longest clock.Micros
	for range n {
		longest = backoff.Next()
	}
	return clock.Micros(random * float64(longest))
}

// Backoff returns delays that double from Initial up to Max.
type Backoff struct {
	Initial clock.Micros
	Max     clock.Micros
	last    clock.Micros // 0 before the first delay
}

// Next returns the next delay.
func (b *Backoff) Next() clock.Micros {
	b.last = min(max(2*b.last, b.Initial), b.Max)
	return b.last
}

// Reset makes Initial the next delay again.
func (b *Backoff) Reset() { b.last = 0 }

// Jitter spreads a delay over its second half by random, a number from 0 to 1.
func Jitter(delay clock.Micros, random float64) clock.Micros {
	return delay/2 + clock.Micros(random*float64(delay/2))
}

// Sleep waits for a delay, and returns the error of ctx if ctx is done first.
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
