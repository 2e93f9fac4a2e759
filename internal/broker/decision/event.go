package decision

import "time"

// Arrival is a request as the broker receives it.
type Arrival struct {
	Class    int // index into Config.Classes
	Plan     int // index into Config.Plans
	Volume   string
	Key      string        // idempotency and ordering key; may be empty
	Units    float64       // size; 1 is used if it is not above 0
	Shard    int           // AnyShard for a new object
	Brokers  int           // number of brokers that the volume uses
	Deadline time.Duration // when the client stops waiting, on the clock of Step
}

// EffectiveUnits returns the request's units, or 1 if they are not given.
func (a *Arrival) EffectiveUnits() float64 { return oneIfUnset(a.Units) }

// VolumeUsage is the usage of a volume over all nodes in the last complete metering period, as a node reports it.
type VolumeUsage struct {
	Known   bool
	Percent int // percentage of the plan's usual rate
}

// EventKind identifies the kind of an event.
type EventKind uint8

// The kinds of events, each with the fields of Event that apply.
const (
	RequestArrived      EventKind = iota // ID, Arrival
	AttemptEnded                         // ID, Attempt, Node, Outcome, Final, Usage, UnitsElsewhere
	ResponseStarted                      // ID
	ClientDisconnected                   // ID
	EndpointsReplaced                    // Endpoints (the whole list)
	EndpointsChanged                     // Endpoints (the changed entries)
	EndpointWatchFailed                  // a poll failed or the watch ended: RetryWithin
	TimerFired                           // Token
)

// Event is an input to the policy. Kind determines which fields apply.
type Event struct {
	Kind           EventKind
	ID             uint64 // of the request
	Attempt        int    // number of the attempt within the request, from 0
	Node           string
	Outcome        Outcome
	Final          bool // the request must not be retried
	Usage          VolumeUsage
	UnitsElsewhere float64 // units that the node served to the volume through other brokers since its last response
	Arrival        Arrival
	Endpoints      []Endpoint
	RetryWithin    time.Duration // longest wait before the next poll; 0 for no limit
	Token          uint64
}
