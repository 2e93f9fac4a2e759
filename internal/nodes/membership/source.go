package membership

import (
	"fmt"

	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/timerwheel"
)

// sourceState is what one source has stated last.
type sourceState struct {
	known   bool // it has reported at least once
	version int64
	entries map[string]*Entry
	removal heldRemoval
}

// heldRemoval is the set of nodes that a source omits and whose removal is held back.
type heldRemoval struct {
	entries map[string]*Entry
	reason  string
	timer   timerwheel.Timer // ends the hold
}

func newSourceState(s Source) sourceState {
	return sourceState{
		entries: map[string]*Entry{},
		removal: heldRemoval{
			entries: map[string]*Entry{},
			timer:   timerwheel.Timer{ID: "\x00" + s.String()}, // no node's id
		},
	}
}

// entry is the source's entry for a node, also where its removal is held back; nil if there is none.
func (x *sourceState) entry(id string) *Entry {
	if e := x.entries[id]; e != nil {
		return e
	}
	return x.removal.entries[id]
}

// guardRemovals holds back the removal of omitted nodes where there are too many of them. It only delays omissions: a state
// that a source gives a node explicitly takes effect at once.
func (s *Set) guardRemovals(from Source, omitted []string) {
	if len(omitted) == 0 || !s.guards(from) {
		return
	}
	x := &s.sources[from]
	held := &x.removal
	nodes := len(x.entries) + len(held.entries)
	limit := max(int(s.options.MaxRemovalFraction*float64(nodes)), s.options.MinGuardedRemovals)
	if len(held.entries) == 0 {
		if len(omitted) <= limit {
			return
		}
		s.wheel.Set(&held.timer, s.now+s.options.RemovalHold)
	}
	for _, id := range omitted {
		held.entries[id] = x.entries[id]
	}
	held.reason = fmt.Sprintf("%d of %d nodes are gone from %s at once, more than %d: held back",
		len(held.entries), len(x.entries), from, limit)
}

func (s *Set) guards(from Source) bool {
	switch from {
	case Operators:
		return false
	case Discovery:
		return s.options.GuardDiscovery && s.options.MaxRemovalFraction > 0
	default:
		return s.options.MaxRemovalFraction > 0
	}
}

// releaseRemovals applies the removals that are held back.
func (s *Set) releaseRemovals(x *sourceState) {
	for id := range x.removal.entries {
		s.dirty[id] = true
	}
	clear(x.removal.entries)
	x.removal.reason = ""
	s.wheel.Stop(&x.removal.timer)
}

// AcceptRemovals applies the removals of a source that are held back. It returns the members that change.
func (s *Set) AcceptRemovals(from Source, now clock.Micros) []Member {
	s.advance(now)
	s.releaseRemovals(&s.sources[from])
	return s.changes()
}
