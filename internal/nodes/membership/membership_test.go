package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/testkit/fixedseed"
	"poppyarch/internal/timing/clock"
)

func TestMain(m *testing.M) { fixedseed.RunTests(m) }

func drawEntries(t *rapid.T) []Entry {
	var out []Entry
	for k := range 6 {
		if rapid.IntRange(0, 3).Draw(t, "listed") == 0 {
			continue
		}
		e := Entry{ID: fmt.Sprint("s", k), State: State(rapid.IntRange(0, 2).Draw(t, "state"))}
		if rapid.IntRange(0, 4).Draw(t, "has addr") > 0 {
			e.Addr = fmt.Sprint("10.0.0.", rapid.IntRange(1, 3).Draw(t, "last byte"))
			e.Shard = rapid.IntRange(0, 2).Draw(t, "shard")
		}
		out = append(out, e)
	}
	return out
}

// viewWithoutTimes returns the view without the fields that depend on when updates arrived.
func viewWithoutTimes(s *Set) (out []string) {
	for _, m := range s.Members() {
		out = append(out, fmt.Sprint(m.ID, m.State, m.Addr, m.Shard))
	}
	return out
}

// history holds the successive states of each source, oldest first.
type history [sourceCount][][]Entry

// replay applies the history to a new set in a random order: the sources are interleaved, and outdated versions may arrive
// again. None is lost: a restriction that outlives its entry cannot be known to a set that has not seen the entry.
func (h *history) replay(t *rapid.T, o Options, label string) *Set {
	s := New(o, 1)
	var next [sourceCount]int
	for now := clock.Micros(2); ; now++ {
		var pending []int
		for k := range h {
			if next[k] < len(h[k]) {
				pending = append(pending, k)
			}
		}
		if len(pending) == 0 {
			return s
		}
		k := rapid.SampledFrom(pending).Draw(t, label)
		v := next[k]
		next[k]++
		s.Replace(Source(k), int64(v), h[k][v], now)
		if v > 0 && rapid.Bool().Draw(t, label+" late") {
			s.Replace(Source(k), int64(v-1), h[k][v-1], now)
		}
	}
}

func TestViewDoesNotDependOnArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{FilesAreAllowList: rapid.Bool().Draw(t, "allow list"), SlowStart: second, HistoryRetention: second}
		var h history
		for k := range h {
			for range rapid.IntRange(0, 4).Draw(t, "versions") {
				h[k] = append(h[k], drawEntries(t))
			}
		}
		a := viewWithoutTimes(h.replay(t, o, "first"))
		b := viewWithoutTimes(h.replay(t, o, "second"))
		if !slices.Equal(a, b) {
			t.Fatalf("two orders give different views:\n%v\n%v", a, b)
		}
	})
}

// setModel drives a set with all protections on, and records the state that the set must match.
type setModel struct {
	set       *Set
	now       clock.Micros
	version   int64
	returned  map[string]Member             // the view, accumulated from the returned changes
	newest    [sourceCount]map[string]Entry // the latest state of each source
	words     [sourceCount]map[string]State // the last word of each source, also on nodes that it no longer names
	removedAt map[string]clock.Micros       // when each node out of use was removed
}

func newSetModel(o Options) *setModel {
	return &setModel{
		set:       New(o, 1),
		now:       1,
		returned:  map[string]Member{},
		newest:    [sourceCount]map[string]Entry{{}, {}, {}},
		words:     [sourceCount]map[string]State{{}, {}, {}},
		removedAt: map[string]clock.Micros{},
	}
}

func drawSource(t *rapid.T) Source { return Source(rapid.IntRange(0, 2).Draw(t, "source")) }

func (m *setModel) collect(changes []Member) {
	for _, c := range changes {
		if c.State == OutOfService {
			delete(m.returned, c.ID)
		} else {
			m.returned[c.ID] = c
		}
	}
}

func (m *setModel) replace(t *rapid.T) {
	from := drawSource(t)
	m.version++
	entries := drawEntries(t)
	for id := range m.newest[from] {
		m.forget(from, id)
	}
	for _, e := range entries {
		m.name(from, e)
	}
	m.collect(m.set.Replace(from, m.version, entries, m.now))
}

// name records that a source names a node.
func (m *setModel) name(from Source, e Entry) {
	m.newest[from][e.ID] = e
	m.words[from][e.ID] = e.State
}

// forget records that a source no longer names a node.
func (m *setModel) forget(from Source, id string) {
	delete(m.newest[from], id)
	switch from {
	case Discovery:
		m.words[from][id] = OutOfService
	case Operators:
		delete(m.words[from], id)
	}
}

func (m *setModel) update(t *rapid.T) {
	from := drawSource(t)
	m.version++
	entries := drawEntries(t)
	var removed []string
	if len(entries) > 1 {
		removed = []string{entries[0].ID}
		entries = entries[1:]
	}
	for _, e := range entries {
		m.name(from, e)
	}
	for _, id := range removed {
		m.forget(from, id)
	}
	m.collect(m.set.Update(from, m.version, entries, removed, m.now))
}

func (m *setModel) accept(*rapid.T) { m.collect(m.set.AcceptRemovals(Files, m.now)) }

func (m *setModel) wait(t *rapid.T) {
	m.now += rapid.SampledFrom([]clock.Micros{1000, second, 5 * second, 40 * second}).Draw(t, "time")
	m.collect(m.set.Tick(m.now))
}

func (m *setModel) endInitialSync(*rapid.T) { m.set.EndInitialSync() }

func (m *setModel) check(t *rapid.T) {
	members := m.set.Members()
	if len(members) != len(m.returned) {
		t.Fatalf("members %v, accumulated from changes %v", members, m.returned)
	}
	for _, member := range members {
		m.checkMember(t, member)
		delete(m.removedAt, member.ID)
	}
	for k := range 6 {
		id := fmt.Sprint("s", k)
		if _, ok := m.returned[id]; ok {
			continue
		}
		m.checkNotLeftOut(t, id)
		if n := m.set.nodes[id]; n != nil && n.removed && n.removedAt == m.now {
			m.removedAt[id] = m.now
		}
	}
}

// checkNotLeftOut fails the test if a node is not used although a source gives its address and none restricts it.
func (m *setModel) checkNotLeftOut(t *rapid.T, id string) {
	known := false
	for k := range m.newest {
		known = known || m.newest[k][id].Addr != ""
		if m.words[k][id] == OutOfService {
			return
		}
	}
	n := m.set.nodes[id]
	suppressed := n != nil && n.suppressed
	if known && !suppressed {
		t.Fatalf("%s is not used, but no source restricts it", id)
	}
}

func (m *setModel) checkMember(t *rapid.T, member Member) {
	if m.returned[member.ID] != member {
		t.Fatalf("member %+v was last returned as %+v", member, m.returned[member.ID])
	}
	known := false
	for k := range m.newest {
		e, ok := m.newest[k][member.ID]
		known = known || ok && e.Addr != ""
		if ok && e.State > member.State {
			t.Fatalf("%s is %s, but %s says %s", member.ID, member.State, Source(k), e.State)
		}
	}
	heldFromFiles, _ := m.set.HeldRemovals(Files)
	heldFromDiscovery, _ := m.set.HeldRemovals(Discovery)
	for k, words := range m.words {
		held := Source(k) == Discovery && slices.Contains(heldFromDiscovery, member.ID)
		if words[member.ID] > member.State && !held {
			t.Fatalf("%s is %s, but the last word of %s is %s", member.ID, member.State, Source(k), words[member.ID])
		}
	}
	if !known && !slices.Contains(append(heldFromFiles, heldFromDiscovery...), member.ID) {
		t.Fatalf("%s is used though no source gives its address", member.ID)
	}
	byDiscovery := m.newest[Discovery][member.ID].ID != "" || slices.Contains(heldFromDiscovery, member.ID)
	if at, ok := m.removedAt[member.ID]; ok && member.StartedAt < at && !byDiscovery {
		t.Fatalf("%s was removed at %d and has returned with start time %d", member.ID, at, member.StartedAt)
	}
}

// With all protections on, the returned changes add up to the view, a node that any source has restricted last is never used
// more than that, also if the source no longer names it, no other node is left out, and a node that returns is cold.
func TestStrictestStateIsInForceUnderGuardAndDamping(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := DefaultOptions()
		o.MinGuardedRemovals = rapid.IntRange(0, 3).Draw(t, "guard")
		o.RemovalHold = 20 * second
		o.PenaltyHalfLife = 3 * second
		o.HistoryRetention = 30 * second
		o.GuardDiscovery = rapid.Bool().Draw(t, "guard discovery")
		m := newSetModel(o)
		t.Repeat(map[string]func(*rapid.T){
			"replace":        m.replace,
			"update":         m.update,
			"accept":         m.accept,
			"wait":           m.wait,
			"endInitialSync": m.endInitialSync,
			"":               m.check,
		})
	})
}

// entriesInState returns n entries of one file, each for a node with a different shard.
func entriesInState(n int, state State) (out []Entry) {
	for k := range n {
		out = append(out, Entry{
			ID:     fmt.Sprint("s", k),
			Addr:   fmt.Sprint("10.0.0.", k),
			Shard:  k,
			State:  state,
			Origin: fmt.Sprint("nodes.csv:", k+2),
		})
	}
	return out
}

// A large number of simultaneous removals is held back, with a reason, until an operator accepts them or the hold ends.
// A single removal and an explicit state take effect immediately.
func TestMassRemovalIsHeldBackUntilAccepted(t *testing.T) {
	s := New(DefaultOptions(), 1)
	s.Replace(Files, 1, entriesInState(20, Up), 2)
	s.EndInitialSync()
	if got := s.Replace(Files, 2, entriesInState(19, Up), 3); len(got) != 1 || got[0].State != OutOfService {
		t.Fatalf("removal of one node: %+v", got)
	}
	if got := s.Replace(Files, 3, entriesInState(5, Up), 4); len(got) != 0 {
		t.Fatalf("removal of 14 nodes was not held back: %+v", got)
	}
	held, reason := s.HeldRemovals(Files)
	if len(held) != 14 || reason == "" || len(s.Members()) != 19 {
		t.Fatalf("held removals %v, reason %q, %d members", held, reason, len(s.Members()))
	}
	// An explicit state from any source applies to a node whose removal is held back.
	if got := s.Replace(Operators, 1, []Entry{{ID: "s10", State: Draining}}, 5); len(got) != 1 || got[0].State != Draining {
		t.Fatalf("drain of a node whose removal is held back: %+v", got)
	}
	if x := s.Explain("s10"); x.Phase != PhaseDraining || len(x.Facts) != 2 || !x.Facts[0].HeldBack || len(x.Notes) == 0 {
		t.Errorf("explanation of s10, whose removal is held back: %+v", x)
	}
	if got := s.AcceptRemovals(Files, 6); len(got) != 14 {
		t.Fatalf("accepted removals: %+v", got)
	}
	s.Replace(Files, 4, entriesInState(20, Up), 7)
	s.Replace(Files, 5, entriesInState(5, Up), 8)
	if got := s.Tick(8 + DefaultOptions().RemovalHold + second); len(got) == 0 || len(s.Members()) != 5 {
		t.Fatalf("after the hold: %+v, %d members, want 5", got, len(s.Members()))
	}
	// Explicit states are not guarded, however many change simultaneously.
	s.Replace(Files, 6, entriesInState(20, Up), 700*second)
	if got := s.Replace(Files, 7, entriesInState(20, OutOfService), 800*second); len(got) != 20 {
		t.Fatalf("%d nodes taken out of service, want 20", len(got))
	}
}

// A node that leaves and returns repeatedly is kept out of use until its penalty has decayed, and is cold at each
// return.
func TestFlappingNodeIsSuppressed(t *testing.T) {
	o := DefaultOptions()
	s := New(o, 1)
	s.Replace(Files, 1, entriesInState(1, Up), 2)
	s.EndInitialSync()
	now := second
	version := int64(1)
	setState := func(state State) []Member {
		version++
		now += second
		return s.Replace(Files, version, entriesInState(1, state), now)
	}
	returns := 0
	for range 6 {
		if got := setState(OutOfService); len(got) > 0 && got[0].State != OutOfService {
			t.Fatalf("node taken out of service is returned as %+v", got)
		}
		if got := setState(Up); len(got) > 0 {
			returns++
			if got[0].StartedAt != now {
				t.Errorf("returned at %d with start time %d", now, got[0].StartedAt)
			}
		}
	}
	if returns < 2 || returns > 4 || len(s.Members()) != 0 {
		t.Fatalf("returned %d times, %d in use; %+v", returns, len(s.Members()), s.Explain("s0"))
	}
	if x := s.Explain("s0"); x.Phase != PhaseOut || len(x.Notes) == 0 {
		t.Errorf("explanation of a suppressed node: %+v", x)
	}
	for range 400 {
		next, ok := s.Next()
		if !ok || len(s.Members()) == 1 {
			break
		}
		now = max(next, now)
		s.Tick(now)
	}
	if len(s.Members()) != 1 || now > 300*second {
		t.Errorf("not used again by %d: %+v", now, s.Explain("s0"))
	}
	if x := s.Explain("s0"); x.Phase != PhaseCold {
		t.Errorf("phase after the return is %s, want %s", x.Phase, PhaseCold)
	}
	s.Tick(now + 5*second)
	if x := s.Explain("s0"); x.Phase != PhaseWarming {
		t.Errorf("phase 5 s after the return is %s, want %s", x.Phase, PhaseWarming)
	}
}

// Until the files have been read once, all nodes are used.
func TestAllowListExcludesNodesThatNoFileNames(t *testing.T) {
	o := DefaultOptions()
	o.FilesAreAllowList = true
	s := New(o, 1)
	if got := s.Replace(Discovery, 1, entriesInState(3, Up), 2); len(got) != 3 {
		t.Fatalf("before the first list: %+v", got)
	}
	if got := s.Replace(Files, 1, entriesInState(2, Up), 3); len(got) != 1 || got[0].ID != "s2" || got[0].State != OutOfService {
		t.Fatalf("first list without s2: %+v", got)
	}
	if x := s.Explain("s2"); x.Phase != PhaseOut || len(x.Notes) == 0 {
		t.Errorf("explanation of a node that no file names: %+v", x)
	}
	if got := s.Replace(Files, 2, entriesInState(3, Up), 4); len(got) != 1 || got[0].State != Up {
		t.Fatalf("list that names s2 again: %+v", got)
	}
}

// A node whose address or shard changes in a file is a different process under the same ID, and so cold. For a node
// that discovery lists, the start time given by discovery applies.
func TestNodeAtNewAddressIsCold(t *testing.T) {
	for _, inDiscovery := range []bool{false, true} {
		s := New(DefaultOptions(), 1)
		if inDiscovery {
			s.Replace(Discovery, 1, entriesInState(1, Up), 2)
		}
		s.Replace(Files, 1, entriesInState(1, Up), 2)
		s.EndInitialSync()
		for k, change := range []func(*Entry){func(e *Entry) { e.Addr = "10.9.9.9" }, func(e *Entry) { e.Addr, e.Shard = "10.9.9.9", 7 }} {
			list := entriesInState(1, Up)
			change(&list[0])
			now := clock.Micros(k+1) * 100 * second
			got := s.Replace(Files, int64(k+2), list, now)
			switch {
			case inDiscovery && len(got) > 0:
				t.Errorf("a node listed by discovery changed: %+v", got)
			case !inDiscovery && (len(got) != 1 || got[0].StartedAt != now):
				t.Errorf("change %d: %+v", k, got)
			case !inDiscovery && s.Explain("s0").Phase != PhaseCold:
				t.Errorf("change %d: %+v", k, s.Explain("s0"))
			}
		}
	}
}

// Guards against nodes that get work after discovery has removed them, because a file still has their row.
func TestRemovalByDiscoveryOutlivesTheRowOfAFile(t *testing.T) {
	list := entriesInState(3, Up)
	for name, remove := range map[string]func(s *Set) []Member{
		"change":          func(s *Set) []Member { return s.Update(Discovery, 2, nil, []string{"s0"}, 4) },
		"full list":       func(s *Set) []Member { return s.Replace(Discovery, 2, list[1:], 4) },
		"after its drain": func(s *Set) []Member { return removeAfterDrain(s, list) },
	} {
		s := New(DefaultOptions(), 1)
		s.Replace(Discovery, 1, list, 2)
		s.Replace(Files, 1, list, 3)
		s.EndInitialSync()
		remove(s)
		if _, ok := s.Get("s0"); ok {
			t.Errorf("%s: s0 is used although discovery has removed it", name)
		}
		s.Replace(Files, 2, append(entriesInState(3, Up), Entry{ID: "s9", Addr: list[0].Addr, Shard: 9}), 5)
		s.Tick(1000 * second)
		if _, ok := s.Get("s0"); ok {
			t.Errorf("%s: s0 is used again although discovery has not named it", name)
		}
		if _, ok := s.Get("s9"); !ok {
			t.Errorf("%s: a replacement under the address of the removed node is not used", name)
		}
		if x := s.Explain("s0"); len(x.Facts) != 2 || len(x.Notes) != 1 {
			t.Errorf("%s: explanation %+v", name, x)
		}
		if outlived := s.TakeOutlived(); len(outlived) == 0 || outlived[0].ID != "s0" {
			t.Errorf("%s: outlived restrictions %v", name, outlived)
		}
		s.Update(Discovery, 5, list[:1], nil, 1001*second)
		if _, ok := s.Get("s0"); !ok {
			t.Errorf("%s: s0 is not used although discovery names it again", name)
		}
	}
}

func removeAfterDrain(s *Set, list []Entry) []Member {
	draining := list[0]
	draining.State = Draining
	s.Update(Discovery, 2, []Entry{draining}, nil, 3)
	return s.Update(Discovery, 3, nil, []string{"s0"}, 4)
}

// Guards against nodes that get work again as soon as the row that drained them is deleted.
func TestDrainOutlivesTheDeletionOfItsRow(t *testing.T) {
	s := New(DefaultOptions(), 1)
	list := entriesInState(3, Up)
	s.Replace(Discovery, 1, list, 2)
	draining := entriesInState(3, Up)
	draining[0].State = Draining
	s.Replace(Files, 1, draining, 3)
	s.EndInitialSync()
	s.Replace(Files, 2, draining[1:], 4)
	if m, ok := s.Get("s0"); !ok || m.State != Draining {
		t.Errorf("s0 is %v, in use %v, after its row was deleted, want draining", m.State, ok)
	}
	s.Replace(Files, 3, list, 5)
	if m, ok := s.Get("s0"); !ok || m.State != Up {
		t.Errorf("s0 is %v, in use %v, although a row says up", m.State, ok)
	}
	s.Replace(Files, 4, list[1:], 6)
	if m, ok := s.Get("s0"); !ok || m.State != Up {
		t.Errorf("s0 is %v, in use %v, after a row that said up was deleted", m.State, ok)
	}
}

// The restrictions that outlive their entries are bounded, however many nodes come and go.
func TestRetainedRestrictionsAreBounded(t *testing.T) {
	s := New(DefaultOptions(), 1)
	for i := range 2 * maxRetained {
		id := fmt.Sprint("gone", i)
		s.Update(Discovery, int64(2*i+1), []Entry{{ID: id, Addr: "10.0.0.1"}}, nil, 2)
		s.Update(Discovery, int64(2*i+2), nil, []string{id}, 2)
		s.TakeOutlived()
	}
	source := &s.sources[Discovery]
	if len(source.retained) != maxRetained || len(source.retainedOrder) != maxRetained {
		t.Errorf("%d restrictions are retained, %d in order, want %d", len(source.retained), len(source.retainedOrder), maxRetained)
	}
}
