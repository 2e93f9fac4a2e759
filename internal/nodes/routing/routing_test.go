package routing

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/testkit/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func fleet(n int) (out []Node) {
	for k := range n {
		out = append(out, Node{ID: fmt.Sprintf("node-%05d", k), Weight: 1})
	}
	return out
}

func names(n int) (out []string) {
	for k := range n {
		out = append(out, fmt.Sprintf("broker-%03d", k))
	}
	return out
}

// Bounded keeps its bound, fills every subset, and does not hang on the order of its input.
func TestBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := fleet(rapid.IntRange(1, 60).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i].Weight = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
		}
		brokers := names(rapid.IntRange(1, 20).Draw(t, "brokers"))
		k := rapid.IntRange(1, 8).Draw(t, "k")
		got := Bounded(brokers, nodes, k)
		total := 0.0
		for _, n := range nodes {
			total += n.Weight
		}
		count := map[string]int{}
		short := 0
		for _, b := range brokers {
			list := got[b]
			short += min(k, len(nodes)) - len(list)
			for i, id := range list {
				count[id]++
				if i > 0 && list[i-1] >= id {
					t.Fatalf("%s has %v", b, list)
				}
			}
		}
		for _, n := range nodes {
			if most := float64(len(brokers)*min(k, len(nodes)))*n.Weight/total*1.1 + 1; float64(count[n.ID]) > most {
				t.Fatalf("%s is picked %d times, at most %v", n.ID, count[n.ID], most)
			}
		}
		// A node has one place for a broker: where weights are very unequal, not all places can be filled.
		if short > len(brokers)*k/3+k {
			t.Fatalf("%d places of %d are not filled", short, len(brokers)*k)
		}
		slices.Reverse(nodes)
		slices.Reverse(brokers)
		if again := Bounded(brokers, nodes, k); !maps.EqualFunc(got, again, slices.Equal) {
			t.Fatal("another order gives other subsets")
		}
	})
}

// Whatever is changed, one step at a time or all at once: the table holds the same, old epochs stay as they were, and the subset is
// that of the whole table, told in full by what begins and ends.
func TestTableAndSubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSubset("b1", rapid.IntRange(0, 3).Draw(t, "k"))
		want := map[string]Entry{}
		used := map[string]bool{}
		var old *Table
		var was []Node
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			var set []Entry
			var gone []string
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				e := Entry{Node{ID: fmt.Sprint("n", rapid.IntRange(0, 9).Draw(t, "node")), Weight: 1}, rapid.IntRange(0, 2).Draw(t, "shard") * 70}
				if slices.Contains(gone, e.ID) || slices.ContainsFunc(set, func(x Entry) bool { return x.ID == e.ID }) {
					continue
				}
				if rapid.IntRange(0, 2).Draw(t, "gone") == 0 {
					gone = append(gone, e.ID)
					delete(want, e.ID)
				} else {
					set = append(set, e)
					want[e.ID] = e
				}
			}
			if rapid.IntRange(0, 5).Draw(t, "keep") == 0 {
				old, was = s.Table(), slices.Clone(s.Table().Nodes(70))
			}
			begin, end := s.Change(set, gone)
			for _, id := range begin {
				if used[id] {
					t.Fatalf("%s begins twice", id)
				}
				used[id] = true
			}
			for _, id := range end {
				if !used[id] {
					t.Fatalf("%s ends and was not used", id)
				}
				delete(used, id)
			}
			if s.Table().Len() != len(want) {
				t.Fatalf("%d nodes, want %d", s.Table().Len(), len(want))
			}
			all := map[string]bool{}
			for _, n := range []int{0, 70, 140} {
				var nodes []Node
				for _, e := range want {
					if e.Shard == n {
						nodes = append(nodes, e.Node)
					}
				}
				slices.SortFunc(nodes, func(a, b Node) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) })
				if !slices.Equal(nodes, s.Table().Nodes(n)) {
					t.Fatalf("shard %d: %v, want %v", n, s.Table().Nodes(n), nodes)
				}
				k := s.K
				if k == 0 {
					k = len(nodes)
				}
				for _, id := range Rendezvous("b1", nodes, k) {
					all[id] = true
				}
			}
			if !maps.Equal(all, used) || s.Len() != len(used) {
				t.Fatalf("uses %v, want %v", used, all)
			}
			if old != nil && !slices.Equal(old.Nodes(70), was) {
				t.Fatal("an old epoch has changed")
			}
		}
	})
}

// Looking a shard's nodes up: the table, a map of lists, and a scan over all nodes.
func BenchmarkLookup(b *testing.B) {
	const n = 10_000
	var set []Entry
	byShard := map[int][]Node{}
	for k, x := range fleet(n) {
		set = append(set, Entry{x, k % 4096})
		byShard[k%4096] = append(byShard[k%4096], x)
	}
	t := NewTable().Change(set, nil)
	sum := 0
	b.Run("table", func(b *testing.B) {
		for k := 0; b.Loop(); k++ {
			sum += len(t.Nodes(k * 7919 & 4095))
		}
	})
	b.Run("map", func(b *testing.B) {
		for k := 0; b.Loop(); k++ {
			sum += len(byShard[k*7919&4095])
		}
	})
	b.Run("scan", func(b *testing.B) {
		for k := 0; b.Loop(); k++ {
			for i := range set {
				if set[i].Shard == k*7919&4095 {
					sum++
				}
			}
		}
	})
	_ = sum
}

// The next epoch after a change of one node: shared, and as a copy of a map.
func BenchmarkEpoch(b *testing.B) {
	const n = 10_000
	var set []Entry
	for k, x := range fleet(n) {
		set = append(set, Entry{x, k})
	}
	b.Run("table", func(b *testing.B) {
		t := NewTable().Change(set, nil)
		for k := 0; b.Loop(); k++ {
			t = t.Change([]Entry{{set[k%n].Node, (k + 1) % n}}, nil)
		}
	})
	b.Run("map", func(b *testing.B) {
		m := map[int][]Node{}
		for _, e := range set {
			m[e.Shard] = []Node{e.Node}
		}
		for k := 0; b.Loop(); k++ {
			m = maps.Clone(m)
			m[k%n] = []Node{set[k%n].Node}
		}
	})
}
