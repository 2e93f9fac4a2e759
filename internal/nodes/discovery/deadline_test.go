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

// span is a period; from and to are relative to the start of the test.
type span struct{ from, to time.Duration }

func (s span) contains(t time.Duration) bool { return t >= s.from && t < s.to }

// faultyDiscovery simulates a discovery service with faults, on the clock of the synctest bubble. While overloaded it
// answers with 503. While unresponsive it does not answer, and calls that were open when that began are never
// answered. After the change of its address the old address is closed and the new one is overloaded for a while. The
// list changes every changeInterval.
type faultyDiscovery struct {
	startedAt                      time.Time
	overloaded, unresponsive       span
	addressChange, newOverloadedTo time.Duration
	mu                             sync.Mutex
	calls                          []span        // from the arrival of each call to the end of its wait
	firstAnswer                    time.Duration // at the new address; 0 if there is none yet
}

const (
	changeInterval = 500 * time.Millisecond
	recoveryTime   = 3500 * time.Millisecond
)

func (s *faultyDiscovery) now() time.Duration { return time.Since(s.startedAt) }

func (s *faultyDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	arrivedAt, ctx, old := s.now(), r.Context(), r.URL.Host == "old:1"
	status, body, after, wait := http.StatusOK, "", int64(-1), time.Duration(0)
	if q := r.URL.Query(); q.Has("after") {
		ms := 0
		if _, err := fmt.Sscan(q.Get("after")+" "+q.Get("wait_ms"), &after, &ms); err != nil {
			return nil, err
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	s.mu.Lock()
	s.calls = append(s.calls, span{arrivedAt, arrivedAt + wait})
	s.mu.Unlock()
	for {
		t := s.now()
		rev := int64(t / changeInterval)
		switch {
		case s.unresponsive.contains(t) || arrivedAt < s.unresponsive.from && t >= s.unresponsive.from: // never answered
			<-ctx.Done()
			return nil, ctx.Err()
		case old && t >= s.addressChange+1500*time.Millisecond:
			return nil, errors.New("connection refused")
		case s.overloaded.contains(t) || !old && t < s.newOverloadedTo:
			status = http.StatusServiceUnavailable
		case after < 0 || rev > after || t >= arrivedAt+wait:
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

// deadline returns the time by which the broker must know a change made at t. If a call that is never answered should
// have returned the change, that is 6 s after discovery became unresponsive, or 2 s after the end of the call's wait if
// that is later. Before the first response of the new address, it is 4 s after the change of the address or after t,
// whichever is later. In all other cases it is 30 s after t.
func (s *faultyDiscovery) deadline(t time.Duration) time.Duration {
	deadline := t + 30*time.Second
	s.mu.Lock()
	defer s.mu.Unlock()
	if t < s.firstAnswer {
		deadline = min(deadline, max(t, s.addressChange)+4*time.Second)
	}
	for _, c := range s.calls {
		if c.from < s.unresponsive.from && c.to > s.unresponsive.from && c.to > t {
			deadline = min(deadline, max(s.unresponsive.from+6*time.Second, c.to+2*time.Second))
		}
	}
	return max(deadline, t)
}

// With overload, unresponsiveness and a change of the address in every order and overlap, a broker has each change
// before its deadline, or soon after the last of the faults, whatever failed before.
func TestChangesArriveInTimeThroughOverloadHangAndAddressChange(t *testing.T) {
	for _, order := range [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		for seed := range uint64(40) {
			synctest.Test(t, func(t *testing.T) { checkChangesArrive(t, order, seed) })
		}
	}
}

func checkChangesArrive(t *testing.T, order [3]int, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	faultAt := [3]time.Duration{}
	for i, fault := range order { // the faults are close enough to overlap
		faultAt[fault] = 5*time.Second + time.Duration(i)*1500*time.Millisecond + time.Duration(rng.Int64N(int64(time.Second)))
	}
	s := &faultyDiscovery{startedAt: time.Now(), overloaded: span{faultAt[0], faultAt[0] + time.Second}, unresponsive: span{faultAt[1], faultAt[1] + time.Second},
		addressChange: faultAt[2], newOverloadedTo: faultAt[2] + time.Second}
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
	arrivals := map[int64]time.Duration{} // by revision: when the broker knew it or a later one
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
		changedAt := time.Duration(rev) * changeInterval
		if changedAt < 3*time.Second { // a starting fleet spreads its first calls
			continue
		}
		arrivedAt, ok := arrivals[rev]
		due := s.deadline(changedAt) + 500*time.Millisecond
		for _, end := range []time.Duration{s.overloaded.to, s.unresponsive.to, s.newOverloadedTo} {
			if end < due { // a call that hangs since the fault must end, and the next call must become due
				due = max(due, end+recoveryTime)
			}
		}
		if !ok || arrivedAt > due {
			t.Fatalf("order %v seed %d: change of %v arrived at %v (arrived: %v), due by %v; "+
				"overload %v, unresponsive %v, address change %v",
				order, seed, changedAt, arrivedAt, ok, due, s.overloaded, s.unresponsive, s.addressChange)
		}
	}
}
