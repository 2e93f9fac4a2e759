// Package pacing decides how long clients wait that get many free answers: errors, rejections and other answers that were
// given without an attempt at a storage node. Such answers are not slowed down by any node, so that a single client could
// take all of the processor. It does no I/O and reads no clock.
package pacing

import (
	"sync"
	"time"

	"poppyarch/internal/timing/clock"
)

const (
	// graceAnswers is the number of free answers that a client gets without a wait even if the others together get too
	// many.
	graceAnswers = 16
	// bytesPerAnswer is the size of a request that costs as much as a further answer.
	bytesPerAnswer = 1024
	// maxSizeCost limits what the size of one request costs, so that a single rejected upload delays nobody.
	maxSizeCost = 72
	// maxDelay limits a single wait.
	maxDelay = 100 * time.Millisecond
)

// Limiter limits the free answers of all clients of a process. Its methods may be called by any goroutine.
type Limiter struct {
	rate  float64 // free answers per second, for all waiting clients together
	burst float64 // free answers that one client gets without a wait

	mu         sync.Mutex
	tokens     float64 // free answers that all clients together may get without a wait; at most rate
	refilledAt clock.Micros
	waiting    int // number of clients that wait
}

// NewLimiter returns a limiter for ratePerSecond free answers, and burst free answers of one client at once.
func NewLimiter(ratePerSecond, burst int) *Limiter {
	return &Limiter{rate: float64(ratePerSecond), burst: float64(burst), tokens: float64(ratePerSecond)}
}

// Client is the account of one client.
type Client struct {
	limiter *Limiter

	// Guarded by the limiter's mu.
	tokens     float64
	refilledAt clock.Micros
}

// NewClient returns the account of a client that connects now.
func (l *Limiter) NewClient(now clock.Micros) *Client {
	return &Client{limiter: l, tokens: l.burst, refilledAt: now}
}

// CountFreeAnswer records that the client gets a free answer to a request of the given size in bytes. A large request counts
// as several answers, within limits.
func (c *Client) CountFreeAnswer(now clock.Micros, requestBytes int) {
	cost := 1 + float64(min(requestBytes/bytesPerAnswer, maxSizeCost))
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(c, now)
	l.tokens = max(l.tokens-cost, -l.rate)
	c.tokens -= cost
}

// BeginWait returns how long the client waits before its next request is read. If that is not 0, EndWait must be called
// afterwards.
func (c *Client) BeginWait(now clock.Micros) time.Duration {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(c, now)
	if c.tokens >= 0 && (l.tokens >= 0 || c.tokens >= l.burst-graceAnswers) {
		return 0
	}
	l.waiting++
	missing := max(-c.tokens, 1)
	return min(time.Duration(missing/l.share()*float64(time.Second)), maxDelay)
}

// EndWait ends a wait.
func (c *Client) EndWait() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.waiting--
}

// seconds returns a span of time in seconds, 0 if it is negative: goroutines may come with their times out of order.
func seconds(span clock.Micros) float64 { return clock.Duration(max(span, 0)).Seconds() }

// share returns the part of the rate that one client gets. The caller holds mu.
func (l *Limiter) share() float64 { return l.rate / float64(max(l.waiting, 1)) }

// refill adds the tokens of the time that has passed. The caller holds mu.
func (l *Limiter) refill(c *Client, now clock.Micros) {
	l.tokens = min(l.tokens+l.rate*seconds(now-l.refilledAt), l.rate)
	l.refilledAt = max(l.refilledAt, now)
	c.tokens = min(c.tokens+l.share()*seconds(now-c.refilledAt), l.burst)
	c.refilledAt = max(c.refilledAt, now)
}
