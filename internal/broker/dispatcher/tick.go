package dispatcher

import (
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/clock"
)

// Tick steps the module with the events that have come and carries out what it decides. It returns the time at
// which the next Tick is due at the latest. Only one goroutine may call it. now is a time of a monotonic clock that
// starts before any node.
func (d *Dispatcher) Tick(now clock.Micros) (next clock.Micros) {
	d.mu.Lock()
	d.events, d.inbox = d.inbox, d.events[:0]
	d.mu.Unlock()
	// The module keeps one timer armed and ignores one that fires early.
	at := clock.Duration(now)
	if timerAt, started := d.scheduler.NextTimer(); started && at >= timerAt {
		d.events = append(d.events, decision.Event{Kind: decision.TimerFired})
	}
	d.actions = d.scheduler.Step(at, d.events, d.actions[:0])

	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.actions {
		d.carryOut(&d.actions[i])
	}
	for i := range d.events {
		if ev := &d.events[i]; ev.Kind == decision.ClientDisconnected {
			delete(d.calls, ev.ID) // not before, since this step may have sent an attempt of it
		}
	}
	clear(d.events) // else the buffer keeps their lists and texts alive
	timerAt, _ := d.scheduler.NextTimer()
	return clock.FromDuration(timerAt)
}

// carryOut passes one action on to whom it concerns. The caller holds mu.
func (d *Dispatcher) carryOut(a *decision.Action) {
	switch a.Kind {
	case decision.Forward:
		d.forward(a)
	case decision.Shed:
		d.finish(a.ID, Decision{Verdict: Rejected, RetryAfter: clock.FromDuration(a.After)})
	case decision.Fail:
		d.finish(a.ID, Decision{Verdict: Failed})
	case decision.WatchEndpoints:
		signal(d.watchRequested)
	case decision.WriteLog:
		d.log(a.Text)
	}
}

// forward passes an attempt on to the request's caller.
func (d *Dispatcher) forward(a *decision.Action) {
	c := d.calls[a.ID]
	c.attempts++
	c.node = a.Node
	if c.abandoned {
		// The caller stopped waiting after this step took its events: the attempt is never made, and without
		// an outcome the module would wait for it forever.
		d.push(c.attemptEnded(a.ID, decision.NotAttempted, true))
		return
	}
	c.decision <- Decision{
		Verdict:  Forward,
		Node:     a.Node,
		Timeout:  clock.FromDuration(a.After),
		NotAfter: clock.FromDuration(a.NotAfter),
	}
}

// finish passes the last decision on a request on to its caller, if it still waits.
func (d *Dispatcher) finish(id uint64, last Decision) {
	c := d.calls[id]
	if c.abandoned {
		return
	}
	delete(d.calls, id)
	c.decision <- last
}
