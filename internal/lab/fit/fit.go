// Package fit makes a scenario of what brokers have recorded: how much came, of which classes and plans, through how many brokers to how many
// nodes, and how long nodes worked on it. What records do not tell is left at a figure that says so.
package fit

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/lab/model"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// Trace is the requests of one or several brokers, on the wall clock.
type Trace struct {
	Classes []record.Class
	Plans   []record.Plan
	Brokers map[string]bool
	Asked   []Request
	Sampled float64 // least part that was recorded one by one
	Faults  []string
}

// Request is one with its broker.
type Request struct {
	At     clock.Micros
	Broker string
	record.Request
}

// Read reads all segments under folders; a path may also be a single segment. What cannot be read is told and skipped.
func Read(paths ...string) (*Trace, error) {
	t := &Trace{Brokers: map[string]bool{}, Sampled: 1}
	seen := map[string]bool{} // frames: copies count once
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			t.file(path, seen)
			continue
		}
		err = filepath.WalkDir(path, func(at string, d os.DirEntry, err error) error {
			if err != nil {
				t.Faults = append(t.Faults, err.Error())
			} else if !d.IsDir() && filepath.Ext(at) == ".seg" {
				t.file(at, seen)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	if len(t.Asked) == 0 {
		return nil, errors.New("no request in these records (do the brokers record them one by one?)")
	}
	slices.SortFunc(t.Asked, func(a, b Request) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Broker, b.Broker)) })
	return t, nil
}

func (t *Trace) file(path string, seen map[string]bool) {
	b, err := os.ReadFile(path)
	if err != nil {
		t.Faults = append(t.Faults, err.Error())
		return
	}
	fault := func(err error) { t.Faults = append(t.Faults, fmt.Sprintf("%s: %v", path, err)) }
	name, boot, err := record.DecodeSegment(b, func(record.Part) {})
	if err != nil {
		fault(err)
		return
	}
	var wall, began clock.Micros
	known := false // a boot's first words tell its clock, and come again in each segment
	d := record.NewDecoder()
	var held []Request
	_, _, _ = record.DecodeSegment(b, func(p record.Part) {
		if p.Damaged > 0 {
			fault(fmt.Errorf("%d bytes cannot be read", p.Damaged))
		}
		if p.Last {
			return
		}
		frame := fmt.Sprint(name, "\x00", boot, "\x00", p.Frame.Seq)
		if seen[frame] {
			return
		}
		seen[frame] = true
		d.Reset(p.Frame.Events, p.Frame.BaseTime)
		for {
			var e record.Event
			ok, err := d.Next(&e)
			if err != nil {
				fault(fmt.Errorf("frame %d: %w", p.Frame.Seq, err))
				return
			}
			if !ok {
				return
			}
			switch {
			case e.Incarnation != nil:
				wall, began, known = e.Incarnation.WallClock, e.Incarnation.StartedAt, true
				if t.Classes == nil {
					t.Classes, t.Plans = e.Incarnation.Classes, e.Incarnation.Plans
				} else if !slices.Equal(t.Classes, e.Incarnation.Classes) || !slices.Equal(t.Plans, e.Incarnation.Plans) {
					fault(errors.New("classes or plans other than those read before; its requests count by their numbers"))
				}
				t.Sampled = min(t.Sampled, e.Incarnation.SampleFraction)
			case e.Request != nil:
				q := *e.Request
				q.Attempts = slices.Clone(q.Attempts)
				held = append(held, Request{At: e.At, Broker: name, Request: q})
			}
		}
	})
	if !known && len(held) > 0 {
		fault(errors.New("no boot in it: its clock is not known"))
		return
	}
	for i := range held {
		held[i].At += wall - began
	}
	if len(held) > 0 {
		t.Brokers[name] = true
	}
	t.Asked = append(t.Asked, held...)
}

// Work is how long nodes worked on requests, by what was tried there while no other recorded attempt was.
type Work struct {
	Spread   string // as a scenario names it
	Mean     float64
	Sigma    float64 // of a lognormal one
	Distance float64 // greatest difference of the distributions, 0 to 1 (Kolmogorov and Smirnov)
	N        int     // attempts that it stands on
	Of       int     // of so many that were served
}

// span is an attempt at a node.
type span struct {
	from, to clock.Micros
	of       *Request
	served   bool
}

// stay is one that was alone at its node. Long ones seldom are: where others come by chance at a rate, one of length x is left alone with a chance of
// exp(-rate x), and its weight makes up for that.
type stay struct {
	us, weight float64
	class      int
}

// mostWeight bounds what one stay may stand for.
const mostWeight = 20

// alone are the stays of served attempts during which no other attempt was out at their node: what stands in a queue tells of the queue.
func (t *Trace) alone() (stays []stay, of int) {
	seconds := max(float64(t.Asked[len(t.Asked)-1].At-t.Asked[0].At), 1)
	nodes := map[string][]span{}
	for i := range t.Asked {
		q := &t.Asked[i]
		for _, try := range q.Attempts {
			at := q.At + try.SentAfter
			nodes[try.Node] = append(nodes[try.Node], span{at, at + try.Duration, q, decision.Outcome(try.Outcome) == decision.Served})
		}
	}
	names := make([]string, 0, len(nodes))
	for n := range nodes {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		list := nodes[n]
		slices.SortFunc(list, func(a, b span) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) })
		rate := float64(len(list)) / seconds // a microsecond
		until := clock.Micros(math.MinInt64) // the end of all that began before
		for i, s := range list {
			if s.served {
				of++
				if s.from >= until && (i+1 == len(list) || list[i+1].from >= s.to) && s.to > s.from {
					x := float64(s.to - s.from)
					stays = append(stays, stay{x, min(math.Exp(rate*x), mostWeight), int(s.of.Class)})
				}
			}
			until = max(until, s.to)
		}
	}
	return stays, of
}

// least attempts that a distribution is fitted to.
const least = 30

// fitWork fits the distributions that a scenario knows and takes the likeliest, each figure of a distribution counting against it (Akaike).
func fitWork(stays []stay) (Work, error) {
	if len(stays) < least {
		return Work{}, fmt.Errorf("only %d attempts were alone at their nodes, fewer than %d: how long nodes work cannot be told from queues", len(stays), least)
	}
	slices.SortFunc(stays, func(a, b stay) int { return cmp.Compare(a.us, b.us) })
	xs, logs, weights, total := make([]float64, len(stays)), make([]float64, len(stays)), make([]float64, len(stays)), 0.0
	for i, s := range stays {
		xs[i], logs[i], weights[i] = s.us, math.Log(s.us), s.weight
		total += s.weight
	}
	mean, dev := stat.MeanStdDev(xs, weights)
	w := Work{Mean: mean, N: len(stays)}
	if dev < 0.02*mean {
		w.Spread = "constant"
		return w, nil
	}
	var normal distuv.Normal
	normal.Fit(logs, weights)
	ln, ex := distuv.LogNormal{Mu: normal.Mu, Sigma: normal.Sigma}, distuv.Exponential{Rate: 1 / mean}
	score := func(logProb func(float64) float64, figures float64) (sum float64) {
		for i, x := range xs {
			sum += weights[i] * logProb(x)
		}
		return 2*figures - 2*sum*float64(len(xs))/total
	}
	cdf := ex.CDF
	w.Spread = "exponential"
	if score(ln.LogProb, 2) < score(ex.LogProb, 1) {
		w.Spread, w.Sigma, cdf = "lognormal", ln.Sigma, ln.CDF
	}
	part := 0.0
	for i, x := range xs {
		f := cdf(x)
		w.Distance = max(w.Distance, math.Abs(f-part))
		part += weights[i] / total
		w.Distance = max(w.Distance, math.Abs(f-part))
	}
	return w, nil
}

// Scenario is the scenario, how the work was fitted, and what records do not tell.
func (t *Trace) Scenario(name string) (*model.Scenario, Work, []string, error) {
	stays, of := t.alone()
	// Classes differ in their work: each is brought to the mean of all before one distribution is fitted to them.
	all, means := average(stays, -1), make([]float64, len(t.Classes))
	for k := range means {
		if means[k] = average(stays, k); means[k] == 0 {
			means[k] = all
		}
	}
	var scaled []stay
	for _, s := range stays {
		if s.class < len(means) {
			scaled = append(scaled, stay{s.us * all / means[s.class], s.weight, s.class})
		}
	}
	w, err := fitWork(scaled)
	if err != nil {
		return nil, w, nil, err
	}
	w.Of = of
	first, last := t.Asked[0].At, t.Asked[len(t.Asked)-1].At
	seconds := float64(last-first) / 1e6
	if seconds < 1 {
		return nil, w, nil, fmt.Errorf("the records span %.3f s, less than a second: no rate can be told", seconds)
	}
	s := &model.Scenario{Name: name, Brokers: len(t.Brokers), Duration: model.Duration(40 * time.Second), WarmUp: model.Duration(5 * time.Second)}
	s.Load = model.Load{Rate: round(float64(len(t.Asked)) / seconds / t.Sampled), Work: micros(all), Distribution: w.Spread, Sigma: round(w.Sigma)}
	s.Nodes = []model.NodeGroup{{Count: max(len(t.nodes()), 1), Cores: 2, Speed: 1, QueueCapacity: 40}}
	s.Rules = model.Rules{Attempts: 3, DrainGrace: model.Duration(500 * time.Millisecond), ResponseGrace: model.Duration(50 * time.Millisecond), BurstValue: 0.3, ExcessValue: 0.08}
	t.classes(s, means, all)
	t.plans(s, seconds)
	notes := []string{
		"nodes: cores, speed and room are not recorded; 2, 1 and 40 stand for them",
		"load.rate: a client's second try counts as a request, and load.retry is 0",
		"class: whether a request may be repeated is not recorded; those that write may not",
		"plan: reserves and weights are not recorded; all is reserved, all weights are 1",
		"rules, link, cold and discovery are not recorded",
	}
	if t.Sampled < 1 {
		notes = append(notes, fmt.Sprintf("load.rate: 1 in %.3g requests was recorded; the rate is scaled, volumes that none of them names are missing", 1/t.Sampled))
	}
	if w.Distance > 0.1 {
		notes = append(notes, fmt.Sprintf("load.spread: neither distribution is near what was recorded (they differ by %.2f)", w.Distance))
	}
	if err := s.Check(); err != nil {
		return nil, w, nil, fmt.Errorf("records make no scenario: %w", err)
	}
	return s, w, notes, nil
}

// average is the mean stay of a class, or with -1 of all; 0 where there is none.
func average(stays []stay, class int) float64 {
	sum, total := 0.0, 0.0
	for _, s := range stays {
		if class < 0 || s.class == class {
			sum, total = sum+s.weight*s.us, total+s.weight
		}
	}
	if total == 0 {
		return 0
	}
	return sum / total
}

func round(v float64) float64 { return math.Round(v*1e4) / 1e4 }

func micros(v float64) model.Duration {
	return model.Duration(time.Duration(math.Round(v)) * time.Microsecond)
}

func (t *Trace) nodes() map[string]bool {
	out := map[string]bool{}
	for i := range t.Asked {
		for _, try := range t.Asked[i].Attempts {
			out[try.Node] = true
		}
	}
	return out
}

// classes: shares, aims and worths are told; what asks for no shard writes new objects.
func (t *Trace) classes(s *model.Scenario, means []float64, all float64) {
	count, fresh := make([]int, len(t.Classes)), make([]int, len(t.Classes))
	for i := range t.Asked {
		if q := &t.Asked[i]; int(q.Class) < len(count) {
			count[q.Class]++
			if q.Shard < 0 {
				fresh[q.Class]++
			}
		}
	}
	for k, c := range t.Classes {
		if count[k] == 0 {
			continue
		}
		x := model.Class{Name: c.Name, Share: round(float64(count[k]) / float64(len(t.Asked))), Work: round(means[k] / all), LatencyObjective: model.Duration(time.Duration(c.LatencyObjective) * time.Microsecond),
			Deadline: model.Duration(time.Duration(max(c.Deadline, c.LatencyObjective)) * time.Microsecond), Priority: c.PriorityWeight, LateValue: 0.15, Idempotency: "always"}
		if 2*fresh[k] > count[k] {
			x.Writes, x.Idempotency = true, "never"
		}
		s.Classes = append(s.Classes, x)
	}
}

// plans: how many volumes each has, how large they are, through how many brokers they come and on how many shards they lie.
func (t *Trace) plans(s *model.Scenario, seconds float64) {
	type volume struct {
		plan    uint8
		count   int
		brokers map[string]bool
		shards  map[int64]bool
	}
	volumes := map[string]*volume{}
	for i := range t.Asked {
		q := &t.Asked[i]
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
		x := model.Plan{Name: p.Name, ReservedRate: 1, Weight: 1, Price: p.PriceFactor, Hosts: [2]int{math.MaxInt, 1}, Nodes: [2]int{math.MaxInt, 1}}
		total := 0
		for _, v := range volumes {
			if int(v.plan) != k {
				continue
			}
			x.Volumes++
			total += v.count
			x.Hosts = [2]int{min(x.Hosts[0], len(v.brokers)), max(x.Hosts[1], len(v.brokers))}
			x.Nodes = [2]int{min(x.Nodes[0], max(len(v.shards), 1)), max(x.Nodes[1], len(v.shards))}
		}
		if x.Volumes == 0 {
			continue
		}
		rate := float64(total) / float64(x.Volumes) / seconds
		smallest = min(smallest, rate)
		sizes, s.Plans = append(sizes, rate), append(s.Plans, x)
	}
	for i := range s.Plans {
		s.Plans[i].Size = round(sizes[i] / smallest)
	}
}
