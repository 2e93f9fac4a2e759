package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
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

// span is a time from one moment to another, after the test's start.
type span struct{ from, to time.Duration }

func (s span) holds(t time.Duration) bool { return t >= s.from && t < s.to }

// faultyDiscovery is a discovery service with faults, on the bubble's clock. While overloaded it answers 503. While silent it
// answers nothing, and calls that were open when that began are never answered. After the change of its address the old one
// is closed and the new one overloaded for a while. The list changes every changeInterval.
type faultyDiscovery struct {
	begun                          time.Time
	overloaded, silent             span
	addressChange, newOverloadedTo time.Duration
	mu                             sync.Mutex
	open                           []span        // calls, by when they came and when their wait is over
	firstAnswer                    time.Duration // at the new address; 0: none yet
}

const (
	changeInterval = 500 * time.Millisecond
	recoveryTime   = 3500 * time.Millisecond
)

func (s *faultyDiscovery) now() time.Duration { return time.Since(s.begun) }

func (s *faultyDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	came, ctx, old := s.now(), r.Context(), r.URL.Host == "old:1"
	status, body, after, wait := http.StatusOK, "", int64(-1), time.Duration(0)
	if q := r.URL.Query(); q.Has("after") {
		ms := 0
		if _, err := fmt.Sscan(q.Get("after")+" "+q.Get("wait_ms"), &after, &ms); err != nil {
			return nil, err
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	s.mu.Lock()
	s.open = append(s.open, span{came, came + wait})
	s.mu.Unlock()
	for {
		t := s.now()
		rev := int64(t / changeInterval)
		switch {
		case s.silent.holds(t) || came < s.silent.from && t >= s.silent.from: // never an answer
			<-ctx.Done()
			return nil, ctx.Err()
		case old && t >= s.addressChange+1500*time.Millisecond:
			return nil, errors.New("connection refused")
		case s.overloaded.holds(t) || !old && t < s.newOverloadedTo:
			status = http.StatusServiceUnavailable
		case after < 0 || rev > after || t >= came+wait:
			body = fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[{"uid":"a","endpoint":"x","state":"up"}]}`, rev, after < 0)
		}
		if status != http.StatusOK || body != "" {
			s.mu.Lock()
			if status == http.StatusOK && !old && s.firstAnswer == 0 {
				s.firstAnswer = t
			}
			s.mu.Unlock()
			return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body)), Request: r}, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// deadline is when a change made at t counts as known to the broker: one that a silent call should have returned, 6 s after
// the silence began, or 2 s after the end of the call's wait where that is later; one around a change of the address, 4 s
// after that, until the new address has answered; others half a minute later.
func (s *faultyDiscovery) deadline(t time.Duration) time.Duration {
	deadline := t + 30*time.Second
	s.mu.Lock()
	defer s.mu.Unlock()
	if t < s.firstAnswer {
		deadline = min(deadline, max(t, s.addressChange)+4*time.Second)
	}
	for _, c := range s.open {
		if c.from < s.silent.from && c.to > s.silent.from && c.to > t {
			deadline = min(deadline, max(s.silent.from+6*time.Second, c.to+2*time.Second))
		}
	}
	return max(deadline, t)
}

// Overload, silence and a change of the address in every order and overlap: a broker has each change before its deadline, or
// else soon after the last of the faults, whatever failed before.
func TestChangesArriveInTimeThroughOverloadSilenceAndAddressChange(t *testing.T) {
	for _, order := range [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		for seed := range uint64(40) {
			synctest.Test(t, func(t *testing.T) { checkChangesArrive(t, order, seed) })
		}
	}
}

func checkChangesArrive(t *testing.T, order [3]int, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	at := [3]time.Duration{}
	for i, fault := range order { // close enough to overlap
		at[fault] = 5*time.Second + time.Duration(i)*1500*time.Millisecond + time.Duration(rng.Int64N(int64(time.Second)))
	}
	s := &faultyDiscovery{begun: time.Now(), overloaded: span{at[0], at[0] + time.Second}, silent: span{at[1], at[1] + time.Second},
		addressChange: at[2], newOverloadedTo: at[2] + time.Second}
	lim := &limits.Limits{WatchTimeout: 1_000_000, WatchGracePeriod: 1_000_000, NotificationDeadline: 6_000_000, WatchMinInterval: 100_000, MaxListBytes: 1 << 16,
		MaxListEndpoints: 10, NodeIdleTimeout: 10_000_000, DiscoveryMoveJitter: 400_000}
	f, err := dispatcher.New(decision.Config{Seed: seed, Brokers: 80, PollsEndpoints: true, MaxPollInterval: 10 * time.Second,
		Classes: []decision.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second}}}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	c := New("old:1", 0, nil, core.NewEndpointTable(), f, lim, slog.New(slog.DiscardHandler))
	c.poller.http.Transport = s
	ctx, stop := context.WithCancel(t.Context())
	arrivals := map[int64]time.Duration{} // by revision: when it or a later one was known
	go core.RunDecisions(ctx, f, clock.New())
	go c.Run(ctx)
	for known := int64(0); s.now() < 30*time.Second; time.Sleep(10 * time.Millisecond) {
		if s.addressChange > 0 && s.now() >= s.addressChange {
			c.SetAddress("new:1")
		}
		for rev := c.Revision(); known < rev; {
			known++
			arrivals[known] = s.now()
		}
	}
	stop()
	synctest.Wait()
	for rev := int64(1); rev < 50; rev++ {
		made := time.Duration(rev) * changeInterval
		if made < 3*time.Second { // a fleet that starts spreads its first calls
			continue
		}
		got, ok := arrivals[rev]
		due := s.deadline(made) + 500*time.Millisecond
		for _, end := range []time.Duration{s.overloaded.to, s.silent.to, s.newOverloadedTo} {
			if end < due { // a call that hangs since then has to end, and the next to become due
				due = max(due, end+recoveryTime)
			}
		}
		if !ok || got > due {
			t.Fatalf("order %v seed %d: change of %v arrived at %v (%v), due by %v; overload %v, silence %v, address change %v", order, seed, made,
				got, ok, due, s.overloaded, s.silent, s.addressChange)
		}
	}
}
