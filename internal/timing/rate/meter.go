// Package rate measures and limits rates. Its types are not safe for concurrent use. Points in time are durations since
// an epoch that the caller chooses, and must not go back.
package rate

import (
	"math"
	"time"
)

// DecayTime is the time constant of a Meter.
const DecayTime = 5 * time.Second

// Meter measures a rate as an exponentially decaying sum. Its zero value is empty.
type Meter struct {
	DecayedSum float64       // at UpdatedAt
	UpdatedAt  time.Duration // when units were last added
}

// Add counts units at now.
func (m *Meter) Add(now time.Duration, units float64) {
	m.DecayedSum = m.DecayedSum*decay(now-m.UpdatedAt) + units
	m.UpdatedAt = now
}

// Rate returns the units a second, of the last DecayTime or so.
func (m *Meter) Rate(now time.Duration) float64 {
	return m.DecayedSum * decay(now-m.UpdatedAt) / DecayTime.Seconds()
}

// decay is the factor by which a sum decays in a time.
func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / DecayTime.Seconds()) }
