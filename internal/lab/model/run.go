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

// batchCount is the number of batches of a run from which confidence intervals are computed.
const batchCount = 20

// Result is the result of one run. Estimates and the quantiles of response times leave out the warm-up period; counts
// and values are those of the whole run. Times are seconds.
type Result struct {
	Scenario              string              `json:"scenario"`
	Design                string              `json:"design"`
	Seed                  uint64              `json:"seed"`
	ArrivalRate           statistics.Estimate `json:"asked"`    // requests per second, without clients' retries
	ServedRate            statistics.Estimate `json:"served"`   // requests per second
	ResponseTime          statistics.Estimate `json:"time"`     // response time of served requests, from the client's first attempt
	InSystem              statistics.Estimate `json:"inside"`   // attempts in service or queued at all nodes together
	ServedValueRatio      float64             `json:"service"`  // served value over offered value
	ReservedValueRatio    float64             `json:"reserved"` // the same, of requests within their volumes' reserved rates
	ServedValueSeries     []float64           `json:"series"`   // ServedValueRatio by part of the run
	MedianResponseTime    float64             `json:"median"`
	P99ResponseTime       float64             `json:"p99"`
	ResponseTimeQuantiles []float64           `json:"quantiles"` // of the response time, at QuantileProbabilities
	QueueRejections       int                 `json:"full"`      // attempts rejected by a full queue
	ClientTimeouts        int                 `json:"given_up"`  // requests whose client disconnected at the deadline
	Rejected              int                 `json:"refused"`   // rejections sent to clients, those of retries included
	Failed                int                 `json:"failed"`    // failures sent to clients, those of retries included
	Late                  int                 `json:"late"`      // served after the latency objective
	BrokerUnreachable     int                 `json:"unheard"`   // requests to a broker that was down
	Attempts              int                 `json:"attempts"`
	Handshakes            int                 `json:"handshakes"`
	DiscoveryPolls        int                 `json:"calls"`
	Overloads             int                 `json:"fell"`       // of nodes in slow start
	SlowStartPeak         float64             `json:"cold_peak"`  // largest load of a node in slow start, see Node.slowStartPeak
	SlowStartArrivals     int                 `json:"cold_sends"` // attempts that reached nodes in slow start
	MaxOpen               int                 `json:"most_open"`  // largest number of open requests at one broker
	IgnoredForwards       int                 `json:"moot"`       // Forward actions that could not be carried out, see broker.send
	Requests              int                 `json:"requests"`
	Events                uint64              `json:"events"`
	ViolationCounts       map[string]int      `json:"broken,omitempty"` // number of violations by rule
	Violations            []rules.Violation   `json:"words,omitempty"`  // the first 10
}

// QuantileProbabilities are the probabilities of Result.ResponseTimeQuantiles.
var QuantileProbabilities = []float64{0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.98, 0.99}

// valueSeries is the sum of values by part of the run.
type valueSeries struct {
	partLength int64
	parts      []float64
}

func (l *valueSeries) add(at int64, v float64) {
	if k := int(at / l.partLength); k < len(l.parts) {
		l.parts[k] += v
	}
}

func (l *valueSeries) sum() (s float64) {
	for _, v := range l.parts {
		s += v
	}
	return s
}

// SeriesParts is the number of parts of a run in Result.ServedValueSeries.
const SeriesParts = 60

// run is the state of one simulation run.
type run struct {
	s            *Scenario
	e            *engine.Engine
	designName   string
	config       decision.Config // of the brokers, apart from their seeds and zones
	classes      []Class
	shareSum     float64 // sum of the classes' shares
	meanWork     float64 // of a request, in microseconds of a core with speed 1
	nodes        []*Node // by id
	initialNodes int     // number of nodes at the start of the run, which come first in nodes
	byName       map[string]*Node
	brokers      []*broker // by id
	volumes      []*volume // by id
	discovery    *discovery
	checker      *rules.Checker
	stepping     *broker                        // the broker whose design handles an event, nil if there is none
	sink         func(q *request, broker int32) // receives requests instead of the brokers; may be nil
	err          error                          // the first error

	measureFrom                                           int64 // end of the warm-up period
	drawWork                                              func() float64
	clientRandom, retryRandom, responseRandom, linkRandom *rand.Rand
	loadFactor                                            float64 // present factor on the rates of all volumes
	lastID, lastKey                                       uint64

	arrivals, responseTimes, served                            *statistics.BatchMeans
	inSystem                                                   *statistics.TimeAverage
	latency                                                    sketch.Sketch // microseconds
	offeredValue, servedValue                                  valueSeries
	offeredReservedValue, servedReservedValue                  float64
	queueRejections, clientTimeouts, requests, ignoredForwards int
	rejected, failed, late                                     int
	brokerUnreachable, attempts                                int
	handshakes, overloads                                      int
	slowStartArrivals                                          int
	maxOpen                                                    int
}

// record passes a record to the rule checker.
func (r *run) record(rec history.Record) {
	rec.At = r.e.Now()
	r.checker.Add(&rec)
}

// fail keeps the first error of the run.
func (r *run) fail(err error) {
	if err != nil && r.err == nil {
		r.err = err
	}
}

// delay draws a one-way network delay, in microseconds.
func (r *run) delay() int64 {
	d := r.s.Link.Delay.us()
	if j := r.s.Link.Jitter.us(); j > 0 {
		d += int64(r.linkRandom.ExpFloat64() * float64(j))
	}
	return d
}

// newNode adds a node. Its process counts as started before the run.
func (r *run) newNode(cores int, speed float64, queueCapacity int, shard, zone int32, relativeCapacity float64) *Node {
	n := &Node{Cores: cores, Speed: speed, QueueCapacity: queueCapacity, id: int32(len(r.nodes)), shard: shard, zone: zone, relativeCapacity: relativeCapacity, e: r.e, service: &r.s.Service,
		slowStart: &r.s.SlowStart, meanWork: r.meanWork, advertisedCapacity: r.config.SlowStartCapacityUnits / meanUnits}
	n.name = fmt.Sprintf("n%05d", n.id)
	n.addInSystem = func(by float64) { r.inSystem.Add(r.e.Now(), by) }
	n.onSlowStartArrival = func() { r.slowStartArrivals++ }
	n.onOverload = func(n *Node) {
		r.overloads++
		r.record(history.Record{Kind: history.NodeOverloaded, Node: n.id})
		r.crash(n)
	}
	r.nodes = append(r.nodes, n)
	r.byName[n.name] = n
	if every := r.s.Service.FlushInterval.us(); every > 0 && r.s.Service.DeferredWriteFraction > 0 {
		rng := r.e.Stream("flush of " + n.name)
		var next func()
		next = func() {
			n.flush()
			if n.state != history.Removed {
				r.e.After(int64((0.5+rng.Float64())*float64(every)), next)
			}
		}
		r.e.After(int64(rng.Float64()*float64(every)), next)
	}
	return n
}

// actualRequest returns an open request of the broker whose design handles an event, with its true work.
func (r *run) actualRequest(id uint64) *request { return r.stepping.open[id] }

// configure sets the brokers' configuration from the scenario, apart from the plans, which makeVolumes adds.
func (r *run) configure() {
	s := r.s
	c := decision.Config{Brokers: s.Brokers, MaxAttempts: s.Rules.MaxAttempts, PollsEndpoints: true, MaxPollInterval: time.Duration(s.Rules.NotificationDeadline), SendsRetryAfter: true, MaxRetryAfter: 5 * time.Second,
		MeanUnits: meanUnits, MaxUnits: maxUnits, QuotaPriorityWeight: s.Rules.BurstValueFactor, SlowStartFraction: s.SlowStart.InitialCapacity, SlowStartDuration: time.Duration(s.SlowStart.Duration)}
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
		c.SlowStartCapacityUnits = meanUnits * s.SlowStart.OverloadFactor * s.SlowStart.InitialCapacity * least * c.OverloadWindow.Seconds() / (r.meanWork / 1e6)
	}
	if s.Link.IdleTimeout > 0 {
		c.ConnectionReuseWindow, c.HandshakeCost = time.Duration(s.Link.IdleTimeout), float64(s.Service.Handshake.us()+s.Link.Handshake.us())/r.meanWork
	}
	for _, k := range r.classes {
		x := decision.Class{Name: k.Name, LatencyObjective: time.Duration(k.LatencyObjective), Deadline: time.Duration(k.Deadline), PriorityWeight: k.PriorityWeight}
		if k.Idempotency == "never" {
			x.Idempotency = decision.NotIdempotent
		}
		c.Classes = append(c.Classes, x)
	}
	r.config = c
}

// checkerSettings returns the settings of the rule checker.
func (r *run) checkerSettings() rules.Settings {
	t := rules.Settings{MaxAttempts: int32(r.s.Rules.MaxAttempts), DrainGrace: r.s.Rules.DrainGrace.us(), ResponseGrace: r.s.Rules.ResponseGrace.us(), SlowStartWindow: r.s.SlowStart.Window.us()}
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

// Run simulates a scenario with one design at all brokers. With the same seed, every design meets the same requests and
// faults.
func Run(s *Scenario, design string, seed uint64) (*Result, error) {
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
	r.injectFaults()
	r.startClients()
	r.e.Run(to)
	// No new requests arrive from here on; continue until all open ones, and their retries, have a response.
	if deadline := r.maxDeadline(); deadline > 0 && r.err == nil {
		r.e.Run(to + 2*deadline + 10_000_000)
	}
	if r.err != nil {
		return nil, r.err
	}
	r.checker.Finish(r.e.Now())
	return r.result(design, seed, to), nil
}

// prepare returns a run without nodes, brokers, volumes and events.
func prepare(s *Scenario, design string, seed uint64) *run {
	from, to := s.WarmUp.us(), s.Duration.us()
	r := &run{s: s, e: engine.New(seed), designName: design, classes: s.classes(), byName: map[string]*Node{}, measureFrom: from, loadFactor: 1,
		arrivals: statistics.NewBatchMeans(from, to, batchCount), responseTimes: statistics.NewBatchMeans(from, to, batchCount),
		served: statistics.NewBatchMeans(from, to, batchCount), inSystem: statistics.NewTimeAverage(from, to, batchCount)}
	partLength := max(to/SeriesParts, 1)
	r.offeredValue, r.servedValue = valueSeries{partLength, make([]float64, SeriesParts)}, valueSeries{partLength, make([]float64, SeriesParts)}
	r.clientRandom, r.retryRandom, r.responseRandom, r.linkRandom = r.e.Stream("who"), r.e.Stream("again"), r.e.Stream("lots"), r.e.Stream("links")
	for _, c := range r.classes {
		r.shareSum += c.Share
	}
	r.meanWork = float64(s.Load.Work.us())
	r.configure()
	r.checker = rules.New(r.checkerSettings())
	return r
}

// maxDeadline returns the longest deadline of all classes, in microseconds; 0 if requests have no deadline.
func (r *run) maxDeadline() (longest int64) {
	if len(r.s.Classes) == 0 && r.s.Load.Deadline == 0 {
		return 0
	}
	for _, c := range r.classes {
		longest = max(longest, c.Deadline.us())
	}
	return longest
}

// loadEnded reports whether the scenario's duration has passed, after which no new requests arrive.
func (r *run) loadEnded() bool { return r.e.Now() >= r.s.Duration.us() }

// build creates nodes, discovery and brokers. All brokers know the initial endpoint list.
func (r *run) build() {
	s := r.s
	totalCapacity, count := 0.0, 0
	for _, k := range s.Nodes {
		totalCapacity += float64(k.Count*k.Cores) * k.Speed
		count += k.Count
	}
	meanCapacity := totalCapacity / float64(count)
	zones := int32(max(s.Zones, 1))
	for _, k := range s.Nodes {
		for range k.Count {
			i := int32(len(r.nodes))
			n := r.newNode(k.Cores, k.Speed, k.QueueCapacity, i, i%zones, float64(k.Cores)*k.Speed/meanCapacity)
			r.checker.AddNode(n.id, n.shard, n.zone)
		}
	}
	r.initialNodes = len(r.nodes)
	r.discovery = &discovery{run: r, random: r.e.Stream("discovery"), delayFactor: 1}
	r.discovery.loadInitialList()
	for i := range int32(s.Brokers) {
		r.brokers = append(r.brokers, &broker{run: r, id: i, zone: i % zones, random: r.e.Stream(fmt.Sprint("broker ", i)), knownEndpoints: append([]decision.Endpoint(nil), r.discovery.visible...)})
	}
}

func (r *run) result(design string, seed uint64, to int64) *Result {
	res := &Result{Scenario: r.s.Name, Design: design, Seed: seed, ArrivalRate: r.arrivals.Rate(), ServedRate: r.served.Rate(), ResponseTime: r.responseTimes.Mean(), InSystem: r.inSystem.Mean(to),
		QueueRejections: r.queueRejections, ClientTimeouts: r.clientTimeouts, Rejected: r.rejected, Failed: r.failed, Late: r.late, BrokerUnreachable: r.brokerUnreachable, Attempts: r.attempts, Handshakes: r.handshakes,
		DiscoveryPolls: r.discovery.calls, Overloads: r.overloads, MaxOpen: r.maxOpen, IgnoredForwards: r.ignoredForwards, Events: r.e.EventCount(), Requests: r.requests}
	res.MedianResponseTime, res.P99ResponseTime = float64(r.latency.Quantile(0.5))/1e6, float64(r.latency.Quantile(0.99))/1e6
	for _, at := range QuantileProbabilities {
		res.ResponseTimeQuantiles = append(res.ResponseTimeQuantiles, float64(r.latency.Quantile(at))/1e6)
	}
	if offered := r.offeredValue.sum(); offered > 0 {
		res.ServedValueRatio = r.servedValue.sum() / offered
	}
	if r.offeredReservedValue > 0 {
		res.ReservedValueRatio = r.servedReservedValue / r.offeredReservedValue
	}
	for k, offered := range r.offeredValue.parts {
		part := 0.0
		if offered > 0 {
			part = math.Round(1e4*r.servedValue.parts[k]/offered) / 1e4
		}
		res.ServedValueSeries = append(res.ServedValueSeries, part)
	}
	for _, n := range r.nodes {
		res.SlowStartPeak = max(res.SlowStartPeak, n.slowStartPeak)
	}
	res.SlowStartArrivals = r.slowStartArrivals
	if c := r.checker.Counts(); len(c) > 0 {
		res.ViolationCounts, res.Violations = c, r.checker.Violations()
		if len(res.Violations) > 10 {
			res.Violations = res.Violations[:10]
		}
	}
	return res
}

// ViolationSummary lists the violated rules with the number of violations of each, the most frequent first.
func (res *Result) ViolationSummary() string {
	names := make([]string, 0, len(res.ViolationCounts))
	for k := range res.ViolationCounts {
		names = append(names, k)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := names[i], names[j]
		return res.ViolationCounts[a] > res.ViolationCounts[b] || res.ViolationCounts[a] == res.ViolationCounts[b] && a < b
	})
	out := ""
	for _, k := range names {
		out += fmt.Sprintf("%s %d ", k, res.ViolationCounts[k])
	}
	return out
}
