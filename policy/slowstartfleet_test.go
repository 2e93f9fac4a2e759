package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// slowStartFleet drives many brokers that share several nodes, one of which starts during the test. Each broker has few
// requests for that node. The load of the volume "surge", which uses three brokers and that node, may be high.
type slowStartFleet struct {
	cfg       decision.Config
	random    *rand.Rand
	brokers   []*harness
	endpoints []decision.Endpoint // the first one starts during the test
	now       time.Duration
	startedAt time.Duration // start of the node in slow start
	lastID    uint64
	sends     []simSend // sends to the node in slow start
}

const slowStartFleetTick = 20 * ms

func newSlowStartFleet(t *testing.T, brokers, nodes int) *slowStartFleet {
	t.Helper()
	cfg := testConfig()
	cfg.Brokers = brokers
	cfg.SlowStartCapacityUnits = 34
	cfg.OverloadWindow = 2 * time.Second
	cfg.SlowStartDuration = 15 * time.Second
	cfg.SlowStartFraction = 0.15
	f := &slowStartFleet{
		cfg:       cfg,
		random:    rand.New(rand.NewPCG(uint64(brokers), 5)),
		endpoints: []decision.Endpoint{{Node: "cold", Shard: 0}},
		now:       time.Hour,
		startedAt: time.Hour + 5*time.Second,
	}
	for i := 1; i < nodes; i++ {
		f.endpoints = append(f.endpoints, decision.Endpoint{Node: fmt.Sprint("n", i), Shard: i})
	}
	for i := range brokers {
		cfg.Seed = uint64(i + 1)
		f.brokers = append(f.brokers, newHarness(t, cfg, f.endpoints...))
	}
	return f
}

// run runs the fleet for 25 s. perSecond is the rate of requests for each node, surge that of the volume "surge".
func (f *slowStartFleet) run(perSecond, surge float64) {
	for f.now < f.startedAt+20*time.Second {
		f.now += slowStartFleetTick
		if f.now == f.startedAt {
			f.endpoints[0].StartedAt = f.now
		}
		for i, h := range f.brokers {
			h.now = f.now
			f.serveSends(h, h.step(f.events(i, perSecond, surge)...))
		}
	}
}

// events generates the events of one broker in a tick.
func (f *slowStartFleet) events(broker int, perSecond, surge float64) []decision.Event {
	h := f.brokers[broker]
	events := []decision.Event{{Kind: decision.TimerFired, Token: 1}}
	if f.now == f.startedAt {
		events = append(events, decision.Event{Kind: decision.EndpointsReplaced, Endpoints: f.endpoints})
	}
	nodes := len(f.endpoints)
	chance := perSecond * float64(nodes) * 0.02 / float64(len(f.brokers))
	for first := f.lastID; f.random.Float64() < chance && f.lastID < first+5; {
		f.lastID++
		a := h.arrival(f.lastID, 0, f.random.IntN(2), fmt.Sprint("v", f.random.IntN(9)), "", f.units())
		a.Arrival.Shard = f.random.IntN(nodes)
		events = append(events, a)
	}
	for first := f.lastID; broker < 3 && f.random.Float64() < surge*0.02/3 && f.lastID < first+5; {
		f.lastID++
		a := h.arrival(f.lastID, 0, 1, "surge", "", f.units())
		a.Arrival.Shard = 0
		a.Arrival.Brokers = 3
		events = append(events, a)
	}
	return events
}

func (f *slowStartFleet) units() float64 { return float64(1 + f.random.IntN(3)*f.random.IntN(3)) }

// serveSends serves every sent request immediately, until the broker sends no more.
func (f *slowStartFleet) serveSends(h *harness, actions []decision.Action) {
	for len(actions) > 0 {
		var outcomes []decision.Event
		for _, a := range actions {
			if a.Kind != decision.Forward {
				continue
			}
			if a.Node == "cold" && f.now >= f.startedAt {
				f.sends = append(f.sends, simSend{f.now, h.scheduler.requests.open[a.ID].arrival.Units})
			}
			outcomes = append(outcomes, attemptEnded(a.ID, a.Node, decision.Served))
		}
		if outcomes == nil {
			return
		}
		actions = h.step(outcomes...)
	}
}

// worstWindow returns the highest load of the node in any window of its slow start, as a fraction of its slow-start
// capacity.
func (f *slowStartFleet) worstWindow() (worst float64) {
	for i, last := range f.sends {
		if last.at >= f.startedAt+f.cfg.SlowStartDuration {
			break
		}
		sum := 0.0
		for _, x := range f.sends[:i+1] {
			if x.at > last.at-f.cfg.OverloadWindow {
				sum += x.units
			}
		}
		age := math.Max(0, (last.at-f.cfg.OverloadWindow-f.startedAt).Seconds()) / f.cfg.SlowStartDuration.Seconds()
		ramp := 1 + (1-f.cfg.SlowStartFraction)/f.cfg.SlowStartFraction*age
		worst = math.Max(worst, sum/(f.cfg.SlowStartCapacityUnits*ramp))
	}
	return worst
}

// unitsSent returns the units sent to the node since its start.
func (f *slowStartFleet) unitsSent() (units float64) {
	for _, x := range f.sends {
		units += x.units
	}
	return units
}

// Any number of brokers together keep to the slow-start capacity of a node and use a large part of it.
func TestManyBrokersKeepToTheSlowStartCapacity(t *testing.T) {
	for _, brokers := range []int{2, 5, 50, 200} {
		f := newSlowStartFleet(t, brokers, 4)
		f.run(60, 0)
		worst, total := f.worstWindow(), f.unitsSent()
		if worst > 1 {
			t.Errorf("%d brokers: the load of a window is %.2f of the slow-start capacity", brokers, worst)
		}
		if total < 300 {
			t.Errorf("%d brokers: only %v units sent in 20 s, want at least 300", brokers, total)
		}
		t.Logf("%d brokers: worst window %.2f, %v units", brokers, worst, total)
	}
}

// A surge at only three of many brokers does not overload a node in slow start, since the brokers take the demand for
// its shard into account.
func TestSurgeAtAFewBrokersDoesNotOverloadANodeInSlowStart(t *testing.T) {
	f := newSlowStartFleet(t, 100, 40)
	f.run(15, 60)
	if worst, total := f.worstWindow(), f.unitsSent(); worst > 1 || total < 1000 {
		t.Errorf("the load of a window is %.2f of the slow-start capacity, %v units sent, want at most 1 and at least 1000", worst, total)
	}
}

// A node in slow start gets small requests more often than large ones, so that the same units make smaller bursts.
func TestSmallRequestsArePreferredInSlowStart(t *testing.T) {
	cfg := testConfig()
	cfg.Brokers = 200
	cfg.SlowStartCapacityUnits = 20
	cfg.OverloadWindow = time.Second
	cfg.SlowStartDuration = 15 * time.Second
	cfg.SlowStartFraction = 0.2
	cfg.MeanUnits = 2
	cfg.MaxUnits = 8
	sent := map[float64]int{}
	for seed := range uint64(300) {
		cfg.Seed = seed + 1
		h := newHarness(t, cfg, decision.Endpoint{Node: "cold", Shard: 0})
		restarted := decision.Endpoint{Node: "cold", Shard: 0, StartedAt: h.now + 2*time.Second}
		h.step(endpointsReplaced(restarted))
		for id := uint64(1); id <= 400; id++ {
			units := float64(1 + 3*(id%2))
			for _, x := range h.stepAfter(20*ms, h.arrival(id, 0, 0, "v", "", units)) {
				if x.Kind == decision.Forward {
					sent[units]++
					h.step(attemptEnded(x.ID, x.Node, decision.Served))
				}
			}
		}
	}
	if sent[4] < 5 || sent[1] < 2*sent[4] {
		t.Errorf("sent requests by units: %v, want at least 5 of 4 units and twice as many of 1", sent)
	}
}
