// Package membership merges the storage nodes named by discovery, files and operators into one view. It does no I/O and
// reads no clock: the caller passes the time. The view depends only on what each source has stated so far, so updates of
// different sources may arrive in any order, and outdated ones may repeat.
//
// Each source has a last word on a node, and the strictest one takes effect. A restriction ends only by a later statement of the
// source that made it:
//
//	                       discovery                files                     operators
//	never named            no word                  no word                   no word
//	up, draining, out      that state               that state                that state
//	no longer named        removed: out             a drain or out stays,     no word: a command
//	                                                up becomes no word        has ended it
//	silent, not readable   the word before          the word before           the word before
//
// A node is identified by its ID: a replacement under the address of a removed one is another node. A process that starts anew
// knows only what its sources state then.
//
// Two more mechanisms protect the view. A source that omits
// many nodes simultaneously is assumed to be faulty, and the removals are held back for a time. A node that leaves and
// returns repeatedly is suppressed, as in route flap damping, until its penalty has decayed.
package membership

import "poppyarch/internal/timing/clock"

// Source identifies where facts about nodes come from.
type Source uint8

// The sources, in the order of precedence of their facts.
const (
	Discovery Source = iota
	Files
	Operators
	sourceCount
)

func (s Source) String() string { return [...]string{"discovery", "files", "operators"}[s] }

// State determines which requests a node may receive.
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
	Addr       string // empty if the source only restricts a node whose address another source gives
	ObjectAddr string // defaults to Addr
	Shard      int
	Zone       int
	StartedAt  clock.Micros // when the node's process started; 0 if unknown or long ago
	Kind       string       // type of machine, used to estimate the node's capacity
	Capacity   float64      // in the units of the source; 0 if unknown
	Origin     string       // where the entry was read, such as file, line and column
}

// Member is a node in the merged view.
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
