package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// surgeLoad drives many brokers over the same nodes. Each volume uses a few brokers, and volumes may surge.
type surgeLoad struct {
	brokers []*rig
	random  *rand.Rand
	volumes []surgeVolume
	lastID  uint64
	sent    []simSend // to the warming node
}

type surgeVolume struct {
	name    string
	brokers []int
	rate    float64 // requests a second over all its brokers
	shard   int
}

const (
	surgeNodes     = 12
	warmUp         = 15 * time.Second
	warmUpFraction = 0.18
	warmingUnits   = 13   // what a node that has just started bears in a second
	meanUnits      = 2.16 // of a request
)

func newSurgeLoad(t *testing.T, brokers int, seed uint64, perNode float64) *surgeLoad {
	t.Helper()
	f := &surgeLoad{random: rand.New(rand.NewPCG(seed, 3))}
	for i := range brokers {
		cfg := testConfig()
		cfg.Brokers = brokers
		cfg.Seed = seed*1000 + uint64(i)
		cfg.SlowStartCapacityUnits = warmingUnits
		cfg.SlowStartFraction = warmUpFraction
		cfg.SlowStartDuration = warmUp
		cfg.OverloadWindow = time.Second
		cfg.MeanUnits = meanUnits
		cfg.MaxUnits = 8
		f.brokers = append(f.brokers, newRig(t, cfg, fleetOf(surgeNodes)...))
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

// units draws a request's size: one to eight, meanUnits in the mean.
func (f *surgeLoad) units() float64 { return math.Min(8, 1+math.Floor(f.random.ExpFloat64()*1.45)) }

// step plays one hundredth of a second and answers what is sent in it.
func (f *surgeLoad) step() {
	const tick = 10 * ms
	events := make([][]decision.Event, len(f.brokers))
	for _, v := range f.volumes {
		for range poisson(f.random, v.rate*tick.Seconds()) {
			h := v.brokers[0] // the first broker gets most requests
			if f.random.Float64() < 0.3 {
				h = v.brokers[f.random.IntN(len(v.brokers))]
			}
			f.lastID++
			ev := f.brokers[h].arrive(f.lastID, 0, 1, v.name, fmt.Sprint("k", f.lastID), f.units())
			ev.Arrival.Shard, ev.Arrival.Brokers = v.shard, len(v.brokers)
			events[h] = append(events[h], ev)
		}
	}
	for h, r := range f.brokers {
		units := map[uint64]float64{}
		for _, ev := range events[h] {
			units[ev.ID] = ev.Arrival.Units
		}
		var answers []decision.Event
		for _, a := range r.after(tick, events[h]...) {
			if a.Kind != decision.Forward {
				continue
			}
			u, ok := units[a.ID]
			if !ok {
				u = r.scheduler.requests.open[a.ID].arrival.Units
			}
			if a.Node == "n0" {
				f.sent = append(f.sent, simSend{r.now, u})
			}
			answers = append(answers, answered(a.ID, a.Node, decision.Served))
		}
		r.step(answers...)
	}
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for limit, p := math.Exp(-mean), rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}

// worst is the highest part of what the warming node bears, with a tolerance for chance, that any window of a
// second got during the slow start. Both are counted in requests of mean size.
func (f *surgeLoad) worst(started time.Duration) (worst float64) {
	for i, first := range f.sent {
		sum := 0.0
		for _, s := range f.sent[i:] {
			if s.at >= first.at+time.Second || s.at >= started+warmUp {
				break
			}
			sum += s.units
		}
		age := (first.at - started).Seconds()
		n := warmingUnits / meanUnits * (1 + (1-warmUpFraction)/warmUpFraction*max(0, age)/warmUp.Seconds())
		worst = max(worst, sum/meanUnits/(n+2*math.Sqrt(n)+2))
	}
	return worst
}

// A node restarts under twenty to thirty brokers, just when a volume of its shard asks for many times its rate or
// every volume for three times its own. What all brokers send stays within what the node bears, in every window.
func TestBrokersTogetherDoNotOverloadAWarmingNodeInASurge(t *testing.T) {
	for _, brokers := range []int{20, 25, 30} {
		for seed := range uint64(8) {
			f := newSurgeLoad(t, brokers, seed, 20)
			for range 1000 { // ten seconds, in which the brokers learn the demand
				f.step()
			}
			f.sent = nil
			started := f.brokers[0].now
			for _, r := range f.brokers {
				r.step(endpointsChanged(decision.Endpoint{Node: "n0", StartedAt: started}))
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
			if w := f.worst(started); w > 1 {
				t.Errorf("%d brokers, seed %d: a window got %.2f of what a warming node bears with its tolerance", brokers, seed, w)
			}
			if len(f.sent) < 20 {
				t.Errorf("%d brokers, seed %d: only %d requests were sent to it in its slow start", brokers, seed, len(f.sent))
			}
		}
	}
}
