package rate

import (
	"math"
	"time"
)

// TokenBucket limits a rate. Callers take tokens by reducing Tokens, which may become negative.
type TokenBucket struct {
	Tokens     float64
	RefillRate float64       // tokens per second
	Burst      float64       // capacity in tokens
	RefilledAt time.Duration // when Refill was last called
}

// Refill adds the tokens for the time since the last call and returns the number of tokens in the bucket.
func (b *TokenBucket) Refill(now time.Duration) float64 {
	b.Tokens = math.Min(b.Burst, b.Tokens+b.RefillRate*(now-b.RefilledAt).Seconds())
	b.RefilledAt = now
	return b.Tokens
}
