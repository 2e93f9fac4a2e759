package routing

import (
	"cmp"
	"slices"
)

// Entry is a node with the shard it holds.
type Entry struct {
	Node
	Shard int
}

// Table is which nodes hold which shard, of one epoch. It is never changed: Change makes the next one, which shares all that is the
// same with it, so a reader keeps what it has begun with.
type Table struct {
	Epoch  uint64
	shards []*[chunk]shard // by number, in chunks that are shared between epochs
	byID   map[string]int  // shard of each node, of the newest epoch only
	newest *uint64
	count  int
}

// chunk is how many shards are copied when one changes.
const chunk = 64

// shard is the nodes that hold it, by id.
type shard struct{ nodes []Node }

// NewTable returns an empty one.
func NewTable() *Table { return &Table{byID: map[string]int{}, newest: new(uint64)} }

// Nodes lists the nodes of a shard. The list must not be changed.
func (t *Table) Nodes(n int) []Node {
	if n < 0 || n/chunk >= len(t.shards) || t.shards[n/chunk] == nil {
		return nil
	}
	return t.shards[n/chunk][n%chunk].nodes
}

// Len counts the nodes.
func (t *Table) Len() int { return t.count }

// maxShard bounds the table against a mistyped number.
const maxShard = 1 << 20

// Change is the next epoch, with these entries added or changed and these nodes gone. Only the newest epoch can be changed; of
// an older one it returns nil.
func (t *Table) Change(set []Entry, gone []string) *Table {
	if *t.newest != t.Epoch {
		return nil
	}
	next := &Table{Epoch: t.Epoch + 1, shards: slices.Clone(t.shards), byID: t.byID, newest: t.newest, count: t.count}
	own := map[int]bool{}
	at := func(n int) *shard {
		c := n / chunk
		for len(next.shards) <= c {
			next.shards = append(next.shards, nil)
		}
		if !own[c] {
			fresh := new([chunk]shard)
			if next.shards[c] != nil {
				*fresh = *next.shards[c]
			}
			next.shards[c], own[c] = fresh, true
		}
		return &next.shards[c][n%chunk]
	}
	drop := func(id string) {
		n, ok := next.byID[id]
		if !ok {
			return
		}
		s := at(n)
		s.nodes = slices.DeleteFunc(slices.Clone(s.nodes), func(x Node) bool { return x.ID == id })
		delete(next.byID, id)
		next.count--
	}
	for _, id := range gone {
		drop(id)
	}
	for _, e := range set {
		if e.Shard < 0 || e.Shard >= maxShard {
			continue
		}
		drop(e.ID)
		s := at(e.Shard)
		i, _ := slices.BinarySearchFunc(s.nodes, e.ID, func(x Node, id string) int { return cmp.Compare(x.ID, id) })
		s.nodes = slices.Insert(slices.Clone(s.nodes), i, e.Node)
		next.byID[e.ID] = e.Shard
		next.count++
	}
	*next.newest = next.Epoch
	return next
}

// Subset is the nodes that one broker uses: of each shard all where it has no more than k, else the k that rank best. With a
// change of the table only the shards that changed are ranked anew.
type Subset struct {
	Broker string
	K      int
	table  *Table
	picked map[int][]string
	used   map[string]bool
}

// NewSubset returns the subset of an empty table. k 0 means all nodes.
func NewSubset(broker string, k int) *Subset {
	return &Subset{Broker: broker, K: k, table: NewTable(), picked: map[int][]string{}, used: map[string]bool{}}
}

// Change takes in entries and nodes that are gone, and returns the nodes that the broker uses from now on and those that it
// does not use any more.
func (s *Subset) Change(set []Entry, gone []string) (begin, end []string) {
	touched := map[int]bool{}
	for _, id := range gone {
		if n, ok := s.table.byID[id]; ok {
			touched[n] = true
		}
	}
	for _, e := range set {
		if n, ok := s.table.byID[e.ID]; ok {
			touched[n] = true
		}
		touched[e.Shard] = true
	}
	s.table = s.table.Change(set, gone)
	before := map[string]bool{}
	for n := range touched {
		for _, id := range s.picked[n] {
			before[id] = true
			delete(s.used, id)
		}
	}
	for n := range touched {
		nodes := s.table.Nodes(n)
		var pick []string
		if s.K <= 0 || len(nodes) <= s.K {
			for _, x := range nodes {
				pick = append(pick, x.ID)
			}
		} else {
			pick = Rendezvous(s.Broker, nodes, s.K)
		}
		if len(pick) == 0 {
			delete(s.picked, n)
		} else {
			s.picked[n] = pick
		}
		for _, id := range pick {
			s.used[id] = true
		}
	}
	for n := range touched {
		for _, id := range s.picked[n] {
			if !before[id] {
				begin = append(begin, id)
			}
		}
	}
	for id := range before {
		if !s.used[id] {
			end = append(end, id)
		}
	}
	slices.Sort(begin)
	slices.Sort(end)
	return begin, end
}

// Uses reports whether the broker uses a node.
func (s *Subset) Uses(id string) bool { return s.used[id] }

// Len counts the nodes that it uses.
func (s *Subset) Len() int { return len(s.used) }

// Table is the table of the present epoch.
func (s *Subset) Table() *Table { return s.table }
