// Package dispatcher gives the decision module a blocking style: callers pick, report and tick, and never see its events and
// actions.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/policy"
)

// Verdict is what the module wants done with a request next.
type Verdict uint8

// The verdicts.
const (
	Forward         Verdict = iota // make an attempt at Node, for at most Timeout
	Rejected                       // tell the client that trying again is harmless, after Hint where it is not 0
	Failed                         // tell the client that it failed
	NoFurtherAction                // nothing more is owed: it was served, or its caller stopped waiting
)

// Decision is a verdict with its particulars. Times are microseconds.
type Decision struct {
	Verdict    Verdict
	Node       string
	Timeout    int64
	NotAfter   int64 // the attempt may not begin later than this; 0: whenever it can
	RetryAfter int64
}

// RequestInfo is a request as callers of the facade describe it. Due is microseconds on the clock that Tick gets.
type RequestInfo struct {
	Class, Plan, Shard, Brokers int
	Volume, Key                 string
	Units                       float64
	Deadline                    int64
}

// Dispatcher is the module in blocking style. Any number of goroutines call Pick, Report and Began; one goroutine
// calls Tick and with it owns the Scheduler. Callers never see events or actions.
type Dispatcher struct {
	sched *policy.Scheduler
	log   func(string)
	wake  chan struct{} // something waits for the next Tick
	watch chan struct{} // the module wants the node list watched

	mu    sync.Mutex
	next  uint64
	inbox []decision.Event
	calls map[uint64]*call

	turn []decision.Event // of the Tick at hand
	acts []decision.Action
}

// call is one request between its Pick and its end.
type call struct {
	verdict chan Decision // holds one
	left    bool          // its caller stopped waiting
	begun   bool          // its answer has begun to reach the client
	sends   int
	node    string
}

// New starts a module that knows nothing but its settings. It logs by way of log.
func New(cfg decision.Config, log func(string)) (*Dispatcher, error) {
	sched, err := policy.New(cfg)
	if err != nil {
		return nil, err
	}
	return &Dispatcher{
		sched: sched, log: log, calls: map[uint64]*call{},
		wake: make(chan struct{}, 1), watch: make(chan struct{}, 1),
	}, nil
}

// TickDue tells the goroutine that ticks that a Tick is due before the time it was told.
func (f *Dispatcher) TickDue() <-chan struct{} { return f.wake }

// WatchRequested tells discovery that the module wants a (new) watch.
func (f *Dispatcher) WatchRequested() <-chan struct{} { return f.watch }

// Submit hands a request in and blocks until the module has decided its first step. The id names it in Report.
func (f *Dispatcher) Submit(ctx context.Context, j RequestInfo) (id uint64, d Decision) {
	c := &call{verdict: make(chan Decision, 1)}
	f.mu.Lock()
	f.next++
	id = f.next
	f.calls[id] = c
	f.push(decision.Event{Kind: decision.RequestArrived, ID: id, Arrival: decision.Arrival{
		Class: j.Class, Plan: j.Plan, Volume: j.Volume, Key: j.Key, Units: j.Units,
		Shard: j.Shard, Brokers: j.Brokers, Deadline: micros(j.Deadline),
	}})
	f.mu.Unlock()
	return id, f.await(ctx, id, c)
}

// Report hands in how the last attempt ended and blocks until the module has decided what follows. A caller
// whose ctx is done owes the report all the same; then, and after Served, nothing follows.
func (f *Dispatcher) Report(ctx context.Context, id uint64, o decision.Outcome) Decision {
	f.mu.Lock()
	c := f.calls[id]
	if c == nil {
		f.mu.Unlock()
		return Decision{Verdict: NoFurtherAction}
	}
	over := o == decision.Served || c.begun || ctx.Err() != nil
	if over {
		c.left = true
		delete(f.calls, id)
		if o != decision.Served && !c.begun { // before the outcome, so that the module does not decide on another attempt
			f.push(decision.Event{Kind: decision.ClientDisconnected, ID: id})
		}
	}
	f.push(decision.Event{Kind: decision.AttemptEnded, ID: id, Attempt: c.sends - 1, Node: c.node, Outcome: o, Final: over})
	f.mu.Unlock()
	if over {
		return Decision{Verdict: NoFurtherAction}
	}
	return f.await(ctx, id, c)
}

// ResponseStarted tells that an attempt's answer has begun to reach the client: no further attempt may follow it.
func (f *Dispatcher) ResponseStarted(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.calls[id]; c != nil {
		c.begun = true
		f.push(decision.Event{Kind: decision.ResponseStarted, ID: id})
	}
}

// UpdateEndpoints hands in the node list, or with full false its changed entries.
func (f *Dispatcher) UpdateEndpoints(members []decision.Endpoint, full bool) {
	ev := decision.Event{Kind: decision.EndpointsChanged, Endpoints: members}
	if full {
		ev.Kind = decision.EndpointsReplaced
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.push(ev)
}

// EndpointWatchFailed hands in that a call for the list failed or its watch ended. The next call is wanted within so many
// microseconds; 0 leaves that to the module.
func (f *Dispatcher) EndpointWatchFailed(within int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.push(decision.Event{Kind: decision.EndpointWatchFailed, RetryWithin: micros(within)})
}

// Tick is one turn: the module takes in what has come and decides. It returns when the next turn is due at the
// latest. now is microseconds on a monotonic clock whose zero lies before any node's start.
func (f *Dispatcher) Tick(now int64) int64 {
	f.mu.Lock()
	f.turn, f.inbox = f.inbox, f.turn[:0]
	f.mu.Unlock()
	// The module keeps one timer running and ignores one that comes early, so it must not fire before its time.
	if at, started := f.sched.NextTimer(); started && micros(now) >= at {
		f.turn = append(f.turn, decision.Event{Kind: decision.TimerFired})
	}
	f.acts = f.sched.Step(micros(now), f.turn, f.acts[:0])
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.acts {
		f.carryOut(&f.acts[i])
	}
	for i := range f.turn {
		if ev := &f.turn[i]; ev.Kind == decision.ClientDisconnected {
			delete(f.calls, ev.ID) // known until now, since this turn might still have sent for it
		}
	}
	clear(f.turn) // or the lists and texts in it stay alive
	next, _ := f.sched.NextTimer()
	return int64(next / time.Microsecond)
}

// carryOut hands one action to whom it concerns.
func (f *Dispatcher) carryOut(a *decision.Action) {
	switch a.Kind {
	case decision.Forward:
		c := f.calls[a.ID]
		c.sends, c.node = c.sends+1, a.Node
		if c.left {
			// The caller stopped waiting after this turn took its events in: what the module sent now never
			// went out, and the module would wait for its outcome forever.
			f.push(decision.Event{Kind: decision.AttemptEnded, ID: a.ID, Attempt: c.sends - 1, Node: a.Node, Outcome: decision.NotAttempted, Final: true})
			return
		}
		c.verdict <- Decision{Verdict: Forward, Node: a.Node, Timeout: int64(a.After / time.Microsecond),
			NotAfter: int64(a.NotAfter / time.Microsecond)}
	case decision.Shed, decision.Fail:
		if c := f.calls[a.ID]; !c.left {
			delete(f.calls, a.ID)
			d := Decision{Verdict: Failed}
			if a.Kind == decision.Shed {
				d = Decision{Verdict: Rejected, RetryAfter: int64(a.After / time.Microsecond)}
			}
			c.verdict <- d
		}
	case decision.WatchEndpoints:
		signal(f.watch)
	case decision.WriteLog:
		f.log(a.Text)
	}
}

// await blocks until a decision comes or the caller stops waiting.
func (f *Dispatcher) await(ctx context.Context, id uint64, c *call) Decision {
	select {
	case d := <-c.verdict:
		return d
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case d := <-c.verdict: // decided in the meantime: the caller carries it out or reports that it did not
		return d
	default:
	}
	c.left = true
	f.push(decision.Event{Kind: decision.ClientDisconnected, ID: id})
	return Decision{Verdict: NoFurtherAction}
}

// push queues an event for the next turn. The caller holds mu.
func (f *Dispatcher) push(ev decision.Event) {
	f.inbox = append(f.inbox, ev)
	signal(f.wake)
}

// signal leaves a note in a channel that holds one.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func micros(t int64) time.Duration { return time.Duration(t) * time.Microsecond }
