package routing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/testkit/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.RunTests(m) }

func makeNodes(n int) (out []Node) {
	for k := range n {
		out = append(out, Node{ID: fmt.Sprintf("node-%05d", k), Weight: 1})
	}
	return out
}

func brokerNames(n int) (out []string) {
	for k := range n {
		out = append(out, fmt.Sprintf("broker-%03d", k))
	}
	return out
}

// Bounded keeps its bound, fills the subsets, and does not depend on the order of its input.
func TestBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := makeNodes(rapid.IntRange(1, 60).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i].Weight = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
		}
		brokers := brokerNames(rapid.IntRange(1, 20).Draw(t, "brokers"))
		k := rapid.IntRange(1, 8).Draw(t, "k")
		got := Bounded(brokers, nodes, k)
		total := 0.0
		for _, n := range nodes {
			total += n.Weight
		}
		count := map[string]int{}
		unfilled := 0
		for _, b := range brokers {
			list := got[b]
			unfilled += min(k, len(nodes)) - len(list)
			for i, id := range list {
				count[id]++
				if i > 0 && list[i-1] >= id {
					t.Fatalf("subset of %s is not sorted or has duplicates: %v", b, list)
				}
			}
		}
		for _, n := range nodes {
			if limit := float64(len(brokers)*min(k, len(nodes)))*n.Weight/total*1.1 + 1; float64(count[n.ID]) > limit {
				t.Fatalf("%s is picked %d times, at most %v", n.ID, count[n.ID], limit)
			}
		}
		// A broker can pick a node only once: if weights are very unequal, not all places can be filled.
		if unfilled > len(brokers)*k/3+k {
			t.Fatalf("%d of %d places in subsets are not filled", unfilled, len(brokers)*k)
		}
		slices.Reverse(nodes)
		slices.Reverse(brokers)
		if again := Bounded(brokers, nodes, k); !maps.EqualFunc(got, again, slices.Equal) {
			t.Fatal("another order gives other subsets")
		}
	})
}

// subsetModel is a subset together with its expected content.
type subsetModel struct {
	subset *Subset
	nodes  map[string]ShardNode // by ID
	used   map[string]bool      // nodes in use, accumulated from the reported changes
}

// testShards are in different chunks of the table.
var testShards = []int{0, 70, 140}

// drawChange returns entries to set and nodes to remove, without naming a node twice.
func drawChange(t *rapid.T) (entries []ShardNode, removed []string) {
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		id := fmt.Sprint("n", rapid.IntRange(0, 9).Draw(t, "node"))
		shard := rapid.SampledFrom(testShards).Draw(t, "shard")
		if slices.Contains(removed, id) || slices.ContainsFunc(entries, func(x ShardNode) bool { return x.ID == id }) {
			continue
		}
		if rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
			removed = append(removed, id)
		} else {
			entries = append(entries, ShardNode{Node: Node{ID: id, Weight: 1}, Shard: shard})
		}
	}
	return entries, removed
}

// change applies a change and checks that no node is reported as added or dropped wrongly.
func (m *subsetModel) change(t *rapid.T, entries []ShardNode, removed []string) {
	t.Helper()
	for _, id := range removed {
		delete(m.nodes, id)
	}
	for _, e := range entries {
		m.nodes[e.ID] = e
	}
	added, dropped := m.subset.Change(entries, removed)
	for _, id := range added {
		if m.used[id] {
			t.Fatalf("%s is reported as added but was already used", id)
		}
		m.used[id] = true
	}
	for _, id := range dropped {
		if !m.used[id] {
			t.Fatalf("%s is reported as dropped but was not used", id)
		}
		delete(m.used, id)
	}
}

// shardNodes returns the nodes that a shard should hold.
func (m *subsetModel) shardNodes(shard int) []Node {
	var nodes []Node
	for _, e := range m.nodes {
		if e.Shard == shard {
			nodes = append(nodes, e.Node)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
	return nodes
}

// check compares the table and the subset with their expected content.
func (m *subsetModel) check(t *rapid.T) {
	t.Helper()
	if m.subset.Table().Len() != len(m.nodes) {
		t.Fatalf("table has %d nodes, want %d", m.subset.Table().Len(), len(m.nodes))
	}
	want := map[string]bool{}
	for _, shard := range testShards {
		nodes := m.shardNodes(shard)
		if !slices.Equal(nodes, m.subset.Table().Nodes(shard)) {
			t.Fatalf("shard %d: %v, want %v", shard, m.subset.Table().Nodes(shard), nodes)
		}
		k := m.subset.K
		if k == 0 {
			k = len(nodes)
		}
		for _, id := range Rendezvous(m.subset.Broker, nodes, k) {
			want[id] = true
		}
	}
	if !maps.Equal(want, m.used) || m.subset.Len() != len(m.used) {
		t.Fatalf("uses %v, want %v", m.used, want)
	}
}

// TestTableAndSubsetFollowChanges also checks that earlier epochs of the table stay unchanged.
func TestTableAndSubsetFollowChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &subsetModel{subset: NewSubset("b1", rapid.IntRange(0, 3).Draw(t, "k")), nodes: map[string]ShardNode{}, used: map[string]bool{}}
		var earlier *Table
		var earlierNodes []Node
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			entries, removed := drawChange(t)
			if rapid.IntRange(0, 5).Draw(t, "keep table") == 0 {
				earlier = m.subset.Table()
				earlierNodes = slices.Clone(earlier.Nodes(testShards[1]))
			}
			m.change(t, entries, removed)
			m.check(t)
			if earlier != nil && !slices.Equal(earlier.Nodes(testShards[1]), earlierNodes) {
				t.Fatal("an earlier epoch has changed")
			}
		}
	})
}

// BenchmarkLookup looks up the nodes of a shard in the table, in a map of lists, and by a scan over all nodes.
func BenchmarkLookup(b *testing.B) {
	const n = 10_000
	var set []ShardNode
	byShard := map[int][]Node{}
	for k, x := range makeNodes(n) {
		set = append(set, ShardNode{x, k % 4096})
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

// BenchmarkEpoch makes the next epoch after a change of one node, by sharing chunks and by copying a map.
func BenchmarkEpoch(b *testing.B) {
	const n = 10_000
	var set []ShardNode
	for k, x := range makeNodes(n) {
		set = append(set, ShardNode{x, k})
	}
	b.Run("table", func(b *testing.B) {
		t := NewTable().Change(set, nil)
		for k := 0; b.Loop(); k++ {
			t = t.Change([]ShardNode{{set[k%n].Node, (k + 1) % n}}, nil)
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
