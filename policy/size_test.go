package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// many lists n nodes of a shard each, all started at the given time.
func many(n int, started time.Duration) (list []decision.Endpoint) {
	for i := 0; i < n; i++ {
		list = append(list, decision.Endpoint{Node: fmt.Sprint("n", i), Shard: i, StartedAt: started})
	}
	return list
}

// Eight hosts that each keep their part keep the volume's limit together, and each is served.
func TestEightHostsOfOneLimitedVolume(t *testing.T) {
	cfg := testConfig()
	cfg.Brokers = 40
	cfg.Plans[2].RateLimit, cfg.Plans[2].RateLimitBurst, cfg.Plans[2].RateLimitTolerance = 8, 128, 12.8
	var rigs []*rig
	for i := 0; i < 8; i++ {
		cfg.Seed = uint64(i)
		rigs = append(rigs, newRig(t, cfg))
	}
	level, at := cfg.Plans[2].RateLimitBurst, rigs[0].now
	served := make([]int, 8)
	for id := uint64(1); id < 8000; id++ {
		r := rigs[id%8]
		r.now += 40 * ms
		a := r.arrive(id, 0, 2, "v", "", float64(1+id%8))
		a.Arrival.Brokers = 8
		acts := r.after(0, a)
		for _, x := range of(acts, decision.Forward) {
			level = math.Min(cfg.Plans[2].RateLimitBurst, level+cfg.Plans[2].RateLimit*(r.now-at).Seconds()) - r.s.requests.open[x].arrival.Units
			at = r.now
			if level < -cfg.Plans[2].RateLimitTolerance {
				t.Fatalf("the store of the volume stands at %v", level)
			}
			served[id%8]++
			r.step(answered(x, "a", decision.Served))
		}
	}
	for i, n := range served {
		if n < 5 { // 40 s of one unit a second, for requests of up to 8 units
			t.Errorf("host %d had %d of its requests served in 40 s", i, n)
		}
	}
}

// Host counts that a volume or the settings may state, and a count that changes: no panic, every request answered.
func TestHostCounts(t *testing.T) {
	for _, hosts := range []int{0, 1, 500} {
		cfg := testConfig()
		cfg.Brokers = hosts
		r := newRig(t, cfg, many(3, time.Hour-time.Second)...)
		r.after(1500 * ms)
		answers := 0
		for id := uint64(1); id <= 300; id++ {
			a := r.arrive(id, int(id%3), int(id%3), fmt.Sprint("v", id%5), fmt.Sprint("k", id%7), float64(id%4))
			a.Arrival.Brokers, a.Arrival.Shard = []int{0, 1, 500, -3}[id%4], int(id%3)
			acts := r.after(10*ms, a)
			answers += len(of(acts, decision.Shed)) + len(of(acts, decision.Fail))
			for _, x := range of(acts, decision.Forward) {
				answers++
				acts = r.step(answered(x, fmt.Sprint("n", r.s.requests.open[x].arrival.Shard), decision.Served))
				answers += len(of(acts, decision.Shed)) + len(of(acts, decision.Fail))
			}
		}
		for i := 0; i < 300 && len(r.s.requests.open) > 0; i++ {
			acts := r.after(20 * ms)
			answers += len(of(acts, decision.Shed)) + len(of(acts, decision.Fail))
			for _, x := range of(acts, decision.Forward) {
				answers++
				r.step(answered(x, fmt.Sprint("n", r.s.requests.open[x].arrival.Shard), decision.Served))
			}
		}
		if len(r.s.requests.open) > 0 {
			t.Errorf("%d hosts: %d requests left, %d answers", hosts, len(r.s.requests.open), answers)
		}
	}
}

// 10,000 arrivals in one batch: each is sent or answered in time, and the step does not take seconds.
func TestTenThousandEventsInOneBatch(t *testing.T) {
	r := newRig(t, testConfig(), many(10, 0)...)
	var evs []decision.Event
	for id := uint64(1); id <= 10000; id++ {
		a := r.arrive(id, 0, int(id%2), fmt.Sprint("v", id%50), "", 1)
		a.Arrival.Shard = int(id % 10)
		evs = append(evs, a)
	}
	acts := r.step(evs...)
	open := 10000 - len(of(acts, decision.Shed))
	for i := 0; i < 20; i++ {
		acts = r.after(100 * ms)
		open -= len(of(acts, decision.Shed))
	}
	if out := len(r.s.requests.open); open != out || len(r.s.requests.queueExpiry) > 0 {
		t.Fatalf("%d neither answered nor out, %d still wait", open-out, len(r.s.requests.queueExpiry))
	}
}

// A list of 60 nodes that all restart: what waits is sent or answered, each node gets no more than a cold one bears.
func TestSixtyNodesRestart(t *testing.T) {
	cfg := testConfig()
	cfg.Brokers = 1
	r := newRig(t, cfg, many(60, 0)...)
	r.after(3 * time.Second)
	r.step(decision.Event{Kind: decision.EndpointsReplaced, Endpoints: many(60, r.now)})
	units, sent := map[string]float64{}, 0
	var evs []decision.Event
	for id := uint64(1); id <= 600; id++ {
		a := r.arrive(id, 0, 0, "x", "", 2)
		a.Arrival.Shard = int(id % 60)
		evs = append(evs, a)
	}
	for i := 0; i < 10; i++ {
		for _, a := range r.after(90*ms, evs...) {
			if a.Kind == decision.Forward {
				sent++
				units[a.Node] += 2
				evs = append(evs[:0:0], answered(a.ID, a.Node, decision.Served))
				r.step(evs...)
			}
		}
		evs = nil
	}
	for n, u := range units {
		if u > cfg.ColdCapacityUnits {
			t.Errorf("%s got %v units in a window, bears %v", n, u, cfg.ColdCapacityUnits)
		}
	}
	if sent < 60 {
		t.Errorf("only %d sent to 60 nodes", sent)
	}
}

// A clock that jumps by seconds with requests waiting and out: all end, none is sent after its client left.
func TestClockJumps(t *testing.T) {
	r := newRig(t, testConfig())
	rng := rand.New(rand.NewPCG(3, 3))
	for id := uint64(1); id <= 400; id++ {
		jump := time.Duration(rng.IntN(30)) * ms
		if id%20 == 0 {
			jump = time.Duration(rng.IntN(6000)) * ms
		}
		acts := r.after(jump, r.arrive(id, int(id%3), 0, "x", fmt.Sprint(id%4), 1))
		for ; len(acts) > 0; acts = acts[1:] {
			a := acts[0]
			if a.Kind != decision.Forward {
				continue
			}
			if r.now >= r.s.requests.open[a.ID].arrival.Deadline {
				t.Fatalf("request %d is sent after its client left", a.ID)
			}
			ev := answered(a.ID, "a", decision.Served)
			if ev.Attempt = r.s.requests.open[a.ID].attempts - 1; rng.IntN(3) == 0 {
				ev.Outcome, ev.Final = decision.TimedOut, false
			}
			acts = append(acts, r.step(ev)...)
		}
	}
	for i := 0; i < 100; i++ {
		for acts := r.after(50 * ms); len(acts) > 0; acts = acts[1:] {
			if a := acts[0]; a.Kind == decision.Forward {
				ev := answered(a.ID, "a", decision.Served)
				ev.Attempt = r.s.requests.open[a.ID].attempts - 1
				acts = append(acts, r.step(ev)...)
			}
		}
	}
	if len(r.s.requests.open) > 0 {
		t.Fatalf("%d requests left", len(r.s.requests.open))
	}
}

// BenchmarkStep is one arrival and its answer at a host before 50 nodes.
func BenchmarkStep(b *testing.B) {
	s, err := New(testConfig())
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	s.Step(now, []decision.Event{{Kind: decision.EndpointsReplaced, Endpoints: many(50, 0)}}, nil)
	acts := make([]decision.Action, 0, 16)
	for id := uint64(1); b.Loop(); id++ {
		now += 5 * ms
		acts = s.Step(now, []decision.Event{{Kind: decision.RequestArrived, ID: id, Arrival: decision.Arrival{Volume: fmt.Sprint("v", id%300), Units: 2,
			Shard: int(id % 50), Brokers: 2, Deadline: now + 4*time.Second}}}, acts[:0])
		for _, a := range acts {
			if a.Kind == decision.Forward {
				s.Step(now+2*ms, []decision.Event{answered(a.ID, a.Node, decision.Served)}, nil)
			}
		}
	}
}
