package rules

import "poppyarch/internal/lab/history"

// node is the actual state of a storage node.
type node struct {
	shard, zone int32
	initial     bool // was up before the history began, and is on every broker's first list
	slowStart   bool
	startedAt   int64
	sends       []slowStartSend // attempts of the current slow start, within the window
}

// slowStartSend is an attempt at a node in slow start.
type slowStartSend struct {
	at         int64
	startKnown bool // the broker had been notified of the node's start
}

// brokerView is what one broker process knows.
type brokerView struct {
	notified  map[int32]notifiedState
	restarted bool    // not the broker's first process: it knows only what it was notified of
	received  []int64 // times of requests within the retry budget's window
	retries   []int64 // times of retries within that window
}

// notifiedState is the state of a node that a broker was notified of.
type notifiedState struct {
	state     history.State
	since     int64 // time of the notification that changed the state
	startedAt int64 // start of the node's process
}

func (c *Checker) node(id int32) *node {
	n := c.nodes[id]
	if n == nil {
		n = &node{}
		c.nodes[id] = n
	}
	return n
}

func (c *Checker) broker(id int32) *brokerView {
	b := c.brokers[id]
	if b == nil {
		b = &brokerView{notified: map[int32]notifiedState{}}
		c.brokers[id] = b
	}
	return b
}

func (b *brokerView) notify(r *history.Record) {
	known, ok := b.notified[r.Node]
	since := known.since
	if !ok || known.state != r.State {
		since = r.At
	}
	b.notified[r.Node] = notifiedState{state: r.State, since: since, startedAt: r.NodeStartedAt}
}

// knows reports whether the broker has a node on its list.
func (b *brokerView) knows(id int32, n *node) bool {
	_, notified := b.notified[id]
	return notified || n.initial && !b.restarted
}

// AddNode adds a node that was up before the history began. It is on the first list of every broker.
func (c *Checker) AddNode(id, shard, zone int32) {
	c.nodes[id] = &node{shard: shard, zone: zone, initial: true}
}

// EndSlowStart ends the slow start of a node.
func (c *Checker) EndSlowStart(id int32) {
	if n := c.nodes[id]; n != nil {
		n.endSlowStart()
	}
}

func (n *node) endSlowStart() {
	n.slowStart = false
	n.sends = nil
}

func (c *Checker) nodeStarted(r *history.Record) {
	old := c.nodes[r.Node]
	c.nodes[r.Node] = &node{
		shard:     r.Shard,
		zone:      r.Zone,
		initial:   old != nil && old.initial,
		slowStart: true,
		startedAt: r.At,
	}
}

// trackSlowStart keeps the attempts at a node in slow start while they count towards the node's load.
func (c *Checker) trackSlowStart(r *history.Record) {
	n := c.node(r.Node)
	if !n.slowStart {
		return
	}
	b := c.broker(r.Broker)
	startKnown := b.knows(r.Node, n) && b.notified[r.Node].startedAt >= n.startedAt
	n.sends = append(n.sends, slowStartSend{at: r.At, startKnown: startKnown})
	for len(n.sends) > 0 && n.sends[0].at < r.At-c.settings.SlowStartWindow {
		n.sends = n.sends[1:]
	}
}

// nodeOverloaded checks a node that was overloaded in slow start: the rule is broken if more than two thirds of the
// attempts in the window came from brokers that had been notified of the node's start.
func (c *Checker) nodeOverloaded(r *history.Record) {
	n := c.nodes[r.Node]
	if n == nil {
		return
	}
	informed, all := 0, 0
	for _, s := range n.sends {
		if s.at < r.At-c.settings.SlowStartWindow {
			continue
		}
		all++
		if s.startKnown {
			informed++
		}
	}
	if all > 0 && 3*informed > 2*all {
		c.violate(ruleOverload, r, "node overloaded, %d of %d sends came from brokers notified of its start", informed, all)
	}
	n.endSlowStart()
}
