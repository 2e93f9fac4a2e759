package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/testkit/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

const s1 = int64(1_000_000)

func draw(t *rapid.T) []Entry {
	var out []Entry
	for k := range 6 {
		if rapid.IntRange(0, 3).Draw(t, "there") == 0 {
			continue
		}
		e := Entry{ID: fmt.Sprint("s", k), State: State(rapid.IntRange(0, 2).Draw(t, "state"))}
		if rapid.IntRange(0, 4).Draw(t, "addr") > 0 {
			e.Addr, e.Shard = fmt.Sprint("10.0.0.", rapid.IntRange(1, 3).Draw(t, "at")), rapid.IntRange(0, 2).Draw(t, "shard")
		}
		out = append(out, e)
	}
	return out
}

// plain is a view without what depends on when things came.
func plain(s *Set) (out []string) {
	for _, m := range s.Members() {
		out = append(out, fmt.Sprint(m.ID, m.State, m.Addr, m.Shard))
	}
	return out
}

// The order in which words arrive, their repetition and the loss of all but the newest do not matter.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{FilesAreAllowList: rapid.Bool().Draw(t, "limit"), SlowStart: s1, HistoryRetention: s1}
		var words [sources][][]Entry
		for k := range words {
			for range rapid.IntRange(0, 4).Draw(t, "words") {
				words[k] = append(words[k], draw(t))
			}
		}
		play := func(name string) []string {
			s := New(o, 1)
			var next [sources]int
			for now := int64(2); ; now++ {
				var open []int
				for k := range words {
					if next[k] < len(words[k]) {
						open = append(open, k)
					}
				}
				if len(open) == 0 {
					return plain(s)
				}
				k := rapid.SampledFrom(open).Draw(t, name)
				v := next[k]
				if v < len(words[k])-1 && rapid.IntRange(0, 2).Draw(t, name+" lost") == 0 {
					next[k]++
					continue
				}
				s.Replace(Source(k), int64(v), words[k][v], now)
				if v > 0 && rapid.Bool().Draw(t, name+" late") { // an old one comes again
					s.Replace(Source(k), int64(v-1), words[k][v-1], now)
				}
				next[k]++
			}
		}
		if a, b := play("one"), play("other"); !slices.Equal(a, b) {
			t.Fatalf("%v\n%v", a, b)
		}
	})
}

// With everything on: what is passed on adds up to the view; a node that any source has draining or out is never up,
// however the guard and the damping stand; and a node is never shown warmer than it can be.
func TestNoDrainIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := DefaultOptions()
		o.MinGuardedRemovals, o.RemovalHold, o.PenaltyHalfLife, o.HistoryRetention = rapid.IntRange(0, 3).Draw(t, "guard"), 20*s1, 3*s1, 30*s1
		o.GuardDiscovery = rapid.Bool().Draw(t, "discovery too")
		s := New(o, 1)
		now := int64(1)
		shown := map[string]Member{}
		newest := [sources]map[string]Entry{{}, {}, {}}
		version := int64(0)
		absent := map[string]int64{}
		t.Repeat(map[string]func(*rapid.T){
			"tell": func(t *rapid.T) {
				k := Source(rapid.IntRange(0, 2).Draw(t, "source"))
				version++
				list := draw(t)
				newest[k] = map[string]Entry{}
				for _, e := range list {
					newest[k][e.ID] = e
				}
				take(shown, s.Replace(k, version, list, now))
			},
			"change": func(t *rapid.T) {
				k := Source(rapid.IntRange(0, 2).Draw(t, "source"))
				version++
				list := draw(t)
				var gone []string
				if len(list) > 1 {
					gone = []string{list[0].ID}
					list = list[1:]
				}
				for _, e := range list {
					newest[k][e.ID] = e
				}
				for _, id := range gone {
					delete(newest[k], id)
				}
				take(shown, s.Update(k, version, list, gone, now))
			},
			"accept": func(t *rapid.T) { take(shown, s.AcceptRemovals(Files, now)) },
			"wait": func(t *rapid.T) {
				now += rapid.SampledFrom([]int64{1000, s1, 5 * s1, 40 * s1}).Draw(t, "time")
				take(shown, s.Tick(now))
			},
			"begun": func(t *rapid.T) { s.EndInitialSync() },
			"": func(t *rapid.T) {
				members := s.Members()
				if len(members) != len(shown) {
					t.Fatalf("%v\n%v", members, shown)
				}
				for _, m := range members {
					if shown[m.ID] != m {
						t.Fatalf("%+v is shown as %+v", m, shown[m.ID])
					}
					known := false
					for k := range newest {
						e, ok := newest[k][m.ID]
						known = known || ok && e.Addr != ""
						if ok && e.State > m.State {
							t.Fatalf("%s is %s, though %s has it %s", m.ID, m.State, Source(k), e.State)
						}
					}
					held, _ := s.HeldRemovals(Files)
					more, _ := s.HeldRemovals(Discovery)
					if !known && !slices.Contains(append(held, more...), m.ID) {
						t.Fatalf("%s is used and nobody knows it", m.ID)
					}
					if since, ok := absent[m.ID]; ok && m.StartedAt < since && newest[Discovery][m.ID].ID == "" && !slices.Contains(more, m.ID) {
						t.Fatalf("%s was out at %d and is back as if it had started at %d", m.ID, since, m.StartedAt)
					}
					delete(absent, m.ID)
				}
				for k := range 6 {
					id := fmt.Sprint("s", k)
					if _, ok := shown[id]; !ok && s.nodes[id] != nil && s.nodes[id].gone == now {
						absent[id] = now
					}
				}
			},
		})
	})
}

func take(shown map[string]Member, list []Member) {
	for _, m := range list {
		if m.State == OutOfService {
			delete(shown, m.ID)
		} else {
			shown[m.ID] = m
		}
	}
}

func rows(n int, state State) (out []Entry) {
	for k := range n {
		out = append(out, Entry{ID: fmt.Sprint("s", k), Addr: fmt.Sprint("10.0.0.", k), Shard: k, State: state, Origin: fmt.Sprint("nodes.csv:", k+2)})
	}
	return out
}

// A group deleted by mistake is held back, said so, and believed when an operator says so or the hold ends; a single row and
// an express word are believed at once.
func TestGuard(t *testing.T) {
	s := New(DefaultOptions(), 1)
	s.Replace(Files, 1, rows(20, Up), 2)
	s.EndInitialSync()
	if got := s.Replace(Files, 2, rows(19, Up), 3); len(got) != 1 || got[0].State != OutOfService {
		t.Fatalf("one row: %+v", got)
	}
	if got := s.Replace(Files, 3, rows(5, Up), 4); len(got) != 0 {
		t.Fatalf("a lost group went through: %+v", got)
	}
	held, why := s.HeldRemovals(Files)
	if len(held) != 14 || why == "" || len(s.Members()) != 19 {
		t.Fatalf("%v %q", held, why)
	}
	// What is held is still taken out by anybody's express word.
	if got := s.Replace(Operators, 1, []Entry{{ID: "s10", State: Draining}}, 5); len(got) != 1 || got[0].State != Draining {
		t.Fatalf("a drain of a held node: %+v", got)
	}
	if x := s.Explain("s10"); x.Phase != PhaseDraining || len(x.Facts) != 2 || !x.Facts[0].HeldBack || len(x.Notes) == 0 {
		t.Errorf("%+v", x)
	}
	if got := s.AcceptRemovals(Files, 6); len(got) != 14 {
		t.Fatalf("accepted: %+v", got)
	}
	s.Replace(Files, 4, rows(20, Up), 7)
	s.Replace(Files, 5, rows(5, Up), 8)
	if got := s.Tick(8 + DefaultOptions().RemovalHold + s1); len(got) == 0 || len(s.Members()) != 5 {
		t.Fatalf("after the hold: %+v, %d left", got, len(s.Members()))
	}
	// Express words for all of them at once are a decision.
	s.Replace(Files, 6, rows(20, Up), 700*s1)
	if got := s.Replace(Files, 7, rows(20, OutOfService), 800*s1); len(got) != 20 {
		t.Fatalf("all out: %d", len(got))
	}
}

// A node that comes and goes stays out for a while, and then comes back by itself, cold each time.
func TestFlaps(t *testing.T) {
	o := DefaultOptions()
	s := New(o, 1)
	s.Replace(Files, 1, rows(1, Up), 2)
	s.EndInitialSync()
	now, v := int64(s1), int64(1)
	flip := func(state State) []Member {
		v++
		now += s1
		return s.Replace(Files, v, rows(1, state), now)
	}
	back := 0
	for range 6 {
		if got := flip(OutOfService); len(got) > 0 && got[0].State != OutOfService {
			t.Fatal(got)
		}
		if got := flip(Up); len(got) > 0 {
			back++
			if got[0].StartedAt != now {
				t.Errorf("back at %d as if started at %d", now, got[0].StartedAt)
			}
		}
	}
	if back < 2 || back > 4 || len(s.Members()) != 0 {
		t.Fatalf("came back %d times, %d in use; %+v", back, len(s.Members()), s.Explain("s0"))
	}
	if x := s.Explain("s0"); x.Phase != PhaseOut || len(x.Notes) == 0 {
		t.Errorf("%+v", x)
	}
	for range 400 {
		next, ok := s.Next()
		if !ok || len(s.Members()) == 1 {
			break
		}
		now = max(next, now)
		s.Tick(now)
	}
	if len(s.Members()) != 1 || now > 300*s1 {
		t.Errorf("not back by %d: %+v", now, s.Explain("s0"))
	}
	if x := s.Explain("s0"); x.Phase != PhaseCold {
		t.Errorf("%+v", x)
	}
	s.Tick(now + 5*s1)
	if x := s.Explain("s0"); x.Phase != PhaseWarming {
		t.Errorf("%+v", x)
	}
}

// In mode limit a node that no file has is not used, whoever else knows it; before a file has spoken, all are.
func TestLimit(t *testing.T) {
	o := DefaultOptions()
	o.FilesAreAllowList = true
	s := New(o, 1)
	if got := s.Replace(Discovery, 1, rows(3, Up), 2); len(got) != 3 {
		t.Fatalf("%+v", got)
	}
	if got := s.Replace(Files, 1, rows(2, Up), 3); len(got) != 1 || got[0].ID != "s2" || got[0].State != OutOfService {
		t.Fatalf("%+v", got)
	}
	if x := s.Explain("s2"); x.Phase != PhaseOut || len(x.Notes) == 0 {
		t.Errorf("%+v", x)
	}
	if got := s.Replace(Files, 2, rows(3, Up), 4); len(got) != 1 || got[0].State != Up {
		t.Fatalf("%+v", got)
	}
}

// A node that a file puts at another address, or on another shard, is another process under an old name: cold, though the file has it warm. One
// that discovery knows is what discovery says.
func TestMovedIsCold(t *testing.T) {
	for _, known := range []bool{false, true} {
		s := New(DefaultOptions(), 1)
		if known {
			s.Replace(Discovery, 1, rows(1, Up), 2)
		}
		s.Replace(Files, 1, rows(1, Up), 2)
		s.EndInitialSync()
		for k, change := range []func(*Entry){func(e *Entry) { e.Addr = "10.9.9.9" }, func(e *Entry) { e.Addr, e.Shard = "10.9.9.9", 7 }} {
			list := rows(1, Up)
			change(&list[0])
			now := int64(k+1) * 100 * s1
			got := s.Replace(Files, int64(k+2), list, now)
			switch {
			case known && len(got) > 0:
				t.Errorf("discovery knows it, and it is %+v", got)
			case !known && (len(got) != 1 || got[0].StartedAt != now):
				t.Errorf("change %d: %+v", k, got)
			case !known && s.Explain("s0").Phase != PhaseCold:
				t.Errorf("change %d: %+v", k, s.Explain("s0"))
			}
		}
	}
}
