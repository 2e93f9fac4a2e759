package dispatcher

import (
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/clock"
)

// Tick steps the module with the pending events and carries out its actions. It returns the time by which the next
// Tick is due. Only one goroutine may call it. now is the time of a monotonic clock whose zero lies before the start
// of every node.
func (d *Dispatcher) Tick(now clock.Micros) (next clock.Micros) {
	d.mu.Lock()
	d.events, d.pendingEvents = d.pendingEvents, d.events[:0]
	d.mu.Unlock()
	// The module keeps one timer armed and ignores a timer event that comes early.
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
			delete(d.calls, ev.ID) // only now, since this step may have started an attempt of it
		}
	}
	clear(d.events) // so that the buffer does not retain their lists and strings
	timerAt, _ := d.scheduler.NextTimer()
	return clock.FromDuration(timerAt)
}

// carryOut carries out one action. The caller holds mu.
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

// forward passes the decision to make an attempt to the request's caller.
func (d *Dispatcher) forward(a *decision.Action) {
	c := d.calls[a.ID]
	c.attempts++
	c.node = a.Node
	if c.abandoned {
		// The caller stopped waiting after this step took its events. The attempt is not made, but the module
		// needs an outcome, or it would keep the request forever.
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

// finish passes the last decision on a request to its caller, if it is still waiting.
func (d *Dispatcher) finish(id uint64, last Decision) {
	c := d.calls[id]
	if c.abandoned {
		return
	}
	delete(d.calls, id)
	c.decision <- last
}
