package model

import (
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/nodes/membership"
	"poppyarch/internal/timing/clock"
)

// membershipDesign is the decision module behind a broker's membership, as in a broker with node lists or a control
// endpoint: discovery's lists are merged into the membership, which suppresses flapping nodes for some time.
type membershipDesign struct {
	inner   Design
	set     *membership.Set
	version int64        // of discovery's list; 0 before the first one
	wakeAt  clock.Micros // time of the pending timer; 0 if there is none
	events  []decision.Event
}

// membershipTimerToken is the token of the membership's timer. The module's timer has another one.
const membershipTimerToken = 2

func newMembershipDesign(inner Design, now time.Duration, slowStart time.Duration) *membershipDesign {
	o := membership.DefaultOptions()
	if slowStart > 0 {
		o.SlowStart = clock.FromDuration(slowStart)
	}
	return &membershipDesign{inner: inner, set: membership.New(o, clock.FromDuration(now))}
}

// Step implements Design. Endpoint lists and the membership's timer go through the membership; other events are passed
// on unchanged.
func (m *membershipDesign) Step(now time.Duration, events []decision.Event, act []decision.Action) []decision.Action {
	us := clock.FromDuration(now)
	m.events = m.events[:0]
	for i := range events {
		ev := events[i]
		switch {
		case ev.Kind == decision.EndpointsReplaced, ev.Kind == decision.EndpointsChanged:
			first := m.version == 0
			changed := m.updateMembership(ev.Endpoints, ev.Kind == decision.EndpointsReplaced, us)
			if first {
				m.set.EndInitialSync()
			}
			// Passed on even if nothing has changed: the module measures the time since discovery's last update.
			ev = decision.Event{Kind: decision.EndpointsChanged, Endpoints: m.toEndpoints(changed)}
			if first {
				ev.Kind = decision.EndpointsReplaced
			}
		case ev.Kind == decision.TimerFired && ev.Token == membershipTimerToken:
			m.wakeAt = 0
			changed := m.set.Tick(us)
			if len(changed) == 0 {
				continue
			}
			ev = decision.Event{Kind: decision.EndpointsChanged, Endpoints: m.toEndpoints(changed)}
		}
		m.events = append(m.events, ev)
	}
	act = m.inner.Step(now, m.events, act)
	if at, ok := m.set.Next(); ok && (m.wakeAt == 0 || at < m.wakeAt) {
		m.wakeAt = max(at, us+1)
		act = append(act, decision.Action{Kind: decision.SetTimer, After: time.Duration(m.wakeAt-us) * time.Microsecond, Token: membershipTimerToken})
	}
	return act
}

// updateMembership applies discovery's list, or changes of it, and returns the members that have changed.
func (m *membershipDesign) updateMembership(list []decision.Endpoint, full bool, us clock.Micros) []membership.Member {
	m.version++
	var entries []membership.Entry
	var removed []string
	for i := range list {
		x := &list[i]
		if x.State == decision.Removed {
			removed = append(removed, x.Node)
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
	return m.set.Update(membership.Discovery, m.version, entries, removed, us)
}

// toEndpoints converts members to entries of the module's endpoint list.
func (m *membershipDesign) toEndpoints(list []membership.Member) []decision.Endpoint {
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
