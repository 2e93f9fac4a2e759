// Package dispatcher provides a blocking interface to the decision module (package policy). Callers submit requests,
// await decisions and report outcomes, and do not handle the module's events and actions.
//
// Any number of goroutines may call the methods of a Dispatcher other than Tick. Only one goroutine may call Tick, and
// only Tick uses the scheduler.
package dispatcher

import (
	"context"
	"sync"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/clock"
	"poppyarch/policy"
)

// Verdict determines what the caller must do next with a request.
type Verdict uint8

// The verdicts.
const (
	Forward         Verdict = iota // make an attempt at Node, for at most Timeout
	Rejected                       // tell the client that it may safely retry, after RetryAfter if that is not 0
	Failed                         // tell the client that the request failed
	NoFurtherAction                // the request was served, or its caller stopped waiting
)

// Decision is a verdict and its parameters.
type Decision struct {
	Verdict    Verdict
	Node       string
	Timeout    clock.Micros // duration
	NotAfter   clock.Micros // the attempt must not start later than this time; 0 for no limit
	RetryAfter clock.Micros // duration; 0 if there is none
}

// RequestInfo holds the properties of a request by which the module decides.
type RequestInfo struct {
	Class    int // index into the settings' classes
	Plan     int // index into the settings' plans
	Volume   string
	Key      string // idempotency and ordering key; may be empty
	Units    float64
	Shard    int          // decision.AnyShard for a new object
	Brokers  int          // number of brokers that the volume uses
	Deadline clock.Micros // on the clock whose time is passed to Tick
}

// Dispatcher runs the decision module for concurrent callers.
type Dispatcher struct {
	scheduler      *policy.Scheduler // owned by the goroutine that calls Tick
	log            func(string)
	tickDue        chan struct{} // capacity 1; signals that events are waiting for the next Tick
	watchRequested chan struct{} // capacity 1; signals that the module requested a watch

	mu            sync.Mutex // guards the fields below
	lastID        uint64
	pendingEvents []decision.Event // processed by the next Tick
	calls         map[uint64]*call

	// Buffers that only Tick uses.
	events  []decision.Event
	actions []decision.Action
}

// call is a request from Submit until its last decision.
type call struct {
	decision        chan Decision // capacity 1
	abandoned       bool          // its caller has stopped waiting
	responseStarted bool          // part of a response has been sent to the client
	attempts        int
	node            string // of the last attempt
}

// New returns a dispatcher over a new module with the given settings. Tick calls log with the module's log lines.
// Invalid settings are reported as a *decision.SettingError.
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

// TickDue signals that Tick must be called now, before the time that its last call returned.
func (d *Dispatcher) TickDue() <-chan struct{} { return d.tickDue }

// WatchRequested signals that the module requested a watch of the endpoint list, for the first time or after a failure.
func (d *Dispatcher) WatchRequested() <-chan struct{} { return d.watchRequested }

// Submitted is a request that has been submitted. ID identifies it in calls of Report and ResponseStarted.
type Submitted struct {
	ID   uint64
	call *call
}

// Submit submits a request. The module gets the requests in the order of the calls, in which it executes those of
// ordered classes. Await must be called for each.
func (d *Dispatcher) Submit(r RequestInfo) Submitted {
	c := &call{decision: make(chan Decision, 1)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	id := d.lastID
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
	return Submitted{ID: id, call: c}
}

// Await blocks until the module has decided on a submitted request or ctx is done.
func (d *Dispatcher) Await(ctx context.Context, s Submitted) Decision {
	return d.await(ctx, s.ID, s.call)
}

// Report reports the outcome of the request's last attempt and blocks until the module has decided what to do next.
// It must be called even if ctx is done. In that case, and after decision.Served, the verdict is NoFurtherAction.
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
			// This event precedes the outcome, so that the module does not decide on another attempt.
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

// attemptEnded returns the event for the end of the call's last attempt.
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

// ResponseStarted reports that the response of the current attempt is being sent to the client. The request is not
// retried after that.
func (d *Dispatcher) ResponseStarted(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.calls[id]; c != nil {
		c.responseStarted = true
		d.push(decision.Event{Kind: decision.ResponseStarted, ID: id})
	}
}

// UpdateEndpoints passes the whole endpoint list to the module, or only its changed entries if full is false.
func (d *Dispatcher) UpdateEndpoints(endpoints []decision.Endpoint, full bool) {
	ev := decision.Event{Kind: decision.EndpointsChanged, Endpoints: endpoints}
	if full {
		ev.Kind = decision.EndpointsReplaced
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.push(ev)
}

// EndpointWatchFailed reports that a poll of the endpoint list failed or its watch ended. The module requests the next
// one within retryWithin, or without a limit if that is 0.
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
	case next := <-c.decision: // decided in the meantime; the caller must follow it or report that it did not
		return next
	default:
	}
	c.abandoned = true
	d.push(decision.Event{Kind: decision.ClientDisconnected, ID: id})
	return Decision{Verdict: NoFurtherAction}
}

// push adds an event for the next Tick. The caller holds mu.
func (d *Dispatcher) push(ev decision.Event) {
	d.pendingEvents = append(d.pendingEvents, ev)
	signal(d.tickDue)
}

// signal sends to a channel of capacity 1, unless the channel is full.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
