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

// scene is a discovery in trouble, on the bubble's clock: crowded it answers 503, in its silence it answers nothing and what
// was open when that began stays silent; after the move the old address is closed and the new one crowded for a while.
// Something is new every half a second.
type scene struct {
	begun           time.Time
	crowd, hush     span
	move, crowdedTo time.Duration
	mu              sync.Mutex
	open            []span        // calls, by when they came and when their wait is over
	there           time.Duration // the first answer at the new address
}

const (
	pace  = 500 * time.Millisecond
	lapse = 3500 * time.Millisecond
)

func (s *scene) now() time.Duration { return time.Since(s.begun) }

func (s *scene) RoundTrip(r *http.Request) (*http.Response, error) {
	came, ctx, old := s.now(), r.Context(), r.URL.Host == "old:1"
	status, body, after, wait := http.StatusOK, "", int64(-1), time.Duration(0)
	if q := r.URL.Query(); q.Has("after") {
		fmt.Sscan(q.Get("after"), &after)
		ms := 0
		fmt.Sscan(q.Get("wait_ms"), &ms)
		wait = time.Duration(ms) * time.Millisecond
	}
	s.mu.Lock()
	s.open = append(s.open, span{came, came + wait})
	s.mu.Unlock()
	for {
		t := s.now()
		rev := int64(t / pace)
		switch {
		case s.hush.holds(t) || came < s.hush.from && t >= s.hush.from: // nothing, for good
			<-ctx.Done()
			return nil, ctx.Err()
		case old && t >= s.move+1500*time.Millisecond:
			return nil, errors.New("connection refused")
		case s.crowd.holds(t) || !old && t < s.crowdedTo:
			status = http.StatusServiceUnavailable
		case after < 0 || rev > after || t >= came+wait:
			body = fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[{"uid":"a","endpoint":"x","state":"up"}]}`, rev, after < 0)
		}
		if status != http.StatusOK || body != "" {
			s.mu.Lock()
			if status == http.StatusOK && !old && s.there == 0 {
				s.there = t
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

// counts is when news made at t count as told: a silent call's 6 s after it fell silent, or 2 s after its wait where that is
// later; those of a move 4 s after it, until the new address has answered; others half a minute later (the list counts as held after a failed call for 40 s).
func (s *scene) counts(t time.Duration) time.Duration {
	told := t + 30*time.Second
	s.mu.Lock()
	defer s.mu.Unlock()
	if t < s.there {
		told = min(told, max(t, s.move)+4*time.Second)
	}
	for _, c := range s.open {
		if c.from < s.hush.from && c.to > s.hush.from && c.to > t {
			told = min(told, max(s.hush.from+6*time.Second, c.to+2*time.Second))
		}
	}
	return max(told, t)
}

// 503, silence and a move in every order and overlap never leave a broker held to news that it could have had: it has them
// before they count, or else soon after the last of the troubles, whatever failed before.
func TestNeverHeldToNewsThatCouldBeHad(t *testing.T) {
	for _, order := range [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		for seed := range uint64(40) {
			synctest.Test(t, func(t *testing.T) { held(t, order, seed) })
		}
	}
}

func held(t *testing.T, order [3]int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	at := [3]time.Duration{}
	for i, what := range order { // close enough to overlap
		at[what] = 5*time.Second + time.Duration(i)*1500*time.Millisecond + time.Duration(rng.Int64N(int64(time.Second)))
	}
	s := &scene{begun: time.Now(), crowd: span{at[0], at[0] + time.Second}, hush: span{at[1], at[1] + time.Second},
		move: at[2], crowdedTo: at[2] + time.Second}
	lim := &limits.Limits{WatchTimeout: 1_000_000, WatchGracePeriod: 1_000_000, NotificationDeadline: 6_000_000, WatchMinInterval: 100_000, MaxListBytes: 1 << 16,
		MaxListEndpoints: 10, NodeIdleTimeout: 10_000_000, DiscoveryMoveJitter: 400_000}
	f, err := dispatcher.New(decision.Config{Seed: seed, Brokers: 80, PollsEndpoints: true, MaxPollInterval: 10 * time.Second,
		Classes: []decision.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second}}}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	c := New("old:1", 0, nil, core.NewEndpointTable(), f, lim, slog.New(slog.NewTextHandler(io.Discard, nil)))
	c.http.Transport = s
	ctx, stop := context.WithCancel(t.Context())
	heard := map[int64]time.Duration{} // by version: when it or a later one was known
	go core.RunDecisions(ctx, f, clock.New())
	go c.Run(ctx)
	for known := int64(0); s.now() < 30*time.Second; time.Sleep(10 * time.Millisecond) {
		if s.move > 0 && s.now() >= s.move {
			c.SetAddress("new:1")
		}
		for rev := c.Revision(); known < rev; {
			known++
			heard[known] = s.now()
		}
	}
	stop()
	synctest.Wait()
	for rev := int64(1); rev < 50; rev++ {
		made := time.Duration(rev) * pace
		if made < 3*time.Second { // a fleet that starts spreads its first calls
			continue
		}
		got, ok := heard[rev]
		due := s.counts(made) + 500*time.Millisecond
		for _, end := range []time.Duration{s.crowd.to, s.hush.to, s.crowdedTo} {
			if end < due { // nothing could be had before; a call that hangs since then has to end, and the next to be due
				due = max(due, end+lapse)
			}
		}
		if !ok || got > due {
			t.Fatalf("order %v seed %d: news of %v heard at %v (%v), due by %v; crowd %v, silence %v, move %v", order, seed, made,
				got, ok, due, s.crowd, s.hush, s.move)
		}
	}
}
