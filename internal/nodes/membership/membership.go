// Package membership merges what discovery, files and operators say of storage nodes into one view. It does no I/O and
// reads no clock; times come in as microseconds. The view is a function of the newest word of each source, so it does
// not matter in which order, how often, or with what left out in between the words arrive.
package membership

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"

	"poppyarch/internal/timing/timerwheel"
)

// Source is who says something.
type Source uint8

// The sources, in the order in which their facts count.
const (
	Discovery Source = iota
	Files
	Operators
	sources
)

func (s Source) String() string { return [...]string{"discovery", "files", "operators"}[s] }

// State is what a source, or the view, has a node do.
type State uint8

// The states, from the laxest to the strictest.
const (
	Up State = iota
	Draining
	OutOfService
)

func (s State) String() string { return [...]string{"up", "draining", "out"}[s] }

// Entry is one source's word on one node.
type Entry struct {
	ID         string
	State      State
	Addr       string
	ObjectAddr string
	Shard      int
	Zone       int
	StartedAt  int64   // when its process started; 0: not told, or long ago
	Kind       string  // for the prior of its capacity
	Capacity   float64 // against the usual node; 0: not told
	Origin     string  // file, line and column, or the like
}

// Member is a node as it is to be used.
type Member struct {
	ID         string
	State      State
	Addr       string
	ObjectAddr string
	Shard      int
	Zone       int
	StartedAt  int64
	Kind       string
	Capacity   float64
}

// Phase is where a node stands in its life.
type Phase string

// The phases.
const (
	PhaseCold     Phase = "cold"
	PhaseWarming  Phase = "warming"
	PhaseWarm     Phase = "warm"
	PhaseDraining Phase = "draining"
	PhaseOut      Phase = "out"
	PhaseGone     Phase = "gone"
)

// Options bounds a Set. Times are microseconds.
type Options struct {
	FilesAreAllowList  bool    // a node has to be in a file to be used
	SlowStart          int64   // a node that came up is warm after this; cold for the first fifth of it
	MaxRemovalFraction float64 // omissions of more than this share of a source's nodes at once are held back; 0: none are
	MinGuardedRemovals int     // but never fewer than so many
	RemovalHold        int64   // for so long
	PenaltyHalfLife    int64   // of the penalty for coming back
	SuppressThreshold  float64 // above it a node that comes back stays out; 0: never
	ReuseThreshold     float64 // until it has fallen below this
	HistoryRetention   int64   // a gone node's history is kept for so long
	GuardDiscovery     bool    // discovery's omissions are guarded as well
}

// DefaultOptions guard files against the loss of a fifth of their nodes.
func DefaultOptions() Options {
	const s = 1_000_000
	return Options{SlowStart: 15 * s, MaxRemovalFraction: 0.2, MinGuardedRemovals: 3, RemovalHold: 600 * s, PenaltyHalfLife: 30 * s, SuppressThreshold: 3, ReuseThreshold: 1, HistoryRetention: 600 * s}
}

// Set is the merged view. Not safe for use by several goroutines.
type Set struct {
	o     Options
	now   int64
	begun bool // past the first words: what comes now is new
	src   [sources]source
	nodes map[string]*node
	wheel *timerwheel.Wheel
	dirty map[string]bool
	epoch uint64
}

type source struct {
	version int64
	known   bool // it has said something
	entries map[string]*Entry
	held    map[string]*Entry // omitted, and held back by the guard
	heldAt  int64
	reason  string
	timer   timerwheel.Timer
}

// node is what is remembered of one id.
type node struct {
	id      string
	shown   bool // in the view
	member  Member
	up      int64 // since when it has been usable; 0: from the beginning
	gone    int64 // since when it has not been shown
	penalty float64
	at      int64 // of penalty
	damped  bool
	timer   timerwheel.Timer
	note    string
}

// New returns an empty set.
func New(o Options, now int64) *Set {
	s := &Set{o: o, now: now, nodes: map[string]*node{}, wheel: timerwheel.New(now, 1000), dirty: map[string]bool{}}
	for i := range s.src {
		s.src[i] = source{version: math.MinInt64, entries: map[string]*Entry{}, held: map[string]*Entry{}}
		s.src[i].timer.ID = "\x00" + Source(i).String()
	}
	return s
}

// EndInitialSync ends the start: nodes that are told from now on are new and so cold.
func (s *Set) EndInitialSync() { s.begun = true }

// Replace takes in a source's whole state, numbered by the source. One that is not newer than what is known changes
// nothing. It returns the nodes whose use changes, with Out for those that are not to be used any more.
func (s *Set) Replace(from Source, version int64, entries []Entry, now int64) []Member {
	x := &s.src[from]
	s.time(now)
	if x.known && version <= x.version {
		return s.changes()
	}
	x.version = version
	next := make(map[string]*Entry, len(entries))
	for i := range entries {
		e := entries[i]
		next[e.ID] = &e
	}
	var omitted []string
	for id, old := range x.entries {
		if next[id] == nil {
			omitted = append(omitted, id)
			s.dirty[id] = true
		} else if *next[id] != *old {
			s.dirty[id] = true
		}
	}
	for id := range next {
		if x.entries[id] == nil {
			s.dirty[id] = true
		}
		if x.held[id] != nil { // it is there again
			delete(x.held, id)
			s.dirty[id] = true
		}
	}
	s.guard(from, x, omitted)
	x.entries = next
	s.first(from)
	return s.changes()
}

// Update takes in some of a source's entries; gone names those that it has no longer, by its own express word. The
// version is that of the whole state that this leads to.
func (s *Set) Update(from Source, version int64, entries []Entry, gone []string, now int64) []Member {
	x := &s.src[from]
	s.time(now)
	x.version = max(x.version, version)
	s.first(from)
	for i := range entries {
		e := entries[i]
		if old := x.entries[e.ID]; old == nil || *old != e {
			x.entries[e.ID] = &e
			s.dirty[e.ID] = true
		}
		delete(x.held, e.ID)
	}
	for _, id := range gone {
		if x.entries[id] != nil || x.held[id] != nil {
			s.dirty[id] = true
		}
		delete(x.entries, id)
		delete(x.held, id)
	}
	return s.changes()
}

// first notes that a source has spoken. In mode limit the files' first word concerns every node.
func (s *Set) first(from Source) {
	x := &s.src[from]
	if from == Files && s.o.FilesAreAllowList && !x.known {
		for k := range s.src {
			for id := range s.src[k].entries {
				s.dirty[id] = true
			}
		}
	}
	x.known = true
}

// ResetVersion forgets a source's version: it has begun its numbers anew.
func (s *Set) ResetVersion(from Source) { s.src[from].version = math.MinInt64 }

// guard decides whether omissions are believed. What any source has against a node is never held back: it is the
// omission alone that may be a mistake.
func (s *Set) guard(from Source, x *source, omitted []string) {
	if len(omitted) == 0 || s.o.MaxRemovalFraction <= 0 || from == Operators || from == Discovery && !s.o.GuardDiscovery {
		return
	}
	most := max(int(s.o.MaxRemovalFraction*float64(len(x.entries)+len(x.held))), s.o.MinGuardedRemovals)
	if len(omitted)+len(x.held) <= most && len(x.held) == 0 {
		return
	}
	if len(x.held) == 0 {
		x.heldAt = s.now
		s.wheel.Set(&x.timer, s.now+s.o.RemovalHold)
	}
	for _, id := range omitted {
		x.held[id] = x.entries[id]
	}
	x.reason = fmt.Sprintf("%d of %d nodes are gone from %s at once, more than %d: held back", len(x.held), len(x.entries), from, most)
}

// AcceptRemovals believes the omissions that are held back.
func (s *Set) AcceptRemovals(from Source, now int64) []Member {
	s.time(now)
	s.believe(&s.src[from])
	return s.changes()
}

func (s *Set) believe(x *source) {
	for id := range x.held {
		s.dirty[id] = true
	}
	clear(x.held)
	x.reason = ""
	s.wheel.Stop(&x.timer)
}

// HeldRemovals tells what the guard holds back from a source, and why.
func (s *Set) HeldRemovals(from Source) (ids []string, reason string) {
	return slices.Sorted(maps.Keys(s.src[from].held)), s.src[from].reason
}

// time goes on to now and lets timers fire.
func (s *Set) time(now int64) {
	s.now = max(s.now, now)
	s.wheel.Advance(s.now, func(t *timerwheel.Timer) {
		for i := range s.src {
			if t == &s.src[i].timer {
				s.believe(&s.src[i])
				return
			}
		}
		s.dirty[t.ID] = true
	})
}

// Tick lets time pass. It returns what changes by that.
func (s *Set) Tick(now int64) []Member {
	s.time(now)
	return s.changes()
}

// Next is when Tick is due at the latest; ok is false where nothing waits.
func (s *Set) Next() (int64, bool) { return s.wheel.Next() }

// entry is a source's word on a node, with what the guard holds.
func (x *source) entry(id string) *Entry {
	if e := x.entries[id]; e != nil {
		return e
	}
	return x.held[id]
}

// merge is what all sources together say of a node; ok is false where none knows it.
func (s *Set) merge(id string) (m Member, ok bool) {
	m = Member{ID: id}
	for k := range s.src {
		e := s.src[k].entry(id)
		if e == nil {
			continue
		}
		m.State = max(m.State, e.State)
		if e.Addr != "" && !ok { // facts come from the first that knows it
			m.Addr, m.ObjectAddr, m.Shard, m.Zone = e.Addr, cmp.Or(e.ObjectAddr, e.Addr), e.Shard, e.Zone
			ok = true
		}
		m.StartedAt = max(m.StartedAt, e.StartedAt)
		if m.Kind == "" {
			m.Kind = e.Kind
		}
		if m.Capacity == 0 {
			m.Capacity = e.Capacity
		}
	}
	if s.o.FilesAreAllowList && s.src[Files].known && s.src[Files].entry(id) == nil {
		m.State = OutOfService
	}
	return m, ok
}

// changes works out the nodes that were touched and returns those whose use differs.
func (s *Set) changes() []Member {
	if len(s.dirty) == 0 {
		return nil
	}
	var out []Member
	for id := range s.dirty {
		if m, changed := s.settle(id); changed {
			out = append(out, m)
		}
	}
	clear(s.dirty)
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	if len(out) > 0 {
		s.epoch++
	}
	return out
}

// settle brings one node's part of the view up to date.
func (s *Set) settle(id string) (Member, bool) {
	m, ok := s.merge(id)
	n := s.nodes[id]
	if n == nil {
		if !ok || m.State == OutOfService {
			return m, false
		}
		n = &node{id: id, at: s.now}
		n.timer.ID = id
		s.nodes[id] = n
		if s.begun {
			n.up = s.now
		}
	}
	use := ok && m.State != OutOfService
	if use && !n.shown && n.gone > 0 { // it comes back
		if !n.damped {
			n.penalty = s.decayed(n) + 1
			n.at = s.now
		}
		if s.o.SuppressThreshold > 0 && (!n.damped && n.penalty > s.o.SuppressThreshold || n.damped && s.decayed(n) > s.o.ReuseThreshold) {
			n.damped = true
			n.note = fmt.Sprintf("came back too often: penalty %.1f, stays out until %.1f", s.decayed(n), s.o.ReuseThreshold)
			// 2^-(t/half) * p = reuse
			wait := float64(s.o.PenaltyHalfLife) * math.Log2(s.decayed(n)/s.o.ReuseThreshold)
			s.wheel.Set(&n.timer, s.now+int64(wait)+2000)
			return m, false
		}
		n.damped, n.note = false, ""
		n.up = s.now
	}
	if !use {
		// Going is never delayed.
		if !n.shown {
			if n.damped || n.gone > 0 && s.now-n.gone < s.o.HistoryRetention {
				s.wheel.Set(&n.timer, max(n.gone+s.o.HistoryRetention, s.now+1000))
				n.damped = n.damped && ok
			} else {
				s.wheel.Stop(&n.timer)
				delete(s.nodes, id)
			}
			return m, false
		}
		n.shown, n.gone = false, s.now
		n.member.State = OutOfService
		s.wheel.Set(&n.timer, s.now+s.o.HistoryRetention)
		return n.member, true
	}
	// What has just come up is cold, whatever a file says of it; discovery knows when a process started, and so is
	// believed where it knows the node.
	told := s.src[Discovery].entry(id) != nil
	if !told {
		m.StartedAt = max(m.StartedAt, n.up)
	}
	if n.shown && n.member == m {
		return m, false
	}
	moved := n.shown && (n.member.Addr != m.Addr || n.member.Shard != m.Shard)
	if moved && s.begun && !told && m.StartedAt < s.now && n.member.StartedAt == m.StartedAt {
		n.up = s.now // another place under the same id is another process
		m.StartedAt = s.now
	}
	n.shown, n.gone, n.member = true, 0, m
	s.wheel.Stop(&n.timer)
	return m, true
}

// decayed is a node's penalty now.
func (s *Set) decayed(n *node) float64 {
	if s.o.PenaltyHalfLife <= 0 {
		return 0
	}
	return n.penalty * math.Exp2(-float64(s.now-n.at)/float64(s.o.PenaltyHalfLife))
}

// Members lists the nodes in use, by id.
func (s *Set) Members() (out []Member) {
	for _, n := range s.nodes {
		if n.shown {
			out = append(out, n.member)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// MedianCapacity is the middle capacity of the nodes in use whose kind is told; 0: of none is it told.
func (s *Set) MedianCapacity() float64 {
	var all []float64
	for _, n := range s.nodes {
		if n.shown && n.member.Capacity > 0 {
			all = append(all, n.member.Capacity)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// Get returns a node in use.
func (s *Set) Get(id string) (Member, bool) {
	if n := s.nodes[id]; n != nil && n.shown {
		return n.member, true
	}
	return Member{}, false
}

// Epoch counts the changes of the view.
func (s *Set) Epoch() uint64 { return s.epoch }

// Fact is one thing that is known of a node, and who says so.
type Fact struct {
	Source    string `json:"source"`
	Statement string `json:"says"`
	Origin    string `json:"where,omitempty"`
	HeldBack  bool   `json:"held,omitempty"` // it says nothing any more; the guard holds its last word
}

// Explanation says why a node is used as it is.
type Explanation struct {
	ID    string   `json:"id"`
	Phase Phase    `json:"phase"`
	State string   `json:"state"`
	Facts []Fact   `json:"facts"`
	Notes []string `json:"notes,omitempty"`
}

// Explain tells where each fact about a node comes from.
func (s *Set) Explain(id string) Explanation {
	m, ok := s.merge(id)
	x := Explanation{ID: id, Phase: PhaseGone, State: m.State.String(), Facts: []Fact{}}
	if !ok {
		x.State = "unknown"
	}
	for k := range s.src {
		e := s.src[k].entry(id)
		if e == nil {
			continue
		}
		f := Fact{Source: Source(k).String(), Statement: e.State.String(), Origin: e.Origin, HeldBack: s.src[k].entries[id] == nil}
		if e.Addr != "" {
			f.Statement += fmt.Sprintf(" at %s, shard %d", e.Addr, e.Shard)
		}
		if e.Kind != "" {
			f.Statement += ", kind " + e.Kind
		}
		x.Facts = append(x.Facts, f)
		if f.HeldBack {
			x.Notes = append(x.Notes, s.src[k].reason)
		}
	}
	if s.o.FilesAreAllowList && s.src[Files].known && s.src[Files].entry(id) == nil && ok {
		x.Notes = append(x.Notes, "no file has it, and only what a file has is used")
	}
	if n := s.nodes[id]; n != nil {
		if n.note != "" {
			x.Notes = append(x.Notes, n.note)
		}
		switch {
		case !n.shown && ok && m.State != OutOfService && n.damped, n.gone > 0 && ok:
			x.Phase = PhaseOut
		case !n.shown:
		case n.member.State == Draining:
			x.Phase = PhaseDraining
		case n.member.StartedAt == 0 || s.now-n.member.StartedAt >= s.o.SlowStart:
			x.Phase = PhaseWarm
		case s.now-n.member.StartedAt < s.o.SlowStart/5:
			x.Phase = PhaseCold
		default:
			x.Phase = PhaseWarming
		}
	}
	return x
}
