// Package pacing decides how long clients wait that get many free answers: errors, rejections and other answers that were
// given without an attempt at a storage node. Such answers are not slowed down by any node, so that a single client could
// take all of the processor. It does no I/O and reads no clock.
//
// Free answers of each kind have an account of their own. A client that sends what is no request draws down the account of
// errors, and so cannot make a client wait whose requests are sound but rejected under load. The wait before a request is read
// is bounded, however many others wait: a client that falls behind further would get its answers after its deadlines.
package pacing

import (
	"sync"
	"time"

	"poppyarch/internal/timing/clock"
)

const (
	// MaxRejectionWait is the longest time that a client waits before one request is read, unless it has sent much that is
	// no request.
	MaxRejectionWait = 100 * time.Millisecond
	// MaxWait is the longest time that a client waits before one request is read, unless the last thing that it sent and that
	// is no request was large. It is less than the half second by which an answer may come after its deadline.
	MaxWait = 400 * time.Millisecond
	// MaxLargeWait is the longest time that any client waits. It is less than the three seconds in which a client that sends
	// no requests gets its error.
	MaxLargeWait = 2 * time.Second

	// largeCost is the cost from which on an answer to no request makes its client wait for up to MaxLargeWait.
	largeCost = 8
	// maxDelay limits a single wait, so that the end of the connection is noticed.
	maxDelay = 100 * time.Millisecond
	// graceAnswers is the number of free answers that a client gets without a wait even if the others together get too
	// many.
	graceAnswers = 16
	// bytesPerAnswer is the size of a request that costs as much as a further answer.
	bytesPerAnswer = 1024
	// maxSizeCost limits what the size of one request costs, so that a single rejected upload delays nobody.
	maxSizeCost = 72
)

// Kind is the kind of a free answer.
type Kind uint8

// The kinds.
const (
	Rejection Kind = iota // of a sound request
	NoRequest             // to anything else: an error, or the reply to a PING or a health check
	kindCount
)

// Limiter limits the free answers of all clients of a process. Its methods may be called by any goroutine.
type Limiter struct {
	rate  float64 // free answers of one kind per second, for all waiting clients together
	burst float64 // free answers of one kind that one client gets without a wait

	mu     sync.Mutex
	common [kindCount]account // free answers that all clients together may get without a wait
}

// account holds the free answers of one kind that may be given without a wait. It is negative if too many were given.
type account struct {
	tokens     float64
	refilledAt clock.Micros
	lastCost   float64 // of the last free answer; only in the accounts of clients
	waiting    int     // number of clients that wait because of this kind; only in the common accounts
}

// NewLimiter returns a limiter that allows ratePerSecond free answers of each kind, and burst of one client at once.
func NewLimiter(ratePerSecond, burst int) *Limiter {
	l := &Limiter{rate: float64(ratePerSecond), burst: float64(burst)}
	for kind := range l.common {
		l.common[kind].tokens = l.rate
	}
	return l
}

// Client is the accounts of one client. BeginWait and EndWait must not be called concurrently for one client.
type Client struct {
	limiter *Limiter

	// Guarded by the limiter's mu.
	accounts   [kindCount]account
	waitsFor   Kind         // the kind whose account made the client wait last
	waits      bool         // the client has begun to wait before its next request
	waitsSince clock.Micros // when it began to
}

// NewClient returns the accounts of a client that connects now. If all clients together get too many rejections, it begins
// with few, so that nobody gets more by connecting anew. For other free answers delay sees to that.
func (l *Limiter) NewClient(now clock.Micros) *Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &Client{limiter: l}
	for kind := range c.accounts {
		l.refill(c, Kind(kind), now)
		c.accounts[kind].tokens = l.burst
	}
	if l.common[Rejection].tokens < 0 {
		c.accounts[Rejection].tokens = min(l.burst, graceAnswers)
	}
	return c
}

// CountFreeAnswer records that the client gets a free answer to a request of the given size in bytes. A large request counts
// as several answers, within limits.
func (c *Client) CountFreeAnswer(now clock.Micros, kind Kind, requestBytes int) {
	cost := 1 + float64(min(requestBytes/bytesPerAnswer, maxSizeCost))
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(c, kind, now)
	l.common[kind].tokens = max(l.common[kind].tokens-cost, -l.rate)
	c.accounts[kind].tokens = max(c.accounts[kind].tokens-cost, -l.rate) // many requests may be answered after the last wait
	c.accounts[kind].lastCost = cost
}

// BeginWait returns how long the client waits before it is asked again whether its next request may be read. If that is not
// 0, EndWait must be called afterwards. The waits before one request take MaxRejectionWait in all at most if the client waits
// because of rejections alone, or else MaxWait or MaxLargeWait.
func (c *Client) BeginWait(now clock.Micros) time.Duration {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.waits {
		c.waitsSince = now
	}
	waited := clock.Duration(max(now-c.waitsSince, 0))
	longest := time.Duration(0)
	for kind := range kindCount {
		l.refill(c, kind, now)
		delay := min(l.delay(c, kind), c.maxWait(kind)-waited, maxDelay)
		if delay > longest {
			longest = delay
			c.waitsFor = kind
		}
	}
	c.waits = longest > 0
	if c.waits {
		l.common[c.waitsFor].waiting++
	}
	return longest
}

// maxWait returns the longest time that the client waits before one request because of the free answers of one kind. The caller
// holds the limiter's mu.
func (c *Client) maxWait(kind Kind) time.Duration {
	switch {
	case kind == Rejection:
		return MaxRejectionWait
	case c.accounts[kind].lastCost >= largeCost:
		return MaxLargeWait
	}
	return MaxWait
}

// EndWait ends a wait.
func (c *Client) EndWait() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.common[c.waitsFor].waiting--
}

// delay returns how long a client has to wait because of the free answers of one kind. The caller holds mu.
func (l *Limiter) delay(c *Client, kind Kind) time.Duration {
	tokens := c.accounts[kind].tokens
	// Rejections are due to the load, so the others' do not matter while the client has some left.
	othersMatter := kind != Rejection && l.common[kind].tokens < 0
	if tokens >= 0 && (!othersMatter || tokens >= l.burst-graceAnswers) {
		return 0
	}
	missing := max(-tokens, 1)
	return time.Duration(missing / l.share(kind) * float64(time.Second))
}

// seconds returns a span of time in seconds, 0 if it is negative: goroutines may come with their times out of order.
func seconds(span clock.Micros) float64 { return clock.Duration(max(span, 0)).Seconds() }

// share returns the part of the rate that one client gets. The caller holds mu.
func (l *Limiter) share(kind Kind) float64 { return l.rate / float64(max(l.common[kind].waiting, 1)) }

// refill adds the tokens of the time that has passed. The caller holds mu.
func (l *Limiter) refill(c *Client, kind Kind, now clock.Micros) {
	l.common[kind].refill(now, l.rate, l.rate)
	c.accounts[kind].refill(now, l.share(kind), l.burst)
}

// refill adds the tokens for the time since the last refill, at a rate per second and up to a limit.
func (a *account) refill(now clock.Micros, rate, limit float64) {
	a.tokens = min(a.tokens+rate*seconds(now-a.refilledAt), limit)
	a.refilledAt = max(a.refilledAt, now)
}
