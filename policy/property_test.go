package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// world plays clients, nodes and list at random, and checks every action against the seven rules with books of
// its own. It uses nothing of the scheduler but Step.
type world struct {
	t      *testing.T
	cfg    decision.Config
	rng    *rand.Rand
	s      *Scheduler
	now    time.Duration
	start  time.Duration
	reqs   map[uint64]*wreq
	order  []*wreq
	nodes  map[string]*wnode
	timers map[time.Duration]bool
	taken  []time.Duration
	extra  []time.Duration
	drawn  map[string][]wsend
	next   uint64
	quiet  bool
}

type wreq struct {
	id       uint64
	a        decision.Arrival
	done     bool // the answer is known to the scheduler
	tries    int
	out      bool
	node     string
	endsAt   time.Duration
	timeout  time.Duration
	outcome  decision.Outcome
	risk     string
	riskAt   time.Duration
	maybeRun bool
	lastRisk time.Duration
	first    time.Duration
}

type wnode struct {
	m      decision.Endpoint
	toldAt time.Duration // of draining or gone
	sends  []wsend
}

type wsend struct {
	at    time.Duration
	units float64
}

func (w *world) bad(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("at %v: %s", w.now-w.start, fmt.Sprintf(format, args...))
}

// events draws what happens at this instant.
func (w *world) events() (evs []decision.Event) {
	for at := range w.timers {
		if at <= w.now {
			evs = append(evs, decision.Event{Kind: decision.TimerFired, Token: 1})
			delete(w.timers, at)
		}
	}
	for i := 0; i < len(w.order); i++ {
		r := w.order[i]
		if r.out && r.endsAt <= w.now {
			o := r.outcome
			if w.now >= r.timeout {
				o = decision.TimedOut
			}
			r.out = false
			if !o.NotExecuted() {
				r.lastRisk = w.now
				if o == decision.NodeError || o == decision.Served || o == decision.MalformedResponse { // it is known to be over
					r.lastRisk = 0
				}
				if !r.maybeRun {
					r.maybeRun, r.risk, r.riskAt = true, r.node, r.first
				}
			}
			final := o == decision.Served && !r.done || r.done
			if o == decision.Served {
				r.done = true
			}
			evs = append(evs, decision.Event{Kind: decision.AttemptEnded, ID: r.id, Attempt: r.tries - 1, Node: r.node, Outcome: o,
				Final: final, UnitsElsewhere: float64(w.rng.IntN(4)), VolumeUsage: w.rng.IntN(200)})
			if w.rng.IntN(20) == 0 { // a repeated outcome
				evs = append(evs, evs[len(evs)-1])
			}
		}
		if !r.done && w.now > r.a.Deadline+8*ms {
			w.bad("request %d has no answer after its client left", r.id)
		}
		if !r.done && w.rng.IntN(4000) == 0 {
			r.done = true
			evs = append(evs, decision.Event{Kind: decision.ClientDisconnected, ID: r.id})
		}
	}
	if w.quiet {
		return evs
	}
	for w.rng.IntN(3) > 0 {
		evs = append(evs, w.arrival())
	}
	switch w.rng.IntN(150) {
	case 0:
		evs = append(evs, w.change())
	case 1:
		evs = append(evs, decision.Event{Kind: decision.EndpointWatchFailed})
	case 2:
		evs = append(evs, decision.Event{Kind: decision.AttemptEnded, ID: 1 << 40, Node: "nowhere"}, decision.Event{Kind: decision.ClientDisconnected, ID: 1 << 41},
			decision.Event{Kind: decision.AttemptEnded, ID: w.next, Attempt: 7, Node: "n0", Outcome: decision.Rejected})
	}
	return evs
}

func (w *world) arrival() decision.Event {
	w.next++
	v := w.rng.IntN(8)
	a := decision.Arrival{Class: w.rng.IntN(len(w.cfg.Classes)), Plan: v % len(w.cfg.Plans), Volume: fmt.Sprint("v", v),
		Key: fmt.Sprint("k", w.rng.IntN(6)), Units: float64(1 + w.rng.IntN(8)), Shard: w.rng.IntN(6) - 1, Brokers: 1 + v%3}
	a.Deadline = w.now + w.cfg.Classes[a.Class].Deadline
	switch w.rng.IntN(30) {
	case 0:
		a.Units = 0
	case 1:
		a.Key = ""
	case 2:
		a.Deadline = w.now + time.Duration(w.rng.IntN(300))*ms
	case 3:
		a.Shard = 77
	}
	w.taken = append(w.taken, w.now)
	r := &wreq{id: w.next, a: a}
	w.reqs[r.id], w.order = r, append(w.order, r)
	return decision.Event{Kind: decision.RequestArrived, ID: r.id, Arrival: a}
}

// change drains, removes or restarts a node, or brings it back.
func (w *world) change() decision.Event {
	n := w.nodes[fmt.Sprint("n", w.rng.IntN(5))]
	switch w.rng.IntN(4) {
	case 0:
		n.m.State = decision.Draining
	case 1:
		n.m.State = decision.Removed
	default:
		n.m.State, n.m.StartedAt = decision.Ready, w.now-time.Duration(w.rng.IntN(500))*ms
	}
	n.toldAt = w.now
	return decision.Event{Kind: decision.EndpointsChanged, Endpoints: []decision.Endpoint{n.m}}
}

// act books one action.
func (w *world) act(a decision.Action) {
	r := w.reqs[a.ID]
	switch a.Kind {
	case decision.SetTimer:
		w.timers[w.now+a.After] = true
		if len(w.timers) > 5 {
			w.bad("%d timers pending", len(w.timers))
		}
	case decision.Forward:
		w.send(r, a)
	case decision.Shed, decision.Fail:
		if r == nil || r.done {
			w.bad("request %d is answered twice or unknown", a.ID)
		}
		c := w.cfg.Classes[r.a.Class]
		if a.Kind == decision.Shed && (r.out || r.maybeRun) &&
			(c.Idempotency == decision.NotIdempotent || c.Idempotency == decision.IdempotentByKey && c.DedupScope != decision.DedupEverywhere) {
			w.bad("request %d of class %s is refused though it may have run", a.ID, c.Name)
		}
		r.done = true
	}
}

// send checks one attempt against all rules.
func (w *world) send(r *wreq, a decision.Action) {
	n := w.nodes[a.Node]
	if r == nil || r.done || r.out || r.tries >= w.cfg.MaxAttempts || n == nil {
		w.bad("request %d is sent though it is over, out, spent or its node unknown", a.ID)
	}
	c := w.cfg.Classes[r.a.Class]
	if n.m.State != decision.Ready {
		w.bad("send to %s, which drains or is gone", a.Node)
	}
	if r.maybeRun && c.Idempotency != decision.Idempotent {
		if c.Idempotency == decision.NotIdempotent || w.now > r.riskAt+c.DedupWindow || c.DedupScope == decision.DedupShard && r.risk != a.Node {
			w.bad("request %d of class %s is repeated", a.ID, c.Name)
		}
	}
	if c.Ordered && r.a.Key != "" {
		for _, q := range w.order {
			if q == r {
				break
			}
			if q.a.Key == r.a.Key && w.cfg.Classes[q.a.Class].Ordered &&
				(!q.done || q.out || q.lastRisk > 0 && w.now < q.lastRisk+w.cfg.OrderedKeyQuietPeriod && r.tries == 0) {
				w.bad("request %d passes %d of its key", r.id, q.id)
			}
		}
	}
	if r.tries > 0 {
		w.extra = append(w.extra, w.now)
		further, took := count(w.extra, w.now-w.cfg.RetryBudgetWindow), count(w.taken, w.now-w.cfg.RetryBudgetWindow)
		if w.cfg.HasRetryBudget && float64(further) > w.cfg.RetryBudgetBase+w.cfg.RetryBudgetRatio*float64(took) {
			w.bad("%d further attempts with %d taken", further, took)
		}
	} else {
		w.limit(r)
	}
	n.sends = append(n.sends, wsend{w.now, unitsOf(r)})
	w.cold(n)
	r.tries, r.out, r.node, r.timeout = r.tries+1, true, a.Node, w.now+a.After
	if r.first == 0 || !r.maybeRun {
		r.first = w.now
	}
	r.outcome = []decision.Outcome{decision.Served, decision.Served, decision.Served, decision.Served, decision.Served, decision.Served, decision.Rejected, decision.NodeError, decision.TimedOut, decision.ConnectFailed,
		decision.ConnectionLost, decision.NotAttempted, decision.MalformedResponse, decision.SendIncomplete}[w.rng.IntN(14)]
	r.endsAt = min(w.now+time.Duration(5+w.rng.IntN(80))*ms, r.timeout)
	if r.outcome == decision.TimedOut || w.rng.IntN(30) == 0 {
		r.endsAt = r.timeout
	}
}

func unitsOf(r *wreq) float64 { return math.Max(1, r.a.Units) }

func count(ts []time.Duration, from time.Duration) (n int) {
	for _, t := range ts {
		if t > from {
			n++
		}
	}
	return n
}

// limit: over any span, no more than this host's part of burst, slack and rate.
func (w *world) limit(r *wreq) {
	p := w.cfg.Plans[r.a.Plan]
	if p.RateLimit <= 0 {
		return
	}
	list := append(w.drawn[r.a.Volume], wsend{w.now, unitsOf(r)})
	w.drawn[r.a.Volume] = list
	sum, h := 0.0, float64(r.a.Brokers)
	for i := len(list) - 1; i >= 0; i-- {
		sum += list[i].units
		if sum > (p.RateLimitBurst+p.RateLimitTolerance+p.RateLimit*(w.now-list[i].at).Seconds())/h+1e-6 {
			w.bad("volume %s drew %v units since %v ago", r.a.Volume, sum, w.now-list[i].at)
		}
	}
}

// cold: a window that ends now holds no more than this host's part of what the node bears at its begin.
func (w *world) cold(n *wnode) {
	at := n.m.StartedAt
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
	bears := w.cfg.ColdCapacityUnits * (w.cfg.SlowStartFraction + (1-w.cfg.SlowStartFraction)*age) / w.cfg.SlowStartFraction
	part, last := bears/float64(w.cfg.Brokers), n.sends[len(n.sends)-1].units
	if sum > part+1e-6 && (sum > last || last <= part) { // a request beyond the whole part may win a lot, alone
		w.bad("%v units in a window to a node that bears %v from %d hosts", sum, bears, w.cfg.Brokers)
	}
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		cfg := testConfig()
		cfg.Seed, cfg.PollsEndpoints = seed, seed%2 == 0
		cfg.HasRetryBudget, cfg.RetryBudgetBase, cfg.RetryBudgetRatio, cfg.RetryBudgetWindow = seed%3 != 0, 2, 0.005, 2*time.Second
		cfg.Classes[3].DedupScope = decision.DedupScope(seed % 3)
		if cfg.Classes[3].DedupScope == decision.DedupZone {
			cfg.Classes[3].DedupScope = decision.DedupShard
		}
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		w := &world{t: t, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 9)), s: s, now: time.Hour, start: time.Hour,
			reqs: map[uint64]*wreq{}, nodes: map[string]*wnode{}, timers: map[time.Duration]bool{},
			drawn: map[string][]wsend{}}
		first := decision.Event{Kind: decision.EndpointsReplaced}
		for i := 0; i < 5; i++ {
			m := decision.Endpoint{Node: fmt.Sprint("n", i), Shard: i, Zone: i % 2}
			w.nodes[m.Node] = &wnode{m: m}
			first.Endpoints = append(first.Endpoints, m)
		}
		s.Step(w.now, []decision.Event{first}, nil)
		w.timers[w.now+100*ms] = true
		for i := 0; i < 2000; i++ {
			for _, a := range s.Step(w.now, w.events(), nil) {
				w.act(a)
			}
			w.now += time.Duration(2*(1+w.rng.IntN(4))) * ms
			if i%200 == 199 {
				w.prune()
			}
		}
		w.drain()
	}
}

// prune forgets requests that can no longer matter.
func (w *world) prune() {
	kept := w.order[:0]
	for _, r := range w.order {
		if !r.done || r.out || w.now < r.lastRisk+w.cfg.OrderedKeyQuietPeriod {
			kept = append(kept, r)
		}
	}
	w.order = kept
}

// drain lets everything end, with nothing new, and looks for what is left behind.
func (w *world) drain() {
	w.quiet = true
	for i := 0; i < 1500; i++ {
		for _, a := range w.s.Step(w.now, w.events(), nil) {
			w.act(a)
		}
		w.now += 4 * ms
	}
	for _, r := range w.order {
		if !r.done {
			w.bad("request %d is left without an answer", r.id)
		}
	}
	if len(w.s.requests.open) > 0 || len(w.s.requests.queueExpiry) > 0 || len(w.s.requests.unserved) > 0 || len(w.s.requests.keyQueues) > 0 {
		w.bad("left behind: %d requests, %d waits, %d pieces, %d keys", len(w.s.requests.open), len(w.s.requests.queueExpiry),
			len(w.s.requests.unserved), len(w.s.requests.keyQueues))
	}
}

// fleet runs many schedulers before one node that has just come up; each has few requests for it, and other work.
// A volume of three hosts may surge there. It returns the units sent within the worst window, as a part of what the
// node bears then, and all units sent.
func fleet(t *testing.T, hosts, nodes int, perSecond, surge float64) (worst, total float64) {
	t.Helper()
	cfg := testConfig()
	cfg.Brokers, cfg.ColdCapacityUnits, cfg.OverloadWindow, cfg.SlowStartDuration, cfg.SlowStartFraction = hosts, 34, 2*time.Second, 15*time.Second, 0.15
	rng := rand.New(rand.NewPCG(uint64(hosts), 5))
	now, id := time.Hour, uint64(0)
	var rigs []*rig
	members := []decision.Endpoint{{Node: "cold", Shard: 0}}
	for i := 1; i < nodes; i++ {
		members = append(members, decision.Endpoint{Node: fmt.Sprint("n", i), Shard: i})
	}
	for i := 0; i < hosts; i++ {
		cfg.Seed = uint64(i + 1)
		r := newRig(t, cfg, members...)
		rigs = append(rigs, r)
	}
	var sends []wsend
	start := now + 5*time.Second
	for now < start+20*time.Second {
		now += 20 * ms
		if now == start {
			members[0].StartedAt = now
		}
		for i, r := range rigs {
			r.now = now
			evs := []decision.Event{{Kind: decision.TimerFired, Token: 1}}
			if now == start {
				evs = append(evs, decision.Event{Kind: decision.EndpointsReplaced, Endpoints: members})
			}
			for id0 := id; rng.Float64() < perSecond*float64(nodes)*0.02/float64(hosts) && id < id0+5; {
				id++
				a := r.arrive(id, 0, rng.IntN(2), fmt.Sprint("v", rng.IntN(9)), "", float64(1+rng.IntN(3)*rng.IntN(3)))
				a.Arrival.Shard = rng.IntN(nodes)
				evs = append(evs, a)
			}
			for id0 := id; i < 3 && rng.Float64() < surge*0.02/3 && id < id0+5; {
				id++
				a := r.arrive(id, 0, 1, "surge", "", float64(1+rng.IntN(3)*rng.IntN(3)))
				a.Arrival.Shard, a.Arrival.Brokers = 0, 3
				evs = append(evs, a)
			}
			for acts := r.step(evs...); len(acts) > 0; {
				var back []decision.Event
				for _, a := range acts {
					if a.Kind == decision.Forward {
						if q := r.s.requests.open[a.ID]; a.Node == "cold" && now >= start {
							sends = append(sends, wsend{now, q.arrival.Units})
							total += q.arrival.Units
						}
						back = append(back, answered(a.ID, a.Node, decision.Served))
					}
				}
				if back == nil {
					break
				}
				acts = r.step(back...)
			}
		}
	}
	for i, last := range sends {
		sum := 0.0
		for _, x := range sends[:i+1] {
			if x.at > last.at-cfg.OverloadWindow {
				sum += x.units
			}
		}
		age := math.Max(0, (last.at-cfg.OverloadWindow-start).Seconds()) / cfg.SlowStartDuration.Seconds()
		if last.at < start+cfg.SlowStartDuration {
			worst = math.Max(worst, sum/(cfg.ColdCapacityUnits*(1+(1-cfg.SlowStartFraction)/cfg.SlowStartFraction*age)))
		}
	}
	return worst, total
}

// However many hosts there are, together they keep to what a cold node bears and yet fill it.
func TestManyHostsBeforeAColdNode(t *testing.T) {
	for _, hosts := range []int{2, 5, 50, 200} {
		worst, total := fleet(t, hosts, 4, 60, 0)
		if worst > 1 {
			t.Errorf("%d hosts send %.2f of what the node bears in one window", hosts, worst)
		}
		if total < 300 {
			t.Errorf("%d hosts send only %v units in 20 s", hosts, total)
		}
		t.Logf("%d hosts: worst window %.2f, %v units", hosts, worst, total)
	}
}

// A surge that three of many hosts see does not push a cold node over what it bears. Each took what it asks of all
// shards for what is asked of this one, and the worst window held 1.02 of it.
func TestSurgeBeforeAColdNode(t *testing.T) {
	worst, total := fleet(t, 100, 40, 15, 60)
	if worst > 1 || total < 1000 {
		t.Errorf("worst window %.2f of what the node bears, %v units", worst, total)
	}
}

// At a cold node small requests win more often than large ones, so that sends of one sum make smaller bursts.
func TestSmallRequestsGoFirstToAColdNode(t *testing.T) {
	cfg := testConfig()
	cfg.Brokers, cfg.ColdCapacityUnits, cfg.OverloadWindow, cfg.SlowStartDuration, cfg.SlowStartFraction, cfg.MeanUnits, cfg.MaxUnits = 200, 20, time.Second, 15*time.Second, 0.2, 2, 8
	sent := map[float64]int{}
	for seed := range uint64(300) {
		cfg.Seed = seed + 1
		r := newRig(t, cfg, decision.Endpoint{Node: "cold", Shard: 0})
		r.step(decision.Event{Kind: decision.EndpointsReplaced, Endpoints: []decision.Endpoint{{Node: "cold", Shard: 0, StartedAt: r.now + 2*time.Second}}})
		for id := uint64(1); id <= 400; id++ {
			units := float64(1 + 3*(id%2))
			a := r.arrive(id, 0, 0, "v", "", units)
			for _, x := range r.after(20*ms, a) {
				if x.Kind == decision.Forward {
					sent[units]++
					r.step(answered(x.ID, x.Node, decision.Served))
				}
			}
		}
	}
	if sent[4] < 5 || sent[1] < 2*sent[4] {
		t.Errorf("sent %v by units, of as many of 1 as of 4", sent)
	}
}
