package model

import (
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/nodes/membership"
	"poppyarch/internal/timing/clock"
)

// members is the module behind the broker's own membership, as where node lists or a control endpoint are set up: discovery's word is merged, and
// a node that comes back too often stays out for a while.
type members struct {
	inner   Design
	set     *membership.Set
	version int64
	wakeAt  clock.Micros // of the timer at hand; 0: none
	events  []decision.Event
}

// memberToken is the timer of the membership; the module has another.
const memberToken = 2

func newMembers(inner Design, now time.Duration, warm time.Duration) *members {
	o := membership.DefaultOptions()
	if warm > 0 {
		o.SlowStart = clock.FromDuration(warm)
	}
	return &members{inner: inner, set: membership.New(o, clock.FromDuration(now))}
}

// Step is Design: lists go through the membership, all else as it is.
func (m *members) Step(now time.Duration, events []decision.Event, act []decision.Action) []decision.Action {
	us := clock.FromDuration(now)
	m.events = m.events[:0]
	for i := range events {
		ev := events[i]
		switch {
		case ev.Kind == decision.EndpointsReplaced, ev.Kind == decision.EndpointsChanged:
			first := m.version == 0
			changed := m.tell(ev.Endpoints, ev.Kind == decision.EndpointsReplaced, us)
			if first {
				m.set.EndInitialSync()
			}
			// Told on even where nothing has changed: the module counts from discovery's last word.
			ev = decision.Event{Kind: decision.EndpointsChanged, Endpoints: m.view(changed)}
			if first {
				ev.Kind = decision.EndpointsReplaced
			}
		case ev.Kind == decision.TimerFired && ev.Token == memberToken:
			m.wakeAt = 0
			changed := m.set.Tick(us)
			if len(changed) == 0 {
				continue
			}
			ev = decision.Event{Kind: decision.EndpointsChanged, Endpoints: m.view(changed)}
		}
		m.events = append(m.events, ev)
	}
	act = m.inner.Step(now, m.events, act)
	if at, ok := m.set.Next(); ok && (m.wakeAt == 0 || at < m.wakeAt) {
		m.wakeAt = max(at, us+1)
		act = append(act, decision.Action{Kind: decision.SetTimer, After: time.Duration(m.wakeAt-us) * time.Microsecond, Token: memberToken})
	}
	return act
}

func (m *members) tell(list []decision.Endpoint, full bool, us clock.Micros) []membership.Member {
	m.version++
	var entries []membership.Entry
	var gone []string
	for i := range list {
		x := &list[i]
		if x.State == decision.Removed {
			gone = append(gone, x.Node)
			continue
		}
		e := membership.Entry{ID: x.Node, Addr: x.Node, Shard: x.Shard, Zone: x.Zone, StartedAt: clock.FromDuration(x.StartedAt), Capacity: x.Capacity}
		if x.State == decision.Draining {
			e.State = membership.Draining
		}
		entries = append(entries, e)
	}
	if full {
		return m.set.Replace(membership.Discovery, m.version, entries, us)
	}
	return m.set.Update(membership.Discovery, m.version, entries, gone, us)
}

// view is the membership's word in the module's terms.
func (m *members) view(list []membership.Member) []decision.Endpoint {
	out := make([]decision.Endpoint, 0, len(list))
	for _, x := range list {
		p := decision.Endpoint{Node: x.ID, Shard: x.Shard, Zone: x.Zone, StartedAt: time.Duration(x.StartedAt) * time.Microsecond, Capacity: x.Capacity}
		switch x.State {
		case membership.Draining:
			p.State = decision.Draining
		case membership.OutOfService:
			p.State = decision.Removed
		}
		out = append(out, p)
	}
	return out
}
