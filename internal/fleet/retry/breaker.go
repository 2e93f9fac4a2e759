package retry

import "poppyarch/internal/timing/clock"

// BreakerConfig sets a circuit breaker up.
type BreakerConfig struct {
	Threshold   int          // failures in a row that open it
	InitialOpen clock.Micros // how long it stays open at first; doubles with each failed trial call
	MaxOpen     clock.Micros // bound of the doubling
}

// Breaker is a circuit breaker: it holds calls back from a peer that fails again and again, and lets a single trial call
// through each time that its open period has passed.
type Breaker struct {
	config    BreakerConfig
	failures  int // in a row
	open      Backoff
	openUntil clock.Micros
	onTrial   bool // a trial call is in flight
}

// NewBreaker returns a closed breaker.
func NewBreaker(config BreakerConfig) Breaker {
	return Breaker{config: config, open: Backoff{Initial: config.InitialOpen, Max: config.MaxOpen}}
}

// Allow reports whether a call may be made now, and if not, when to ask again. An allowed call ends with Record or Cancel.
func (b *Breaker) Allow(now clock.Micros) (ok bool, retryAt clock.Micros) {
	switch {
	case b.failures < b.config.Threshold:
		return true, 0
	case now < b.openUntil:
		return false, b.openUntil
	case b.onTrial:
		return false, now + b.config.InitialOpen
	}
	b.onTrial = true
	return true, 0
}

// Cancel takes back an allowed call that was not made.
func (b *Breaker) Cancel() { b.onTrial = false }

// Record notes how an allowed call ended. random, from 0 to 1, spreads the open period over its second half.
func (b *Breaker) Record(now clock.Micros, succeeded bool, random float64) {
	b.onTrial = false
	if succeeded {
		b.failures = 0
		b.open.Reset()
		return
	}
	b.failures++
	if b.failures >= b.config.Threshold {
		b.openUntil = now + Jitter(b.open.Next(), random)
	}
}
