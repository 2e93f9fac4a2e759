// Package rate measures how much happens a second and limits it.
package rate

import (
	"math"
	"slices"
	"time"
)

// Age is the time constant with which a Meter forgets.
const Age = 5 * time.Second

// Meter is a sum that decays, which makes a rate. Its zero value is empty.
type Meter struct {
	Sum float64       // at the time of the last Add
	At  time.Duration // of the last Add
}

// Add counts units at now.
func (m *Meter) Add(now time.Duration, units float64) {
	m.Sum, m.At = m.Sum*math.Exp(-(now-m.At).Seconds()/Age.Seconds())+units, now
}

// Rate is units a second of late.
func (m *Meter) Rate(now time.Duration) float64 {
	return m.Sum * math.Exp(-(now-m.At).Seconds()/Age.Seconds()) / Age.Seconds()
}

// Bucket is a token bucket: its level rises by Rate units a second, up to Max.
type Bucket struct {
	Level, Rate, Max float64
	At               time.Duration // of the last Fill
}

// Fill brings the bucket up to now and returns its level.
func (b *Bucket) Fill(now time.Duration) float64 {
	b.Level = math.Min(b.Max, b.Level+b.Rate*(now-b.At).Seconds())
	b.At = now
	return b.Level
}

// Window counts events by fixed windows of time. Its zero value is empty.
type Window struct {
	count int
	began time.Duration
}

// Allow counts one more event and reports whether it is among the first most of its window.
func (w *Window) Allow(now, length time.Duration, most int) bool {
	if now >= w.began+length {
		w.count, w.began = 0, now
	}
	w.count++
	return w.count <= most
}

// History keeps what was counted when, for as long as it is asked about. Its zero value is empty.
type History struct{ entries []entry }

type entry struct {
	at    time.Duration
	units float64
}

// Add counts units at now.
func (h *History) Add(now time.Duration, units float64) {
	h.entries = append(h.entries, entry{now, units})
}

// Since is the sum from a time on. What came before it is forgotten.
func (h *History) Since(from time.Duration) (units float64) {
	h.entries = slices.DeleteFunc(h.entries, func(e entry) bool { return e.at < from })
	for _, e := range h.entries {
		units += e.units
	}
	return units
}
