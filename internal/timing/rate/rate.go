// Package rate measures how much happens a second and limits it.
package rate

import (
	"math"
	"slices"
	"time"
)

// DecayTime is the time constant with which a Meter forgets.
const DecayTime = 5 * time.Second

// Meter is a sum that decays, which makes a rate. Its zero value is empty.
type Meter struct {
	DecayedSum float64       // at the time of the last Add
	UpdatedAt  time.Duration // of the last Add
}

// Add counts units at now.
func (m *Meter) Add(now time.Duration, units float64) {
	m.DecayedSum, m.UpdatedAt = m.DecayedSum*math.Exp(-(now-m.UpdatedAt).Seconds()/DecayTime.Seconds())+units, now
}

// Rate is units a second of late.
func (m *Meter) Rate(now time.Duration) float64 {
	return m.DecayedSum * math.Exp(-(now-m.UpdatedAt).Seconds()/DecayTime.Seconds()) / DecayTime.Seconds()
}

// TokenBucket is a token bucket: its level rises by Rate units a second, up to Max.
type TokenBucket struct {
	Tokens, RefillRate, Burst float64
	RefilledAt                time.Duration // of the last Fill
}

// Refill brings the bucket up to now and returns its level.
func (b *TokenBucket) Refill(now time.Duration) float64 {
	b.Tokens = math.Min(b.Burst, b.Tokens+b.RefillRate*(now-b.RefilledAt).Seconds())
	b.RefilledAt = now
	return b.Tokens
}

// FixedWindow counts events by fixed windows of time. Its zero value is empty.
type FixedWindow struct {
	count int
	start time.Duration
}

// Allow counts one more event and reports whether it is among the first most of its window.
func (w *FixedWindow) Allow(now, length time.Duration, most int) bool {
	if now >= w.start+length {
		w.count, w.start = 0, now
	}
	w.count++
	return w.count <= most
}

// SlidingWindow keeps what was counted when, for as long as it is asked about. Its zero value is empty.
type SlidingWindow struct{ samples []sample }

type sample struct {
	at    time.Duration
	units float64
}

// Add counts units at now.
func (h *SlidingWindow) Add(now time.Duration, units float64) {
	h.samples = append(h.samples, sample{now, units})
}

// SumSince is the sum from a time on. What came before it is forgotten.
func (h *SlidingWindow) SumSince(from time.Duration) (units float64) {
	h.samples = slices.DeleteFunc(h.samples, func(e sample) bool { return e.at < from })
	for _, e := range h.samples {
		units += e.units
	}
	return units
}
