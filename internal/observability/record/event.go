// Package record writes what a broker did, so that it can be read after the broker's death: typed events, buffers that
// never block a request, and segments that show what is missing in them.
//
// Times are microseconds. Unless noted otherwise they are on the broker's monotonic clock, whose zero is that of Unix time.
package record

import (
	"poppyarch/internal/observability/sketch"
	"poppyarch/internal/timing/clock"
)

// Kind tells which field of an Event is set.
type Kind uint8

// The kinds of events. Their numbers are stored.
const (
	KindIncarnation Kind = iota + 1 // Incarnation: its particulars of the incarnation
	KindHeartbeat                   // Heartbeat
	KindRequest                     // Request
	KindSummary                     // Summary
	KindNode                        // Note: the decision module's view of a storage node has changed
	KindList                        // Note: an entry of the endpoint list has changed; Value is the list's revision
	KindDiscovery                   // Note: a call to discovery failed, or calls succeed again
	KindControl                     // Note: a change from the control endpoint was applied or rejected; Value is the edition
	KindDrain                       // Note: the broker drains
	KindStop                        // Note: the broker has answered everything and ends
	KindLost                        // Lost
	kindCount
)

// Event is one entry.
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

// Incarnation has the particulars of an incarnation. Later events refer to classes and plans by their positions.
type Incarnation struct {
	Name              string       `json:"name"` // of the broker
	ID                string       `json:"id"`   // of the incarnation
	StartedAt         clock.Micros `json:"began"`
	WallClock         clock.Micros `json:"wall"` // the wall clock at Began
	HeartbeatInterval clock.Micros `json:"beat"` // time between heartbeats
	SampleFraction    float64      `json:"sample"`
	Classes           []Class      `json:"classes"`
	Plans             []Plan       `json:"plans"`
}

// Class is the part of a class that an analysis needs.
type Class struct {
	Name             string       `json:"name"`
	LatencyObjective clock.Micros `json:"aim"`   // latency objective
	Deadline         clock.Micros `json:"due"`   // deadline
	PriorityWeight   float64      `json:"worth"` // priority weight
}

// Plan is the part of a service level that an analysis needs.
type Plan struct {
	Name        string  `json:"name"`
	PriceFactor float64 `json:"price"` // factor on the priority weight
}

// Heartbeat is a heartbeat with levels.
type Heartbeat struct {
	WallClock    clock.Micros `json:"wall"` // the wall clock
	InFlight     int64        `json:"open"` // requests in flight
	HeapBytes    uint64       `json:"heap"` // bytes
	Goroutines   int64        `json:"goroutines"`
	NodeCount    int64        `json:"nodes"`
	ListRevision int64        `json:"list"` // revision of the endpoint list
}

// Result tells how a request ended.
type Result uint8

// The answers. Their numbers are stored.
const (
	Served   Result = iota
	Rejected        // shed
	Failed
	DeadlineExceeded   // failed because the deadline had passed
	ClientDisconnected // the client disconnected
	resultCount
)

// Request is a request with its attempts. Times within it count from its arrival, which is the event's time.
type Request struct {
	Class      uint8 // position in Incarnation.Classes
	Plan       uint8 // position in Incarnation.Plans
	Result     Result
	Volume     string
	Units      float64
	Shard      int64
	Duration   clock.Micros // until the response
	RetryAfter clock.Micros // Retry-After of a request that was shed
	Attempts   []Attempt
}

// Attempt is one attempt at a storage node.
type Attempt struct {
	Node      string
	SentAfter clock.Micros // since the arrival of the request
	Duration  clock.Micros
	Outcome   uint8 // as the decision module numbers outcomes
}

// outcomeServed is the decision module's number of a successful attempt.
const outcomeServed = 0

// maxOutcomes bounds the numbers of outcomes.
const maxOutcomes = 16

// Summary counts all requests that ended in a span of time, sampled or not.
type Summary struct {
	Span    clock.Micros // up to the event's time
	Groups  []Group
	Nodes   []NodeCount
	Volumes []VolumeCount // the most frequent ones
}

// VolumeCount counts the requests of a volume. Count is never too low and too high by at most Error.
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
	Latency sketch.Sketch // of the served ones
}

// NodeCount counts the attempts at one storage node.
type NodeCount struct {
	Node     string
	Outcomes [maxOutcomes]uint64
	Latency  sketch.Sketch // of the successful ones
}

// Note is a change of something.
type Note struct {
	Subject string // a storage node, an address
	Text    string
	Value   int64
}

// Lost counts events that were not kept.
type Lost struct {
	From     clock.Micros // time of the first
	To       clock.Micros // time of the last
	Events   uint64
	Requests uint64
	Reason   string // "full" (no space in a buffer) or "disk" (the sink did not take them)
}
