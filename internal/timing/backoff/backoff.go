// Package backoff computes the retry delays of clients that call a shared service.
package backoff

import "time"

const (
	firstDelayPerClient = 20 * time.Millisecond // the first delay is proportional to the number of clients
	minFirstDelay       = 500 * time.Millisecond
	maxFirstDelay       = 2 * time.Second
	maxDoublings        = 4
	maxDelayFactor      = 4 // maximum delay relative to the first delay, both per client and at the upper bound
	minMaxDelay         = 2 * minFirstDelay
	defaultMeanLimit    = 30 * time.Second
)

// Backoff is the policy of one client: exponential backoff with jitter.
type Backoff struct {
	firstDelay time.Duration
	maxDelay   time.Duration
	meanLimit  time.Duration
}

// New returns the policy of each client of a service that has the given number of clients. meanLimit is the upper limit
// of the mean delay; 0 or less selects the default of 30 s.
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

// InitialDelay returns the delay before the first call. It spreads the first calls of many clients over time. random is
// uniform in [0, 1).
func (b Backoff) InitialDelay(random float64) time.Duration {
	return time.Duration(float64(b.firstDelay-minFirstDelay) * random)
}

// RetryDelay returns the delay after a failed call. failures is the number of consecutive calls that failed before that
// one. The delay lies between one third of the longest delay and the longest delay, which doubles with each failure up
// to its maximum. A limit above 0 also caps the longest delay. random is uniform in [0, 1).
func (b Backoff) RetryDelay(failures int, limit time.Duration, random float64) time.Duration {
	mean := min(b.firstDelay<<min(failures, maxDoublings), b.maxDelay, b.meanLimit)
	longest := mean * 3 / 2
	if limit > 0 {
		longest = min(longest, limit)
	}
	return time.Duration(float64(longest) * (1 + 2*random) / 3)
}
