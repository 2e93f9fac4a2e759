package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// surgeLoad drives many brokers that share the same nodes. Each volume uses a few brokers, and its load may surge.
type surgeLoad struct {
	brokers []*harness
	random  *rand.Rand
	volumes []surgeVolume
	lastID  uint64
	sent    []simSend // sends to the node in slow start
}

type surgeVolume struct {
	name    string
	brokers []int
	rate    float64 // requests per second over all its brokers
	shard   int
}

const (
	surgeNodes        = 12
	slowStartDuration = 15 * time.Second
	slowStartFraction = 0.18
	slowStartUnits    = 13   // slow-start capacity at the start of a node, in units per second
	meanUnits         = 2.16 // mean units of a request
)

func newSurgeLoad(t *testing.T, brokers int, seed uint64, perNode float64) *surgeLoad {
	t.Helper()
	f := &surgeLoad{random: rand.New(rand.NewPCG(seed, 3))}
	for i := range brokers {
		cfg := testConfig()
		cfg.Brokers = brokers
		cfg.Seed = seed*1000 + uint64(i)
		cfg.SlowStartCapacityUnits = slowStartUnits
		cfg.SlowStartFraction = slowStartFraction
		cfg.SlowStartDuration = slowStartDuration
		cfg.OverloadWindow = time.Second
		cfg.MeanUnits = meanUnits
		cfg.MaxUnits = 8
		f.brokers = append(f.brokers, newHarness(t, cfg, nodeList(surgeNodes)...))
	}
	for i := range 6 * surgeNodes {
		v := surgeVolume{name: fmt.Sprint("v", i), rate: perNode / 6, shard: i % surgeNodes}
		for range 1 + f.random.IntN(3) {
			v.brokers = append(v.brokers, f.random.IntN(brokers))
		}
		f.volumes = append(f.volumes, v)
	}
	return f
}

// units returns a random request size from 1 to 8 units, with the mean meanUnits.
func (f *surgeLoad) units() float64 { return math.Min(8, 1+math.Floor(f.random.ExpFloat64()*1.45)) }

// step simulates 10 ms, in which all sent requests are served.
func (f *surgeLoad) step() {
	const tick = 10 * ms
	events := make([][]decision.Event, len(f.brokers))
	for _, v := range f.volumes {
		for range poisson(f.random, v.rate*tick.Seconds()) {
			broker := v.brokers[0] // the first broker gets most requests
			if f.random.Float64() < 0.3 {
				broker = v.brokers[f.random.IntN(len(v.brokers))]
			}
			f.lastID++
			ev := f.brokers[broker].arrival(f.lastID, 0, 1, v.name, fmt.Sprint("k", f.lastID), f.units())
			ev.Arrival.Shard, ev.Arrival.Brokers = v.shard, len(v.brokers)
			events[broker] = append(events[broker], ev)
		}
	}
	for broker, h := range f.brokers {
		units := map[uint64]float64{}
		for _, ev := range events[broker] {
			units[ev.ID] = ev.Arrival.Units
		}
		var outcomes []decision.Event
		for _, a := range h.stepAfter(tick, events[broker]...) {
			if a.Kind != decision.Forward {
				continue
			}
			u, ok := units[a.ID]
			if !ok {
				u = h.scheduler.requests.open[a.ID].arrival.Units
			}
			if a.Node == "n0" {
				f.sent = append(f.sent, simSend{h.now, u})
			}
			outcomes = append(outcomes, attemptEnded(a.ID, a.Node, decision.Served))
		}
		h.step(outcomes...)
	}
}

// poisson returns a random number from the Poisson distribution with the given mean.
func poisson(rng *rand.Rand, mean float64) (n int) {
	for limit, p := math.Exp(-mean), rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}

// worstWindow returns the highest load of the node in any window of one second during its slow start, as a fraction
// of its slow-start capacity plus a tolerance for random variation. Both are counted in requests of mean size.
func (f *surgeLoad) worstWindow(started time.Duration) (worst float64) {
	for i, first := range f.sent {
		sum := 0.0
		for _, s := range f.sent[i:] {
			if s.at >= first.at+time.Second || s.at >= started+slowStartDuration {
				break
			}
			sum += s.units
		}
		age := (first.at - started).Seconds()
		n := slowStartUnits / meanUnits * (1 + (1-slowStartFraction)/slowStartFraction*max(0, age)/slowStartDuration.Seconds())
		worst = max(worst, sum/meanUnits/(n+2*math.Sqrt(n)+2))
	}
	return worst
}

// A node restarts with 20 to 30 brokers, while the load of one volume of its shard rises to 18 times or that of
// every volume to three times its rate. In every window, all brokers together keep to the node's slow-start capacity.
func TestBrokersTogetherDoNotOverloadANodeInSlowStartDuringASurge(t *testing.T) {
	for _, brokers := range []int{20, 25, 30} {
		for seed := range uint64(8) {
			f := newSurgeLoad(t, brokers, seed, 20)
			for range 1000 { // 10 s, in which the brokers measure the demand
				f.step()
			}
			f.sent = nil
			started := f.brokers[0].now
			for _, h := range f.brokers {
				h.step(endpointsChanged(decision.Endpoint{Node: "n0", StartedAt: started}))
			}
			for i := range f.volumes {
				switch {
				case seed%2 == 0 && i == 0:
					f.volumes[i].rate *= 18
				case seed%2 == 1:
					f.volumes[i].rate *= 3
				}
			}
			for range 1600 {
				f.step()
			}
			if w := f.worstWindow(started); w > 1 {
				t.Errorf("%d brokers, seed %d: the load of a window is %.2f of the slow-start capacity with its tolerance", brokers, seed, w)
			}
			if len(f.sent) < 20 {
				t.Errorf("%d brokers, seed %d: only %d requests were sent to the node in its slow start, want at least 20", brokers, seed, len(f.sent))
			}
		}
	}
}
