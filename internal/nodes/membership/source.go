package membership

import (
	"fmt"
	"slices"

	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/timerwheel"
)

// sourceState is the latest state of one source.
type sourceState struct {
	known   bool // the source has reported at least once
	version int64
	entries map[string]*Entry
	removal heldRemoval

	// retained holds the restrictions that outlive the entries that made them, by node ID.
	retained      map[string]restriction
	retainedOrder []string // their IDs in the order in which they were retained
}

// maxRetained limits the retained restrictions of one source. The oldest ones are dropped first.
const maxRetained = 4096

// restriction is the state of a node that its source no longer names.
type restriction struct {
	state  State // Draining or OutOfService
	since  clock.Micros
	origin string // of the entry that made it
}

// heldRemoval is the set of nodes that a source omits and whose removal is held back.
type heldRemoval struct {
	entries map[string]*Entry
	reason  string
	timer   timerwheel.Timer // ends the hold
}

func newSourceState(s Source) sourceState {
	return sourceState{
		entries:  map[string]*Entry{},
		retained: map[string]restriction{},
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

// retire keeps the restriction of a node that a source no longer names. old is the source's last entry, or nil if it never had
// one.
func (s *Set) retire(from Source, id string, old *Entry) {
	kept := restriction{since: s.now}
	if old != nil {
		kept.origin = old.Origin
	}
	switch {
	case from == Discovery:
		kept.state = OutOfService
	case from == Files && old != nil:
		kept.state = old.State
	}
	source := &s.sources[from]
	if _, ok := source.retained[id]; ok || kept.state == Up {
		return
	}
	source.retainedOrder = append(source.retainedOrder, id)
	source.retained[id] = kept
	for len(source.retained) > maxRetained {
		s.dirty[source.retainedOrder[0]] = true
		delete(source.retained, source.retainedOrder[0])
		source.retainedOrder = source.retainedOrder[1:]
	}
	s.outlived = append(s.outlived, Outlived{ID: id, Source: from, State: kept.state})
}

// nameAgain ends a restriction that outlived its entry, as the source names the node again.
func (s *Set) nameAgain(from Source, id string) {
	source := &s.sources[from]
	if _, ok := source.retained[id]; !ok {
		return
	}
	delete(source.retained, id)
	source.retainedOrder = slices.DeleteFunc(source.retainedOrder, func(other string) bool { return other == id })
	s.dirty[id] = true
}

// Outlived is a restriction that stays in force although its source no longer names the node.
type Outlived struct {
	ID     string
	Source Source
	State  State
}

// TakeOutlived returns the restrictions that have outlived their entries since the last call, of nodes that other sources name.
func (s *Set) TakeOutlived() []Outlived {
	taken := slices.DeleteFunc(s.outlived, func(o Outlived) bool {
		_, known := s.merge(o.ID)
		return !known
	})
	s.outlived = nil
	return taken
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
func (s *Set) releaseRemovals(from Source) {
	source := &s.sources[from]
	for id, old := range source.removal.entries {
		s.dirty[id] = true
		s.retire(from, id, old)
	}
	clear(source.removal.entries)
	source.removal.reason = ""
	s.wheel.Stop(&source.removal.timer)
}

// AcceptRemovals applies the removals of a source that are held back. It returns the changed members.
func (s *Set) AcceptRemovals(from Source, now clock.Micros) []Member {
	s.advance(now)
	s.releaseRemovals(from)
	return s.changes()
}
