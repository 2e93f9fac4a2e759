package policy

import (
	"slices"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// slowDiscovery works through calls in turn, so many a second; a call that has waited too long fails, and has cost as much as
// one that was answered. A watch that stands costs it nothing.
type slowDiscovery struct {
	each, patience, free time.Duration
}

// call is what becomes of one that comes now: when it ends, and whether with an answer.
func (d *slowDiscovery) call(now time.Duration) (end time.Duration, ok bool) {
	d.free = max(d.free, now) + d.each
	if d.free > now+d.patience {
		return now + d.patience, false
	}
	return d.free, true
}

// Eighty hosts come back at once with an old list, and discovery answers fifteen calls a second. They once asked again
// within a second and a half: what they asked in vain kept the queue longer than any call could wait, and after the
// first two seconds nobody had an answer at all.
func TestFleetThatReturnsAtOnceGetsItsLists(t *testing.T) {
	const hosts = 80
	disc := &slowDiscovery{each: time.Second / 15, patience: 2 * time.Second}
	type pending struct {
		end time.Duration
		ok  bool
	}
	rigs, calls, told := make([]*rig, hosts), make([]*pending, hosts), make([]time.Duration, hosts)
	for i := range rigs {
		cfg := testConfig()
		cfg.PollsEndpoints, cfg.Brokers, cfg.Seed = true, hosts, uint64(i)
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		rigs[i] = &rig{t: t, s: s, now: time.Hour}
	}
	for range 1000 { // twenty seconds
		for i, r := range rigs {
			evs := []decision.Event{{Kind: decision.TimerFired, Token: 1}}
			if c := calls[i]; c != nil && c.end <= r.now {
				if calls[i] = nil; !c.ok {
					evs = append(evs, decision.Event{Kind: decision.EndpointWatchFailed})
				} else if told[i] = r.now - time.Hour; true {
					evs = append(evs, decision.Event{Kind: decision.EndpointsChanged, Endpoints: []decision.Endpoint{{Node: "a"}}})
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
	slices.Sort(told)
	if without := slices.IndexFunc(told, func(at time.Duration) bool { return at > 0 }); without != 0 {
		t.Errorf("%d of %d hosts have had no list in 20 s (-1: none has)", without, hosts)
	}
	if middle := told[hosts/2]; middle > 6*time.Second {
		t.Errorf("half of the hosts wait more than %v", middle)
	}
}

// While discovery fails a host asks on: the more hosts, the more seldom each, but never less often than the list may go
// unasked for. Few hosts are no crowd, and should not be without news for long once discovery is back.
func TestAskingGoesOnBySizeOfTheFleet(t *testing.T) {
	for hosts, bound := range map[int][2]time.Duration{4: {250 * ms, 1500 * ms}, 80: {800 * ms, 7500 * ms}, 1024: {time.Second, 7500 * ms}} {
		cfg := testConfig()
		cfg.PollsEndpoints, cfg.Brokers = true, hosts
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		r, last, calls := &rig{t: t, s: s, now: time.Hour}, time.Duration(0), 0
		for range 6000 { // two minutes
			for _, a := range r.step(decision.Event{Kind: decision.TimerFired, Token: 1}) {
				if a.Kind != decision.WatchEndpoints {
					continue
				}
				if gap := r.now - last; last > 0 && (gap < bound[0]-20*ms || gap > bound[1]+40*ms) {
					t.Errorf("%d hosts: %v between two calls", hosts, gap)
				}
				last, calls = r.now, calls+1
				r.step(decision.Event{Kind: decision.EndpointWatchFailed})
			}
			r.now += 20 * ms
		}
		if calls < 15 {
			t.Errorf("%d hosts: %d calls in two minutes", hosts, calls)
		}
	}
}
