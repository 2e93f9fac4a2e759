package policy

import (
	"slices"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// A failed watch is retried soon, and brokers that failed together do not retry together.
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
		r := &rig{t: t, scheduler: s, now: time.Hour}
		polledAt := []time.Duration{}
		for range 1500 {
			for _, a := range r.step(decision.Event{Kind: decision.TimerFired, Token: 1}) {
				if a.Kind == decision.WatchEndpoints {
					polledAt = append(polledAt, r.now)
					within := 1500 * ms
					if len(polledAt) == 1 {
						within = 750 * ms
					}
					r.step(decision.Event{Kind: decision.EndpointWatchFailed, RetryWithin: within})
				}
			}
			r.now += 20 * ms
		}
		if len(polledAt) < 20 || len(polledAt) > 45 {
			t.Fatalf("polled %d times in 30 s of failures", len(polledAt))
		}
		for i := 1; i < len(polledAt); i++ {
			if gap := polledAt[i] - polledAt[i-1]; gap < 240*ms || gap > 1540*ms {
				t.Fatalf("%v between two calls", gap)
			}
		}
		retriedAt[polledAt[1]]++
	}
	for at, n := range retriedAt {
		if n > 20 {
			t.Errorf("%d of 100 brokers retry %v after a failure that all had", n, at-time.Hour)
		}
	}
}

// slowDiscovery answers so many calls a second, one by one. A call that has waited for too long fails and costs
// as much as one that was answered. An open watch costs nothing.
type slowDiscovery struct {
	perCall time.Duration // time that a call takes
	timeout time.Duration // a call waits no longer
	freeAt  time.Duration // when the calls so far are done
}

// call is the outcome of a call made now: when it ends, and whether with an answer.
func (d *slowDiscovery) call(now time.Duration) (end time.Duration, ok bool) {
	d.freeAt = max(d.freeAt, now) + d.perCall
	if d.freeAt > now+d.timeout {
		return now + d.timeout, false
	}
	return d.freeAt, true
}

// Eighty brokers start at once and discovery answers fifteen calls a second. Without a backoff the queue of
// failed calls never empties.
func TestAllBrokersGetAListFromSlowDiscovery(t *testing.T) {
	const brokers = 80
	disc := &slowDiscovery{perCall: time.Second / 15, timeout: 2 * time.Second}
	type pending struct {
		end time.Duration
		ok  bool
	}
	rigs, calls, listedAt := make([]*rig, brokers), make([]*pending, brokers), make([]time.Duration, brokers)
	for i := range rigs {
		cfg := testConfig()
		cfg.PollsEndpoints, cfg.Brokers, cfg.Seed = true, brokers, uint64(i)
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		rigs[i] = &rig{t: t, scheduler: s, now: time.Hour}
	}
	for range 1000 { // twenty seconds
		for i, r := range rigs {
			evs := []decision.Event{{Kind: decision.TimerFired, Token: 1}}
			if c := calls[i]; c != nil && c.end <= r.now {
				if calls[i] = nil; !c.ok {
					evs = append(evs, decision.Event{Kind: decision.EndpointWatchFailed})
				} else if listedAt[i] = r.now - time.Hour; true {
					evs = append(evs, endpointsChanged(decision.Endpoint{Node: "a"}))
				}
			}
			for _, a := range r.step(evs...) {
				if a.Kind == decision.WatchEndpoints {
					end, ok := disc.call(r.now)
					calls[i] = &pending{end, ok}
				}
			}
			r.now += 20 * ms
		}
	}
	slices.Sort(listedAt)
	if without := slices.IndexFunc(listedAt, func(at time.Duration) bool { return at > 0 }); without != 0 {
		t.Errorf("%d of %d brokers have had no list in 20 s (-1: none has)", without, brokers)
	}
	if middle := listedAt[brokers/2]; middle > 6*time.Second {
		t.Errorf("half of the brokers wait more than %v", middle)
	}
}

// While discovery fails, each broker of a large fleet retries less often, but never less often than
// MaxPollInterval allows.
func TestWatchBackoffGrowsWithTheFleet(t *testing.T) {
	for brokers, bound := range map[int][2]time.Duration{4: {250 * ms, 1500 * ms}, 80: {800 * ms, 7500 * ms}, 1024: {time.Second, 7500 * ms}} {
		cfg := testConfig()
		cfg.PollsEndpoints, cfg.Brokers = true, brokers
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		r, last, calls := &rig{t: t, scheduler: s, now: time.Hour}, time.Duration(0), 0
		for range 6000 { // two minutes
			for _, a := range r.step(decision.Event{Kind: decision.TimerFired, Token: 1}) {
				if a.Kind != decision.WatchEndpoints {
					continue
				}
				if gap := r.now - last; last > 0 && (gap < bound[0]-20*ms || gap > bound[1]+40*ms) {
					t.Errorf("%d brokers: %v between two calls", brokers, gap)
				}
				last, calls = r.now, calls+1
				r.step(decision.Event{Kind: decision.EndpointWatchFailed})
			}
			r.now += 20 * ms
		}
		if calls < 15 {
			t.Errorf("%d brokers: %d calls in two minutes", brokers, calls)
		}
	}
}
