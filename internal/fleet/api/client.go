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
	attemptTimeout  = 10 * time.Second // of one attempt, added to the time that the manager may wait
	idleConnTimeout = 20 * time.Second
	maxIdleConns    = 4
)

// Limits of the retries of a client's calls.
const (
	maxAttempts        = 4
	initialRetryDelay  = 100 * time.Millisecond
	maxRetryDelay      = 2 * time.Second
	budgetCapacity     = 10                     // retries
	budgetPerCall      = 0.2                    // retries earned by each call
	breakerThreshold   = 5                      // consecutive failures
	initialBreakerOpen = 200 * time.Millisecond // first open period
	maxBreakerOpen     = 5 * time.Second
)

// Client calls a manager. Each attempt has a deadline. An attempt that got no response is retried within a budget,
// which is safe because every call is read-only or idempotent. A circuit breaker holds back calls to a manager that
// does not respond. A Client is safe for concurrent use.
type Client struct {
	base   string
	http   *http.Client
	policy retry.Policy
	start  time.Time // time zero of the breaker's clock

	mu      sync.Mutex // guards budget and breaker
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
			InitialOpen: clock.FromDuration(initialBreakerOpen),
			MaxOpen:     clock.FromDuration(maxBreakerOpen),
		}),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) now() clock.Micros { return clock.FromDuration(time.Since(c.start)) }

// call makes a call and retries it if there was no response. The manager may wait for up to longPoll before it
// responds.
func (c *Client) call(ctx context.Context, path string, longPoll time.Duration, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidRequest, err)
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

// recordAttempt counts any response as a success, including an error returned by the manager.
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

// attempt makes one attempt of a call. The error wraps ErrUnavailable if there was no valid response, and is the
// manager's error otherwise.
func (c *Client) attempt(ctx context.Context, path string, longPoll time.Duration, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+longPoll)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidRequest, err)
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
