// Package backoff computes the delays of clients that retry calls to a shared service.
package backoff

import "time"

const (
	firstDelayPerClient = 20 * time.Millisecond // the first delay grows with the number of clients
	minFirstDelay       = 500 * time.Millisecond
	maxFirstDelay       = 2 * time.Second
	maxDoublings        = 4
	maxDelayFactor      = 4 // the longest delay, relative to the first; likewise for each client
	minMaxDelay         = 2 * minFirstDelay
	defaultMeanLimit    = 30 * time.Second
)

// Backoff is the policy of one client: exponential backoff with jitter.
type Backoff struct {
	firstDelay time.Duration
	maxDelay   time.Duration
	meanLimit  time.Duration
}

// New returns the policy for one of so many clients of a service. meanLimit, if it is above 0, limits the mean of the
// delays; it is 30 s otherwise.
func New(clients int, meanLimit time.Duration) Backoff {
	if meanLimit <= 0 {
		meanLimit = defaultMeanLimit
	}
	perClient := time.Duration(clients) * firstDelayPerClient
	return Backoff{
		firstDelay: max(minFirstDelay, min(maxFirstDelay, perClient)),
		maxDelay:   max(minMaxDelay, min(maxDelayFactor*maxFirstDelay, maxDelayFactor*perClient)),
		meanLimit:  meanLimit,
	}
}

// InitialDelay is the delay before the first call, which spreads the calls of many clients. random is uniform in [0, 1).
func (b Backoff) InitialDelay(random float64) time.Duration {
	return time.Duration(float64(b.firstDelay-minFirstDelay) * random)
}

// RetryDelay is the delay after a call that failed, as did so many calls in a row before it. It is between a third and
// the whole of the longest delay then, which doubles with each failure. limit, if it is above 0, limits the longest
// delay. random is uniform in [0, 1).
func (b Backoff) RetryDelay(failures int, limit time.Duration, random float64) time.Duration {
	mean := min(b.firstDelay<<min(failures, maxDoublings), b.maxDelay, b.meanLimit)
	longest := mean * 3 / 2
	if limit > 0 {
		longest = min(longest, limit)
	}
	return time.Duration(float64(longest) * (1 + 2*random) / 3)
}
