// Package membership merges the storage nodes that discovery, files and operators name into one view. It does no I/O and
// reads no clock: the caller passes the time. The view depends only on the latest state of each source, so updates may
// arrive in any order, repeat, or be skipped where a later one of the same source follows.
//
// Three mechanisms protect the view. The strictest state that any source gives a node is in force. A source that omits many
// nodes at once is taken to be faulty, and the removals are held back for a time. A node that leaves and returns again and
// again is suppressed, as by route flap damping, until its penalty has decayed.
package membership

import "poppyarch/internal/timing/clock"

// Source is an origin of facts about nodes.
type Source uint8

// The sources, in the order of precedence of their facts.
const (
	Discovery Source = iota
	Files
	Operators
	sourceCount
)

func (s Source) String() string { return [...]string{"discovery", "files", "operators"}[s] }

// State says what a node may be used for.
type State uint8

// The states, from the most permissive to the strictest.
const (
	Up State = iota
	Draining
	OutOfService
)

func (s State) String() string { return [...]string{"up", "draining", "out"}[s] }

// Entry is what one source states about one node.
type Entry struct {
	ID         string
	State      State
	Addr       string // empty: the source only restricts a node that others know
	ObjectAddr string // empty: as Addr
	Shard      int
	Zone       int
	StartedAt  clock.Micros // of its process; 0: unknown or long ago
	Kind       string       // of machine, for an estimate of its capacity
	Capacity   float64      // in the units of the source; 0: unknown
	Origin     string       // file, line and column, or the like
}

// Member is a node as the view has it.
type Member struct {
	ID         string
	State      State
	Addr       string
	ObjectAddr string
	Shard      int
	Zone       int
	StartedAt  clock.Micros
	Kind       string
	Capacity   float64
}
