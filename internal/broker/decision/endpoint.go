package decision

import "time"

// AnyShard is the shard of a request for a new object, which may be stored on any node.
const AnyShard = -1

// EndpointState is the state of a node according to the endpoint list.
type EndpointState uint8

// The states of a listed node.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Node      string
	Shard     int
	Zone      int // counted from 0
	State     EndpointState
	StartedAt time.Duration // start time of the node; 0 if unknown or long ago
	Capacity  float64       // relative to a node of usual capacity; 0 if unknown
}

// RelativeCapacity returns the node's capacity relative to the usual one, or 1 if it is unknown.
func (e *Endpoint) RelativeCapacity() float64 { return oneIfUnset(e.Capacity) }
