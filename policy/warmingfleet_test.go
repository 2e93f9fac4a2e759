package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// warmingFleet runs many brokers before one node that has just started. Each has few requests for it, and other
// work. The volume "surge", which uses three brokers, may surge there.
type warmingFleet struct {
	cfg       decision.Config
	random    *rand.Rand
	brokers   []*rig
	endpoints []decision.Endpoint // the first is the one that warms up
	now       time.Duration
	startedAt time.Duration // of the warming node
	lastID    uint64
	sends     []simSend // to the warming node
}

const warmingFleetTick = 20 * ms

func newWarmingFleet(t *testing.T, brokers, nodes int) *warmingFleet {
	t.Helper()
	cfg := testConfig()
	cfg.Brokers = brokers
	cfg.SlowStartCapacityUnits = 34
	cfg.OverloadWindow = 2 * time.Second
	cfg.SlowStartDuration = 15 * time.Second
	cfg.SlowStartFraction = 0.15
	f := &warmingFleet{
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
		f.brokers = append(f.brokers, newRig(t, cfg, f.endpoints...))
	}
	return f
}

// play runs the fleet for 25 s with so many requests a second for each node, and in the surge.
func (f *warmingFleet) play(perSecond, surge float64) {
	for f.now < f.startedAt+20*time.Second {
		f.now += warmingFleetTick
		if f.now == f.startedAt {
			f.endpoints[0].StartedAt = f.now
		}
		for i, r := range f.brokers {
			r.now = f.now
			f.serve(r, r.step(f.events(i, perSecond, surge)...))
		}
	}
}

// events draws what happens at one broker in a tick.
func (f *warmingFleet) events(broker int, perSecond, surge float64) []decision.Event {
	r := f.brokers[broker]
	events := []decision.Event{{Kind: decision.TimerFired, Token: 1}}
	if f.now == f.startedAt {
		events = append(events, decision.Event{Kind: decision.EndpointsReplaced, Endpoints: f.endpoints})
	}
	nodes := len(f.endpoints)
	chance := perSecond * float64(nodes) * 0.02 / float64(len(f.brokers))
	for first := f.lastID; f.random.Float64() < chance && f.lastID < first+5; {
		f.lastID++
		a := r.arrive(f.lastID, 0, f.random.IntN(2), fmt.Sprint("v", f.random.IntN(9)), "", f.units())
		a.Arrival.Shard = f.random.IntN(nodes)
		events = append(events, a)
	}
	for first := f.lastID; broker < 3 && f.random.Float64() < surge*0.02/3 && f.lastID < first+5; {
		f.lastID++
		a := r.arrive(f.lastID, 0, 1, "surge", "", f.units())
		a.Arrival.Shard = 0
		a.Arrival.Brokers = 3
		events = append(events, a)
	}
	return events
}

func (f *warmingFleet) units() float64 { return float64(1 + f.random.IntN(3)*f.random.IntN(3)) }

// serve answers every send at once, until the broker sends no more.
func (f *warmingFleet) serve(r *rig, actions []decision.Action) {
	for len(actions) > 0 {
		var answers []decision.Event
		for _, a := range actions {
			if a.Kind != decision.Forward {
				continue
			}
			if a.Node == "cold" && f.now >= f.startedAt {
				f.sends = append(f.sends, simSend{f.now, r.scheduler.requests.open[a.ID].arrival.Units})
			}
			answers = append(answers, answered(a.ID, a.Node, decision.Served))
		}
		if answers == nil {
			return
		}
		actions = r.step(answers...)
	}
}

// worstWindow is the highest part of what the node can bear that was sent in any window of its slow start.
func (f *warmingFleet) worstWindow() (worst float64) {
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

// total is the units sent to the node since its start.
func (f *warmingFleet) total() (units float64) {
	for _, x := range f.sends {
		units += x.units
	}
	return units
}

// However many brokers there are, together they keep to what a warming node can bear and yet use it.
func TestManyBrokersKeepToAWarmingNodesCapacity(t *testing.T) {
	for _, brokers := range []int{2, 5, 50, 200} {
		f := newWarmingFleet(t, brokers, 4)
		f.play(60, 0)
		worst, total := f.worstWindow(), f.total()
		if worst > 1 {
			t.Errorf("%d brokers send %.2f of what the node bears in one window", brokers, worst)
		}
		if total < 300 {
			t.Errorf("%d brokers send only %v units in 20 s", brokers, total)
		}
		t.Logf("%d brokers: worst window %.2f, %v units", brokers, worst, total)
	}
}

// A surge that three of many brokers see does not overload a warming node: the demand for its shard counts.
func TestSurgeAtAFewBrokersDoesNotOverloadAWarmingNode(t *testing.T) {
	f := newWarmingFleet(t, 100, 40)
	f.play(15, 60)
	if worst, total := f.worstWindow(), f.total(); worst > 1 || total < 1000 {
		t.Errorf("worst window %.2f of what the node bears, %v units", worst, total)
	}
}

// At a warming node small requests win more often than large ones, so that sends of the same sum make smaller
// bursts.
func TestSmallRequestsGoFirstToAWarmingNode(t *testing.T) {
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
		r := newRig(t, cfg, decision.Endpoint{Node: "cold", Shard: 0})
		restarted := decision.Endpoint{Node: "cold", Shard: 0, StartedAt: r.now + 2*time.Second}
		r.step(endpointsReplaced(restarted))
		for id := uint64(1); id <= 400; id++ {
			units := float64(1 + 3*(id%2))
			for _, x := range r.after(20*ms, r.arrive(id, 0, 0, "v", "", units)) {
				if x.Kind == decision.Forward {
					sent[units]++
					r.step(answered(x.ID, x.Node, decision.Served))
				}
			}
		}
	}
	if sent[4] < 5 || sent[1] < 2*sent[4] {
		t.Errorf("sent %v by units, of as many of 1 as of 4", sent)
	}
}
