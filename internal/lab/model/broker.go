package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/lab/history"
)

// request is one try of a client at one broker.
type request struct {
	id       uint64
	first    int64 // its client's first try
	until    int64 // its client waits so long for this one; 0: for ever
	work     float64
	units    float64
	key      uint64
	worth    float64 // of an answer in time
	vol      *volume
	class    int32
	shard    int32
	try      int
	inside   bool // its volume's reserve
	over     bool // answered, or its client has left
	attempts int
	last     *attempt
}

// attempt is one way of a request to one node.
type attempt struct {
	q     *request
	b     *broker
	n     *Node
	c     *conn
	w     *Work
	no    int
	epoch int // of the broker
	place int // among those open at the node; -1: not there
	over  bool
}

// conn is a connection between a broker and a node's process.
type conn struct {
	n     *Node
	epoch int // of the node's process
	idle  int // how often it was laid by; it ends if that is the same after the time that it is kept
	busy  bool
}

// broker is one broker: a design, and what its process holds. A new process has nothing but the last list.
type broker struct {
	r        *run
	id       int32
	zone     int32
	design   Design
	rng      *rand.Rand
	epoch    int
	down     bool
	begun    bool // it has had a process, and what that began with went without saying
	watching bool
	open     map[uint64]*request
	idle     map[*Node][]*conn
	known    []decision.Endpoint // as last told, by node; those never told have no name
	buf      []decision.Action
	ev       [1]decision.Event
}

func (r *run) now() time.Duration { return time.Duration(r.e.Now()) * time.Microsecond }

// wake starts the broker's process with the list that it has.
func (b *broker) wake() error {
	d, err := b.r.design(b)
	if err != nil {
		return err
	}
	b.design, b.down, b.watching = d, false, false
	b.open, b.idle = map[uint64]*request{}, map[*Node][]*conn{}
	if len(b.known) > 0 {
		var list []decision.Endpoint
		for i := range b.known {
			if b.known[i].Node != "" {
				list = append(list, b.known[i])
			}
		}
		b.told(decision.EndpointsReplaced, list)
	} else {
		b.step(decision.Event{Kind: decision.TimerFired})
	}
	return nil
}

// die ends it: what it had taken is lost, and its connections with it.
func (b *broker) die() {
	if b.down {
		return
	}
	b.down, b.watching = true, false
	b.epoch++
	b.r.note(history.Record{Kind: history.BrokerDied, Broker: b.id})
	for _, n := range b.r.nodes {
		for i := len(n.open) - 1; i >= 0; i-- { // in the order of the node's own list, so that runs repeat
			if at := n.open[i]; at.b == b {
				b.drop(at)
			}
		}
		for _, c := range b.idle[n] {
			c.end()
		}
	}
	b.open, b.idle, b.design = nil, nil, nil
}

// drop takes an attempt off its node without a word to its broker.
func (b *broker) drop(at *attempt) {
	at.over = true
	at.n.close(at)
	if at.w != nil {
		at.w.gone = b.r.s.Service.DropsExpired
	}
	if at.c != nil {
		at.c.end()
	}
}

func (c *conn) end() {
	if c.epoch == c.n.epoch {
		c.n.conns--
	}
	c.idle++
}

// step hands one event to the design and does what it says.
func (b *broker) step(ev decision.Event) {
	b.ev[0] = ev
	epoch := b.epoch
	b.r.stepping = b
	defer func() { b.r.stepping = nil }()
	acts := b.design.Step(b.r.now(), b.ev[:], b.buf[:0])
	b.buf = acts[:0]
	for i := range acts {
		a := &acts[i]
		switch a.Kind {
		case decision.Forward:
			b.send(a)
		case decision.Shed:
			b.answer(a.ID, history.Rejected, a.After)
		case decision.Fail:
			b.answer(a.ID, history.Failed, 0)
		case decision.SetTimer:
			token := a.Token
			b.r.e.After(max(a.After.Microseconds(), 1), func() {
				if b.epoch == epoch {
					b.step(decision.Event{Kind: decision.TimerFired, Token: token})
				}
			})
		case decision.WatchEndpoints:
			b.r.discovery.call(b)
		}
	}
}

// take is a request's arrival.
func (b *broker) take(q *request) {
	b.open[q.id] = q
	b.r.mostOpen = max(b.r.mostOpen, len(b.open))
	b.r.note(history.Record{Kind: history.RequestReceived, Request: q.id, Broker: b.id, Class: q.class, Volume: q.vol.id, Key: q.key, Units: q.units, Deadline: q.until})
	due := time.Duration(q.until) * time.Microsecond
	if q.until == 0 {
		due = b.r.now() + 1000*time.Hour
	}
	b.step(decision.Event{Kind: decision.RequestArrived, ID: q.id, Arrival: decision.Arrival{Class: int(q.class), Plan: q.vol.plan, Volume: q.vol.name, Key: b.r.keyName(q),
		Units: q.units, Shard: int(q.shard), Brokers: len(q.vol.hosts), Deadline: due}})
}

// answer is the broker's final word on a request that no node has served.
func (b *broker) answer(id uint64, a history.Result, hint time.Duration) {
	q := b.open[id]
	b.r.note(history.Record{Kind: history.ResponseSent, Request: id, Broker: b.id, Result: a})
	if q == nil {
		return
	}
	delete(b.open, id)
	b.r.heard(q, a, hint)
}

// send begins an attempt.
func (b *broker) send(a *decision.Action) {
	n, q := b.r.byName[a.Node], b.open[a.ID]
	if q == nil || n == nil || q.last != nil && !q.last.over {
		b.r.moot++
		return
	}
	at := &attempt{q: q, b: b, n: n, no: q.attempts, epoch: b.epoch, place: -1}
	q.attempts, q.last = q.attempts+1, at
	b.r.attempts++
	b.r.note(history.Record{Kind: history.AttemptSent, Request: q.id, Attempt: int32(at.no), Broker: b.id, Node: n.id})
	wait, fresh := b.r.delay(), false
	if b.r.s.Link.IdleTimeout > 0 {
		if at.c = b.lend(n); at.c == nil {
			fresh = true
			wait += b.r.delay() + b.r.delay() + b.r.s.Link.Handshake.us()
			b.r.handshakes++
		}
	}
	n.openUp(at)
	if wait > 0 {
		b.r.e.After(wait, func() { b.arrive(at, fresh) })
	} else {
		b.arrive(at, fresh)
	}
	if after := a.After.Microseconds(); after < time.Hour.Microseconds() && !at.over {
		b.r.e.After(after, func() { b.end(at, decision.TimedOut) })
	}
}

// lend is an idle connection to a node's present process.
func (b *broker) lend(n *Node) *conn {
	list := b.idle[n]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		b.idle[n] = list
		if c.epoch == n.epoch && !n.down {
			c.busy = true
			c.idle++
			return c
		}
	}
	return nil
}

// layBy keeps a connection for the next attempt, for a while.
func (b *broker) layBy(c *conn) {
	if c.epoch != c.n.epoch {
		return
	}
	c.busy = false
	c.idle++
	when, epoch := c.idle, b.epoch
	b.idle[c.n] = append(b.idle[c.n], c)
	b.r.e.After(b.r.s.Link.IdleTimeout.us(), func() {
		if c.idle != when || b.epoch != epoch {
			return
		}
		c.end()
		list := b.idle[c.n]
		for i := range list {
			if list[i] == c {
				b.idle[c.n] = append(list[:i], list[i+1:]...)
				break
			}
		}
	})
}

// arrive is the attempt at its node.
func (b *broker) arrive(at *attempt, fresh bool) {
	n := at.n
	switch {
	case at.over || n.away: // nothing comes of it
		return
	case n.down:
		b.later(at, decision.ConnectFailed)
		return
	}
	if fresh {
		if most := b.r.s.Service.Connections; most > 0 && n.conns >= most {
			b.later(at, decision.Rejected)
			return
		}
		n.conns++
		at.c = &conn{n: n, epoch: n.epoch, busy: true}
	}
	if n.offer(at.q.work); n.down {
		return // it fell, and all that it had is lost
	}
	q := at.q
	if n.state != history.Up {
		b.later(at, decision.Rejected)
		return
	}
	if n.errors > 0 && b.r.lots.Float64() < n.errors {
		b.later(at, decision.NodeError)
		return
	}
	w := &Work{Size: q.work, key: q.key, write: b.r.classes[q.class].Writes, first: at.no == 0}
	if fresh {
		w.Size += float64(b.r.s.Service.Handshake.us())
	}
	w.done = func() {
		if n.lossy > 0 && b.r.lots.Float64() < n.lossy {
			return
		}
		if w.write && q.vol != nil {
			q.vol.wrote(q.key, n.shard)
		}
		b.later(at, decision.Served)
	}
	at.w = w
	if !n.Take(w) {
		b.r.full++
		b.later(at, decision.Rejected)
	}
}

// later is what the broker hears after the way back.
func (b *broker) later(at *attempt, o decision.Outcome) {
	if d := b.r.delay(); d > 0 {
		b.r.e.After(d, func() { b.end(at, o) })
		return
	}
	// No event may be handed in while the design is still at the last one.
	if b.r.stepping == b {
		b.r.e.After(0, func() { b.end(at, o) })
		return
	}
	b.end(at, o)
}

// end is an attempt's outcome.
func (b *broker) end(at *attempt, o decision.Outcome) {
	if at.over || at.epoch != b.epoch {
		return
	}
	at.over = true
	at.n.close(at)
	if at.w != nil && o != decision.Served {
		at.w.gone = b.r.s.Service.DropsExpired
	}
	if at.c != nil {
		if o == decision.Served || o == decision.Rejected || o == decision.NodeError {
			b.layBy(at.c)
		} else {
			at.c.end()
		}
	}
	q := at.q
	b.r.note(history.Record{Kind: history.AttemptEnded, Request: q.id, Attempt: int32(at.no), Broker: b.id, Node: at.n.id, NeverRan: o.NotExecuted()})
	if o == decision.Served && !q.over {
		b.answer(q.id, history.Served, 0)
	}
	b.step(decision.Event{Kind: decision.AttemptEnded, ID: q.id, Attempt: at.no, Node: at.n.name, Outcome: o, Final: q.over})
}

// told is news of the list.
func (b *broker) told(kind decision.EventKind, list []decision.Endpoint) {
	for len(b.known) < len(b.r.nodes) {
		b.known = append(b.known, decision.Endpoint{})
	}
	if !b.begun {
		b.begun = true
		b.step(decision.Event{Kind: kind, Endpoints: list})
		return
	}
	if kind == decision.EndpointsReplaced {
		named := make(map[int32]bool, len(list))
		for i := range list {
			named[b.r.byName[list[i].Node].id] = true
		}
		for i := range b.known {
			if b.known[i].Node != "" && !named[int32(i)] {
				b.r.note(history.Record{Kind: history.NodeNotified, Broker: b.id, Node: int32(i), State: history.Removed})
				b.known[i] = decision.Endpoint{}
			}
		}
	}
	for i := range list {
		id := b.r.byName[list[i].Node].id
		b.known[id] = list[i]
		b.r.note(history.Record{Kind: history.NodeNotified, Broker: b.id, Node: id, State: history.State(list[i].State), NodeStartedAt: list[i].StartedAt.Microseconds()})
	}
	b.step(decision.Event{Kind: kind, Endpoints: list})
}

// openUp and close keep what is open at a node, so that its end can be told at once.
func (n *Node) openUp(at *attempt) {
	at.place = len(n.open)
	n.open = append(n.open, at)
}

func (n *Node) close(at *attempt) {
	if at.place < 0 {
		return
	}
	last := n.open[len(n.open)-1]
	n.open[at.place], last.place = last, at.place
	n.open = n.open[:len(n.open)-1]
	at.place = -1
}

// crash tells all that have an attempt open; a machine that vanishes tells nobody.
func (r *run) crash(n *Node) {
	n.stop()
	for len(n.open) > 0 {
		at := n.open[len(n.open)-1]
		n.close(at)
		if at.w == nil && at.c == nil && !at.over {
			r.e.After(r.delay(), func() { at.b.end(at, decision.ConnectFailed) })
		} else {
			r.e.After(r.delay(), func() { at.b.end(at, decision.ConnectionLost) })
		}
	}
}

func (r *run) keyName(q *request) string {
	if q.key == 0 {
		return ""
	}
	return fmt.Sprintf("%x", q.key)
}
