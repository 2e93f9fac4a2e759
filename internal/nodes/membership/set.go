package membership

import (
	"cmp"
	"maps"
	"slices"

	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/timerwheel"
)

// Set is the merged view. It is not safe for concurrent use.
//
// The methods that change it return the changed members, sorted by ID. A member that must no longer be used has the
// state OutOfService.
type Set struct {
	options     Options
	now         clock.Micros
	initialized bool // the initial sync has ended
	sources     [sourceCount]sourceState
	nodes       map[string]*node
	wheel       *timerwheel.Wheel
	dirty       map[string]bool // nodes to be merged again
	epoch       uint64
	outlived    []Outlived // until TakeOutlived is called
}

// New returns an empty set.
func New(o Options, now clock.Micros) *Set {
	s := &Set{
		options: o,
		now:     now,
		nodes:   map[string]*node{},
		wheel:   timerwheel.New(now, tick),
		dirty:   map[string]bool{},
	}
	for i := range s.sources {
		s.sources[i] = newSourceState(Source(i))
	}
	return s
}

// EndInitialSync marks the end of the initial sync. Nodes that become known later are assumed to have just started, and
// so are cold.
func (s *Set) EndInitialSync() { s.initialized = true }

// Replace sets the complete state of a source. The source numbers its versions; a version that is not newer than the
// last one is ignored.
func (s *Set) Replace(from Source, version int64, entries []Entry, now clock.Micros) []Member {
	s.advance(now)
	source := &s.sources[from]
	if source.known && version <= source.version {
		return s.changes()
	}
	source.version = version
	next := make(map[string]*Entry, len(entries))
	for _, e := range entries {
		next[e.ID] = &e
	}
	var omitted []string
	for id, old := range source.entries {
		switch e := next[id]; {
		case e == nil:
			omitted = append(omitted, id)
			s.dirty[id] = true
		case *e != *old:
			s.dirty[id] = true
		}
	}
	for id := range next {
		if source.entries[id] == nil {
			s.dirty[id] = true
		}
		if source.removal.entries[id] != nil { // the source lists the node again
			delete(source.removal.entries, id)
			s.dirty[id] = true
		}
	}
	s.guardRemovals(from, omitted)
	for _, id := range omitted {
		if source.removal.entries[id] == nil {
			s.retire(from, id, source.entries[id])
		}
	}
	for id := range next {
		s.nameAgain(from, id)
	}
	source.entries = next
	s.markKnown(from)
	return s.changes()
}

// Update sets some entries of a source and deletes those of the removed nodes. These removals are explicit, so they are
// never held back. version is the version of the resulting complete state.
func (s *Set) Update(from Source, version int64, entries []Entry, removed []string, now clock.Micros) []Member {
	s.advance(now)
	source := &s.sources[from]
	if !source.known || version > source.version {
		source.version = version
	}
	s.markKnown(from)
	for _, e := range entries {
		if old := source.entries[e.ID]; old == nil || *old != e {
			source.entries[e.ID] = &e
			s.dirty[e.ID] = true
		}
		delete(source.removal.entries, e.ID)
		s.nameAgain(from, e.ID)
	}
	for _, id := range removed {
		s.dirty[id] = true
		s.retire(from, id, source.entry(id))
		delete(source.entries, id)
		delete(source.removal.entries, id)
	}
	return s.changes()
}

// markKnown records that a source has reported. The first report of files that act as an allow list affects every node.
func (s *Set) markKnown(from Source) {
	source := &s.sources[from]
	if from == Files && s.options.FilesAreAllowList && !source.known {
		for i := range s.sources {
			for id := range s.sources[i].entries {
				s.dirty[id] = true
			}
		}
	}
	source.known = true
}

// Tick advances the time and returns the members that change as timers fire.
func (s *Set) Tick(now clock.Micros) []Member {
	s.advance(now)
	return s.changes()
}

// Next returns the time at which Tick is due; ok is false if no timer is set.
func (s *Set) Next() (at clock.Micros, ok bool) { return s.wheel.Next() }

// advance advances the time and fires the timers that are due.
func (s *Set) advance(now clock.Micros) {
	s.now = max(s.now, now)
	s.wheel.Advance(s.now, func(t *timerwheel.Timer) {
		for i := range s.sources {
			if t == &s.sources[i].removal.timer {
				s.releaseRemovals(Source(i))
				return
			}
		}
		s.dirty[t.ID] = true
	})
}

// changes merges the dirty nodes and returns those that have changed in the view.
func (s *Set) changes() []Member {
	if len(s.dirty) == 0 {
		return nil
	}
	var out []Member
	for id := range s.dirty {
		if m, changed := s.refresh(id); changed {
			out = append(out, m)
		}
	}
	clear(s.dirty)
	sortByID(out)
	if len(out) > 0 {
		s.epoch++
	}
	return out
}

func sortByID(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}

// Members returns the nodes in use, sorted by ID.
func (s *Set) Members() []Member {
	var out []Member
	for _, n := range s.nodes {
		if n.inUse {
			out = append(out, n.member)
		}
	}
	sortByID(out)
	return out
}

// MedianCapacity returns the median of the known capacities of the nodes in use, or 0 if none is known.
func (s *Set) MedianCapacity() float64 {
	var known []float64
	for _, n := range s.nodes {
		if n.inUse && n.member.Capacity > 0 {
			known = append(known, n.member.Capacity)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// Get returns a node in use.
func (s *Set) Get(id string) (Member, bool) {
	if n := s.nodes[id]; n != nil && n.inUse {
		return n.member, true
	}
	return Member{}, false
}

// Epoch returns the number of times that the view has changed.
func (s *Set) Epoch() uint64 { return s.epoch }

// HeldRemovals returns the IDs of the nodes that a source omits and whose removal is held back, and the reason.
func (s *Set) HeldRemovals(from Source) (ids []string, reason string) {
	held := &s.sources[from].removal
	return slices.Sorted(maps.Keys(held.entries)), held.reason
}
