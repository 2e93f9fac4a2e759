package decision

import "time"

// Arrival is a request as the broker receives it.
type Arrival struct {
	Class    int // index into Config.Classes
	Plan     int // index into Config.Plans
	Volume   string
	Key      string // idempotency and ordering key; may be empty
	Units    float64
	Shard    int // AnyShard for a new object
	Brokers  int // brokers that the volume uses
	Deadline time.Duration
}

// EffectiveUnits is the request's units, 1 where they are not given.
func (a *Arrival) EffectiveUnits() float64 { return oneIfUnset(a.Units) }

// VolumeUsage is what a node's meter says of a volume, over all nodes in a finished period.
type VolumeUsage struct {
	Known   bool
	Percent int // of the usual rate of its plan
}

// EventKind names an event.
type EventKind uint8

// The events, each with the fields of Event that apply.
const (
	RequestArrived      EventKind = iota // ID, Arrival
	AttemptEnded                         // ID, Attempt, Node, Outcome, Final, Usage, UnitsElsewhere
	ResponseStarted                      // ID
	ClientDisconnected                   // ID
	EndpointsReplaced                    // Endpoints is the whole list
	EndpointsChanged                     // Endpoints are the changed entries
	EndpointWatchFailed                  // a poll failed or the watch ended; RetryWithin
	TimerFired                           // Token
)

// Event is something that has happened; Kind says which fields apply.
type Event struct {
	Kind           EventKind
	ID             uint64 // of the request
	Attempt        int    // of the request, counted from 0
	Node           string
	Outcome        Outcome
	Final          bool // no further attempt is wanted
	Usage          VolumeUsage
	UnitsElsewhere float64 // units that the node served the volume through other brokers since its last response
	Arrival        Arrival
	Endpoints      []Endpoint
	RetryWithin    time.Duration // longest wait before the next poll; 0: no bound
	Token          uint64
}
