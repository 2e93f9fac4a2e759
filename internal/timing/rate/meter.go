// Package rate measures and limits rates. Its types are not safe for concurrent use. Points in time are durations since
// an epoch that the caller chooses, and must not decrease from one call to the next.
package rate

import (
	"math"
	"time"
)

// DecayTime is the time constant of a Meter.
const DecayTime = 5 * time.Second

// Meter measures a rate as an exponentially decaying sum. Its zero value is ready for use.
type Meter struct {
	DecayedSum float64       // sum at UpdatedAt
	UpdatedAt  time.Duration // when units were last added
}

// Add counts units at now.
func (m *Meter) Add(now time.Duration, units float64) {
	m.DecayedSum = m.DecayedSum*decay(now-m.UpdatedAt) + units
	m.UpdatedAt = now
}

// Rate returns the rate in units per second, averaged over approximately the last DecayTime.
func (m *Meter) Rate(now time.Duration) float64 {
	return m.DecayedSum * decay(now-m.UpdatedAt) / DecayTime.Seconds()
}

// decay returns the factor by which a sum decays within d.
func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / DecayTime.Seconds()) }
