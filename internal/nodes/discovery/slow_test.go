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
)

// A call that hangs is given up soon; where discovery is slow to answer each next call gets longer, up to a bound.
func TestSlowAnswersGetMoreTime(t *testing.T) {
	lim := &limits.Limits{WatchTimeout: 1, WatchGracePeriod: 1000, NotificationDeadline: 12_003, MaxListBytes: 1 << 16, MaxListEndpoints: 100, NodeIdleTimeout: 60_000_000}
	hung := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { <-hung }))
	defer srv.Close()
	defer close(hung)
	c := New("", 1, nil, core.NewEndpointTable(), nil, lim, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for want := int64(2000); want <= 16_000; want *= 2 {
		if err := c.watch(t.Context(), srv.URL); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("a call that hangs ended with %v", err)
		}
		if c.grace != min(want, 8002) {
			t.Errorf("%d µs for the next answer, want %d", c.grace, want)
		}
	}
	if c.adjustGrace(io.ErrUnexpectedEOF); c.grace != 8002 {
		t.Errorf("%d µs after a broken answer", c.grace)
	}
	if c.adjustGrace(nil); c.grace != 1000 {
		t.Errorf("%d µs after a good answer", c.grace)
	}
}

// A whole list that takes discovery longer than the usual grace is had all the same, however long watches wait: with a wait of 3 s, as
// at 300 brokers, nothing was left for a call that does not wait, and a broker without any list never got one.
func TestSlowWholeListIsHadInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim := &limits.Limits{WatchTimeout: 3_000_000, WatchGracePeriod: 1_000_000, NotificationDeadline: 6_000_000, MaxListBytes: 1 << 16, MaxListEndpoints: 10}
		c := New("", NoRevision, nil, core.NewEndpointTable(), nil, lim, slog.New(slog.NewTextHandler(io.Discard, nil)))
		got := false
		c.OnEndpoints(func([]core.Node, bool) { got = true })
		c.http.Transport = slow(3 * time.Second)
		for range 4 {
			ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
			c.watch(ctx, "http://x")
			stop()
		}
		if !got {
			t.Error("no list after four calls")
		}
	})
}

// slow answers a whole list after so long.
type slow time.Duration

func (s slow) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-time.After(time.Duration(s)):
		return &http.Response{StatusCode: http.StatusOK, Request: r, Body: io.NopCloser(strings.NewReader(`{"rev":7,"all":true,"targets":[]}`))}, nil
	}
}

// A watch that stood and falls silent is owed its news: it is asked about again at once and without a wait in the call, and further
// silence costs no more patience than the first.
func TestSilentWatchIsOwedItsNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim := &limits.Limits{WatchTimeout: 1_000_000, WatchGracePeriod: 1_000_000, NotificationDeadline: 6_000_000, MaxListBytes: 1 << 16, MaxListEndpoints: 10}
		c := New("", 1, nil, core.NewEndpointTable(), nil, lim, slog.New(slog.NewTextHandler(io.Discard, nil)))
		c.OnEndpoints(func([]core.Node, bool) {})
		waits := []string{}
		c.http.Transport = trip(func(r *http.Request) (*http.Response, error) {
			waits = append(waits, r.URL.Query().Get("wait_ms"))
			if len(waits) == 1 { // it stands, and is silent from then on
				return slow(100 * time.Millisecond).RoundTrip(r)
			}
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		for range 2 {
			if err := c.watch(t.Context(), "http://x"); !errors.Is(err, context.DeadlineExceeded) {
				t.Fatal(err)
			}
		}
		if !time.Now().Before(c.missingUntil) || c.grace != lim.WatchGracePeriod {
			t.Errorf("owed until %v, now %v; %d µs of patience", c.missingUntil, time.Now(), c.grace)
		}
		if len(waits) != 3 || waits[1] == "0" || waits[2] != "0" {
			t.Errorf("calls with waits %v: the last should have none", waits)
		}
	})
}

type trip func(*http.Request) (*http.Response, error)

func (f trip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
