package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/lab/history"
)

// request is a client's request to one broker; a client's retry is another request. Times are microseconds since the
// start of the run.
type request struct {
	id            uint64
	firstSentAt   int64   // time of the client's first attempt, the same for its retry
	deadline      int64   // time at which the client disconnects; 0 if it never does
	work          float64 // microseconds of a core with speed 1
	units         float64
	key           uint64
	value         float64 // of a response within the latency objective
	volume        *volume
	class         int32
	shard         int32 // -1 for a new object
	clientAttempt int   // 0, or 1 for the client's retry
	withinReserve bool  // within its volume's reserved rate
	done          bool  // it has a final response, or its client has disconnected
	attempts      int   // of the broker so far
	lastAttempt   *attempt
}

// broker is a broker: its design and the state of its process. A restarted process keeps the endpoint list only.
type broker struct {
	run            *run
	id             int32
	zone           int32
	design         Design
	random         *rand.Rand
	epoch          int  // number of its process; events of earlier processes are ignored
	down           bool // no process is running
	hasInitialList bool // the first endpoint list has been passed on; it is not recorded in the history
	watching       bool // it receives changes from discovery
	open           map[uint64]*request
	idleConns      map[*Node][]*conn
	knownEndpoints []decision.Endpoint // as last notified, by node id; unknown nodes have no name
	actions        []decision.Action
	event          [1]decision.Event
}

func (r *run) now() time.Duration { return time.Duration(r.e.Now()) * time.Microsecond }

// start starts the broker's process with the last known endpoint list.
func (b *broker) start() error {
	d, err := b.run.design(b)
	if err != nil {
		return err
	}
	b.design, b.down, b.watching = d, false, false
	b.open, b.idleConns = map[uint64]*request{}, map[*Node][]*conn{}
	if len(b.knownEndpoints) > 0 {
		var list []decision.Endpoint
		for i := range b.knownEndpoints {
			if b.knownEndpoints[i].Node != "" {
				list = append(list, b.knownEndpoints[i])
			}
		}
		b.notify(decision.EndpointsReplaced, list)
	} else {
		b.step(decision.Event{Kind: decision.TimerFired})
	}
	return nil
}

// crash ends the broker's process: its requests and connections are lost.
func (b *broker) crash() {
	if b.down {
		return
	}
	b.down, b.watching = true, false
	b.epoch++
	b.run.record(history.Record{Kind: history.BrokerCrashed, Broker: b.id})
	for _, n := range b.run.nodes {
		for i := len(n.open) - 1; i >= 0; i-- { // in the order of the list, to keep runs deterministic
			if at := n.open[i]; at.broker == b {
				b.abandon(at)
			}
		}
		for _, c := range b.idleConns[n] {
			c.end()
		}
	}
	b.open, b.idleConns, b.design = nil, nil, nil
}

// step passes an event to the design and carries out its actions.
func (b *broker) step(ev decision.Event) {
	b.event[0] = ev
	epoch := b.epoch
	b.run.stepping = b
	defer func() { b.run.stepping = nil }()
	acts := b.design.Step(b.run.now(), b.event[:], b.actions[:0])
	b.actions = acts[:0]
	for i := range acts {
		a := &acts[i]
		switch a.Kind {
		case decision.Forward:
			b.send(a)
		case decision.Shed:
			b.respond(a.ID, history.Rejected, a.After)
		case decision.Fail:
			b.respond(a.ID, history.Failed, 0)
		case decision.SetTimer:
			token := a.Token
			b.run.e.After(max(a.After.Microseconds(), 1), func() {
				if b.epoch == epoch {
					b.step(decision.Event{Kind: decision.TimerFired, Token: token})
				}
			})
		case decision.WatchEndpoints:
			b.run.discovery.poll(b)
		}
	}
}

// receive handles the arrival of a request.
func (b *broker) receive(q *request) {
	b.open[q.id] = q
	b.run.maxOpen = max(b.run.maxOpen, len(b.open))
	b.run.record(history.Record{Kind: history.RequestReceived, Request: q.id, Broker: b.id, Class: q.class, Volume: q.volume.id, Key: q.key, Units: q.units, Deadline: q.deadline})
	deadline := time.Duration(q.deadline) * time.Microsecond
	if q.deadline == 0 {
		deadline = b.run.now() + 1000*time.Hour
	}
	b.step(decision.Event{Kind: decision.RequestArrived, ID: q.id, Arrival: decision.Arrival{Class: int(q.class), Plan: q.volume.plan, Volume: q.volume.name, Key: b.run.keyName(q),
		Units: q.units, Shard: int(q.shard), Brokers: len(q.volume.brokers), Deadline: deadline}})
}

// respond sends the final response to a request.
func (b *broker) respond(id uint64, a history.Result, hint time.Duration) {
	q := b.open[id]
	b.run.record(history.Record{Kind: history.ResponseSent, Request: id, Broker: b.id, Result: a})
	if q == nil {
		return
	}
	delete(b.open, id)
	b.run.handleResponse(q, a, hint)
}

// notify passes an endpoint list, or changes of it, to the broker.
func (b *broker) notify(kind decision.EventKind, list []decision.Endpoint) {
	for len(b.knownEndpoints) < len(b.run.nodes) {
		b.knownEndpoints = append(b.knownEndpoints, decision.Endpoint{})
	}
	if !b.hasInitialList {
		b.hasInitialList = true
		b.step(decision.Event{Kind: kind, Endpoints: list})
		return
	}
	if kind == decision.EndpointsReplaced {
		named := make(map[int32]bool, len(list))
		for i := range list {
			named[b.run.byName[list[i].Node].id] = true
		}
		for i := range b.knownEndpoints {
			if b.knownEndpoints[i].Node != "" && !named[int32(i)] {
				b.run.record(history.Record{Kind: history.NodeNotified, Broker: b.id, Node: int32(i), State: history.Removed})
				b.knownEndpoints[i] = decision.Endpoint{}
			}
		}
	}
	for i := range list {
		id := b.run.byName[list[i].Node].id
		b.knownEndpoints[id] = list[i]
		b.run.record(history.Record{Kind: history.NodeNotified, Broker: b.id, Node: id, State: history.State(list[i].State), NodeStartedAt: list[i].StartedAt.Microseconds()})
	}
	b.step(decision.Event{Kind: kind, Endpoints: list})
}

// keyName returns the key of a request in the form that brokers receive, which is empty if there is none.
func (r *run) keyName(q *request) string {
	if q.key == 0 {
		return ""
	}
	return fmt.Sprintf("%x", q.key)
}
