package core

import (
	"sync"

	"poppyarch/policy"
)

// Node is a storage node as the list names it.
type Node struct {
	ID      string
	Addr    string // where it speaks the platform's protocol
	Objects string // where it speaks the object API
	Shard   int
	Zone    int
	State   policy.NodeState
	Started int64 // microseconds; 0: long ago
}

// Nodes is the node list as discovery told it last. Entries that left the list stay known as gone, since the
// module may have decided on one in the same moment.
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
		for id, n := range t.byID {
			n.State = policy.Gone
			t.byID[id] = n
		}
	}
	for _, n := range list {
		t.byID[n.ID] = n
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
	return ok && now.State == policy.Ready && now.Addr == n.Addr && now.Objects == n.Objects
}

// All lists the nodes that are not gone.
func (t *Nodes) All() (list []Node) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, n := range t.byID {
		if n.State != policy.Gone {
			list = append(list, n)
		}
	}
	return list
}
