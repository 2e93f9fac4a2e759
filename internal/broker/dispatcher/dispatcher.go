// Package dispatcher gives the decision module a blocking interface: callers submit requests, report outcomes and
// never see the module's events and actions.
//
// A Dispatcher is shared by any number of goroutines that call Submit, Report and ResponseStarted. One goroutine
// calls Tick and so owns the scheduler; it is the only one that steps it.
package dispatcher

import (
	"context"
	"sync"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/clock"
	"poppyarch/policy"
)

// Verdict is what is to be done next with a request.
type Verdict uint8

// The verdicts.
const (
	Forward         Verdict = iota // make an attempt at Node, for at most Timeout
	Rejected                       // tell the client that a retry is harmless, after RetryAfter if it is not 0
	Failed                         // tell the client that the request failed
	NoFurtherAction                // it was served, or its caller stopped waiting
)

// Decision is a verdict and its parameters.
type Decision struct {
	Verdict    Verdict
	Node       string
	Timeout    clock.Micros // duration
	NotAfter   clock.Micros // the attempt must not begin later than this time; 0: no bound
	RetryAfter clock.Micros // duration; 0: none
}

// RequestInfo is a request as its caller describes it.
type RequestInfo struct {
	Class    int // index into the settings' classes
	Plan     int // index into the settings' plans
	Volume   string
	Key      string // idempotency and ordering key; may be empty
	Units    float64
	Shard    int          // decision.AnyShard for a new object
	Brokers  int          // brokers that the volume uses
	Deadline clock.Micros // on the clock that Tick is given
}

// Dispatcher runs the decision module for concurrent callers.
type Dispatcher struct {
	scheduler      *policy.Scheduler // owned by the goroutine that calls Tick
	log            func(string)
	tickDue        chan struct{} // holds one: events are waiting for the next Tick
	watchRequested chan struct{} // holds one: the module wants the endpoint list watched

	mu     sync.Mutex // guards the fields below
	lastID uint64
	inbox  []decision.Event // for the next Tick
	calls  map[uint64]*call

	// Buffers of the goroutine that calls Tick.
	events  []decision.Event
	actions []decision.Action
}

// call is one request from its Submit to its end.
type call struct {
	decision        chan Decision // holds one
	abandoned       bool          // its caller has stopped waiting
	responseStarted bool          // the client has got the start of a response
	attempts        int
	node            string // of the last attempt
}

// New returns a dispatcher whose module knows nothing but its settings. The module's log lines go to log, which is
// called by the goroutine that calls Tick. The error is a *decision.SettingError.
func New(cfg decision.Config, log func(string)) (*Dispatcher, error) {
	scheduler, err := policy.New(cfg)
	if err != nil {
		return nil, err
	}
	return &Dispatcher{
		scheduler:      scheduler,
		log:            log,
		tickDue:        make(chan struct{}, 1),
		watchRequested: make(chan struct{}, 1),
		calls:          map[uint64]*call{},
	}, nil
}

// TickDue signals that a Tick is due before the time that the last one returned.
func (d *Dispatcher) TickDue() <-chan struct{} { return d.tickDue }

// WatchRequested signals that the module wants the endpoint list watched, for the first time or again.
func (d *Dispatcher) WatchRequested() <-chan struct{} { return d.watchRequested }

// Submit hands in a request and blocks until the module has decided on it or ctx is done. The id names the request
// in Report and ResponseStarted.
func (d *Dispatcher) Submit(ctx context.Context, r RequestInfo) (id uint64, next Decision) {
	c := &call{decision: make(chan Decision, 1)}
	d.mu.Lock()
	d.lastID++
	id = d.lastID
	d.calls[id] = c
	d.push(decision.Event{Kind: decision.RequestArrived, ID: id, Arrival: decision.Arrival{
		Class:    r.Class,
		Plan:     r.Plan,
		Volume:   r.Volume,
		Key:      r.Key,
		Units:    r.Units,
		Shard:    r.Shard,
		Brokers:  r.Brokers,
		Deadline: clock.Duration(r.Deadline),
	}})
	d.mu.Unlock()
	return id, d.await(ctx, id, c)
}

// Report hands in the outcome of the request's last attempt and blocks until the module has decided what follows.
// It must be called even if ctx is done; then, and after decision.Served, nothing follows.
func (d *Dispatcher) Report(ctx context.Context, id uint64, outcome decision.Outcome) Decision {
	d.mu.Lock()
	c := d.calls[id]
	if c == nil {
		d.mu.Unlock()
		return Decision{Verdict: NoFurtherAction}
	}
	served := outcome == decision.Served
	final := served || c.responseStarted || ctx.Err() != nil
	if final {
		c.abandoned = true
		delete(d.calls, id)
		if !served && !c.responseStarted {
			// Before the outcome, so that the module does not decide on another attempt.
			d.push(decision.Event{Kind: decision.ClientDisconnected, ID: id})
		}
	}
	d.push(c.attemptEnded(id, outcome, final))
	d.mu.Unlock()
	if final {
		return Decision{Verdict: NoFurtherAction}
	}
	return d.await(ctx, id, c)
}

// attemptEnded is the event that the call's last attempt has ended.
func (c *call) attemptEnded(id uint64, outcome decision.Outcome, final bool) decision.Event {
	return decision.Event{
		Kind:    decision.AttemptEnded,
		ID:      id,
		Attempt: c.attempts - 1,
		Node:    c.node,
		Outcome: outcome,
		Final:   final,
	}
}

// ResponseStarted says that the client gets the response of the request's attempt, so that no other may follow.
func (d *Dispatcher) ResponseStarted(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.calls[id]; c != nil {
		c.responseStarted = true
		d.push(decision.Event{Kind: decision.ResponseStarted, ID: id})
	}
}

// UpdateEndpoints hands in the whole endpoint list, or its changed entries if full is false.
func (d *Dispatcher) UpdateEndpoints(endpoints []decision.Endpoint, full bool) {
	ev := decision.Event{Kind: decision.EndpointsChanged, Endpoints: endpoints}
	if full {
		ev.Kind = decision.EndpointsReplaced
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.push(ev)
}

// EndpointWatchFailed says that a poll of the endpoint list failed or its watch ended. The module asks for the next
// one within retryWithin; 0 sets no bound.
func (d *Dispatcher) EndpointWatchFailed(retryWithin clock.Micros) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.push(decision.Event{Kind: decision.EndpointWatchFailed, RetryWithin: clock.Duration(retryWithin)})
}

// await blocks until the module has decided on the call or its caller stops waiting.
func (d *Dispatcher) await(ctx context.Context, id uint64, c *call) Decision {
	select {
	case next := <-c.decision:
		return next
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case next := <-c.decision: // decided in the meantime: the caller follows it or reports that it did not
		return next
	default:
	}
	c.abandoned = true
	d.push(decision.Event{Kind: decision.ClientDisconnected, ID: id})
	return Decision{Verdict: NoFurtherAction}
}

// push adds an event for the next Tick. The caller holds mu.
func (d *Dispatcher) push(ev decision.Event) {
	d.inbox = append(d.inbox, ev)
	signal(d.tickDue)
}

// signal sends to a channel that holds one, unless it is full.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
