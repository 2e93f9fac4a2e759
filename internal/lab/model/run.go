package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/lab/engine"
	"poppyarch/internal/lab/history"
	"poppyarch/internal/lab/rules"
	"poppyarch/internal/lab/statistics"
	"poppyarch/internal/observability/sketch"
)

// batches is how many parts of a run the intervals are drawn from.
const batches = 20

// Result is what one run showed, after its warming up where a figure says nothing else. Times are seconds.
type Result struct {
	Scenario   string            `json:"scenario"`
	Design     string            `json:"design"`
	Seed       uint64            `json:"seed"`
	Asked      statistics.Figure `json:"asked"`   // requests a second
	Served     statistics.Figure `json:"served"`  // a second
	Time       statistics.Figure `json:"time"`    // from a client's first try to its answer, of those served
	Inside     statistics.Figure `json:"inside"`  // requests at all nodes together
	Service    float64           `json:"service"` // worth earned over worth due, from the first second on
	Reserved   float64           `json:"reserved"`
	Series     []float64         `json:"series"` // service in so many parts of the run
	Median     float64           `json:"median"` // of the time
	P99        float64           `json:"p99"`
	Quantiles  []float64         `json:"quantiles"` // of the time, at those of Quantiles
	Full       int               `json:"full"`      // turned away by a full room
	GivenUp    int               `json:"given_up"`  // by their clients
	Refused    int               `json:"refused"`
	Failed     int               `json:"failed"`
	Late       int               `json:"late"` // served after the aim
	Unheard    int               `json:"unheard"`
	Attempts   int               `json:"attempts"`
	Handshakes int               `json:"handshakes"`
	Calls      int               `json:"calls"`     // of discovery
	Fell       int               `json:"fell"`      // cold nodes
	ColdPeak   float64           `json:"cold_peak"` // most that a cold node got in the window, against what the settings say that any bears, chance included
	ColdSends  int               `json:"cold_sends"`
	MostOpen   int               `json:"most_open"`
	Moot       int               `json:"moot"` // sends that could not be
	Requests   int               `json:"requests"`
	Events     uint64            `json:"events"`
	Broken     map[string]int    `json:"broken,omitempty"`
	Words      []rules.Violation `json:"words,omitempty"` // the first rules broken
}

// Quantiles are where a result says how long those served took.
var Quantiles = []float64{0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.98, 0.99}

// ledger is worth by part of the run.
type ledger struct {
	per   int64
	parts []float64
}

func (l *ledger) add(at int64, v float64) {
	if k := int(at / l.per); k < len(l.parts) {
		l.parts[k] += v
	}
}

func (l *ledger) sum() (s float64) {
	for _, v := range l.parts {
		s += v
	}
	return s
}

// SeriesParts is how many parts of a run the series of service has.
const SeriesParts = 60

type run struct {
	s         *Scenario
	e         *engine.Engine
	name      string // of the design
	config    decision.Config
	classes   []Class
	shares    float64
	mean      float64 // work of a request
	nodes     []*Node
	first     int // of them, those that were there from the start
	byName    map[string]*Node
	brokers   []*broker
	volumes   []*volume
	discovery *discovery
	checker   *rules.Checker
	stepping  *broker
	sink      func(q *request, broker int32) // takes tries in the brokers' place
	err       error

	from                      int64
	draw                      func() float64
	who, again, random, links *rand.Rand
	loadBy                    float64
	lastID, keys              uint64

	asked, spent, served               *statistics.Batches
	inside                             *statistics.TimeAverage
	latency                            sketch.Sketch // microseconds
	due, earned                        ledger
	dueInside, earnedInside            float64
	full, given, seen, ignoredForwards int
	refused, failed, late              int
	unheard, attempts                  int
	handshakes, falls                  int
	coldSends                          int
	mostOpen                           int
}

func (r *run) record(rec history.Record) {
	rec.At = r.e.Now()
	r.checker.Add(&rec)
}

func (r *run) fail(err error) {
	if err != nil && r.err == nil {
		r.err = err
	}
}

// delay is one way through the network.
func (r *run) delay() int64 {
	d := r.s.Link.Delay.us()
	if j := r.s.Link.Jitter.us(); j > 0 {
		d += int64(r.links.ExpFloat64() * float64(j))
	}
	return d
}

func (r *run) newNode(cores int, speed float64, room int, shard, zone int32, kind float64) *Node {
	n := &Node{Cores: cores, Speed: speed, Room: room, id: int32(len(r.nodes)), shard: shard, zone: zone, kind: kind, e: r.e, service: &r.s.Service,
		cold: &r.s.SlowStart, mean: r.mean, told: r.config.SlowStartCapacityUnits / meanUnits}
	n.name = fmt.Sprintf("n%05d", n.id)
	n.level = func(by float64) { r.inside.Add(r.e.Now(), by) }
	n.reached = func() { r.coldSends++ }
	n.fell = func(n *Node) {
		r.falls++
		r.record(history.Record{Kind: history.NodeOverloaded, Node: n.id})
		r.crash(n)
	}
	r.nodes = append(r.nodes, n)
	r.byName[n.name] = n
	if every := r.s.Service.FlushInterval.us(); every > 0 && r.s.Service.DeferredWrite > 0 {
		lots := r.e.Stream("flush of " + n.name)
		var next func()
		next = func() {
			n.flush()
			if n.state != history.Removed {
				r.e.After(int64((0.5+lots.Float64())*float64(every)), next)
			}
		}
		r.e.After(int64(lots.Float64()*float64(every)), next)
	}
	return n
}

// true is a request as its client made it.
func (r *run) true(id uint64) *request { return r.stepping.open[id] }

// settings are what the module is told, as the platform would tell it.
func (r *run) settings() {
	s := r.s
	c := decision.Config{Brokers: s.Brokers, MaxAttempts: s.Rules.Attempts, PollsEndpoints: true, MaxPollInterval: time.Duration(s.Rules.NotificationDeadline), SendsRetryAfter: true, MaxRetryAfter: 5 * time.Second,
		MeanUnits: meanUnits, MaxUnits: mostUnits, QuotaPriorityWeight: s.Rules.BurstValue, SlowStartFraction: s.SlowStart.InitialCapacity, SlowStartDuration: time.Duration(s.SlowStart.Duration)}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = 1 << 20
	}
	if len(s.Plans) == 0 {
		c.MaxUnits = meanUnits
	}
	if s.SlowStart.OverloadFactor > 0 && s.SlowStart.Duration > 0 {
		c.OverloadWindow = time.Duration(s.SlowStart.Window)
		c.SlowStartCapacityUnits = s.SlowStart.InitialUnits
	}
	if c.OverloadWindow > 0 && c.SlowStartCapacityUnits == 0 {
		least := math.Inf(1)
		for _, k := range s.Nodes {
			least = min(least, float64(k.Cores)*k.Speed)
		}
		c.SlowStartCapacityUnits = meanUnits * s.SlowStart.OverloadFactor * s.SlowStart.InitialCapacity * least * c.OverloadWindow.Seconds() / (r.mean / 1e6)
	}
	if s.Link.IdleTimeout > 0 {
		c.ConnectionReuseWindow, c.HandshakeCost = time.Duration(s.Link.IdleTimeout), float64(s.Service.Handshake.us()+s.Link.Handshake.us())/r.mean
	}
	for _, k := range r.classes {
		x := decision.Class{Name: k.Name, LatencyObjective: time.Duration(k.LatencyObjective), Deadline: time.Duration(k.Deadline), PriorityWeight: k.Priority}
		if k.Idempotency == "never" {
			x.Idempotency = decision.NotIdempotent
		}
		c.Classes = append(c.Classes, x)
	}
	r.config = c
}

func (r *run) terms() rules.Settings {
	t := rules.Settings{MaxAttempts: int32(r.s.Rules.Attempts), DrainGrace: r.s.Rules.DrainGrace.us(), ResponseGrace: r.s.Rules.ResponseGrace.us(), SlowStartWindow: r.s.SlowStart.Window.us()}
	if t.DrainGrace == 0 {
		t.DrainGrace = 500_000
	}
	for _, k := range r.classes {
		x := rules.Class{}
		if k.Idempotency == "never" {
			x.Idempotency = rules.NotIdempotent
		}
		t.Classes = append(t.Classes, x)
	}
	t.RateLimit = func(volume int32) rules.RateLimit {
		p := r.config.Plans[r.volumes[volume].plan]
		return rules.RateLimit{Rate: p.RateLimit, Burst: p.RateLimitBurst, Tolerance: p.RateLimitTolerance}
	}
	return t
}

// Play runs a scenario with one design at all brokers. The same seed brings the same clients and troubles to every design.
func Play(s *Scenario, design string, seed uint64) (*Result, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", s.Name, err)
	}
	if err := CheckDesign(design); err != nil {
		return nil, err
	}
	to := s.Duration.us()
	r := prepare(s, design, seed)
	r.build()
	r.makeVolumes()
	for _, b := range r.brokers {
		r.fail(b.start())
	}
	r.troubles()
	r.clients()
	r.e.Run(to)
	if patience := r.patience(); patience > 0 && r.err == nil { // after the last client's first try it goes on until all has its answer
		r.e.Run(to + 2*patience + 10_000_000)
	}
	if r.err != nil {
		return nil, r.err
	}
	r.checker.Finish(r.e.Now())
	return r.result(design, seed, to), nil
}

// prepare is a run before its first event.
func prepare(s *Scenario, design string, seed uint64) *run {
	from, to := s.WarmUp.us(), s.Duration.us()
	r := &run{s: s, e: engine.New(seed), name: design, classes: s.classes(), byName: map[string]*Node{}, from: from, loadBy: 1,
		asked: statistics.NewBatches(from, to, batches), spent: statistics.NewBatches(from, to, batches),
		served: statistics.NewBatches(from, to, batches), inside: statistics.NewTimeAverage(from, to, batches)}
	per := max(to/SeriesParts, 1)
	r.due, r.earned = ledger{per, make([]float64, SeriesParts)}, ledger{per, make([]float64, SeriesParts)}
	r.who, r.again, r.random, r.links = r.e.Stream("who"), r.e.Stream("again"), r.e.Stream("lots"), r.e.Stream("links")
	for _, c := range r.classes {
		r.shares += c.Share
	}
	r.mean = float64(s.Load.Work.us())
	r.settings()
	r.checker = rules.New(r.terms())
	return r
}

// patience is the longest of all classes; 0: for ever.
func (r *run) patience() (most int64) {
	if len(r.s.Classes) == 0 && r.s.Load.Deadline == 0 {
		return 0
	}
	for _, c := range r.classes {
		most = max(most, c.Deadline.us())
	}
	return most
}

// ended: no client begins anew.
func (r *run) ended() bool { return r.e.Now() >= r.s.Duration.us() }

// build puts up nodes, discovery and brokers. All brokers begin with the list.
func (r *run) build() {
	s := r.s
	power, count := 0.0, 0
	for _, k := range s.Nodes {
		power += float64(k.Count*k.Cores) * k.Speed
		count += k.Count
	}
	mean := power / float64(count)
	zones := int32(max(s.Zones, 1))
	for _, k := range s.Nodes {
		for range k.Count {
			i := int32(len(r.nodes))
			n := r.newNode(k.Cores, k.Speed, k.QueueCapacity, i, i%zones, float64(k.Cores)*k.Speed/mean)
			r.checker.AddNode(n.id, n.shard, n.zone)
		}
	}
	r.first = len(r.nodes)
	r.discovery = &discovery{r: r, lots: r.e.Stream("discovery"), times: 1}
	r.discovery.first()
	for i := range int32(s.Brokers) {
		r.brokers = append(r.brokers, &broker{run: r, id: i, zone: i % zones, random: r.e.Stream(fmt.Sprint("broker ", i)), known: append([]decision.Endpoint(nil), r.discovery.seen...)})
	}
}

func (r *run) result(design string, seed uint64, to int64) *Result {
	res := &Result{Scenario: r.s.Name, Design: design, Seed: seed, Asked: r.asked.Rate(), Served: r.served.Rate(), Time: r.spent.Mean(), Inside: r.inside.Mean(to),
		Full: r.full, GivenUp: r.given, Refused: r.refused, Failed: r.failed, Late: r.late, Unheard: r.unheard, Attempts: r.attempts, Handshakes: r.handshakes,
		Calls: r.discovery.calls, Fell: r.falls, MostOpen: r.mostOpen, Moot: r.ignoredForwards, Events: r.e.EventCount(), Requests: r.seen}
	res.Median, res.P99 = float64(r.latency.Quantile(0.5))/1e6, float64(r.latency.Quantile(0.99))/1e6
	for _, at := range Quantiles {
		res.Quantiles = append(res.Quantiles, float64(r.latency.Quantile(at))/1e6)
	}
	if due := r.due.sum(); due > 0 {
		res.Service = r.earned.sum() / due
	}
	if r.dueInside > 0 {
		res.Reserved = r.earnedInside / r.dueInside
	}
	for k, due := range r.due.parts {
		part := 0.0
		if due > 0 {
			part = math.Round(1e4*r.earned.parts[k]/due) / 1e4
		}
		res.Series = append(res.Series, part)
	}
	for _, n := range r.nodes {
		res.ColdPeak = max(res.ColdPeak, n.peak)
	}
	res.ColdSends = r.coldSends
	if c := r.checker.Counts(); len(c) > 0 {
		res.Broken, res.Words = c, r.checker.Violations()
		if len(res.Words) > 10 {
			res.Words = res.Words[:10]
		}
	}
	return res
}

// BrokenRules names what was broken, most often first.
func (res *Result) BrokenRules() string {
	names := make([]string, 0, len(res.Broken))
	for k := range res.Broken {
		names = append(names, k)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := names[i], names[j]
		return res.Broken[a] > res.Broken[b] || res.Broken[a] == res.Broken[b] && a < b
	})
	out := ""
	for _, k := range names {
		out += fmt.Sprintf("%s %d ", k, res.Broken[k])
	}
	return out
}
