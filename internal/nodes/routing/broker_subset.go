package routing

import (
	"slices"
)

// Subset is the nodes that one broker uses: of each shard all if it has no more than K, else the K that rank best. After a
// change of the table only the shards that changed are ranked anew.
type Subset struct {
	Broker string
	K      int
	table  *Table
	picked map[int][]string // by shard
	used   map[string]bool
}

// NewSubset returns the subset of an empty table. k 0 means all nodes.
func NewSubset(broker string, k int) *Subset {
	return &Subset{Broker: broker, K: k, table: NewTable(), picked: map[int][]string{}, used: map[string]bool{}}
}

// Change applies added and changed entries and removed nodes. It returns the nodes that the broker uses from now on and those
// that it no longer uses, sorted.
func (s *Subset) Change(set []Entry, gone []string) (begin, end []string) {
	touched := s.touchedShards(set, gone)
	s.table = s.table.Change(set, gone)
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

// touchedShards returns the shards that entries and removed nodes are in, before and after the change.
func (s *Subset) touchedShards(set []Entry, gone []string) map[int]bool {
	touched := map[int]bool{}
	for _, id := range gone {
		if shard, ok := s.table.byID[id]; ok {
			touched[shard] = true
		}
	}
	for _, e := range set {
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

// Len counts the nodes that it uses.
func (s *Subset) Len() int { return len(s.used) }

// Table is the table of the present epoch.
func (s *Subset) Table() *Table { return s.table }
