package rate

import (
	"testing"
	"time"
)

// A bucket refills at its rate up to its burst, starting from a negative number of tokens.
func TestTokenBucketRefillsUpToItsBurst(t *testing.T) {
	b := TokenBucket{Tokens: -4, RefillRate: 2, Burst: 10}
	for _, x := range []struct {
		at   time.Duration
		want float64
	}{{0, -4}, {time.Second, -2}, {7 * time.Second, 10}, {time.Hour, 10}} {
		if got := b.Refill(x.at); got != x.want {
			t.Errorf("at %v: %v tokens, want %v", x.at, got, x.want)
		}
	}
}
