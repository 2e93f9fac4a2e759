package membership

import (
	"fmt"

	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/timerwheel"
)

// sourceState is the latest state of one source.
type sourceState struct {
	known   bool // the source has reported at least once
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
			timer:   timerwheel.Timer{ID: "\x00" + s.String()}, // cannot be a node's ID
		},
	}
}

// entry returns the source's entry for a node, including one whose removal is held back, or nil if there is none.
func (s *sourceState) entry(id string) *Entry {
	if e := s.entries[id]; e != nil {
		return e
	}
	return s.removal.entries[id]
}

// guardRemovals holds back the removal of omitted nodes if there are too many of them. It only delays omissions: a
// state that a source gives a node explicitly takes effect immediately.
func (s *Set) guardRemovals(from Source, omitted []string) {
	if len(omitted) == 0 || !s.isGuarded(from) {
		return
	}
	source := &s.sources[from]
	held := &source.removal
	nodes := len(source.entries) + len(held.entries)
	limit := max(int(s.options.MaxRemovalFraction*float64(nodes)), s.options.MinGuardedRemovals)
	if len(held.entries) == 0 {
		if len(omitted) <= limit {
			return
		}
		s.wheel.Set(&held.timer, s.now+s.options.RemovalHold)
	}
	for _, id := range omitted {
		held.entries[id] = source.entries[id]
	}
	held.reason = fmt.Sprintf("%d of %d nodes are gone from %s at once, more than %d: held back",
		len(held.entries), len(source.entries), from, limit)
}

func (s *Set) isGuarded(from Source) bool {
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
func (s *Set) releaseRemovals(source *sourceState) {
	for id := range source.removal.entries {
		s.dirty[id] = true
	}
	clear(source.removal.entries)
	source.removal.reason = ""
	s.wheel.Stop(&source.removal.timer)
}

// AcceptRemovals applies the removals of a source that are held back. It returns the changed members.
func (s *Set) AcceptRemovals(from Source, now clock.Micros) []Member {
	s.advance(now)
	s.releaseRemovals(&s.sources[from])
	return s.changes()
}
