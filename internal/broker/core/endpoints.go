package core

import (
	"sync"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/clock"
)

// Node is a storage node of the endpoint list.
type Node struct {
	ID         string
	Addr       string // for the block protocol
	ObjectAddr string // for the object API
	Shard      int
	Zone       int
	State      decision.EndpointState
	StartedAt  clock.Micros // 0: unknown, long ago
	Capacity   float64      // of its kind, relative to the usual node; 0: unknown
}

// EndpointTable is the endpoint list as discovery last reported it. Nodes that have left the list are forgotten: an
// attempt that was decided on before finds no node and is not made.
type EndpointTable struct {
	mu   sync.RWMutex
	byID map[string]Node
}

// NewEndpointTable returns an empty table.
func NewEndpointTable() *EndpointTable { return &EndpointTable{byID: map[string]Node{}} }

// Update applies changed entries; a full list replaces all others.
func (t *EndpointTable) Update(list []Node, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if full {
		clear(t.byID)
	}
	for i := range list {
		n := &list[i]
		if n.State == decision.Removed {
			delete(t.byID, n.ID)
		} else {
			t.byID[n.ID] = *n
		}
	}
}

// Get returns a node by its id.
func (t *EndpointTable) Get(id string) (Node, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n, ok := t.byID[id]
	return n, ok
}

// Accepts reports whether a node is still listed with the same addresses and accepts new requests.
func (t *EndpointTable) Accepts(n Node) bool {
	now, ok := t.Get(n.ID)
	return ok && now.State == decision.Ready && now.Addr == n.Addr && now.ObjectAddr == n.ObjectAddr
}

// Len is the number of nodes.
func (t *EndpointTable) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.byID)
}

// All returns the nodes in no particular order.
func (t *EndpointTable) All() []Node {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var list []Node
	for _, n := range t.byID {
		list = append(list, n)
	}
	return list
}
