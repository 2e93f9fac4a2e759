package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"poppyarch/internal/fleet/retry"
	"poppyarch/internal/timing/clock"
)

const (
	dialTimeout     = 2 * time.Second
	attemptTimeout  = 10 * time.Second // of one attempt, besides what the manager may wait
	idleConnTimeout = 20 * time.Second
	maxIdleConns    = 4
)

// Retries of a client's calls.
const (
	maxAttempts       = 4
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	budgetCapacity    = 10                     // retries
	budgetPerCall     = 0.2                    // retries
	breakerThreshold  = 5                      // failures
	breakerOpen       = 200 * time.Millisecond // at first
	maxBreakerOpen    = 5 * time.Second
)

// Client calls a manager. Each attempt has a deadline. An attempt that got no answer is retried within a budget, which is
// safe as every call either changes nothing or is idempotent; a circuit breaker holds calls back from a manager that does
// not answer. A Client is safe for concurrent use.
type Client struct {
	base   string
	http   *http.Client
	policy retry.Policy
	start  time.Time // zero of the breaker's clock

	mu      sync.Mutex // guards the two below
	budget  *retry.Budget
	breaker retry.Breaker
}

// NewClient returns a client for a manager at unix:PATH or HOST:PORT.
func NewClient(addr string) *Client {
	network := "tcp"
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		network = "unix"
		addr = path
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, addr)
		},
	}
	return &Client{
		base: "http://manager" + PathPrefix,
		http: &http.Client{Transport: transport},
		policy: retry.Policy{
			Attempts:     maxAttempts,
			InitialDelay: clock.FromDuration(initialRetryDelay),
			MaxDelay:     clock.FromDuration(maxRetryDelay),
		},
		start:  time.Now(),
		budget: retry.NewBudget(budgetCapacity, budgetPerCall),
		breaker: retry.NewBreaker(retry.BreakerConfig{
			Threshold:   breakerThreshold,
			InitialOpen: clock.FromDuration(breakerOpen),
			MaxOpen:     clock.FromDuration(maxBreakerOpen),
		}),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) now() clock.Micros { return clock.FromDuration(time.Since(c.start)) }

// call makes a call and retries it where no answer came. The manager may wait for up to longPoll before it answers.
func (c *Client) call(ctx context.Context, path string, longPoll time.Duration, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRequest, err)
	}
	c.recordCall()
	var lastErr error
	for attempt := 1; ; attempt++ {
		allowed, retryAt := c.allow()
		switch {
		case allowed:
			lastErr = c.attempt(ctx, path, longPoll, body, response)
			c.recordAttempt(lastErr)
			if !errors.Is(lastErr, ErrUnavailable) {
				return lastErr
			}
		case lastErr == nil:
			lastErr = fmt.Errorf("%w (left alone for %v)", ErrUnavailable, clock.Duration(retryAt-c.now()))
		}
		if attempt >= c.policy.Attempts || !c.takeRetry() {
			return lastErr
		}
		if retry.Sleep(ctx, c.policy.Delay(attempt, rand.Float64())) != nil {
			return lastErr
		}
	}
}

func (c *Client) recordCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.RecordCall()
}

func (c *Client) allow() (ok bool, retryAt clock.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.Allow(c.now())
}

// recordAttempt counts any answer, an error of the manager included, as a success.
func (c *Client) recordAttempt(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaker.Record(c.now(), !errors.Is(err, ErrUnavailable), rand.Float64())
}

func (c *Client) takeRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.TakeRetry()
}

// attempt makes one attempt of a call. Its error is ErrUnavailable where no answer came, and otherwise the manager's.
func (c *Client) attempt(ctx context.Context, path string, longPoll time.Duration, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+longPoll)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRequest, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(text, response); err != nil {
			return fmt.Errorf("%w: answer: %w", ErrUnavailable, err)
		}
		return nil
	}
	var fault ErrorResponse
	if json.Unmarshal(text, &fault) != nil || fault.Code == "" {
		return fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	return fault.asError()
}
