// Package fit derives a scenario from the records of brokers: request rate, classes, plans, the numbers of brokers and
// nodes, and the distribution of the nodes' service time. What records do not contain is set to a default and listed
// in a note.
package fit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/lab/model"
	"poppyarch/internal/timing/clock"
)

// Work is the distribution of the nodes' service time, fitted to attempts that overlapped no other recorded attempt at
// their node.
type Work struct {
	Distribution   string  // as in a scenario
	Mean           float64 // microseconds
	Sigma          float64 // of a lognormal distribution
	Distance       float64 // Kolmogorov-Smirnov distance between the fitted and the observed distribution, 0 to 1
	Samples        int     // attempts that it was fitted to
	ServedAttempts int     // all, overlapping ones included
}

// nodeAttempt is the time that an attempt spent at a node.
type nodeAttempt struct {
	from, to clock.Micros
	request  *Request
	served   bool
}

// serviceTime is the duration of an attempt that overlapped no other at its node. Long attempts are underrepresented:
// if attempts arrive at random at a given rate, one of duration x overlaps none with probability exp(-rate x). The
// weight corrects for that.
type serviceTime struct {
	micros, weight float64
	class          int
}

// maxWeight limits the weight of a single service time.
const maxWeight = 20

// serviceTimes returns the durations of served attempts that overlapped no other attempt at their node, and the number
// of all served attempts. The duration of an overlapping attempt includes time in the node's queue.
func (t *Trace) serviceTimes() (times []serviceTime, servedAttempts int) {
	span := max(float64(t.Requests[len(t.Requests)-1].At-t.Requests[0].At), 1) // microseconds
	nodes := map[string][]nodeAttempt{}
	for i := range t.Requests {
		q := &t.Requests[i]
		for _, a := range q.Attempts {
			from := q.At + a.SentAfter
			nodes[a.Node] = append(nodes[a.Node], nodeAttempt{from, from + a.Duration, q, decision.Outcome(a.Outcome) == decision.Served})
		}
	}
	names := make([]string, 0, len(nodes))
	for n := range nodes {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		list := nodes[n]
		slices.SortFunc(list, func(a, b nodeAttempt) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) })
		rate := float64(len(list)) / span        // attempts per microsecond
		busyUntil := clock.Micros(math.MinInt64) // latest end of the attempts that started earlier
		for i, s := range list {
			if s.served {
				servedAttempts++
				if s.from >= busyUntil && (i+1 == len(list) || list[i+1].from >= s.to) && s.to > s.from {
					x := float64(s.to - s.from)
					times = append(times, serviceTime{x, min(math.Exp(rate*x), maxWeight), int(s.request.Class)})
				}
			}
			busyUntil = max(busyUntil, s.to)
		}
	}
	return times, servedAttempts
}

// minSamples is the smallest number of service times that a distribution is fitted to.
const minSamples = 30

// fitWork fits the distributions that a scenario supports and selects one by the Akaike information criterion, which
// penalises each parameter of a distribution.
func fitWork(times []serviceTime) (Work, error) {
	if len(times) < minSamples {
		return Work{}, fmt.Errorf("only %d attempts overlapped no other at their node, at least %d are needed to tell service time from time in queues", len(times), minSamples)
	}
	slices.SortFunc(times, func(a, b serviceTime) int { return cmp.Compare(a.micros, b.micros) })
	xs, logs, weights, total := make([]float64, len(times)), make([]float64, len(times)), make([]float64, len(times)), 0.0
	for i, s := range times {
		xs[i], logs[i], weights[i] = s.micros, math.Log(s.micros), s.weight
		total += s.weight
	}
	mean, dev := stat.MeanStdDev(xs, weights)
	w := Work{Mean: mean, Samples: len(times)}
	if dev < 0.02*mean {
		w.Distribution = "constant"
		return w, nil
	}
	var normal distuv.Normal // of the logarithms
	normal.Fit(logs, weights)
	ln, ex := distuv.LogNormal{Mu: normal.Mu, Sigma: normal.Sigma}, distuv.Exponential{Rate: 1 / mean}
	score := func(logProb func(float64) float64, parameters float64) (sum float64) {
		for i, x := range xs {
			sum += weights[i] * logProb(x)
		}
		return 2*parameters - 2*sum*float64(len(xs))/total
	}
	cdf := ex.CDF
	w.Distribution = "exponential"
	if score(ln.LogProb, 2) < score(ex.LogProb, 1) {
		w.Distribution, w.Sigma, cdf = "lognormal", ln.Sigma, ln.CDF
	}
	cumulative := 0.0
	for i, x := range xs {
		f := cdf(x)
		w.Distance = max(w.Distance, math.Abs(f-cumulative))
		cumulative += weights[i] / total
		w.Distance = max(w.Distance, math.Abs(f-cumulative))
	}
	return w, nil
}

// Scenario returns a scenario fitted to the records, the fitted distribution of work, and notes on what records do not
// contain.
func (t *Trace) Scenario(name string) (*model.Scenario, Work, []string, error) {
	times, servedAttempts := t.serviceTimes()
	// Classes differ in their mean work: each is scaled to the overall mean before one distribution is fitted to all.
	all, means := weightedMean(times, -1), make([]float64, len(t.Classes))
	for k := range means {
		if means[k] = weightedMean(times, k); means[k] == 0 {
			means[k] = all
		}
	}
	var scaled []serviceTime
	for _, s := range times {
		if s.class < len(means) {
			scaled = append(scaled, serviceTime{s.micros * all / means[s.class], s.weight, s.class})
		}
	}
	w, err := fitWork(scaled)
	if err != nil {
		return nil, w, nil, err
	}
	w.ServedAttempts = servedAttempts
	first, last := t.Requests[0].At, t.Requests[len(t.Requests)-1].At
	seconds := float64(last-first) / 1e6
	if seconds < 1 {
		return nil, w, nil, fmt.Errorf("the records span %.3f s, at least 1 s is needed to determine the request rate", seconds)
	}
	s := &model.Scenario{Name: name, Brokers: len(t.Brokers), Duration: model.Duration(40 * time.Second), WarmUp: model.Duration(5 * time.Second)}
	s.Load = model.Load{Rate: round(float64(len(t.Requests)) / seconds / t.SampleFraction), Work: micros(all), Distribution: w.Distribution, Sigma: round(w.Sigma)}
	s.Nodes = []model.NodeGroup{{Count: max(len(t.nodeNames()), 1), Cores: 2, Speed: 1, QueueCapacity: 40}}
	s.Rules = model.Rules{MaxAttempts: 3, DrainGrace: model.Duration(500 * time.Millisecond), ResponseGrace: model.Duration(50 * time.Millisecond), BurstValueFactor: 0.3, ExcessValueFactor: 0.08}
	t.addClasses(s, means, all)
	t.addPlans(s, seconds)
	notes := []string{
		"nodes: cores, speed and room are not recorded; set to 2, 1 and 40",
		"load.rate: a client's retry counts as a request of its own, so load.retry is 0",
		"class: idempotency is not recorded; classes that write are set to never, others to always",
		"plan: reserves and weights are not recorded; everything is reserved, all weights are 1",
		"rules, link, cold and discovery are not recorded",
	}
	if t.SampleFraction < 1 {
		notes = append(notes, fmt.Sprintf("load.rate: 1 in %.3g requests was recorded; the rate is scaled up, volumes without a recorded request are missing", 1/t.SampleFraction))
	}
	if w.Distance > 0.1 {
		notes = append(notes, fmt.Sprintf("load.spread: no supported distribution fits the recorded service times well (Kolmogorov-Smirnov distance %.2f)", w.Distance))
	}
	if err := s.Check(); err != nil {
		return nil, w, nil, fmt.Errorf("the fitted scenario is invalid: %w", err)
	}
	return s, w, notes, nil
}

// weightedMean returns the weighted mean service time of a class, or of all classes if class is -1. It returns 0 if
// there are no service times.
func weightedMean(times []serviceTime, class int) float64 {
	sum, total := 0.0, 0.0
	for _, s := range times {
		if class < 0 || s.class == class {
			sum, total = sum+s.weight*s.micros, total+s.weight
		}
	}
	if total == 0 {
		return 0
	}
	return sum / total
}

// round rounds to four decimal places.
func round(v float64) float64 { return math.Round(v*1e4) / 1e4 }

func micros(v float64) model.Duration {
	return model.Duration(time.Duration(math.Round(v)) * time.Microsecond)
}

func (t *Trace) nodeNames() map[string]bool {
	out := map[string]bool{}
	for i := range t.Requests {
		for _, a := range t.Requests[i].Attempts {
			out[a.Node] = true
		}
	}
	return out
}

// addClasses adds the classes with their share of the requests, latency objective and priority. A class of which most
// requests name no shard is taken to write new objects.
func (t *Trace) addClasses(s *model.Scenario, means []float64, all float64) {
	count, withoutShard := make([]int, len(t.Classes)), make([]int, len(t.Classes))
	for i := range t.Requests {
		if q := &t.Requests[i]; int(q.Class) < len(count) {
			count[q.Class]++
			if q.Shard < 0 {
				withoutShard[q.Class]++
			}
		}
	}
	for k, c := range t.Classes {
		if count[k] == 0 {
			continue
		}
		x := model.Class{Name: c.Name, Share: round(float64(count[k]) / float64(len(t.Requests))), WorkFactor: round(means[k] / all), LatencyObjective: model.Duration(time.Duration(c.LatencyObjective) * time.Microsecond),
			Deadline: model.Duration(time.Duration(max(c.Deadline, c.LatencyObjective)) * time.Microsecond), PriorityWeight: c.PriorityWeight, LateValue: 0.15, Idempotency: "always"}
		if 2*withoutShard[k] > count[k] {
			x.Writes, x.Idempotency = true, "never"
		}
		s.Classes = append(s.Classes, x)
	}
}

// addPlans adds the plans with the number of their volumes, the relative size of a volume, and the ranges of brokers
// and shards that a volume uses.
func (t *Trace) addPlans(s *model.Scenario, seconds float64) {
	type volume struct {
		plan    uint8
		count   int
		brokers map[string]bool
		shards  map[int64]bool
	}
	volumes := map[string]*volume{}
	for i := range t.Requests {
		q := &t.Requests[i]
		v := volumes[q.Volume]
		if v == nil {
			v = &volume{plan: q.Plan, brokers: map[string]bool{}, shards: map[int64]bool{}}
			volumes[q.Volume] = v
		}
		v.count++
		v.brokers[q.Broker] = true
		if q.Shard >= 0 {
			v.shards[q.Shard] = true
		}
	}
	smallest := math.Inf(1)
	var sizes []float64
	for k, p := range t.Plans {
		x := model.Plan{Name: p.Name, ReservedRate: 1, Weight: 1, PriceFactor: p.PriceFactor, BrokerRange: [2]int{math.MaxInt, 1}, NodeRange: [2]int{math.MaxInt, 1}}
		total := 0
		for _, v := range volumes {
			if int(v.plan) != k {
				continue
			}
			x.Volumes++
			total += v.count
			x.BrokerRange = [2]int{min(x.BrokerRange[0], len(v.brokers)), max(x.BrokerRange[1], len(v.brokers))}
			x.NodeRange = [2]int{min(x.NodeRange[0], max(len(v.shards), 1)), max(x.NodeRange[1], len(v.shards))}
		}
		if x.Volumes == 0 {
			continue
		}
		rate := float64(total) / float64(x.Volumes) / seconds
		smallest = min(smallest, rate)
		sizes, s.Plans = append(sizes, rate), append(s.Plans, x)
	}
	for i := range s.Plans {
		s.Plans[i].RelativeRate = round(sizes[i] / smallest)
	}
}
