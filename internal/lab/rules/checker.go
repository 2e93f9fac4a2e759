package rules

import (
	"fmt"
	"slices"

	"poppyarch/internal/lab/history"
)

// maxViolations is how many violations are kept in full; all are counted.
const maxViolations = 100

// noNode is the node of a violation that concerns no node.
const noNode = -1

// Checker checks the records of one run, which must be added in time order.
type Checker struct {
	settings Settings
	now      int64 // time of the latest record
	requests map[uint64]*request
	maxOpen  int
	nodes    map[int32]*node
	brokers  map[int32]*brokerView
	buckets  map[int32]*bucket // by volume
	keys     map[orderKey]*keyQueue

	violations []Violation
	counts     map[string]int // by rule
}

// request is a request without a final response, or one with attempts that have not all ended.
type request struct {
	received           history.Record
	attempts           []attempt
	responded          bool
	clientDisconnected bool
	rateConsumed       bool // its units were charged to the token bucket of its volume
}

type attempt struct {
	node     int32
	at       int64
	ended    bool
	neverRan bool
}

// mayHaveRun reports whether a further attempt could run the request a second time.
func (a *attempt) mayHaveRun() bool { return !a.ended || !a.neverRan }

// New returns a checker for one run.
func New(settings Settings) *Checker {
	return &Checker{
		settings: settings,
		requests: map[uint64]*request{},
		nodes:    map[int32]*node{},
		brokers:  map[int32]*brokerView{},
		buckets:  map[int32]*bucket{},
		keys:     map[orderKey]*keyQueue{},
		counts:   map[string]int{},
	}
}

// Violations returns the first violations, at most maxViolations.
func (c *Checker) Violations() []Violation { return c.violations }

// Counts returns how often each rule was broken.
func (c *Checker) Counts() map[string]int { return c.counts }

// MaxOpen returns the largest number of requests that were open at the same time.
func (c *Checker) MaxOpen() int { return c.maxOpen }

func (c *Checker) violate(rule string, r *history.Record, format string, args ...any) {
	c.counts[rule]++
	if len(c.violations) == maxViolations {
		return
	}
	c.violations = append(c.violations, Violation{
		At:      r.At,
		Rule:    rule,
		Request: r.Request,
		Broker:  r.Broker,
		Node:    r.Node,
		Text:    fmt.Sprintf(format, args...),
	})
}

// Add checks the next record.
func (c *Checker) Add(r *history.Record) {
	if r.At < c.now {
		c.violate(ruleHistory, r, "time runs back from %d", c.now)
	}
	c.now = r.At
	switch r.Kind {
	case history.RequestReceived:
		c.requestReceived(r)
	case history.AttemptSent:
		c.attemptSent(r)
	case history.AttemptEnded:
		c.attemptEnded(r)
	case history.ResponseSent:
		c.responseSent(r)
	case history.ClientDisconnected:
		if q := c.requests[r.Request]; q != nil {
			q.clientDisconnected = true
			c.forgetSettled(q)
		}
	case history.NodeNotified:
		c.broker(r.Broker).notify(r)
	case history.NodeStarted:
		c.nodeStarted(r)
	case history.NodeOverloaded:
		c.nodeOverloaded(r)
	case history.BrokerCrashed:
		c.brokerDied(r)
	}
}

func (c *Checker) requestReceived(r *history.Record) {
	if c.requests[r.Request] != nil {
		c.violate(ruleHistory, r, "taken twice")
		return
	}
	if int(r.Class) >= len(c.settings.Classes) {
		c.violate(ruleHistory, r, "class %d is unknown", r.Class)
		return
	}
	q := &request{received: *r}
	c.requests[r.Request] = q
	c.maxOpen = max(c.maxOpen, len(c.requests))
	c.enqueueKey(q)
	if c.settings.RetryBudget {
		b := c.broker(r.Broker)
		b.received = append(b.received, r.At)
	}
}

func (c *Checker) attemptEnded(r *history.Record) {
	q := c.requests[r.Request]
	if q == nil || int(r.Attempt) >= len(q.attempts) {
		return
	}
	a := &q.attempts[r.Attempt]
	a.ended = true
	a.neverRan = r.NeverRan
	if k := c.keyQueueOf(q); k != nil && !r.NeverRan && !q.responded {
		k.unknownSince = max(k.unknownSince, r.At)
	}
	c.forgetSettled(q)
}

func (c *Checker) responseSent(r *history.Record) {
	q := c.requests[r.Request]
	switch {
	case q == nil:
		c.violate(ruleResponse, r, "answered, and not open")
		return
	case q.responded:
		c.violate(ruleResponse, r, "answered twice")
		return
	case c.isLate(q, r.At):
		c.violate(ruleResponse, r, "answered %d us after its client had given up", r.At-q.received.Deadline)
	}
	q.responded = true
	if r.Result == history.Rejected && c.settings.Classes[q.received.Class].Idempotency == NotIdempotent {
		for i := range q.attempts {
			if q.attempts[i].mayHaveRun() {
				c.violate(ruleReject, r, "refused though attempt %d may have run", i)
			}
		}
	}
	c.forgetSettled(q)
}

// isLate reports whether a time is after a request's deadline plus the grace period.
func (c *Checker) isLate(q *request, at int64) bool {
	return q.received.Deadline > 0 && at > q.received.Deadline+c.settings.ResponseGrace
}

// forgetSettled forgets a request that has its response and whose attempts have all ended.
func (c *Checker) forgetSettled(q *request) {
	if !q.responded {
		return
	}
	for i := range q.attempts {
		if !q.attempts[i].ended {
			return
		}
	}
	c.forget(q)
}

func (c *Checker) forget(q *request) {
	delete(c.requests, q.received.Request)
	c.dequeueKey(q)
}

// brokerDied forgets the requests of a broker and all that it was notified of.
func (c *Checker) brokerDied(r *history.Record) {
	for _, q := range c.requests {
		if q.received.Broker == r.Broker {
			c.forget(q)
		}
	}
	for k := range c.keys {
		if k.broker == r.Broker {
			delete(c.keys, k)
		}
	}
	delete(c.brokers, r.Broker)
	c.broker(r.Broker).restarted = true
}

// Finish ends the run at the given time. Requests that should have received a response by then are violations.
func (c *Checker) Finish(at int64) {
	var late []uint64
	for id, q := range c.requests {
		if !q.responded && !q.clientDisconnected && c.isLate(q, at) {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		q := c.requests[id]
		r := &history.Record{At: at, Request: id, Broker: q.received.Broker, Node: noNode}
		c.violate(ruleResponse, r, "never answered; its client gave up at %d us", q.received.Deadline)
	}
}
