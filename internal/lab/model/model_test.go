package model

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"poppyarch/internal/lab/engine"
)

func one(cores int, rate float64, spread string) *Scenario {
	return &Scenario{Name: "theory", Brokers: 1, Last: Span(4000 * time.Second), Warm: Span(100 * time.Second),
		Nodes: []Kind{{Count: 1, Cores: cores, Speed: 1}}, Load: Load{Rate: rate, Work: Span(20 * time.Millisecond), Spread: spread, Sigma: 1}}
}

// erlang is the chance that a request waits at c cores that are offered a.
func erlang(c int, a float64) float64 {
	sum, term := 0.0, 1.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	last := term * float64(c) / (float64(c) - a)
	return last / (sum + last)
}

// What theory gives in closed form is met within the intervals: M/M/1, M/M/c, M/D/1, M/G/1 (Pollaczek and Khinchine), and Little's law in
// each. A figure at 95 in 100 may miss by chance; by twice its interval none does.
func TestTheory(t *testing.T) {
	work := 0.02
	for name, x := range map[string]struct {
		s    *Scenario
		want float64 // mean time
	}{
		"M/M/1": {one(1, 35, "exponential"), work / (1 - 0.7)},
		"M/M/4": {one(4, 160, "exponential"), work + erlang(4, 3.2)*work/(4-3.2)},
		"M/D/1": {one(1, 35, "constant"), work + 0.7*work/(2*(1-0.7))},
		"M/G/1": {one(1, 25, "lognormal"), work + 25*work*work*math.E/(2*(1-0.5))}, // E(S^2) is the square of the mean times e^sigma^2
	} {
		r, err := Play(x.s, "random", 3)
		if err != nil {
			t.Fatal(err)
		}
		if miss := math.Abs(r.Time.Mean - x.want); miss > 2*r.Time.Half || r.Time.Half > 0.15*x.want {
			t.Errorf("%s: time %v, theory %.4g", name, r.Time, x.want)
		}
		if l := r.Served.Mean * r.Time.Mean; math.Abs(l-r.Inside.Mean) > 0.01*l {
			t.Errorf("%s: %.4g requests inside, Little %.4g", name, r.Inside.Mean, l)
		}
	}
}

// The same seed gives the same run to the last figure, and other designs the same clients.
func TestRunsRepeat(t *testing.T) {
	s := &Scenario{Brokers: 7, Last: Span(20 * time.Second), Nodes: []Kind{{Count: 12, Cores: 2, Speed: 0.9, Room: 20}},
		Load:    Load{Rate: 800, Work: Span(20 * time.Millisecond), Spread: "exponential", Patience: Span(time.Second)},
		Trouble: []Pauses{{"pause", 1, Span(5 * time.Second), Span(100 * time.Millisecond)}, {"silence", 0.2, Span(9 * time.Second), Span(3 * time.Second)}}}
	for _, d := range Designs() {
		a, err := Play(s, d, 5)
		b, _ := Play(s, d, 5)
		c, _ := Play(s, "random", 5)
		if err != nil || !reflect.DeepEqual(a, b) {
			t.Errorf("%s: %v, two runs differ", d, err)
		}
		if a.Requests != c.Requests || a.Asked != c.Asked {
			t.Errorf("%s met other clients than random did", d)
		}
		if a.GivenUp == 0 || a.Full+a.GivenUp > a.Requests {
			t.Errorf("%s: %+v", d, a)
		}
	}
}

// A pause puts off the end of what is under way and the beginning of what comes in it by what is left of it, once.
func TestPausesPutOffOnce(t *testing.T) {
	e := engine.New(1)
	n := &Node{Cores: 1, Speed: 1, e: e, level: func(float64) {}}
	var ends []int64
	take := func(at int64) {
		e.At(at, func() { n.Take(&Work{Size: 100, done: func() { ends = append(ends, e.Now()) }}) })
	}
	take(0)                              // 100 of work, 50 before the pause
	e.At(50, func() { n.Pause(1000) })   // to 1050
	take(500)                            // behind it
	take(2000)                           // long after
	e.At(3000, func() { n.Pause(1000) }) // to 4000
	take(3900)                           // begins with 100 of it left
	e.Run(10_000)
	if want := []int64{1100, 1200, 2100, 4100}; !reflect.DeepEqual(ends, want) {
		t.Errorf("ends at %v, want %v", ends, want)
	}
}

// Figures that cannot be are refused by their keys.
func TestScenarioNamesTheKey(t *testing.T) {
	for key, spoil := range map[string]func(*Scenario){
		"load.rate": func(s *Scenario) { s.Load.Rate = 0 }, "load.spread": func(s *Scenario) { s.Load.Spread = "x" },
		"nodes[0].cores": func(s *Scenario) { s.Nodes[0].Cores = 0 }, "warm": func(s *Scenario) { s.Warm = s.Last },
		"trouble[0].every": func(s *Scenario) { s.Trouble = []Pauses{{"pause", 1, 1, 2}} },
	} {
		s := one(1, 1, "constant")
		spoil(s)
		if _, err := Play(s, "random", 1); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
	if _, err := Play(one(1, 1, "constant"), "best", 1); err == nil || !strings.Contains(err.Error(), "best") {
		t.Error(err)
	}
}

// BenchmarkPlay is events a second on one core as the fleet grows; the load grows with it, a hundredth as many brokers as nodes.
func BenchmarkPlay(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			s := &Scenario{Brokers: max(nodes/100, 1), Last: Span(time.Duration(2_000_000/nodes) * time.Millisecond), Nodes: []Kind{{Count: nodes, Cores: 2, Speed: 1}},
				Load: Load{Rate: 28 * float64(nodes), Work: Span(50 * time.Millisecond), Spread: "exponential"}}
			events := uint64(0)
			for range b.N {
				r, err := Play(s, "two", 1)
				if err != nil {
					b.Fatal(err)
				}
				events += r.Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
			b.ReportAllocs()
		})
	}
}
