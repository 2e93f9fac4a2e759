package routing

import (
	"cmp"
	"slices"
)

// ShardNode is a node with the shard it holds.
type ShardNode struct {
	Node
	Shard int
}

// Table maps shards to the nodes that hold them, for one epoch. It is immutable: Change returns the next table, which
// shares its unchanged parts with this one, so a reader may keep using the table that it has.
type Table struct {
	Epoch  uint64
	shards []*[chunkSize]shard // by shard number, in chunks that are shared between epochs
	byID   map[string]int      // shard of each node; shared, and valid for the newest epoch only
	newest *uint64             // the newest epoch; shared
	count  int                 // number of nodes
}

// chunkSize is the number of shards that are copied when one of them changes.
const chunkSize = 64

// shard lists the nodes that hold a shard, sorted by ID.
type shard struct{ nodes []Node }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{byID: map[string]int{}, newest: new(uint64)} }

// Nodes returns the nodes of a shard. The caller must not modify the slice.
func (t *Table) Nodes(n int) []Node {
	if n < 0 || n/chunkSize >= len(t.shards) || t.shards[n/chunkSize] == nil {
		return nil
	}
	return t.shards[n/chunkSize][n%chunkSize].nodes
}

// Len returns the number of nodes.
func (t *Table) Len() int { return t.count }

// maxShard bounds the size of the table in case a shard number is mistyped.
const maxShard = 1 << 20

// Change returns the table of the next epoch, with the entries added or changed and the removed nodes deleted. Only the
// newest table can be changed; for an older one Change returns nil.
func (t *Table) Change(entries []ShardNode, removed []string) *Table {
	if *t.newest != t.Epoch {
		return nil
	}
	next := &Table{Epoch: t.Epoch + 1, shards: slices.Clone(t.shards), byID: t.byID, newest: t.newest, count: t.count}
	copied := map[int]bool{}
	shardToEdit := func(n int) *shard {
		c := n / chunkSize
		for len(next.shards) <= c {
			next.shards = append(next.shards, nil)
		}
		if !copied[c] {
			fresh := new([chunkSize]shard)
			if next.shards[c] != nil {
				*fresh = *next.shards[c]
			}
			next.shards[c], copied[c] = fresh, true
		}
		return &next.shards[c][n%chunkSize]
	}
	remove := func(id string) {
		n, ok := next.byID[id]
		if !ok {
			return
		}
		s := shardToEdit(n)
		s.nodes = slices.DeleteFunc(slices.Clone(s.nodes), func(x Node) bool { return x.ID == id })
		delete(next.byID, id)
		next.count--
	}
	for _, id := range removed {
		remove(id)
	}
	for _, e := range entries {
		if e.Shard < 0 || e.Shard >= maxShard {
			continue
		}
		remove(e.ID)
		s := shardToEdit(e.Shard)
		i, _ := slices.BinarySearchFunc(s.nodes, e.ID, func(x Node, id string) int { return cmp.Compare(x.ID, id) })
		s.nodes = slices.Insert(slices.Clone(s.nodes), i, e.Node)
		next.byID[e.ID] = e.Shard
		next.count++
	}
	*next.newest = next.Epoch
	return next
}
