package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// simulation generates random events of clients, nodes and the endpoint list, and checks every action against the
// rules on sends. It keeps its own records and, until drain, uses only the Step method of the scheduler.
type simulation struct {
	t         *testing.T
	cfg       decision.Config
	random    *rand.Rand
	scheduler *Scheduler
	now       time.Duration
	startedAt time.Duration
	requests  map[uint64]*simRequest
	order     []*simRequest // by arrival
	nodes     map[string]*simNode
	timers    map[time.Duration]bool // times at which requested timers are due
	arrivals  []time.Duration
	retries   []time.Duration
	charged   map[string][]simSend // first attempts by volume
	lastID    uint64
	draining  bool // no new requests, disconnects or endpoint changes are generated
}

// simRequest is a request from the point of view of its client and the nodes.
type simRequest struct {
	id       uint64
	arrival  decision.Arrival
	done     bool // answered, or abandoned by its client
	attempts int

	inFlight  bool
	node      string // of the last attempt
	endsAt    time.Duration
	timeoutAt time.Duration
	outcome   decision.Outcome

	mayHaveRun    bool
	mayHaveRunOn  string
	mayHaveRunAt  time.Duration
	mayStillRunAt time.Duration // end of the last attempt that may still be running; 0 if there is none
	firstSendAt   time.Duration // send time of the first attempt that may have run, or else of the last one
}

type simNode struct {
	endpoint decision.Endpoint
	sends    []simSend
}

type simSend struct {
	at    time.Duration
	units float64
}

func (r *simRequest) units() float64 { return math.Max(1, r.arrival.Units) }

func newSimulation(t *testing.T, cfg decision.Config) *simulation {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	w := &simulation{
		t: t, cfg: cfg, scheduler: s,
		random:    rand.New(rand.NewPCG(cfg.Seed, 9)),
		now:       time.Hour,
		startedAt: time.Hour,
		requests:  map[uint64]*simRequest{},
		nodes:     map[string]*simNode{},
		timers:    map[time.Duration]bool{},
		charged:   map[string][]simSend{},
	}
	first := decision.Event{Kind: decision.EndpointsReplaced}
	for i := range 5 {
		e := decision.Endpoint{Node: fmt.Sprint("n", i), Shard: i, Zone: i % 2}
		w.nodes[e.Node] = &simNode{endpoint: e}
		first.Endpoints = append(first.Endpoints, e)
	}
	s.Step(w.now, []decision.Event{first}, nil)
	w.timers[w.now+100*ms] = true
	return w
}

func (w *simulation) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("at %v: %s", w.now-w.startedAt, fmt.Sprintf(format, args...))
}

// step makes one step with the events at the current time and checks the actions.
func (w *simulation) step() {
	for _, a := range w.scheduler.Step(w.now, w.events(), nil) {
		w.check(a)
	}
}

// events generates the events at the current time.
func (w *simulation) events() (events []decision.Event) {
	for at := range w.timers {
		if at <= w.now {
			events = append(events, decision.Event{Kind: decision.TimerFired, Token: 1})
			delete(w.timers, at)
		}
	}
	for _, r := range w.order {
		events = w.requestEvents(r, events)
	}
	if w.draining {
		return events
	}
	for w.random.IntN(3) > 0 {
		events = append(events, w.arrival())
	}
	switch w.random.IntN(150) {
	case 0:
		events = append(events, w.endpointChange())
	case 1:
		events = append(events, decision.Event{Kind: decision.EndpointWatchFailed})
	case 2: // events of requests and attempts that do not exist
		events = append(events,
			decision.Event{Kind: decision.AttemptEnded, ID: 1 << 40, Node: "nowhere"},
			decision.Event{Kind: decision.ClientDisconnected, ID: 1 << 41},
			decision.Event{Kind: decision.AttemptEnded, ID: w.lastID, Attempt: 7, Node: "n0", Outcome: decision.Rejected})
	}
	return events
}

// requestEvents appends the events of one request: its attempt ends, or its client disconnects.
func (w *simulation) requestEvents(r *simRequest, events []decision.Event) []decision.Event {
	if r.inFlight && r.endsAt <= w.now {
		events = append(events, w.endAttempt(r))
		if w.random.IntN(20) == 0 { // a repeated outcome
			events = append(events, events[len(events)-1])
		}
	}
	if !r.done && w.now > r.arrival.Deadline+8*ms {
		w.fail("request %d has no response after its deadline", r.id)
	}
	if !r.done && w.random.IntN(4000) == 0 {
		r.done = true
		events = append(events, decision.Event{Kind: decision.ClientDisconnected, ID: r.id})
	}
	return events
}

// endAttempt ends the attempt in flight and returns its outcome.
func (w *simulation) endAttempt(r *simRequest) decision.Event {
	outcome := r.outcome
	if w.now >= r.timeoutAt {
		outcome = decision.TimedOut
	}
	r.inFlight = false
	if !outcome.NotExecuted() {
		r.mayStillRunAt = w.now
		switch outcome {
		case decision.NodeError, decision.Served, decision.MalformedResponse: // execution is known to have ended
			r.mayStillRunAt = 0
		}
		if !r.mayHaveRun {
			r.mayHaveRun = true
			r.mayHaveRunOn = r.node
			r.mayHaveRunAt = r.firstSendAt
		}
	}
	final := outcome == decision.Served || r.done
	if outcome == decision.Served {
		r.done = true
	}
	unitsElsewhere := float64(w.random.IntN(4))
	usage := w.random.IntN(200)
	return decision.Event{
		Kind: decision.AttemptEnded, ID: r.id, Attempt: r.attempts - 1, Node: r.node, Outcome: outcome, Final: final,
		UnitsElsewhere: unitsElsewhere, Usage: decision.VolumeUsage{Known: usage > 0, Percent: usage - 1},
	}
}

// arrival generates a new request. Some have unusual values in a field.
func (w *simulation) arrival() decision.Event {
	w.lastID++
	v := w.random.IntN(8)
	a := decision.Arrival{
		Class: w.random.IntN(len(w.cfg.Classes)), Plan: v % len(w.cfg.Plans), Volume: fmt.Sprint("v", v),
		Key: fmt.Sprint("k", w.random.IntN(6)), Units: float64(1 + w.random.IntN(8)), Shard: w.random.IntN(6) - 1,
		Brokers: 1 + v%3,
	}
	a.Deadline = w.now + w.cfg.Classes[a.Class].Deadline
	switch w.random.IntN(30) {
	case 0:
		a.Units = 0
	case 1:
		a.Key = ""
	case 2:
		a.Deadline = w.now + time.Duration(w.random.IntN(300))*ms
	case 3:
		a.Shard = 77
	}
	w.arrivals = append(w.arrivals, w.now)
	r := &simRequest{id: w.lastID, arrival: a}
	w.requests[r.id] = r
	w.order = append(w.order, r)
	return decision.Event{Kind: decision.RequestArrived, ID: r.id, Arrival: a}
}

// endpointChange drains, removes or restarts a node, or lists a removed one again.
func (w *simulation) endpointChange() decision.Event {
	n := w.nodes[fmt.Sprint("n", w.random.IntN(5))]
	switch w.random.IntN(4) {
	case 0:
		n.endpoint.State = decision.Draining
	case 1:
		n.endpoint.State = decision.Removed
	default:
		n.endpoint.State = decision.Ready
		n.endpoint.StartedAt = w.now - time.Duration(w.random.IntN(500))*ms
	}
	return decision.Event{Kind: decision.EndpointsChanged, Endpoints: []decision.Endpoint{n.endpoint}}
}

// check checks an action and records it.
func (w *simulation) check(a decision.Action) {
	r := w.requests[a.ID]
	switch a.Kind {
	case decision.SetTimer:
		w.timers[w.now+a.After] = true
		if len(w.timers) > 5 {
			w.fail("%d timers are pending, want at most 5", len(w.timers))
		}
	case decision.Forward:
		w.checkForward(r, a)
		w.forward(r, a)
	case decision.Shed, decision.Fail:
		if r == nil || r.done {
			w.fail("request %d is unknown or answered twice", a.ID)
		}
		c := w.cfg.Classes[r.arrival.Class]
		if a.Kind == decision.Shed && (r.inFlight || r.mayHaveRun) && (c.Idempotency == decision.NotIdempotent ||
			c.Idempotency == decision.IdempotentByKey && c.DedupScope != decision.DedupEverywhere) {
			w.fail("request %d of class %s is rejected although it may have been executed", a.ID, c.Name)
		}
		r.done = true
	}
}

// checkForward checks a send against the rules that concern single requests.
func (w *simulation) checkForward(r *simRequest, a decision.Action) {
	n := w.nodes[a.Node]
	if r == nil || r.done || r.inFlight || r.attempts >= w.cfg.MaxAttempts || n == nil {
		w.fail("request %d is sent although it is unknown, done, in flight or out of attempts, or its node is unknown", a.ID)
	}
	c := w.cfg.Classes[r.arrival.Class]
	if n.endpoint.State != decision.Ready {
		w.fail("request %d is sent to %s, which is draining or removed", a.ID, a.Node)
	}
	if r.mayHaveRun && c.Idempotency != decision.Idempotent {
		if c.Idempotency == decision.NotIdempotent || w.now > r.mayHaveRunAt+c.DedupWindow ||
			c.DedupScope == decision.DedupShard && r.mayHaveRunOn != a.Node {
			w.fail("request %d of class %s is repeated against its idempotency", a.ID, c.Name)
		}
	}
	if c.Ordered && r.arrival.Key != "" {
		w.checkKeyOrder(r)
	}
}

// checkKeyOrder fails if an earlier request of the key is open or may still be running.
func (w *simulation) checkKeyOrder(r *simRequest) {
	for _, q := range w.order {
		if q == r {
			return
		}
		if q.arrival.Key != r.arrival.Key || !w.cfg.Classes[q.arrival.Class].Ordered {
			continue
		}
		mayRun := q.mayStillRunAt > 0 && w.now < q.mayStillRunAt+w.cfg.OrderedKeyQuietPeriod && r.attempts == 0
		if !q.done || q.inFlight || mayRun {
			w.fail("request %d is sent before %d on the same key has ended", r.id, q.id)
		}
	}
}

// forward records a send, checks the rules that concern several sends, and chooses the outcome of the attempt.
func (w *simulation) forward(r *simRequest, a decision.Action) {
	n := w.nodes[a.Node]
	if r.attempts > 0 {
		w.retries = append(w.retries, w.now)
		w.checkRetryBudget()
	} else {
		w.checkRateLimit(r)
	}
	n.sends = append(n.sends, simSend{w.now, r.units()})
	w.checkSlowStart(n)
	r.attempts++
	r.inFlight = true
	r.node = a.Node
	r.timeoutAt = w.now + a.After
	if r.firstSendAt == 0 || !r.mayHaveRun {
		r.firstSendAt = w.now
	}
	outcomes := []decision.Outcome{
		decision.Served, decision.Served, decision.Served, decision.Served, decision.Served, decision.Served,
		decision.Rejected, decision.NodeError, decision.TimedOut, decision.ConnectFailed, decision.ConnectionLost,
		decision.NotAttempted, decision.MalformedResponse, decision.SendIncomplete,
	}
	r.outcome = outcomes[w.random.IntN(len(outcomes))]
	r.endsAt = min(w.now+time.Duration(5+w.random.IntN(80))*ms, r.timeoutAt)
	if r.outcome == decision.TimedOut || w.random.IntN(30) == 0 {
		r.endsAt = r.timeoutAt
	}
}

// checkRetryBudget fails if there are more retries in the window than the budget allows.
func (w *simulation) checkRetryBudget() {
	from := w.now - w.cfg.RetryBudgetWindow
	retries, arrivals := countAfter(w.retries, from), countAfter(w.arrivals, from)
	if w.cfg.HasRetryBudget && float64(retries) > w.cfg.RetryBudgetBase+w.cfg.RetryBudgetRatio*float64(arrivals) {
		w.fail("%d retries with %d arrivals exceed the retry budget", retries, arrivals)
	}
}

func countAfter(times []time.Duration, from time.Duration) (n int) {
	for _, t := range times {
		if t > from {
			n++
		}
	}
	return n
}

// checkRateLimit fails if the sends since any earlier one exceed this broker's share of burst, tolerance and rate.
func (w *simulation) checkRateLimit(r *simRequest) {
	p := w.cfg.Plans[r.arrival.Plan]
	if p.RateLimit <= 0 {
		return
	}
	w.charged[r.arrival.Volume] = append(w.charged[r.arrival.Volume], simSend{w.now, r.units()})
	sends := w.charged[r.arrival.Volume]
	sum, brokers := 0.0, float64(r.arrival.Brokers)
	for i := len(sends) - 1; i >= 0; i-- {
		sum += sends[i].units
		allowed := p.RateLimitBurst + p.RateLimitTolerance + p.RateLimit*(w.now-sends[i].at).Seconds()
		if sum > allowed/brokers+1e-6 {
			w.fail("volume %s: %v units sent in the last %v exceed the rate limit", r.arrival.Volume, sum, w.now-sends[i].at)
		}
	}
}

// checkSlowStart fails if the sends in the window that ends now exceed this broker's share of the node's slow-start
// capacity at the start of the window.
func (w *simulation) checkSlowStart(n *simNode) {
	at := n.endpoint.StartedAt
	if at == 0 || w.now >= at+w.cfg.SlowStartDuration {
		return
	}
	sum := 0.0
	for _, x := range n.sends {
		if x.at > w.now-w.cfg.OverloadWindow {
			sum += x.units
		}
	}
	age := math.Max(0, (w.now-w.cfg.OverloadWindow-at).Seconds()) / w.cfg.SlowStartDuration.Seconds()
	ramp := (w.cfg.SlowStartFraction + (1-w.cfg.SlowStartFraction)*age) / w.cfg.SlowStartFraction
	capacity := w.cfg.SlowStartCapacityUnits * ramp
	share, last := capacity/float64(w.cfg.Brokers), n.sends[len(n.sends)-1].units
	// A request larger than the share may be admitted alone, at random.
	if sum > share+1e-6 && (sum > last || last <= share) {
		w.fail("%v units sent in a window to a node with a slow-start capacity of %v for %d brokers", sum, capacity, w.cfg.Brokers)
	}
}

// prune removes the requests that no longer affect any check.
func (w *simulation) prune() {
	kept := w.order[:0]
	for _, r := range w.order {
		if !r.done || r.inFlight || w.now < r.mayStillRunAt+w.cfg.OrderedKeyQuietPeriod {
			kept = append(kept, r)
		}
	}
	w.order = kept
}

// drain runs without new events until all requests have ended, and fails if the scheduler keeps any state of them.
func (w *simulation) drain() {
	w.draining = true
	for range 1500 {
		w.step()
		w.now += 4 * ms
	}
	for _, r := range w.order {
		if !r.done {
			w.fail("request %d was never answered", r.id)
		}
	}
	left := &w.scheduler.requests
	if len(left.open) > 0 || len(left.queueExpiry) > 0 || len(left.unserved) > 0 || len(left.keyQueues) > 0 {
		w.fail("state left after the drain: %d requests, %d queued, %d retry keys, %d key queues", len(left.open),
			len(left.queueExpiry), len(left.unserved), len(left.keyQueues))
	}
}

func TestSendRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		cfg := testConfig()
		cfg.Seed = seed
		cfg.PollsEndpoints = seed%2 == 0
		cfg.HasRetryBudget = seed%3 != 0
		cfg.RetryBudgetBase, cfg.RetryBudgetRatio, cfg.RetryBudgetWindow = 2, 0.005, 2*time.Second
		cfg.Classes[3].DedupScope = decision.DedupScope(seed % 3)
		if cfg.Classes[3].DedupScope == decision.DedupZone {
			cfg.Classes[3].DedupScope = decision.DedupShard
		}
		w := newSimulation(t, cfg)
		for i := range 2000 {
			w.step()
			w.now += time.Duration(2*(1+w.random.IntN(4))) * ms
			if i%200 == 199 {
				w.prune()
			}
		}
		w.drain()
	}
}
