package policy

import (
	"slices"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// A failed watch is retried within its bound, and brokers whose watches failed at the same time do not retry at the
// same time.
func TestFailedWatchIsRetriedWithJitterWithinItsBound(t *testing.T) {
	cfg := testConfig()
	cfg.PollsEndpoints = true
	retriedAt := map[time.Duration]int{}
	for seed := range uint64(100) {
		cfg.Seed = seed
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, scheduler: s, now: time.Hour}
		polledAt := []time.Duration{}
		for range 1500 {
			for _, a := range h.step(decision.Event{Kind: decision.TimerFired, Token: 1}) {
				if a.Kind == decision.WatchEndpoints {
					polledAt = append(polledAt, h.now)
					within := 1500 * ms
					if len(polledAt) == 1 {
						within = 750 * ms
					}
					h.step(decision.Event{Kind: decision.EndpointWatchFailed, RetryWithin: within})
				}
			}
			h.now += 20 * ms
		}
		if len(polledAt) < 20 || len(polledAt) > 45 {
			t.Fatalf("polled %d times in 30 s of failures, want 20 to 45", len(polledAt))
		}
		for i := 1; i < len(polledAt); i++ {
			if gap := polledAt[i] - polledAt[i-1]; gap < 240*ms || gap > 1540*ms {
				t.Fatalf("%v between two polls, want 240 ms to 1.54 s", gap)
			}
		}
		retriedAt[polledAt[1]]++
	}
	for at, n := range retriedAt {
		if n > 20 {
			t.Errorf("%d of 100 brokers retry %v after a common failure, want at most 20", n, at-time.Hour)
		}
	}
}

// slowDiscovery simulates a discovery service that handles calls one after the other. A call that has waited for too
// long fails but takes as much time as one that was answered. An open watch takes none.
type slowDiscovery struct {
	callTime time.Duration // service time of a call
	timeout  time.Duration // longest wait of a call
	idleAt   time.Duration // when all calls so far have been handled
}

// call returns when a call made at now ends and whether it is answered.
func (d *slowDiscovery) call(now time.Duration) (end time.Duration, ok bool) {
	d.idleAt = max(d.idleAt, now) + d.callTime
	if d.idleAt > now+d.timeout {
		return now + d.timeout, false
	}
	return d.idleAt, true
}

// 80 brokers start at the same time and discovery handles 15 calls per second. Without a backoff the queue of failed
// calls would never empty.
func TestAllBrokersGetAListFromSlowDiscovery(t *testing.T) {
	const brokers = 80
	discoveryServer := &slowDiscovery{callTime: time.Second / 15, timeout: 2 * time.Second}
	type pending struct {
		end time.Duration
		ok  bool
	}
	harnesses, calls, listedAt := make([]*harness, brokers), make([]*pending, brokers), make([]time.Duration, brokers)
	for i := range harnesses {
		cfg := testConfig()
		cfg.PollsEndpoints, cfg.Brokers, cfg.Seed = true, brokers, uint64(i)
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		harnesses[i] = &harness{t: t, scheduler: s, now: time.Hour}
	}
	for range 1000 { // 20 s
		for i, h := range harnesses {
			evs := []decision.Event{{Kind: decision.TimerFired, Token: 1}}
			if c := calls[i]; c != nil && c.end <= h.now {
				if calls[i] = nil; !c.ok {
					evs = append(evs, decision.Event{Kind: decision.EndpointWatchFailed})
				} else if listedAt[i] = h.now - time.Hour; true {
					evs = append(evs, endpointsChanged(decision.Endpoint{Node: "a"}))
				}
			}
			for _, a := range h.step(evs...) {
				if a.Kind == decision.WatchEndpoints {
					end, ok := discoveryServer.call(h.now)
					calls[i] = &pending{end, ok}
				}
			}
			h.now += 20 * ms
		}
	}
	slices.Sort(listedAt)
	if without := slices.IndexFunc(listedAt, func(at time.Duration) bool { return at > 0 }); without != 0 {
		t.Errorf("%d of %d brokers got no endpoint list in 20 s (-1 if none got one)", without, brokers)
	}
	if middle := listedAt[brokers/2]; middle > 6*time.Second {
		t.Errorf("half of the brokers got their first endpoint list after more than %v, want at most 6 s", middle)
	}
}

// While discovery fails, the brokers of a larger fleet wait longer between retries, but not longer than MaxPollInterval
// allows.
func TestWatchBackoffGrowsWithTheFleet(t *testing.T) {
	for brokers, bound := range map[int][2]time.Duration{4: {250 * ms, 1500 * ms}, 80: {800 * ms, 7500 * ms}, 1024: {time.Second, 7500 * ms}} {
		cfg := testConfig()
		cfg.PollsEndpoints, cfg.Brokers = true, brokers
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		r, last, calls := &harness{t: t, scheduler: s, now: time.Hour}, time.Duration(0), 0
		for range 6000 { // 2 min
			for _, a := range r.step(decision.Event{Kind: decision.TimerFired, Token: 1}) {
				if a.Kind != decision.WatchEndpoints {
					continue
				}
				if gap := r.now - last; last > 0 && (gap < bound[0]-20*ms || gap > bound[1]+40*ms) {
					t.Errorf("%d brokers: %v between two polls, want %v to %v", brokers, gap, bound[0], bound[1])
				}
				last, calls = r.now, calls+1
				r.step(decision.Event{Kind: decision.EndpointWatchFailed})
			}
			r.now += 20 * ms
		}
		if calls < 15 {
			t.Errorf("%d brokers: %d polls in two minutes, want at least 15", brokers, calls)
		}
	}
}
