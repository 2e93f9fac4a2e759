// Package history describes the events of a simulation run as an omniscient observer records them. It is the only input
// of the rule checker (package rules).
package history

// Kind is the kind of a Record. It determines which fields are set, apart from At and Kind.
type Kind uint8

// The kinds of records, each with the fields that are set.
const (
	RequestReceived    Kind = iota // Request, Broker, Class, Volume, Key, Units, Deadline: the request is complete
	AttemptSent                    // Request, Attempt, Broker, Node
	AttemptEnded                   // Request, Attempt, Broker, Node, NeverRan: the broker knows the outcome
	ResponseSent                   // Request, Broker, Result
	ClientDisconnected             // Request, Broker
	NodeNotified                   // Broker, Node, State, NodeStartedAt: the entry of a node in the broker's endpoint list
	NodeStarted                    // Node, Shard, Zone: its slow start begins
	NodeOverloaded                 // Node: it received more than it can serve in slow start, and crashed
	BrokerCrashed                  // Broker: it crashed and lost all requests that it had received
)

// Result is the kind of a request's final response.
type Result uint8

// Values of Result.
const (
	Served Result = iota
	Rejected
	Failed
)

// State is the state of a node on an endpoint list.
type State uint8

// Values of State.
const (
	Ready State = iota
	Draining
	Removed
)

// Record is one event of a run. Times are microseconds since the start of the run.
type Record struct {
	At            int64
	Deadline      int64 // of the request; 0 if it has none
	NodeStartedAt int64 // start of the node's process according to the notification; 0 if before the run
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
