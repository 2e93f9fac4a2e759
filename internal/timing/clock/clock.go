// Package clock is the broker's time: whole microseconds on the monotonic clock.
package clock

import "time"

// Clock tells the time in microseconds. Its zero is that of Unix time, so that the start times in the node list
// stand on it, but it runs on the monotonic clock: a step of the wall clock does not move it.
type Clock struct {
	start time.Time
	zero  int64
}

// New returns a clock set by the wall clock once.
func New() *Clock {
	now := time.Now()
	return &Clock{start: now, zero: now.UnixMicro()}
}

// Now is the present time.
func (c *Clock) Now() int64 { return c.zero + time.Since(c.start).Microseconds() }

// Duration turns microseconds into the standard library's form.
func Duration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
