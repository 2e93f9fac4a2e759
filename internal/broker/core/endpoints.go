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
	StartedAt  clock.Micros // 0 if unknown or long ago
	Capacity   float64      // relative to a node of usual capacity; 0 if unknown
}

// EndpointTable holds the endpoint list as discovery last reported it. Removed nodes are deleted: an attempt at such a
// node that had already been decided on is not made.
type EndpointTable struct {
	mu   sync.RWMutex
	byID map[string]Node
}

// NewEndpointTable returns an empty table.
func NewEndpointTable() *EndpointTable { return &EndpointTable{byID: map[string]Node{}} }

// Update applies changed entries of the list, or replaces the list if full is true.
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

// Get returns the node with the given id. ok is false if it is not listed.
func (t *EndpointTable) Get(id string) (node Node, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	node, ok = t.byID[id]
	return node, ok
}

// Accepts reports whether a node is still listed with the same addresses and accepts new requests.
func (t *EndpointTable) Accepts(n Node) bool {
	current, ok := t.Get(n.ID)
	return ok && current.State == decision.Ready && current.Addr == n.Addr && current.ObjectAddr == n.ObjectAddr
}

// Len returns the number of nodes.
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
