package model

import (
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/lab/history"
)

// attempt is one attempt of a request at one node.
type attempt struct {
	request   *request
	broker    *broker
	node      *Node
	conn      *conn
	job       *Job
	number    int // of the request, counted from 0
	epoch     int // of the broker's process
	openIndex int // index in the node's open attempts, -1 if it is not among them
	ended     bool
}

// abandon ends an attempt without reporting an outcome to its broker.
func (b *broker) abandon(at *attempt) {
	at.ended = true
	at.node.removeOpen(at)
	if at.job != nil {
		at.job.cancelled = b.run.s.Service.DropsCancelled
	}
	if at.conn != nil {
		at.conn.end()
	}
}

// send starts an attempt. It is ignored if the request or the node is unknown, or if another attempt is still open.
func (b *broker) send(a *decision.Action) {
	n, q := b.run.byName[a.Node], b.open[a.ID]
	if q == nil || n == nil || q.lastAttempt != nil && !q.lastAttempt.ended {
		b.run.ignoredForwards++
		return
	}
	at := &attempt{request: q, broker: b, node: n, number: q.attempts, epoch: b.epoch, openIndex: -1}
	q.attempts, q.lastAttempt = q.attempts+1, at
	b.run.attempts++
	b.run.record(history.Record{Kind: history.AttemptSent, Request: q.id, Attempt: int32(at.number), Broker: b.id, Node: n.id})
	wait, fresh := b.run.delay(), false
	if b.run.s.Link.IdleTimeout > 0 {
		if at.conn = b.takeIdleConn(n); at.conn == nil {
			fresh = true
			wait += b.run.delay() + b.run.delay() + b.run.s.Link.Handshake.us()
			b.run.handshakes++
		}
	}
	n.addOpen(at)
	if wait > 0 {
		b.run.e.After(wait, func() { b.arriveAtNode(at, fresh) })
	} else {
		b.arriveAtNode(at, fresh)
	}
	if after := a.After.Microseconds(); after < time.Hour.Microseconds() && !at.ended {
		b.run.e.After(after, func() { b.endAttempt(at, decision.TimedOut) })
	}
}

// arriveAtNode handles the arrival of an attempt at its node. fresh means that its connection is new.
func (b *broker) arriveAtNode(at *attempt, fresh bool) {
	n := at.node
	switch {
	case at.ended || n.unreachable: // the node does not receive it
		return
	case n.down:
		b.reportOutcome(at, decision.ConnectFailed)
		return
	}
	if fresh {
		if limit := b.run.s.Service.MaxConnections; limit > 0 && n.conns >= limit {
			b.reportOutcome(at, decision.Rejected)
			return
		}
		n.conns++
		at.conn = &conn{node: n, epoch: n.epoch, busy: true}
	}
	if n.recordArrival(at.request.work); n.down {
		return // the node crashed because of the overload, which ended its attempts
	}
	q := at.request
	if n.state != history.Ready {
		b.reportOutcome(at, decision.Rejected)
		return
	}
	if n.errorRate > 0 && b.run.responseRandom.Float64() < n.errorRate {
		b.reportOutcome(at, decision.NodeError)
		return
	}
	j := &Job{Work: q.work, key: q.key, write: b.run.classes[q.class].Writes, firstAttempt: at.number == 0}
	if fresh {
		j.Work += float64(b.run.s.Service.Handshake.us())
	}
	j.done = func() {
		if n.responseLossRate > 0 && b.run.responseRandom.Float64() < n.responseLossRate {
			return
		}
		if j.write && q.volume != nil {
			q.volume.recordWrite(q.key, n.shard)
		}
		b.reportOutcome(at, decision.Served)
	}
	at.job = j
	if !n.Enqueue(j) {
		b.run.queueRejections++
		b.reportOutcome(at, decision.Rejected)
	}
}

// reportOutcome passes an outcome to the broker after the network delay.
func (b *broker) reportOutcome(at *attempt, o decision.Outcome) {
	if d := b.run.delay(); d > 0 {
		b.run.e.After(d, func() { b.endAttempt(at, o) })
		return
	}
	// A design must not receive an event while it still handles another one.
	if b.run.stepping == b {
		b.run.e.After(0, func() { b.endAttempt(at, o) })
		return
	}
	b.endAttempt(at, o)
}

// endAttempt handles the outcome of an attempt.
func (b *broker) endAttempt(at *attempt, o decision.Outcome) {
	if at.ended || at.epoch != b.epoch {
		return
	}
	at.ended = true
	at.node.removeOpen(at)
	if at.job != nil && o != decision.Served {
		at.job.cancelled = b.run.s.Service.DropsCancelled
	}
	if at.conn != nil {
		if o == decision.Served || o == decision.Rejected || o == decision.NodeError {
			b.keepIdleConn(at.conn)
		} else {
			at.conn.end()
		}
	}
	q := at.request
	b.run.record(history.Record{Kind: history.AttemptEnded, Request: q.id, Attempt: int32(at.number), Broker: b.id, Node: at.node.id, NeverRan: o.NotExecuted()})
	if o == decision.Served && !q.done {
		b.respond(q.id, history.Served, 0)
	}
	b.step(decision.Event{Kind: decision.AttemptEnded, ID: q.id, Attempt: at.number, Node: at.node.name, Outcome: o, Final: q.done})
}

// addOpen adds an attempt to the node's open ones.
func (n *Node) addOpen(at *attempt) {
	at.openIndex = len(n.open)
	n.open = append(n.open, at)
}

// removeOpen removes an attempt from the node's open ones, if it is among them.
func (n *Node) removeOpen(at *attempt) {
	if at.openIndex < 0 {
		return
	}
	last := n.open[len(n.open)-1]
	n.open[at.openIndex], last.openIndex = last, at.openIndex
	n.open = n.open[:len(n.open)-1]
	at.openIndex = -1
}

// crash ends a node's process. Brokers learn that the connections of open attempts are closed, or that connecting
// failed.
func (r *run) crash(n *Node) {
	n.stop()
	for len(n.open) > 0 {
		at := n.open[len(n.open)-1]
		n.removeOpen(at)
		if at.job == nil && at.conn == nil && !at.ended {
			r.e.After(r.delay(), func() { at.broker.endAttempt(at, decision.ConnectFailed) })
		} else {
			r.e.After(r.delay(), func() { at.broker.endAttempt(at, decision.ConnectionLost) })
		}
	}
}
