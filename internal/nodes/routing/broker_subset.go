package routing

import (
	"slices"
)

// Subset holds the nodes that one broker uses: all nodes of a shard that has at most K, otherwise the K with the
// highest scores. After a change of the table only the changed shards are ranked again.
type Subset struct {
	Broker string
	K      int
	table  *Table
	picked map[int][]string // by shard
	used   map[string]bool
}

// NewSubset returns the subset of an empty table. If k is 0, it contains all nodes.
func NewSubset(broker string, k int) *Subset {
	return &Subset{Broker: broker, K: k, table: NewTable(), picked: map[int][]string{}, used: map[string]bool{}}
}

// Change applies added and changed entries and removed nodes. It returns the nodes that the broker starts to use and
// those that it stops using, both sorted.
func (s *Subset) Change(entries []ShardNode, removed []string) (added, dropped []string) {
	touched := s.touchedShards(entries, removed)
	s.table = s.table.Change(entries, removed)
	before := map[string]bool{}
	for shard := range touched {
		for _, id := range s.picked[shard] {
			before[id] = true
			delete(s.used, id)
		}
	}
	for shard := range touched {
		s.pick(shard)
	}
	for shard := range touched {
		for _, id := range s.picked[shard] {
			if !before[id] {
				added = append(added, id)
			}
		}
	}
	for id := range before {
		if !s.used[id] {
			dropped = append(dropped, id)
		}
	}
	slices.Sort(added)
	slices.Sort(dropped)
	return added, dropped
}

// touchedShards returns the shards that the entries and the removed nodes belong to, before or after the change.
func (s *Subset) touchedShards(entries []ShardNode, removed []string) map[int]bool {
	touched := map[int]bool{}
	for _, id := range removed {
		if shard, ok := s.table.byID[id]; ok {
			touched[shard] = true
		}
	}
	for _, e := range entries {
		if shard, ok := s.table.byID[e.ID]; ok {
			touched[shard] = true
		}
		touched[e.Shard] = true
	}
	return touched
}

// pick chooses the nodes of a shard that the broker uses.
func (s *Subset) pick(shard int) {
	nodes := s.table.Nodes(shard)
	var picked []string
	if s.K <= 0 || len(nodes) <= s.K {
		for _, n := range nodes {
			picked = append(picked, n.ID)
		}
	} else {
		picked = Rendezvous(s.Broker, nodes, s.K)
	}
	if len(picked) == 0 {
		delete(s.picked, shard)
		return
	}
	s.picked[shard] = picked
	for _, id := range picked {
		s.used[id] = true
	}
}

// Uses reports whether the broker uses a node.
func (s *Subset) Uses(id string) bool { return s.used[id] }

// Len returns the number of nodes that the broker uses.
func (s *Subset) Len() int { return len(s.used) }

// Table returns the table of the current epoch.
func (s *Subset) Table() *Table { return s.table }
