// Package rules holds a run's history against the rules of the brief. It knows nothing of designs, and keeps only what is open: a request until
// its attempts are known, a cold node until it is warm.
package rules

import (
	"fmt"
	"math"
	"slices"

	"poppyarch/internal/lab/history"
)

// Idempotency is how far a class may be sent again once an attempt may have run.
type Idempotency uint8

// The kinds of repetition.
const (
	Idempotent      Idempotency = iota
	IdempotentByKey             // for a while, at the nodes of a group
	NotIdempotent
)

// DeduplicationScope is where a repeat is known for one.
type DeduplicationScope uint8

// The groups.
const (
	AllNodes DeduplicationScope = iota
	SameZone
	SameShard
)

// Class is what the rules know of a class.
type Class struct {
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow int64
	Ordered             bool
}

// RateLimit is what a volume may take of all nodes together.
type RateLimit struct{ Rate, Burst, Tolerance float64 }

// Settings are the figures that bind. A figure of 0 binds nothing.
type Settings struct {
	Classes           []Class
	RateLimit         func(volume int32) RateLimit
	MaxAttempts       int32
	DrainGrace        int64 // for drains
	ResponseGrace     int64 // for answers
	SlowStartWindow   int64 // in which a cold node falls
	RetryBudget       bool
	RetryBudgetBase   float64
	RetryBudgetRatio  float64
	RetryBudgetWindow int64
	KeyQuietTime      int64 // rest of a key after an attempt with an open end
}

// Violation is a rule that was broken.
type Violation struct {
	At      int64  `json:"at_us"`
	Rule    string `json:"rule"`
	Request uint64 `json:"request,omitempty"`
	Broker  int32  `json:"broker"`
	Node    int32  `json:"node"`
	Text    string `json:"text"`
}

type attempt struct {
	node     int32
	at       int64
	over     bool
	neverRan bool
}

type request struct {
	rec      history.Record
	attempts []attempt
	answered bool
	left     bool
	drawn    bool
}

type store struct {
	level float64
	at    int64
}

type node struct {
	shard, zone int32
	sends       []sent // while cold
	cold        bool
	began       int64
	first       bool // up before the history began, and named to all brokers
}

type sent struct {
	at   int64
	told bool
}

type view struct {
	told  map[int32]history.State
	since map[int32]int64
	start map[int32]int64 // of the node's process, as told
	anew  bool            // its process is not the first: it knows nothing but what it was told since
}

// Checker reads records in the order of their times.
type Checker struct {
	terms    Settings
	now      int64
	open     map[uint64]*request
	nodes    map[int32]*node
	views    map[int32]*view
	stores   map[int32]*store
	turns    map[turn]*queue
	taken    map[int32][]int64
	further  map[int32][]int64
	broken   []Violation
	perRule  map[string]int
	mostOpen int
}

type turn struct {
	broker int32
	class  int32
	key    uint64
}

type queue struct {
	ids  []uint64
	rest int64
}

// most is how many broken rules are kept in words; all are counted.
const most = 100

// New returns a checker for one run.
func New(t Settings) *Checker {
	return &Checker{terms: t, open: map[uint64]*request{}, nodes: map[int32]*node{}, views: map[int32]*view{}, stores: map[int32]*store{},
		turns: map[turn]*queue{}, taken: map[int32][]int64{}, further: map[int32][]int64{}, perRule: map[string]int{}}
}

// Violations lists the first rules broken.
func (c *Checker) Violations() []Violation { return c.broken }

// Counts is how often each rule was broken.
func (c *Checker) Counts() map[string]int { return c.perRule }

// MaxOpen is the most requests that it knew at once.
func (c *Checker) MaxOpen() int { return c.mostOpen }

func (c *Checker) fault(rule string, r *history.Record, format string, args ...any) {
	c.perRule[rule]++
	if len(c.broken) < most {
		c.broken = append(c.broken, Violation{At: r.At, Rule: rule, Request: r.Request, Broker: r.Broker, Node: r.Node, Text: fmt.Sprintf(format, args...)})
	}
}

// Add takes the next record.
func (c *Checker) Add(r *history.Record) {
	if r.At < c.now {
		c.fault("history", r, "time runs back from %d", c.now)
	}
	c.now = r.At
	switch r.Kind {
	case history.RequestReceived:
		c.take(r)
	case history.AttemptSent:
		c.send(r)
	case history.AttemptEnded:
		if q := c.open[r.Request]; q != nil && int(r.Attempt) < len(q.attempts) {
			a := &q.attempts[r.Attempt]
			a.over, a.neverRan = true, r.NeverRan
			if t := c.turn(q); t != nil && !r.NeverRan && !q.answered {
				t.rest = max(t.rest, r.At)
			}
			c.settle(q)
		}
	case history.ResponseSent:
		c.answer(r)
	case history.ClientDisconnected:
		if q := c.open[r.Request]; q != nil {
			q.left = true
			c.settle(q)
		}
	case history.NodeNotified:
		v := c.view(r.Broker)
		if v.told[r.Node] != r.State || v.since[r.Node] == 0 {
			v.since[r.Node] = max(r.At, 1)
		}
		v.told[r.Node], v.start[r.Node] = r.State, r.NodeStartedAt
	case history.NodeStarted:
		old := c.nodes[r.Node]
		c.nodes[r.Node] = &node{first: old != nil && old.first, shard: r.Shard, zone: r.Zone, cold: true, began: r.At}
	case history.NodeOverloaded:
		c.fell(r)
	case history.BrokerDied:
		c.died(r)
	}
}

func (c *Checker) view(b int32) *view {
	v := c.views[b]
	if v == nil {
		v = &view{told: map[int32]history.State{}, since: map[int32]int64{}, start: map[int32]int64{}}
		c.views[b] = v
	}
	return v
}

func (c *Checker) take(r *history.Record) {
	if c.open[r.Request] != nil {
		c.fault("history", r, "taken twice")
		return
	}
	if int(r.Class) >= len(c.terms.Classes) {
		c.fault("history", r, "class %d is unknown", r.Class)
		return
	}
	q := &request{rec: *r}
	c.open[r.Request] = q
	c.mostOpen = max(c.mostOpen, len(c.open))
	if c.terms.Classes[r.Class].Ordered {
		k := turn{r.Broker, r.Class, r.Key}
		if c.turns[k] == nil {
			c.turns[k] = &queue{}
		}
		c.turns[k].ids = append(c.turns[k].ids, r.Request)
	}
	if c.terms.RetryBudget {
		c.taken[r.Broker] = append(c.taken[r.Broker], r.At)
	}
}

func (c *Checker) turn(q *request) *queue {
	if !c.terms.Classes[q.rec.Class].Ordered {
		return nil
	}
	return c.turns[turn{q.rec.Broker, q.rec.Class, q.rec.Key}]
}

// send is held against every rule that speaks of sends.
func (c *Checker) send(r *history.Record) {
	q := c.open[r.Request]
	if q == nil || q.rec.Broker != r.Broker {
		c.fault("answer", r, "sent, and not open at this broker")
		return
	}
	class := c.terms.Classes[q.rec.Class]
	switch {
	case q.answered:
		c.fault("answer", r, "sent after its final answer")
	case q.rec.Deadline > 0 && r.At > q.rec.Deadline+c.terms.ResponseGrace:
		c.fault("answer", r, "sent %d us after its client had given up", r.At-q.rec.Deadline)
	}
	if m := c.terms.MaxAttempts; m > 0 && int32(len(q.attempts)) >= m {
		c.fault("attempts", r, "attempt %d of %d", len(q.attempts)+1, m)
	}
	to := c.node(r.Node)
	for i, a := range q.attempts {
		if a.over && a.neverRan {
			continue
		}
		switch class.Idempotency {
		case NotIdempotent:
			c.fault("repeat", r, "attempt %d may have run at node %d, and the class must never run twice", i, a.node)
		case IdempotentByKey:
			from := c.node(a.node)
			ok := class.DeduplicationScope == AllNodes || class.DeduplicationScope == SameZone && from.zone == to.zone || class.DeduplicationScope == SameShard && from.shard == to.shard
			if !ok {
				c.fault("repeat", r, "attempt %d may have run at node %d, outside the group of node %d", i, a.node, r.Node)
			} else if r.At > a.at+class.DeduplicationWindow {
				c.fault("repeat", r, "attempt %d may have run, %d us ago", i, r.At-a.at)
			}
		}
	}
	v := c.view(r.Broker)
	state, known := v.told[r.Node]
	known = known || to.first && !v.anew
	if !known {
		c.fault("list", r, "sent to a node that the broker's list has never named")
	} else if state != history.Up && r.At > v.since[r.Node]+c.terms.DrainGrace {
		c.fault("drain", r, "sent %d us after the broker was told", r.At-v.since[r.Node])
	}
	c.order(q, r)
	c.budget(q, r)
	c.limit(q, r)
	if to.cold {
		to.sends = append(to.sends, sent{r.At, known && v.start[r.Node] >= to.began})
		for len(to.sends) > 0 && to.sends[0].at < r.At-c.terms.SlowStartWindow {
			to.sends = to.sends[1:]
		}
	}
	q.attempts = append(q.attempts, attempt{node: r.Node, at: r.At})
}

func (c *Checker) node(id int32) *node {
	n := c.nodes[id]
	if n == nil {
		n = &node{}
		c.nodes[id] = n
	}
	return n
}

// AddNode tells where a node stands that was up before the history began, and that all brokers begin with it on their lists.
func (c *Checker) AddNode(id, shard, zone int32) {
	c.nodes[id] = &node{shard: shard, zone: zone, first: true}
}

// EndSlowStart tells that a node may be forgotten as a cold one.
func (c *Checker) EndSlowStart(id int32) {
	if n := c.nodes[id]; n != nil {
		n.cold, n.sends = false, nil
	}
}

func (c *Checker) order(q *request, r *history.Record) {
	t := c.turn(q)
	if t == nil || len(q.attempts) > 0 {
		return
	}
	if t.ids[0] != r.Request {
		c.fault("order", r, "sent while request %x of its key is open", t.ids[0])
	}
	if c.terms.KeyQuietTime > 0 && t.rest > 0 && r.At < t.rest+c.terms.KeyQuietTime {
		c.fault("order", r, "sent %d us after an attempt of its key with an open end", r.At-t.rest)
	}
}

func (c *Checker) budget(q *request, r *history.Record) {
	if !c.terms.RetryBudget || len(q.attempts) == 0 {
		return
	}
	late := func(at int64) bool { return at < r.At-c.terms.RetryBudgetWindow }
	c.taken[r.Broker] = slices.DeleteFunc(c.taken[r.Broker], late)
	c.further[r.Broker] = append(slices.DeleteFunc(c.further[r.Broker], late), r.At)
	if n, may := float64(len(c.further[r.Broker])), c.terms.RetryBudgetBase+c.terms.RetryBudgetRatio*float64(len(c.taken[r.Broker])); n > may {
		c.fault("budget", r, "%.0f further attempts, %.1f allowed", n, may)
	}
}

func (c *Checker) limit(q *request, r *history.Record) {
	if c.terms.RateLimit == nil || q.drawn {
		return
	}
	q.drawn = true
	l := c.terms.RateLimit(q.rec.Volume)
	if l.Rate <= 0 {
		return
	}
	s := c.stores[q.rec.Volume]
	if s == nil {
		s = &store{level: l.Burst, at: r.At}
		c.stores[q.rec.Volume] = s
	}
	s.level = math.Min(l.Burst, s.level+l.Rate*float64(r.At-s.at)/1e6) - q.rec.Units
	s.at = r.At
	if s.level < -l.Tolerance-1e-9 {
		c.fault("limit", r, "volume %d is %.2f units beyond its limit and slack", q.rec.Volume, -s.level-l.Tolerance)
	}
}

func (c *Checker) answer(r *history.Record) {
	q := c.open[r.Request]
	switch {
	case q == nil:
		c.fault("answer", r, "answered, and not open")
		return
	case q.answered:
		c.fault("answer", r, "answered twice")
		return
	case q.rec.Deadline > 0 && r.At > q.rec.Deadline+c.terms.ResponseGrace:
		c.fault("answer", r, "answered %d us after its client had given up", r.At-q.rec.Deadline)
	}
	q.answered = true
	if r.Result == history.Rejected && c.terms.Classes[q.rec.Class].Idempotency == NotIdempotent {
		for i, a := range q.attempts {
			if !a.over || !a.neverRan {
				c.fault("refusal", r, "refused though attempt %d may have run", i)
			}
		}
	}
	c.settle(q)
}

// settle forgets what is answered and whose attempts are known.
func (c *Checker) settle(q *request) {
	if !q.answered {
		return
	}
	for _, a := range q.attempts {
		if !a.over {
			return
		}
	}
	c.forget(q)
}

func (c *Checker) forget(q *request) {
	delete(c.open, q.rec.Request)
	if !c.terms.Classes[q.rec.Class].Ordered {
		return
	}
	k := turn{q.rec.Broker, q.rec.Class, q.rec.Key}
	if t := c.turns[k]; t != nil {
		if i := slices.Index(t.ids, q.rec.Request); i >= 0 {
			t.ids = slices.Delete(t.ids, i, i+1)
		}
		if len(t.ids) == 0 && (t.rest == 0 || c.now >= t.rest+c.terms.KeyQuietTime) {
			delete(c.turns, k)
		}
	}
}

// fell: the rule is broken where over two thirds of what came in the window was sent by brokers that had been told of the start.
func (c *Checker) fell(r *history.Record) {
	n := c.nodes[r.Node]
	if n == nil {
		return
	}
	told, all := 0, 0
	for _, s := range n.sends {
		if s.at >= r.At-c.terms.SlowStartWindow {
			all++
			if s.told {
				told++
			}
		}
	}
	if all > 0 && 3*told > 2*all {
		c.fault("cold", r, "fell, %d of %d sends came from brokers that had been told of its start", told, all)
	}
	n.cold, n.sends = false, nil
}

// died: what a broker had taken goes with it, and what it had been told.
func (c *Checker) died(r *history.Record) {
	for _, q := range c.open {
		if q.rec.Broker == r.Broker {
			c.forget(q)
		}
	}
	for k := range c.turns {
		if k.broker == r.Broker {
			delete(c.turns, k)
		}
	}
	delete(c.views, r.Broker)
	c.view(r.Broker).anew = true
	delete(c.taken, r.Broker)
	delete(c.further, r.Broker)
}

// Finish is the end of the run: what should have had its answer by then and has not is a broken rule.
func (c *Checker) Finish(at int64) {
	ids := make([]uint64, 0, len(c.open))
	for id, q := range c.open {
		if !q.answered && !q.left && q.rec.Deadline > 0 && q.rec.Deadline+c.terms.ResponseGrace < at {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := c.open[id]
		c.fault("answer", &history.Record{At: at, Request: id, Broker: q.rec.Broker, Node: -1}, "never answered; its client gave up at %d us", q.rec.Deadline)
	}
}
