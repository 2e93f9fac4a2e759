// Package history is what happened in a run, as one who sees everything writes it down. The checker of the rules reads nothing else.
package history

// Kind says what happened; it tells which fields count.
type Kind uint8

// What happens.
const (
	RequestReceived    Kind = iota // Request, Broker, Class, Volume, Key, Units, Until: the broker has all of it
	AttemptSent                    // Request, Attempt, Broker, Node
	AttemptEnded                   // Request, Attempt, NeverRan: the broker knows how the attempt ended
	ResponseSent                   // Request, Broker, Answer
	ClientDisconnected             // Request: its client waits no longer
	NodeNotified                   // Broker, Node, State, Since: the broker's list says so from now on
	NodeStarted                    // Node, Shard, Zone: up, and cold
	NodeOverloaded                 // Node: more came than it could bear when cold
	BrokerDied                     // Broker: with all that it had taken
)

// Result is a broker's final word on a request.
type Result uint8

// The answers.
const (
	Served Result = iota
	Rejected
	Failed
)

// State is what a list says of a node.
type State uint8

// The states.
const (
	Up State = iota
	Draining
	Removed
)

// Record is one thing that happened. Times are microseconds.
type Record struct {
	At            int64
	Deadline      int64 // when the client of what is taken gives up; 0: never
	NodeStartedAt int64 // the start of the node that a broker is told of; 0: long ago
	Request       uint64
	Key           uint64
	Units         float64
	Attempt       int32
	Broker        int32
	Node          int32
	Shard         int32
	Zone          int32
	Class         int32
	Volume        int32
	Kind          Kind
	Result        Result
	State         State
	NeverRan      bool // the outcome proves that nothing ran
}
