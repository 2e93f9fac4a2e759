package discovery

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

// A call that hangs is cancelled early; each following call gets more time, up to a bound.
func TestGraceDoublesWithEachTimeout(t *testing.T) {
	lim := &limits.Limits{WatchTimeout: 1, WatchGracePeriod: 1000, NotificationDeadline: 12_003, MaxListBytes: 1 << 16, MaxListEndpoints: 100, NodeIdleTimeout: 60_000_000}
	hung := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { <-hung }))
	defer srv.Close()
	defer close(hung)
	c := New("", 1, nil, core.NewEndpointTable(), nil, lim, slog.New(slog.DiscardHandler))
	for want := clock.Micros(2000); want <= 16_000; want *= 2 {
		if err := c.watch(t.Context(), srv.URL); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("a call that hangs ended with %v", err)
		}
		if c.poller.grace != min(want, 8002) {
			t.Errorf("grace %d µs for the next response, want %d µs", c.poller.grace, min(want, 8002))
		}
	}
	if c.poller.adjustGrace(io.ErrUnexpectedEOF, false); c.poller.grace != 8002 {
		t.Errorf("grace %d µs after a broken response, want 8002 µs", c.poller.grace)
	}
	if c.poller.adjustGrace(nil, false); c.poller.grace != 1000 {
		t.Errorf("grace %d µs after a valid response, want 1000 µs", c.poller.grace)
	}
}

// A full list that takes discovery longer than the initial grace is still read, however long watches wait. A wait of
// 3 s corresponds to a fleet of 300 brokers.
func TestSlowFullListArrivesEventually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim := &limits.Limits{WatchTimeout: 3_000_000, WatchGracePeriod: 1_000_000, NotificationDeadline: 6_000_000, MaxListBytes: 1 << 16, MaxListEndpoints: 10}
		c := New("", NoRevision, nil, core.NewEndpointTable(), nil, lim, slog.New(slog.DiscardHandler))
		received := false
		c.OnEndpoints(func([]core.Node, bool) { received = true })
		c.poller.http.Transport = slowFullList(3 * time.Second)
		for range 4 {
			ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
			if err := c.watch(ctx, "http://x"); err == nil {
				t.Error("a watch ended without an error")
			}
			stop()
		}
		if !received {
			t.Error("no list after four calls")
		}
	})
}

// slowFullList is a transport that answers with a full list after the given time.
type slowFullList time.Duration

func (s slowFullList) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-time.After(time.Duration(s)):
		return &http.Response{StatusCode: http.StatusOK, Request: r, Body: io.NopCloser(strings.NewReader(`{"rev":7,"all":true,"targets":[]}`))}, nil
	}
}

// When a watch that has had responses times out, changes may be missing: the next call does not wait for changes, and
// its grace does not grow.
func TestUnresponsiveWatchIsPolledAgainWithoutWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim := &limits.Limits{WatchTimeout: 1_000_000, WatchGracePeriod: 1_000_000, NotificationDeadline: 6_000_000, MaxListBytes: 1 << 16, MaxListEndpoints: 10}
		c := New("", 1, nil, core.NewEndpointTable(), nil, lim, slog.New(slog.DiscardHandler))
		c.OnEndpoints(func([]core.Node, bool) {})
		waits := []string{}
		c.poller.http.Transport = roundTripper(func(r *http.Request) (*http.Response, error) {
			waits = append(waits, r.URL.Query().Get("wait_ms"))
			if len(waits) == 1 { // the first call is answered, later ones hang
				return slowFullList(100 * time.Millisecond).RoundTrip(r)
			}
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		for range 2 {
			if err := c.watch(t.Context(), "http://x"); !errors.Is(err, context.DeadlineExceeded) {
				t.Fatal(err)
			}
		}
		if !time.Now().Before(c.progress.missingUntil) || c.poller.grace != lim.WatchGracePeriod {
			t.Errorf("changes missing until %v, now %v; grace %d µs", c.progress.missingUntil, time.Now(), c.poller.grace)
		}
		if len(waits) != 3 || waits[1] == "0" || waits[2] != "0" {
			t.Errorf("calls with waits %v, want three, the second with a wait and the third without", waits)
		}
	})
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
