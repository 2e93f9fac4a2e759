package model

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/policy"
)

// Design is what decides at one broker: the module itself, or a plain one of the same interface. It sees what a broker sees.
type Design interface {
	Step(now time.Duration, events []decision.Event, act []decision.Action) []decision.Action
}

// Designs are the names of the plain ones, of the module alone and behind the membership, and of one that sees the true state.
func Designs() []string {
	return []string{"asfq", "bucket", "least", "members", "module", "oracle", "random", "round", "two"}
}

// parse takes a name apart: "asfq:4" is asfq with a depth of 4.
func parse(name string) (base string, figure float64, err error) {
	base, text, given := strings.Cut(name, ":")
	figure = map[string]float64{"asfq": 3, "bucket": 1.2}[base]
	if given {
		takes := figure > 0
		if figure, err = strconv.ParseFloat(text, 64); err != nil || !takes || !(figure > 0) {
			return "", 0, fmt.Errorf("design %q: %q is no figure that it takes (asfq:DEPTH, bucket:MULTIPLE OF THE RATE)", name, text)
		}
	}
	if !slices.Contains(Designs(), base) {
		return "", 0, fmt.Errorf("design %q is unknown; there are %v", name, Designs())
	}
	return base, figure, nil
}

// CheckDesign reports a name that stands for no design.
func CheckDesign(name string) error {
	_, _, err := parse(name)
	return err
}

// design makes one broker's.
func (r *run) design(b *broker) (Design, error) {
	base, figure, err := parse(r.name)
	if err != nil {
		return nil, err
	}
	seed := b.rng.Uint64()
	if base == "module" || base == "members" {
		cfg := r.config
		cfg.Seed = seed
		if r.s.Zones > 1 {
			cfg.LocalZone = int(b.zone) + 1
		}
		d, err := policy.New(cfg)
		if err != nil || base == "module" {
			return d, err
		}
		return newMembers(d, r.now(), cfg.SlowStartDuration), nil
	}
	p := &plain{cfg: &r.config, rng: rand.New(rand.NewPCG(seed, 3)), at: -1, nodes: map[string]*seen{}, byShard: map[int][]*seen{}, open: map[uint64]*held{}}
	switch base {
	case "random":
		p.pick = p.random
	case "round":
		p.pick = p.round
	case "least":
		p.pick = p.least
	case "two":
		p.pick = p.two
	case "bucket":
		p.pick, p.rate, p.stores = p.two, figure, map[string]*store{}
	case "asfq":
		p.pick, p.depth = p.two, figure
	case "oracle":
		p.truth = r
		p.pick = p.best
	}
	return p, nil
}

// plain sends at once to a node that it picks, or queues there by tags where it has a depth. What it knows of a node is what it has out there.
type plain struct {
	cfg     *decision.Config
	rng     *rand.Rand
	now     time.Duration
	at      int
	asked   bool
	askAt   time.Duration
	wakeAt  time.Duration
	nodes   map[string]*seen
	list    []*seen
	byShard map[int][]*seen
	open    map[uint64]*held
	pick    func(list []*seen, h *held) *seen
	rate    float64 // token buckets by volume: so many times the plan's rate
	stores  map[string]*store
	depth   float64 // out at a node at once; 0: no bound
	truth   *run
	act     []decision.Action
}

type seen struct {
	m     decision.Endpoint
	out   int
	flows map[string]*tags
	queue []*held // by tag, where there is a depth
	high  float64 // highest start tag sent
}

type tags struct{ last float64 }

type held struct {
	id     uint64
	a      decision.Arrival
	class  *decision.Class
	came   time.Duration
	tries  int
	node   *seen
	start  float64
	queued bool
	gone   bool
	isOut  bool
	risky  bool
}

type store struct {
	level float64
	at    time.Duration
}

// Step takes events one by one.
func (p *plain) Step(now time.Duration, events []decision.Event, act []decision.Action) []decision.Action {
	p.now, p.act = now, act
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case decision.RequestArrived:
			p.arrived(ev)
		case decision.AttemptEnded:
			p.answered(ev)
		case decision.ClientDisconnected:
			if h := p.open[ev.ID]; h != nil {
				h.gone = true
				if !h.isOut {
					p.unqueue(h)
					delete(p.open, ev.ID)
				}
			}
		case decision.EndpointsReplaced, decision.EndpointsChanged:
			p.learn(ev)
		case decision.EndpointWatchFailed:
			p.asked, p.askAt = false, now+time.Duration((0.5+p.rng.Float64())*float64(time.Second))
		case decision.TimerFired:
			p.wakeAt = 0
		}
	}
	if p.cfg.PollsEndpoints && !p.asked && now >= p.askAt {
		p.asked = true
		p.act = append(p.act, decision.Action{Kind: decision.WatchEndpoints})
	}
	if p.depth > 0 {
		p.expire()
	}
	if p.wakeAt == 0 && (!p.asked || p.depth > 0 && len(p.open) > 0) {
		p.wakeAt = now + 20*time.Millisecond
		p.act = append(p.act, decision.Action{Kind: decision.SetTimer, After: 20 * time.Millisecond, Token: 1})
	}
	return p.act
}

func (p *plain) learn(ev *decision.Event) {
	if ev.Kind == decision.EndpointsReplaced {
		for _, n := range p.list {
			n.m.State = decision.Removed
		}
	}
	for i := range ev.Endpoints {
		m := ev.Endpoints[i]
		n := p.nodes[m.Node]
		if n == nil {
			n = &seen{}
			p.nodes[m.Node] = n
		}
		n.m = m
	}
	p.list, p.byShard = p.list[:0], make(map[int][]*seen, len(p.byShard))
	for _, n := range p.nodes {
		if n.m.State == decision.Ready {
			p.list = append(p.list, n)
		}
	}
	slices.SortFunc(p.list, func(a, b *seen) int { return cmp.Compare(a.m.Node, b.m.Node) })
	for _, n := range p.list {
		p.byShard[n.m.Shard] = append(p.byShard[n.m.Shard], n)
	}
	for _, n := range p.nodes { // what waits for one that takes nothing new is refused
		for n.m.State != decision.Ready && len(n.queue) > 0 {
			h := n.queue[0]
			p.unqueue(h)
			p.refuse(h)
		}
	}
}

func (p *plain) refuse(h *held) {
	delete(p.open, h.id)
	kind := decision.Shed
	if h.risky && h.class.Idempotency != decision.Idempotent {
		kind = decision.Fail
	}
	p.act = append(p.act, decision.Action{Kind: kind, ID: h.id, After: 200 * time.Millisecond})
}

func (p *plain) arrived(ev *decision.Event) {
	h := &held{id: ev.ID, a: ev.Arrival, class: &p.cfg.Classes[ev.Arrival.Class], came: p.now}
	p.open[h.id] = h
	if p.rate > 0 && h.a.Plan < len(p.cfg.Plans) {
		s, plan := p.stores[h.a.Volume], p.cfg.Plans[h.a.Plan]
		per := p.rate * plan.UsualRate / float64(max(h.a.Brokers, 1))
		if s == nil {
			s = &store{level: per + p.cfg.MaxUnits, at: p.now}
			p.stores[h.a.Volume] = s
		}
		s.level = math.Min(per+p.cfg.MaxUnits, s.level+per*(p.now-s.at).Seconds())
		s.at = p.now
		if s.level < h.a.Units {
			p.refuse(h)
			return
		}
		s.level -= h.a.Units
	}
	p.place(h)
}

func (p *plain) place(h *held) {
	list := p.list
	if h.a.Shard >= 0 {
		list = p.byShard[h.a.Shard]
	}
	var n *seen
	if len(list) > 0 {
		n = p.pick(list, h)
	}
	if n == nil {
		p.refuse(h)
		return
	}
	h.node = n
	if p.depth == 0 {
		p.send(h)
		return
	}
	weight := 1.0
	if h.a.Plan < len(p.cfg.Plans) {
		weight = p.cfg.Plans[h.a.Plan].Weight
	}
	f := n.flows[h.a.Volume]
	if f == nil {
		if n.flows == nil {
			n.flows = map[string]*tags{}
		}
		f = &tags{}
		n.flows[h.a.Volume] = f
	}
	h.start = max(n.high, f.last)
	f.last = h.start + h.a.Units/weight
	i, _ := slices.BinarySearchFunc(n.queue, h.start, func(x *held, t float64) int {
		if x.start <= t {
			return -1
		}
		return 1
	})
	n.queue = slices.Insert(n.queue, i, h)
	h.queued = true
	p.dispatch(n)
}

// margin is what is left of a client's patience for the answer's own way.
const margin = 20 * time.Millisecond

// after is how long an attempt may take.
func (p *plain) after(h *held) time.Duration { return max(h.a.Deadline-p.now-margin, time.Millisecond) }

func (p *plain) send(h *held) {
	h.node.out++
	h.tries++
	h.isOut = true
	p.act = append(p.act, decision.Action{Kind: decision.Forward, ID: h.id, Node: h.node.m.Node, After: p.after(h)})
}

func (p *plain) dispatch(n *seen) {
	for len(n.queue) > 0 && float64(n.out) < max(p.depth, 1) {
		h := n.queue[0]
		p.unqueue(h)
		n.high = max(n.high, h.start)
		p.send(h)
	}
}

func (p *plain) unqueue(h *held) {
	if h.queued {
		h.queued = false
		i := slices.Index(h.node.queue, h)
		h.node.queue = slices.Delete(h.node.queue, i, i+1)
	}
}

// expire refuses what has waited past its aim, or nearly past its client's patience.
func (p *plain) expire() {
	for _, n := range p.list {
		for i := 0; i < len(n.queue); {
			if h := n.queue[i]; p.now >= h.came+h.class.LatencyObjective || p.now >= h.a.Deadline-2*margin {
				p.unqueue(h)
				p.refuse(h)
			} else {
				i++
			}
		}
	}
}

func (p *plain) answered(ev *decision.Event) {
	h := p.open[ev.ID]
	if h == nil || !h.isOut {
		return
	}
	h.isOut = false
	n := h.node
	n.out--
	if p.depth > 0 {
		defer p.dispatch(n)
	}
	if ev.Outcome == decision.Served || h.gone || ev.Final {
		delete(p.open, h.id)
		return
	}
	h.risky = h.risky || !ev.Outcome.NotExecuted()
	again := !h.risky || h.class.Idempotency == decision.Idempotent
	if again && (p.cfg.MaxAttempts == 0 || h.tries < p.cfg.MaxAttempts) && p.now+4*margin < h.a.Deadline {
		p.place(h)
		return
	}
	delete(p.open, h.id)
	kind := decision.Fail
	if again {
		kind = decision.Shed
	}
	p.act = append(p.act, decision.Action{Kind: kind, ID: h.id, After: 200 * time.Millisecond})
}

// ---- ways to pick ----

func (p *plain) random(list []*seen, _ *held) *seen { return list[p.rng.IntN(len(list))] }

// round goes through all in turn, from a place of its own so that brokers are not in step.
func (p *plain) round(list []*seen, _ *held) *seen {
	if p.at < 0 {
		p.at = p.rng.IntN(len(list))
	}
	p.at = (p.at + 1) % len(list)
	return list[p.at]
}

// least takes a node with the fewest requests of this broker's out, by lot among several.
func (p *plain) least(list []*seen, _ *held) *seen {
	from := p.rng.IntN(len(list))
	best := list[from]
	for k := range list {
		if n := list[(from+k)%len(list)]; n.out+len(n.queue) < best.out+len(best.queue) {
			if best = n; n.out == 0 {
				break
			}
		}
	}
	return best
}

// two takes the better one of two by lot.
func (p *plain) two(list []*seen, _ *held) *seen {
	a, b := list[p.rng.IntN(len(list))], list[p.rng.IntN(len(list))]
	if b.out+len(b.queue) < a.out+len(a.queue) {
		return b
	}
	return a
}

// best sees the true state: it takes the node where the request would be done first, and refuses what would not be in time anywhere or would push a cold node over.
func (p *plain) best(list []*seen, h *held) *seen {
	var best *seen
	least := math.Inf(1)
	q := p.truth.true(h.id)
	for _, s := range list {
		n := p.truth.byName[s.m.Node]
		if n.down || n.away || n.silent || n.hung || n.state != 0 || n.Room > 0 && n.queued() >= n.Room || !n.spare() {
			continue
		}
		if took := n.expects(q); took < least {
			best, least = s, took
		}
	}
	if p.now+time.Duration(least)*time.Microsecond > h.came+h.class.LatencyObjective {
		return nil
	}
	return best
}

// spare reports whether one more cannot push a cold node over.
func (n *Node) spare() bool {
	if n.cold == nil || n.cold.OverloadFactor == 0 || n.began == 0 || n.warmth() >= 1 {
		return true
	}
	now, sum := n.e.Now(), 0.0
	for _, x := range n.recent {
		if x.at >= now-n.cold.Window.us() {
			sum += x.size
		}
	}
	return sum+float64(len(n.open)+1) < n.bears()
}

// expects is how long a request would take there, in microseconds.
func (n *Node) expects(q *request) float64 {
	power := n.Speed * n.power()
	return float64(max(n.awake-n.e.Now(), 0)) + n.backlog()/power/float64(n.Cores) + q.work/power
}
