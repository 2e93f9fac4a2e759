package discovery

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// A connection that is never established is abandoned after the call for which it was opened. Otherwise the transport,
// which allows one connection, would keep dialing and block later calls until the system's timeout.
func TestHungConnectionDoesNotBlockLaterCalls(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"rev":7,"all":true,"targets":[]}`) // a lost response fails the test below
	}))
	defer srv.Close()
	lim := &limits.Limits{WatchTimeout: 1000, WatchGracePeriod: 50_000, NotificationDeadline: 300_000, MaxListBytes: 1 << 16, MaxListEndpoints: 10, NodeIdleTimeout: 60_000_000}
	c := New("", NoRevision, nil, core.NewEndpointTable(), nil, lim, discardLogger())
	var hung sync.WaitGroup
	hung.Add(1)
	firstDial, dial := true, c.poller.dial
	c.poller.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if firstDial {
			firstDial = false
			defer hung.Done()
			<-ctx.Done() // as if the network dropped the packets
			return nil, ctx.Err()
		}
		return dial(ctx, network, addr)
	}
	if _, err := c.poll(t.Context(), srv.URL, NoRevision); err == nil {
		t.Fatal("a call without a connection was answered")
	}
	hung.Wait() // would take minutes if only the system's timeout ended the dial
	if l, err := c.poll(t.Context(), srv.URL, NoRevision); err != nil || l.Revision != 7 {
		t.Errorf("the next call: %v, %v", l, err)
	}
}

// outage simulates a discovery service that is unreachable for a time: calls fail immediately, or hang until they are
// cancelled, even if the outage ends while they hang. The list changes when the outage ends.
type outage struct {
	startedAt time.Time
	duration  time.Duration
	hangs     func(call int) bool
	calls     int
}

func (o *outage) RoundTrip(r *http.Request) (*http.Response, error) {
	o.calls++
	if time.Since(o.startedAt) < o.duration {
		if o.hangs(o.calls) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		return nil, errors.New("connection refused")
	}
	body := `{"rev":2,"all":false,"targets":[{"uid":"a","endpoint":"x","state":"draining"}]}`
	if strings.Contains(r.URL.RawQuery, "after=2") {
		select {
		case <-time.After(500 * time.Millisecond):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
		body = `{"rev":2,"all":false,"targets":[]}`
	}
	return &http.Response{StatusCode: http.StatusOK, Request: r, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// Whatever failed before and for how long, a broker of a fleet of any size has a change within the notification
// deadline of 6 s after discovery becomes reachable again.
func TestChangeArrivesWithinDeadlineAfterOutage(t *testing.T) {
	patterns := map[string]func(int) bool{
		"refused":        func(int) bool { return false },
		"hung":           func(int) bool { return true },
		"hung, refused":  func(n int) bool { return n%2 == 1 },
		"mostly refused": func(n int) bool { return n%4 == 0 },
	}
	for name, hangs := range patterns {
		for _, brokers := range []int{1, 30, 300, 1024} {
			for i := range 40 {
				end := 5*time.Second + time.Duration(i)*613*time.Millisecond
				synctest.Test(t, func(t *testing.T) {
					if delay := changeDelayAfterOutage(t, &outage{startedAt: time.Now(), duration: end, hangs: hangs}, brokers, uint64(i)); delay > 6*time.Second {
						t.Errorf("%s, %d brokers, outage of %v: the change arrived %v after its end", name, brokers, end, delay)
					}
				})
			}
		}
	}
}

// watchTimeout returns the watch timeout in a fleet of the given number of brokers, as package config derives it.
func watchTimeout(brokers int) time.Duration {
	return max(time.Second, min(time.Duration(brokers)*10*time.Millisecond, 5*time.Second))
}

// changeDelayAfterOutage returns how long after the end of an outage a broker receives the change made at that time.
func changeDelayAfterOutage(t *testing.T, o *outage, brokers int, seed uint64) time.Duration {
	t.Helper()
	lim := &limits.Limits{WatchTimeout: clock.FromDuration(watchTimeout(brokers)), WatchGracePeriod: 1_000_000, NotificationDeadline: 6_000_000, WatchMinInterval: 100_000, MaxListBytes: 1 << 16, MaxListEndpoints: 10, NodeIdleTimeout: 10_000_000}
	f, err := dispatcher.New(decision.Config{Seed: seed, Brokers: brokers, PollsEndpoints: true, MaxPollInterval: 10 * time.Second,
		Classes: []decision.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second}}}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	table := core.NewEndpointTable()
	c := New("x:1", 1, nil, table, f, lim, discardLogger())
	c.poller.http.Transport = o
	ctx, stop := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer stop()
	go core.RunDecisions(ctx, f, clock.New())
	go c.Run(ctx)
	for ; c.Revision() < 2; time.Sleep(10 * time.Millisecond) {
		if time.Since(o.startedAt) > o.duration+time.Minute {
			t.Fatal("the change never arrived")
		}
	}
	return time.Since(o.startedAt) - o.duration
}
