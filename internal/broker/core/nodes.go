package core

import (
	"sync"

	"poppyarch/internal/broker/decision"
)

// Node is a storage node as the list names it.
type Node struct {
	ID         string
	Addr       string // where it speaks the platform's protocol
	ObjectAddr string // where it speaks the object API
	Shard      int
	Zone       int
	State      decision.EndpointState
	StartedAt  int64 // microseconds; 0: long ago

	Capacity float64 // of its kind, against the usual node; 0: not told
}

// EndpointTable is the node list as discovery told it last. What left the list is forgotten: an attempt that the module decided
// on in the same moment finds no node and is not sent.
type EndpointTable struct {
	mu   sync.RWMutex
	byID map[string]Node
}

// NewEndpointTable returns an empty table.
func NewEndpointTable() *EndpointTable { return &EndpointTable{byID: map[string]Node{}} }

// Update takes in a whole list, or changed entries.
func (t *EndpointTable) Update(list []Node, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if full {
		clear(t.byID)
	}
	for _, n := range list {
		if n.State == decision.Removed {
			delete(t.byID, n.ID)
		} else {
			t.byID[n.ID] = n
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

// Accepts reports whether a node still stands at its address and takes new work.
func (t *EndpointTable) Accepts(n Node) bool {
	now, ok := t.Get(n.ID)
	return ok && now.State == decision.Ready && now.Addr == n.Addr && now.ObjectAddr == n.ObjectAddr
}

// Len counts the nodes.
func (t *EndpointTable) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.byID)
}

// All lists the nodes.
func (t *EndpointTable) All() (list []Node) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, n := range t.byID {
		list = append(list, n)
	}
	return list
}
