// Package backoff says how long to wait between calls to a service that fails, by how many share it.
package backoff

import "time"

const (
	eachFirst = 20 * time.Millisecond  // each caller's part of the first wait
	least     = 500 * time.Millisecond // the least first wait
	most      = 2 * time.Second        // the longest first wait; later ones grow to four times each caller's part of this
	doublings = 4
)

// Backoff is the policy of one caller. Waits double with each failure in a row, and each is drawn by lot so that callers do
// not stay in step.
type Backoff struct {
	first, last, cap time.Duration
}

// New returns the policy for one of so many callers of one service. No wait is longer in the mean than cap, where it is
// above 0.
func New(callers int, cap time.Duration) Backoff {
	if cap <= 0 {
		cap = time.Minute / 2
	}
	n := time.Duration(callers)
	return Backoff{first: max(least, min(most, n*eachFirst)), last: max(2*least, min(4*most, 4*eachFirst*n)), cap: cap}
}

// InitialDelay is the wait before the first call of all. lot is a random number from 0 to 1.
func (b Backoff) InitialDelay(lot float64) time.Duration {
	return time.Duration(float64(b.first-least) * lot)
}

// RetryDelay is the wait after so many failures before this one, from a third of the longest to the longest. bound, where it is
// above 0, is the longest that the caller allows.
func (b Backoff) RetryDelay(failures int, bound time.Duration, lot float64) time.Duration {
	longest := min(b.first<<min(failures, doublings), b.last, b.cap) * 3 / 2
	if bound > 0 {
		longest = min(longest, bound)
	}
	return time.Duration(float64(longest) * (1 + 2*lot) / 3)
}
