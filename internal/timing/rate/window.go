package rate

import (
	"slices"
	"time"
)

// FixedWindow limits the number of events in consecutive time windows. Its zero value is ready for use.
type FixedWindow struct {
	start time.Duration
	count int
}

// Allow counts an event and reports whether it is among the first limit events of the current window.
func (w *FixedWindow) Allow(now, length time.Duration, limit int) bool {
	if now >= w.start+length {
		w.count = 0
		w.start = now
	}
	w.count++
	return w.count <= limit
}

// SlidingWindow sums the units counted since a point in time. Its zero value is ready for use.
type SlidingWindow struct {
	samples []sample
}

type sample struct {
	at    time.Duration
	units float64
}

// Add counts units at now.
func (w *SlidingWindow) Add(now time.Duration, units float64) {
	w.samples = append(w.samples, sample{at: now, units: units})
}

// SumSince returns the sum of the units counted at from or later, and discards all earlier samples.
func (w *SlidingWindow) SumSince(from time.Duration) float64 {
	w.samples = slices.DeleteFunc(w.samples, func(s sample) bool { return s.at < from })
	var sum float64
	for _, s := range w.samples {
		sum += s.units
	}
	return sum
}
