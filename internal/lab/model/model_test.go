package model

import (
	"fmt"
	"math"
	"reflect"
	"runtime/metrics"
	"strings"
	"testing"
	"time"

	"poppyarch/internal/lab/engine"
)

// singleNode is a scenario of one node and one broker, with a mean work of 20 ms.
func singleNode(cores int, rate float64, distribution string) *Scenario {
	return &Scenario{Name: "theory", Brokers: 1, Duration: Duration(4000 * time.Second), WarmUp: Duration(100 * time.Second),
		Nodes: []NodeGroup{{Count: 1, Cores: cores, Speed: 1}}, Load: Load{Rate: rate, Work: Duration(20 * time.Millisecond), Distribution: distribution, Sigma: 1}}
}

// erlangC returns the probability that a request waits, for c cores and an offered load of a erlangs.
func erlangC(c int, a float64) float64 {
	sum, term := 0.0, 1.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	last := term * float64(c) / (float64(c) - a)
	return last / (sum + last)
}

// Mean response times match the closed forms of queueing theory for M/M/1, M/M/c, M/D/1 and M/G/1
// (Pollaczek-Khinchine), and Little's law holds in each. The test allows twice the 95 % confidence interval, which may
// miss the true mean by chance.
func TestMatchesQueueingTheory(t *testing.T) {
	work := 0.02
	for name, x := range map[string]struct {
		s    *Scenario
		want float64 // mean response time in seconds
	}{
		"M/M/1": {singleNode(1, 35, "exponential"), work / (1 - 0.7)},
		"M/M/4": {singleNode(4, 160, "exponential"), work + erlangC(4, 3.2)*work/(4-3.2)},
		"M/D/1": {singleNode(1, 35, "constant"), work + 0.7*work/(2*(1-0.7))},
		// The second moment of the service time is the square of its mean times e^(sigma^2), and sigma is 1.
		"M/G/1": {singleNode(1, 25, "lognormal"), work + 25*work*work*math.E/(2*(1-0.5))},
	} {
		r, err := Run(x.s, "random", 3)
		if err != nil {
			t.Fatal(err)
		}
		if miss := math.Abs(r.ResponseTime.Mean - x.want); miss > 2*r.ResponseTime.HalfWidth || r.ResponseTime.HalfWidth > 0.15*x.want {
			t.Errorf("%s: mean response time %v, theory %.4g", name, r.ResponseTime, x.want)
		}
		if l := r.ServedRate.Mean * r.ResponseTime.Mean; math.Abs(l-r.InSystem.Mean) > 0.01*l {
			t.Errorf("%s: %.4g requests in the system, %.4g by Little's law", name, r.InSystem.Mean, l)
		}
	}
}

// Two runs with the same seed have equal results, and every design receives the same requests.
func TestRunsAreDeterministic(t *testing.T) {
	s := &Scenario{Brokers: 7, Duration: Duration(20 * time.Second), Nodes: []NodeGroup{{Count: 12, Cores: 2, Speed: 0.9, QueueCapacity: 20}},
		Load:    Load{Rate: 800, Work: Duration(20 * time.Millisecond), Distribution: "exponential", Deadline: Duration(time.Second)},
		Service: Service{DropsCancelled: true},
		Faults:  []Fault{{Kind: "pause", Probability: 1, MeanInterval: Duration(5 * time.Second), Duration: Duration(100 * time.Millisecond)}, {Kind: "silence", Probability: 0.2, MeanInterval: Duration(9 * time.Second), Duration: Duration(3 * time.Second)}}}
	for _, d := range Designs() {
		a, err := Run(s, d, 5)
		b, _ := Run(s, d, 5)
		c, _ := Run(s, "random", 5)
		if err != nil || !reflect.DeepEqual(a, b) {
			t.Errorf("%s: error %v, or two runs with the same seed differ", d, err)
		}
		if a.Requests != c.Requests || a.ArrivalRate != c.ArrivalRate {
			t.Errorf("%s: %d requests, %v per second; random: %d, %v", d, a.Requests, a.ArrivalRate, c.Requests, c.ArrivalRate)
		}
		if a.Rejected+a.Failed == 0 || len(a.ViolationCounts) > 0 || a.IgnoredForwards > 0 {
			t.Errorf("%s: no request was refused, or rules were violated, or forwards were ignored: %+v", d, a)
		}
	}
}

// A pause delays the completion of jobs in service, and the start of jobs that arrive during it, by what is left of it
// and only once.
func TestPauseDelaysJobsOnce(t *testing.T) {
	e := engine.New(1)
	n := &Node{Cores: 1, Speed: 1, e: e, addInSystem: func(float64) {}}
	var completions []int64
	enqueue := func(at int64) {
		e.At(at, func() { n.Enqueue(&Job{Work: 100, done: func() { completions = append(completions, e.Now()) }}) })
	}
	enqueue(0)                           // half of its 100 us of work are done before the pause
	e.At(50, func() { n.Pause(1000) })   // until 1050
	enqueue(500)                         // queued behind the first
	enqueue(2000)                        // outside of pauses
	e.At(3000, func() { n.Pause(1000) }) // until 4000
	enqueue(3900)                        // 100 us before the end of the pause
	e.Run(10_000)
	if want := []int64{1100, 1200, 2100, 4100}; !reflect.DeepEqual(completions, want) {
		t.Errorf("jobs completed at %v, want %v", completions, want)
	}
}

// An error about an invalid scenario names the key of the invalid value.
func TestInvalidScenarioNamesKey(t *testing.T) {
	for key, invalidate := range map[string]func(*Scenario){
		"load.rate": func(s *Scenario) { s.Load.Rate = 0 }, "load.spread": func(s *Scenario) { s.Load.Distribution = "x" },
		"nodes[0].cores": func(s *Scenario) { s.Nodes[0].Cores = 0 }, "warm": func(s *Scenario) { s.WarmUp = s.Duration },
		"trouble[0].every": func(s *Scenario) { s.Faults = []Fault{{Kind: "pause", Probability: 1, MeanInterval: 1, Duration: 2}} },
	} {
		s := singleNode(1, 1, "constant")
		invalidate(s)
		if _, err := Run(s, "random", 1); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("error %v does not name the key %s", err, key)
		}
	}
	if _, err := Run(singleNode(1, 1, "constant"), "best", 1); err == nil || !strings.Contains(err.Error(), "best") {
		t.Errorf("error %v does not name the unknown design best", err)
	}
}

// firstIfShort returns the first of the sizes of a benchmark with -short, otherwise all.
func firstIfShort[T any](sizes []T) []T {
	if testing.Short() {
		return sizes[:1]
	}
	return sizes
}

// BenchmarkPlay measures events per second on one core by the number of nodes. The load is proportional to it, and
// there is one broker for 100 nodes.
func BenchmarkPlay(b *testing.B) {
	for _, nodes := range firstIfShort([]int{10, 100, 1000, 10_000}) {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			s := &Scenario{Brokers: max(nodes/100, 1), Duration: Duration(time.Duration(2_000_000/nodes) * time.Millisecond), Nodes: []NodeGroup{{Count: nodes, Cores: 2, Speed: 1}},
				Load: Load{Rate: 28 * float64(nodes), Work: Duration(50 * time.Millisecond), Distribution: "exponential"}}
			events := uint64(0)
			for range b.N {
				r, err := Run(s, "two", 1)
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

// BenchmarkMemory measures the peak heap size of a run. It should grow with nodes, brokers and open requests, but not
// with the duration of the run.
func BenchmarkMemory(b *testing.B) {
	type size struct{ nodes, brokers, seconds int }
	for _, size := range firstIfShort([]size{{100, 10, 4}, {100, 10, 16}, {1000, 100, 4}, {1000, 1000, 4}, {10_000, 1000, 2}}) {
		b.Run(fmt.Sprintf("nodes=%d/brokers=%d/seconds=%d", size.nodes, size.brokers, size.seconds), func(b *testing.B) {
			s := &Scenario{Brokers: size.brokers, Duration: Duration(time.Duration(size.seconds) * time.Second), Nodes: []NodeGroup{{Count: size.nodes, Cores: 2, Speed: 1}},
				Load: Load{Rate: 28 * float64(size.nodes), Work: Duration(50 * time.Millisecond), Distribution: "exponential"}}
			peak := uint64(0)
			events := uint64(0)
			for range b.N {
				stop, done := make(chan struct{}), make(chan struct{})
				go func() {
					defer close(done)
					sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
					for {
						metrics.Read(sample)
						peak = max(peak, sample[0].Value.Uint64())
						select {
						case <-stop:
							return
						case <-time.After(5 * time.Millisecond):
						}
					}
				}()
				r, err := Run(s, "two", 1)
				close(stop)
				<-done
				if err != nil {
					b.Fatal(err)
				}
				events += r.Events
			}
			b.ReportMetric(float64(peak)/(1<<20), "MB-most")
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// faultScenario is a small scenario that uses every feature of the model, with the given faults.
func faultScenario(faults ...Fault) *Scenario {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return &Scenario{Name: "fleet", Brokers: 8, Zones: 2, Duration: ms(12_000), Nodes: []NodeGroup{{8, 2, 0.95, 30}, {4, 2, 0.6, 30}},
		Service:   Service{MaxConnections: 60, Handshake: ms(4), CachedKeys: 2, CacheHitSaving: 0.4, DeferredWriteFraction: 0.3, FlushInterval: ms(2000)},
		SlowStart: SlowStart{InitialCapacity: 0.2, Duration: ms(8000), OverloadFactor: 3, Window: ms(1000)}, Link: Link{Delay: 500, Jitter: 500, Handshake: 1000, IdleTimeout: ms(5000)},
		Discovery: Discovery{CallRate: 50, Timeout: ms(2000), Delay: ms(300)},
		Load:      Load{Rate: 200, Work: ms(52), Distribution: "lognormal", Sigma: 0.3, RetryFraction: 0.4, RereadFraction: 0.3, PrimaryShiftInterval: ms(5000), ZipfExponent: 0.8},
		Classes: []Class{{Name: "read", Share: 0.65, WorkFactor: 0.8, LatencyObjective: ms(400), Deadline: ms(2500), PriorityWeight: 2, LateValue: 0.1, Idempotency: "always"},
			{Name: "new", Share: 0.35, WorkFactor: 1.4, LatencyObjective: ms(600), Deadline: ms(5000), PriorityWeight: 2, LateValue: 0.1, Idempotency: "never", Writes: true}},
		Plans: []Plan{{Name: "basis", Volumes: 40, RelativeRate: 1, ReservedRate: 0.3, Weight: 1, PriceFactor: 0.8, BrokerRange: [2]int{1, 3}, NodeRange: [2]int{1, 4}, BusyFraction: 0.2, SurgeFraction: 0.1},
			{Name: "express", Volumes: 30, RelativeRate: 2, ReservedRate: 1.2, Weight: 3, PriceFactor: 1.5, BrokerRange: [2]int{1, 3}, NodeRange: [2]int{1, 4}, RateLimit: 4}},
		Rules: Rules{MaxAttempts: 3, ResponseGrace: ms(50), BurstValueFactor: 0.3, ExcessValueFactor: 0.08, NotificationDeadline: ms(10_000)}, Faults: faults}
}

// The module keeps every rule under each kind of fault, and under all kinds at the same time. Runs are deterministic,
// and at least 9 kinds of faults reduce the service.
func TestModuleKeepsRulesUnderFaults(t *testing.T) {
	s := func(n float64) Duration { return Duration(n * float64(time.Second)) }
	var all []Fault
	for _, kind := range FaultKinds() {
		x := Fault{Kind: kind, Probability: 0.5, StartsAt: s(3), Duration: s(2.5), StartSpread: s(1)}
		if faultHasFactor[kind] {
			x.Factor = map[string]float64{"slow": 0.3, "hot": 6, "load": 1.8, "late": 4, "lossy": 0.5, "error": 0.5}[kind]
		}
		all = append(all, x)
	}
	baseline, err := Run(faultScenario(), "module", 1)
	if err != nil || baseline.ServedValueRatio < 0.9 || baseline.Requests < 2000 {
		t.Fatalf("run without faults: error %v, result %+v", err, baseline)
	}
	harmful := 0
	for _, list := range append([][]Fault{all}, oneEach(all)...) {
		name := list[0].Kind
		if len(list) > 1 {
			name = "all"
		}
		r, err := Run(faultScenario(list...), "module", 1)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(r.ViolationCounts) > 0 || r.IgnoredForwards > 0 || r.ClientTimeouts > 0 && name != "broker" {
			t.Errorf("%s: violated rules: %v%v, %d ignored forwards, %d clients gave up", name, r.ViolationSummary(), r.Violations, r.IgnoredForwards, r.ClientTimeouts)
		}
		if r.ServedValueRatio < baseline.ServedValueRatio-0.005 {
			harmful++
		}
		if again, _ := Run(faultScenario(list...), "module", 1); !reflect.DeepEqual(r, again) {
			t.Errorf("%s: two runs with the same seed differ", name)
		}
	}
	if harmful < 9 {
		t.Errorf("only %d kinds of faults reduced the service, want at least 9", harmful)
	}
}

// oneEach returns a list of one fault for each of the faults.
func oneEach(all []Fault) (out [][]Fault) {
	for _, x := range all {
		out = append(out, []Fault{x})
	}
	return out
}

// The simulation distinguishes designs: the random design overloads nodes in slow start, which the checker reports, and
// the oracle, which sees the true state of all nodes, has the best service.
func TestSimulationDistinguishesDesigns(t *testing.T) {
	s := faultScenario(Fault{Kind: "replace", Probability: 0.7, StartsAt: Duration(2 * time.Second), Duration: Duration(2 * time.Second), StartSpread: Duration(time.Second)})
	s.Load.Rate = 320
	got := map[string]*Result{}
	for _, d := range Designs() {
		r, err := Run(s, d, 2)
		if err != nil {
			t.Fatal(err)
		}
		got[d] = r
	}
	if got["random"].Overloads == 0 || got["random"].ViolationCounts["cold"] == 0 {
		t.Errorf("random overloaded no node in slow start, or the checker did not report it: %+v", got["random"])
	}
	for _, d := range []string{"module", "oracle"} {
		if got[d].Overloads > 0 || len(got[d].ViolationCounts) > 0 || got[d].ServedValueRatio < got["random"].ServedValueRatio {
			t.Errorf("%s overloaded nodes, violated rules or had less service than random: %+v", d, got[d])
		}
	}
	for d, r := range got {
		if r.ServedValueRatio > got["oracle"].ServedValueRatio+0.01 {
			t.Errorf("%s has service %.3f, better than the oracle's %.3f", d, r.ServedValueRatio, got["oracle"].ServedValueRatio)
		}
	}
}
