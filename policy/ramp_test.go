package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// fleetLoad drives many hosts at once over the same nodes: volumes that come through a few hosts each, one of which surges.
type fleetLoad struct {
	rigs    []*rig
	rng     *rand.Rand
	volumes []fleetVolume
	id      uint64
	sent    []coldSend // to the node that is cold
}

type fleetVolume struct {
	name  string
	hosts []int
	rate  float64 // requests a second over all its hosts
	shard int
}

type coldSend struct {
	at    time.Duration
	units float64
}

const (
	rampNodes = 12
	rampWarm  = 15 * time.Second
	rampFrom  = 0.18
	rampUnits = 13
)

func newFleetLoad(t *testing.T, hosts int, seed uint64, perNode float64) *fleetLoad {
	f := &fleetLoad{rng: rand.New(rand.NewPCG(seed, 3))}
	for i := range hosts {
		cfg := testConfig()
		cfg.Brokers, cfg.Seed = hosts, seed*1000+uint64(i)
		cfg.ColdCapacityUnits, cfg.SlowStartFraction, cfg.SlowStartDuration, cfg.OverloadWindow = rampUnits, rampFrom, rampWarm, time.Second
		cfg.MeanUnits, cfg.MaxUnits = 2.16, 8
		f.rigs = append(f.rigs, newRig(t, cfg, fleetOf(rampNodes)...))
	}
	for i := range 6 * rampNodes {
		v := fleetVolume{name: fmt.Sprint("v", i), rate: perNode / 6, shard: i % rampNodes}
		for range 1 + f.rng.IntN(3) {
			v.hosts = append(v.hosts, f.rng.IntN(hosts))
		}
		f.volumes = append(f.volumes, v)
	}
	return f
}

// units draws a request's size as the platform's are: one to eight, 2.16 in the mean.
func (f *fleetLoad) units() float64 { return math.Min(8, 1+math.Floor(f.rng.ExpFloat64()*1.45)) }

// step plays one hundredth of a second. Every answer comes within the next.
func (f *fleetLoad) step() {
	const tick = 10 * ms
	events := make([][]decision.Event, len(f.rigs))
	for _, v := range f.volumes {
		for range poisson(f.rng, v.rate*tick.Seconds()) {
			h := v.hosts[0] // the lead takes most
			if f.rng.Float64() < 0.3 {
				h = v.hosts[f.rng.IntN(len(v.hosts))]
			}
			f.id++
			ev := f.rigs[h].arrive(f.id, 0, 1, v.name, fmt.Sprint("k", f.id), f.units())
			ev.Arrival.Shard, ev.Arrival.Brokers = v.shard, len(v.hosts)
			events[h] = append(events[h], ev)
		}
	}
	for h, r := range f.rigs {
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
				u = r.s.requests.open[a.ID].arrival.Units
			}
			if a.Node == "n0" {
				f.sent = append(f.sent, coldSend{r.now, u})
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

// worst is the highest part of what a cold node bears for sure, with the slack for chance, that any window of a second got
// before it was warm at the latest. Both are counted in requests of mean work.
func (f *fleetLoad) worst(started time.Duration) (worst float64) {
	for i, first := range f.sent {
		sum := 0.0
		for _, s := range f.sent[i:] {
			if s.at >= first.at+time.Second || s.at >= started+rampWarm {
				break
			}
			sum += s.units
		}
		age := (first.at - started).Seconds()
		n := rampUnits / 2.16 * (1 + (1-rampFrom)/rampFrom*max(0, age)/rampWarm.Seconds())
		worst = max(worst, sum/2.16/(n+2*math.Sqrt(n)+2))
	}
	return worst
}

// A node comes back cold under twenty to thirty hosts, just when a volume of its shard asks for many times its rate or every
// volume for three times its own. What all hosts send it together stays under what it bears, in every window.
func TestColdNodeUnderTheSumOfManyHosts(t *testing.T) {
	for _, hosts := range []int{20, 25, 30} {
		for seed := range uint64(8) {
			f := newFleetLoad(t, hosts, seed, 20)
			for range 1000 { // ten seconds, in which the hosts learn what is asked
				f.step()
			}
			f.sent = nil
			started := f.rigs[0].now
			for _, r := range f.rigs {
				r.step(decision.Event{Kind: decision.EndpointsChanged, Endpoints: []decision.Endpoint{{Node: "n0", StartedAt: started}}})
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
				t.Errorf("%d hosts, seed %d: a window got %.2f of what a cold node bears with its slack", hosts, seed, w)
			}
			if len(f.sent) < 20 {
				t.Errorf("%d hosts, seed %d: only %d requests were tried at it in its ramp", hosts, seed, len(f.sent))
			}
		}
	}
}
