package retry

import "poppyarch/internal/timing/clock"

// BreakerConfig configures a circuit breaker.
type BreakerConfig struct {
	Threshold   int          // consecutive failures that open the breaker
	InitialOpen clock.Micros // first open period; doubles with each failed trial call
	MaxOpen     clock.Micros // upper limit of the open period
}

// Breaker is a circuit breaker. It holds back calls to a peer after repeated failures, and allows a single trial call
// each time an open period has passed.
type Breaker struct {
	config        BreakerConfig
	failures      int // consecutive
	openPeriod    Backoff
	openUntil     clock.Micros
	trialInFlight bool // a trial call is in flight
}

// NewBreaker returns a closed breaker.
func NewBreaker(config BreakerConfig) Breaker {
	return Breaker{config: config, openPeriod: Backoff{Initial: config.InitialOpen, Max: config.MaxOpen}}
}

// Allow reports whether a call may be made now, and if not, when to ask again. Each allowed call must be followed by
// Record or Cancel.
func (b *Breaker) Allow(now clock.Micros) (ok bool, retryAt clock.Micros) {
	switch {
	case b.failures < b.config.Threshold:
		return true, 0
	case now < b.openUntil:
		return false, b.openUntil
	case b.trialInFlight:
		return false, now + b.config.InitialOpen
	}
	b.trialInFlight = true
	return true, 0
}

// Cancel reports that an allowed call was not made.
func (b *Breaker) Cancel() { b.trialInFlight = false }

// Record records the result of an allowed call. random, a number from 0 to 1, spreads the open period over its second
// half.
func (b *Breaker) Record(now clock.Micros, succeeded bool, random float64) {
	b.trialInFlight = false
	if succeeded {
		b.failures = 0
		b.openPeriod.Reset()
		return
	}
	b.failures++
	if b.failures >= b.config.Threshold {
		b.openUntil = now + Jitter(b.openPeriod.Next(), random)
	}
}
