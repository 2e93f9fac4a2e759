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
	"poppyarch/internal/fleet/state"
)

// Client calls a manager. Every call has a deadline; calls that change nothing or carry a command id are repeated
// within a budget, and a manager that does not answer is left alone for growing whiles.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration // of one try
	policy  retry.Policy

	mu      sync.Mutex
	budget  *retry.Budget
	breaker retry.Breaker
	start   time.Time
}

// NewClient returns a client for a manager at unix:PATH or HOST:PORT.
func NewClient(addr string) *Client {
	network, at := "tcp", addr
	if p, ok := strings.CutPrefix(addr, "unix:"); ok {
		network, at = "unix", p
	}
	d := &net.Dialer{Timeout: 2 * time.Second}
	tr := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 20 * time.Second,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return d.DialContext(ctx, network, at) }}
	return &Client{base: "http://manager/v1/", http: &http.Client{Transport: tr}, timeout: 10 * time.Second,
		policy: retry.Policy{Attempts: 4, InitialDelay: 100_000, MaxDelay: 2_000_000}, budget: retry.NewBudget(10, 0.2),
		breaker: retry.Breaker{Threshold: 5, InitialOpen: 200_000, MaxOpen: 5_000_000}, start: time.Now()}
}

// Close gives idle connections back.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) now() int64 { return time.Since(c.start).Microseconds() }

// Call makes one call, and repeats it where nothing came back. wait is how long the manager may take over it at will.
func (c *Client) Call(ctx context.Context, path string, wait time.Duration, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrRequest, err)
	}
	c.mu.Lock()
	c.budget.RecordCall()
	c.mu.Unlock()
	for n := 1; ; n++ {
		c.mu.Lock()
		ok, at := c.breaker.Allow(c.now())
		c.mu.Unlock()
		if ok {
			err = c.once(ctx, path, wait, body, out)
			c.mu.Lock()
			c.breaker.Record(c.now(), !errors.Is(err, ErrUnavailable), rand.Float64())
			c.mu.Unlock()
			if !errors.Is(err, ErrUnavailable) {
				return err
			}
		} else if err == nil {
			err = fmt.Errorf("%w (left alone for %v)", ErrUnavailable, time.Duration(at-c.now())*time.Microsecond)
		}
		c.mu.Lock()
		again := n < c.policy.Attempts && c.budget.TakeRetry()
		c.mu.Unlock()
		if !again {
			return err
		}
		pause := time.NewTimer(time.Duration(c.policy.Delay(n, rand.Float64())) * time.Microsecond)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return err
		}
	}
}

func (c *Client) once(ctx context.Context, path string, wait time.Duration, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrRequest, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(text, out); err != nil {
			return fmt.Errorf("%w: answer: %v", ErrUnavailable, err)
		}
		return nil
	}
	var f ErrorResponse
	if json.Unmarshal(text, &f) != nil || f.Code == "" {
		return fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	if e := codes[f.Code]; e != nil {
		return &remote{f.Error, e}
	}
	return fmt.Errorf("%w: %s", ErrRequest, f.Error)
}

// remote is a manager's error in its own words.
type remote struct {
	text string
	kind error
}

func (r *remote) Error() string { return r.text }
func (r *remote) Unwrap() error { return r.kind }

// Register makes the caller the newest agent of its name.
// seen is 0, or the highest edition that it followed before it came to this fleet.
func (c *Client) Register(ctx context.Context, agent string, seen uint64) (r Registration, err error) {
	err = c.Call(ctx, "agents/register", 0, struct {
		Agent string `json:"agent"`
		Seen  uint64 `json:"seen"`
	}{agent, seen}, &r)
	return r, err
}

// Report hands in an agent's report.
func (c *Client) Report(ctx context.Context, r *ReportRequest) error {
	return c.Call(ctx, "agents/report", 0, r, &struct{}{})
}

// Assignments waits for what is new.
func (c *Client) Assignments(ctx context.Context, a *AssignmentsRequest) (out Assignments, err error) {
	err = c.Call(ctx, "agents/assignments", time.Duration(a.WaitMS)*time.Millisecond, a, &out)
	return out, err
}

// Config fetches a configuration text.
func (c *Client) Config(ctx context.Context, digest string) (string, error) {
	var out struct {
		Text string `json:"text"`
	}
	err := c.Call(ctx, "configs", 0, struct {
		Digest string `json:"digest"`
	}{digest}, &out)
	return out.Text, err
}

// Apply wants another fleet.
func (c *Client) Apply(ctx context.Context, a *ApplyRequest) (r Reply, err error) {
	err = c.Call(ctx, "apply", 0, a, &r)
	return r, err
}

// ChangeNodes changes the operators' word on storage nodes.
func (c *Client) ChangeNodes(ctx context.Context, n *NodesRequest) (r Reply, err error) {
	err = c.Call(ctx, "nodes", 0, n, &r)
	return r, err
}

// SetRolloutPhase pauses, resumes or aborts a rollout.
func (c *Client) SetRolloutPhase(ctx context.Context, s *SetPhaseRequest) (r Reply, err error) {
	err = c.Call(ctx, "steer", 0, s, &r)
	return r, err
}

// Retire says that an agent and its machine are gone for good.
func (c *Client) Retire(ctx context.Context, a *RetireRequest) (r Reply, err error) {
	err = c.Call(ctx, "agents/retire", 0, a, &r)
	return r, err
}

// Rollback goes back to an earlier revision.
func (c *Client) Rollback(ctx context.Context, b *RollbackRequest) (r Reply, err error) {
	err = c.Call(ctx, "rollback", 0, b, &r)
	return r, err
}

// Overview asks for the fleet. Terms select as in spec.Selector.
func (c *Client) Overview(ctx context.Context, names, terms []string) (o Overview, err error) {
	err = c.Call(ctx, "overview", 0, struct {
		Names []string `json:"names"`
		Terms []string `json:"terms"`
	}{names, terms}, &o)
	return o, err
}

// History asks for the last revisions.
func (c *Client) History(ctx context.Context, most int) (h History, err error) {
	err = c.Call(ctx, "history", 0, struct {
		Most int `json:"most"`
	}{most}, &h)
	return h, err
}

// Wait returns when the fleet is settled or when a revision's rollout has ended, or after the time.
func (c *Client) Wait(ctx context.Context, rev uint64, wait time.Duration) (r []state.RolloutStatus, settled bool, err error) {
	var out struct {
		Settled  bool                  `json:"settled"`
		Rollouts []state.RolloutStatus `json:"rollouts"`
	}
	err = c.Call(ctx, "wait", wait, struct {
		Rev    uint64 `json:"rev"`
		WaitMS int64  `json:"wait_ms"`
	}{rev, wait.Milliseconds()}, &out)
	return out.Rollouts, out.Settled, err
}
