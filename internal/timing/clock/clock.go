// Package clock is the broker's time: whole microseconds on the monotonic clock.
package clock

import "time"

// Micros is a time or a duration in microseconds. Times count from the zero of Unix time.
type Micros = int64

// Clock tells the time. Its zero is that of Unix time, so that the start times of storage nodes can be compared with it,
// but it runs on the monotonic clock: a step of the wall clock does not move it.
type Clock struct {
	start time.Time
	zero  Micros
}

// New returns a clock set by the wall clock once.
func New() *Clock {
	now := time.Now()
	return &Clock{start: now, zero: now.UnixMicro()}
}

// Now returns the present time.
func (c *Clock) Now() Micros { return c.zero + time.Since(c.start).Microseconds() }

// Duration converts microseconds to the standard library's type.
func Duration(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }
