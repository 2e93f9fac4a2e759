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
