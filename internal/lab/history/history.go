// Package history describes what happened in a run, as an observer that sees everything records it. The checker of the rules
// reads nothing else.
package history

// Kind says what happened, and with that which fields of a Record are set.
type Kind uint8

// The kinds of records.
const (
	RequestReceived    Kind = iota // Request, Broker, Class, Volume, Key, Units, Deadline: the broker has all of it
	AttemptSent                    // Request, Attempt, Broker, Node
	AttemptEnded                   // Request, Attempt, NeverRan: the broker knows the outcome
	ResponseSent                   // Request, Broker, Result
	ClientDisconnected             // Request
	NodeNotified                   // Broker, Node, State, NodeStartedAt: the broker's endpoint list says so from now on
	NodeStarted                    // Node, Shard, Zone: its slow start begins
	NodeOverloaded                 // Node: it received more than it can serve in slow start, and failed
	BrokerDied                     // Broker: with all requests that it had received
)

// Result is the kind of a request's final response.
type Result uint8

// The results.
const (
	Served Result = iota
	Rejected
	Failed
)

// State is the state of a node on an endpoint list.
type State uint8

// The states.
const (
	Up State = iota
	Draining
	Removed
)

// Record is one thing that happened. Times are microseconds of the run.
type Record struct {
	At            int64
	Deadline      int64 // of the request; 0: none
	NodeStartedAt int64 // start of the node's process, as the broker was notified; 0: before the run
	Request       uint64
	Key           uint64
	Units         float64
	Attempt       int32 // counted from 0
	Broker        int32
	Node          int32
	Shard         int32
	Zone          int32
	Class         int32
	Volume        int32
	Kind          Kind
	Result        Result
	State         State
	NeverRan      bool // the outcome proves that nothing was executed
}
