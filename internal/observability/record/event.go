// Package record writes a log of a broker's activity that can be read after the broker has crashed: typed events,
// buffers that never block a request, and segments in which missing or damaged parts can be detected.
//
// Times are in microseconds. Unless noted otherwise they are on the broker's monotonic clock, which counts from the
// Unix epoch.
package record

import (
	"poppyarch/internal/observability/sketch"
	"poppyarch/internal/timing/clock"
)

// Kind is the kind of an event. It determines which field of Event is set, named in the comment of each kind.
type Kind uint8

// The kinds of events. The numbers are stored and must not change.
const (
	KindIncarnation  Kind = iota + 1 // Incarnation
	KindHeartbeat                    // Heartbeat
	KindRequest                      // Request
	KindSummary                      // Summary
	KindNode                         // Note: the decision module's view of a storage node has changed
	KindEndpointList                 // Note: an entry of the endpoint list has changed; Value is the list's revision
	KindDiscovery                    // Note: a call to discovery failed, or calls succeed again
	KindControl                      // Note: the control endpoint applied or rejected a change; Value is the edition
	KindDrain                        // Note: the broker has started to drain
	KindStop                         // Note: the broker has answered all requests and exits
	KindLost                         // Lost
	kindCount
)

// Event is one event of the log. Kind determines which of the pointers is set.
type Event struct {
	At          clock.Micros
	Kind        Kind
	Incarnation *Incarnation
	Heartbeat   *Heartbeat
	Request     *Request
	Summary     *Summary
	Note        *Note
	Lost        *Lost
}

// Incarnation describes an incarnation of a broker. Later events refer to classes and plans by their positions.
type Incarnation struct {
	Name              string       `json:"name"` // name of the broker
	ID                string       `json:"id"`   // ID of the incarnation
	StartedAt         clock.Micros `json:"began"`
	WallClock         clock.Micros `json:"wall"` // wall clock at StartedAt
	HeartbeatInterval clock.Micros `json:"beat"` // time between two heartbeats
	SampleFraction    float64      `json:"sample"`
	Classes           []Class      `json:"classes"`
	Plans             []Plan       `json:"plans"`
}

// Class holds the settings of a class that an analysis needs.
type Class struct {
	Name             string       `json:"name"`
	LatencyObjective clock.Micros `json:"aim"`
	Deadline         clock.Micros `json:"due"`
	PriorityWeight   float64      `json:"worth"`
}

// Plan holds the settings of a plan that an analysis needs.
type Plan struct {
	Name        string  `json:"name"`
	PriceFactor float64 `json:"price"` // multiplier of the priority weight
}

// Heartbeat is a heartbeat with the gauges of the broker at its time.
type Heartbeat struct {
	WallClock    clock.Micros `json:"wall"`
	InFlight     int64        `json:"open"` // requests in flight
	HeapBytes    uint64       `json:"heap"`
	Goroutines   int64        `json:"goroutines"`
	NodeCount    int64        `json:"nodes"`
	ListRevision int64        `json:"list"` // revision of the endpoint list
}

// Result is the outcome of a request.
type Result uint8

// The results. The numbers are stored and must not change.
const (
	Served   Result = iota
	Rejected        // shed by the broker
	Failed
	DeadlineExceeded   // failed because the deadline had passed
	ClientDisconnected // the client disconnected before the response
	resultCount
)

// Request is a request with its attempts. The event's time is the arrival of the request; times in it are relative to
// that.
type Request struct {
	Class      uint8 // position in Incarnation.Classes
	Plan       uint8 // position in Incarnation.Plans
	Result     Result
	Volume     string
	Units      float64
	Shard      int64
	Duration   clock.Micros // from arrival to the end of the request
	RetryAfter clock.Micros // Retry-After sent to the client if the request was shed
	Attempts   []Attempt
}

// Attempt is one attempt at a storage node.
type Attempt struct {
	Node      string
	SentAfter clock.Micros // since the arrival of the request
	Duration  clock.Micros
	Outcome   uint8 // a decision.Outcome
}

// outcomeServed is decision.Served, the outcome of a successful attempt.
const outcomeServed = 0

// maxOutcomes is the number of counters by outcome in a NodeCount.
const maxOutcomes = 16

// Summary counts all requests that ended within a time span, whether they were sampled or not.
type Summary struct {
	Span    clock.Micros // length of the span, which ends at the event's time
	Groups  []Group
	Nodes   []NodeCount
	Volumes []VolumeCount // the most frequently requested volumes
}

// VolumeCount counts the requests of a volume. The true count is at most Count and at least Count - CountError.
type VolumeCount struct {
	Volume     string
	Count      uint64
	CountError uint64
	Rejected   uint64
	Failed     uint64
	Late       uint64 // served after the latency objective
}

// Group counts the requests of one class and plan.
type Group struct {
	Class   uint8
	Plan    uint8
	Results [resultCount]uint64
	Late    uint64        // served after the latency objective
	Latency sketch.Sketch // of the served requests
}

// NodeCount counts the attempts at one storage node.
type NodeCount struct {
	Node     string
	Outcomes [maxOutcomes]uint64
	Latency  sketch.Sketch // of the successful attempts
}

// Note is a change of a node, of the endpoint list, of discovery or of the broker itself.
type Note struct {
	Subject string // what has changed, such as a storage node or an address
	Text    string
	Value   int64
}

// Lost counts events that were not recorded.
type Lost struct {
	From     clock.Micros // time of the first one
	To       clock.Micros // time of the last one
	Events   uint64
	Requests uint64
	Reason   string // "full" (the buffers were full) or "disk" (the sink returned an error)
}
