package decision

import "time"

// AnyShard is the shard of a request for a new object, which any node may take.
const AnyShard = -1

// EndpointState is what the endpoint list says of a node.
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
	StartedAt time.Duration // 0: long ago
	Capacity  float64       // against a usual node; 0: unknown
}

// RelativeCapacity is the node's capacity against a usual node, 1 if it is unknown.
func (e *Endpoint) RelativeCapacity() float64 { return oneIfUnset(e.Capacity) }
