// Package clock provides the program's time in whole microseconds, on the monotonic clock.
package clock

import (
	"sync/atomic"
	"time"
)

// Micros is a point in time or a duration in microseconds. Points in time count from the Unix epoch.
type Micros int64

// Duration converts microseconds to the standard library's type.
func Duration(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// FromDuration converts a duration to whole microseconds, rounded towards zero.
func FromDuration(d time.Duration) Micros { return Micros(d.Microseconds()) }

// FromMillis converts milliseconds.
func FromMillis(ms int64) Micros { return Micros(ms) * 1000 }

// AtomicMicros is a Micros that is safe for concurrent use. Its zero value is 0.
type AtomicMicros struct {
	v atomic.Int64
}

// Load returns the value.
func (a *AtomicMicros) Load() Micros { return Micros(a.v.Load()) }

// Store sets the value.
func (a *AtomicMicros) Store(m Micros) { a.v.Store(int64(m)) }

// Swap sets the value and returns the previous one.
func (a *AtomicMicros) Swap(m Micros) Micros { return Micros(a.v.Swap(int64(m))) }

// CompareAndSwap sets the value if it equals old, and reports whether it did.
func (a *AtomicMicros) CompareAndSwap(old, new Micros) bool {
	return a.v.CompareAndSwap(int64(old), int64(new))
}

// Add adds delta to the value and returns the new value.
func (a *AtomicMicros) Add(delta Micros) Micros { return Micros(a.v.Add(int64(delta))) }

// Clock reads the time. It is set from the wall clock once, so that its times can be compared with those of other
// machines, and then follows the monotonic clock: later adjustments of the wall clock do not affect it.
type Clock struct {
	start time.Time
	epoch Micros // start, as Unix time
}

// New returns a clock that is set from the wall clock.
func New() *Clock {
	now := time.Now()
	return &Clock{start: now, epoch: Micros(now.UnixMicro())}
}

// Now returns the current time.
func (c *Clock) Now() Micros { return c.epoch + FromDuration(time.Since(c.start)) }
