package core

import (
	"sync"

	"poppyarch/internal/broker/decision"
)

// Node is a storage node as the list names it.
type Node struct {
	ID      string
	Addr    string // where it speaks the platform's protocol
	Objects string // where it speaks the object API
	Shard   int
	Zone    int
	State   decision.NodeState
	Started int64 // microseconds; 0: long ago

	Capacity float64 // of its kind, against the usual node; 0: not told
}

// Nodes is the node list as discovery told it last. What left the list is forgotten: an attempt that the module decided
// on in the same moment finds no node and is not sent.
type Nodes struct {
	mu   sync.RWMutex
	byID map[string]Node
}

// NewNodes returns an empty table.
func NewNodes() *Nodes { return &Nodes{byID: map[string]Node{}} }

// Update takes in a whole list, or changed entries.
func (t *Nodes) Update(list []Node, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if full {
		clear(t.byID)
	}
	for _, n := range list {
		if n.State == decision.Gone {
			delete(t.byID, n.ID)
		} else {
			t.byID[n.ID] = n
		}
	}
}

// Get returns a node by its id.
func (t *Nodes) Get(id string) (Node, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n, ok := t.byID[id]
	return n, ok
}

// Takes reports whether a node still stands at its address and takes new work.
func (t *Nodes) Takes(n Node) bool {
	now, ok := t.Get(n.ID)
	return ok && now.State == decision.Ready && now.Addr == n.Addr && now.Objects == n.Objects
}

// Len counts the nodes.
func (t *Nodes) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.byID)
}

// All lists the nodes.
func (t *Nodes) All() (list []Node) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, n := range t.byID {
		list = append(list, n)
	}
	return list
}
