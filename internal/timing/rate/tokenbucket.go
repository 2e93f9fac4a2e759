package rate

import (
	"math"
	"time"
)

// TokenBucket limits a rate. Callers take tokens by reducing Tokens, which may become negative.
type TokenBucket struct {
	Tokens     float64
	RefillRate float64       // tokens a second
	Burst      float64       // the most tokens that it holds
	RefilledAt time.Duration // when Refill was last called
}

// Refill adds the tokens since the last call and returns how many there are.
func (b *TokenBucket) Refill(now time.Duration) float64 {
	b.Tokens = math.Min(b.Burst, b.Tokens+b.RefillRate*(now-b.RefilledAt).Seconds())
	b.RefilledAt = now
	return b.Tokens
}
