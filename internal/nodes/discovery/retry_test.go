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

func discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

// A connection that is never established is given up after the call that it was opened for. Otherwise the transport, which
// allows one connection, would go on dialing and block later calls until the system gives up.
func TestHungConnectionDoesNotBlockLaterCalls(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"rev":7,"all":true,"targets":[]}`) // a lost answer fails the test below
	}))
	defer srv.Close()
	lim := &limits.Limits{WatchTimeout: 1000, WatchGracePeriod: 50_000, NotificationDeadline: 300_000, MaxListBytes: 1 << 16, MaxListEndpoints: 10, NodeIdleTimeout: 60_000_000}
	c := New("", NoRevision, nil, core.NewEndpointTable(), nil, lim, discard())
	var hung sync.WaitGroup
	hung.Add(1)
	first, real := true, c.poller.dial
	c.poller.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if first {
			first = false
			defer hung.Done()
			<-ctx.Done() // as where the network drops the packets
			return nil, ctx.Err()
		}
		return real(ctx, network, addr)
	}
	if _, err := c.poll(t.Context(), srv.URL, NoRevision); err == nil {
		t.Fatal("a call without a connection was answered")
	}
	hung.Wait() // for minutes, where only the system ends the attempt
	if l, err := c.poll(t.Context(), srv.URL, NoRevision); err != nil || l.Revision != 7 {
		t.Errorf("the next call: %v, %v", l, err)
	}
}

// outage is a discovery that cannot be reached for a time: calls fail at once, or hang until they are cancelled, also those
// that hang when it can be reached again. The list changes at that moment.
type outage struct {
	begun time.Time
	end   time.Duration
	hangs func(call int) bool
	calls int
}

func (o *outage) RoundTrip(r *http.Request) (*http.Response, error) {
	o.calls++
	if time.Since(o.begun) < o.end {
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

// Whatever failed before and for how long, a broker of a fleet of any size has a change within the notification deadline of
// 6 s, counted from when discovery can be reached again.
func TestChangeArrivesWithinDeadlineAfterOutage(t *testing.T) {
	patterns := map[string]func(int) bool{
		"refused":         func(int) bool { return false },
		"silent":          func(int) bool { return true },
		"silent, refused": func(n int) bool { return n%2 == 1 },
		"mostly refused":  func(n int) bool { return n%4 == 0 },
	}
	for name, hangs := range patterns {
		for _, hosts := range []int{1, 30, 300, 1024} {
			for i := range 40 {
				end := 5*time.Second + time.Duration(i)*613*time.Millisecond
				synctest.Test(t, func(t *testing.T) {
					if late := afterOutage(t, &outage{begun: time.Now(), end: end, hangs: hangs}, hosts, uint64(i)); late > 6*time.Second {
						t.Errorf("%s, %d brokers, back after %v: the change arrived %v later", name, hosts, end, late)
					}
				})
			}
		}
	}
}

// listWait is the watch timeout in a fleet of so many brokers, as package config derives it.
func listWait(hosts int) time.Duration {
	return max(time.Second, min(time.Duration(hosts)*10*time.Millisecond, 5*time.Second))
}

// afterOutage returns how long after the end of an outage a broker has the change made then.
func afterOutage(t *testing.T, o *outage, hosts int, seed uint64) time.Duration {
	t.Helper()
	lim := &limits.Limits{WatchTimeout: clock.FromDuration(listWait(hosts)), WatchGracePeriod: 1_000_000, NotificationDeadline: 6_000_000, WatchMinInterval: 100_000, MaxListBytes: 1 << 16, MaxListEndpoints: 10, NodeIdleTimeout: 10_000_000}
	f, err := dispatcher.New(decision.Config{Seed: seed, Brokers: hosts, PollsEndpoints: true, MaxPollInterval: 10 * time.Second,
		Classes: []decision.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second}}}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	table := core.NewEndpointTable()
	c := New("x:1", 1, nil, table, f, lim, discard())
	c.poller.http.Transport = o
	ctx, stop := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer stop()
	go core.RunDecisions(ctx, f, clock.New())
	go c.Run(ctx)
	for ; c.Revision() < 2; time.Sleep(10 * time.Millisecond) {
		if time.Since(o.begun) > o.end+time.Minute {
			t.Fatal("the change never arrived")
		}
	}
	return time.Since(o.begun) - o.end
}
