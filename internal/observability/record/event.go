// Package record writes what a broker did, so that it can be read after the broker's death: typed events, buffers that
// never block a request, and segments that show what is missing in them.
//
// Times are microseconds. Unless noted otherwise they are on the broker's monotonic clock, whose zero is that of Unix time.
package record

import "poppyarch/internal/observability/sketch"

// Kind tells which field of an Event is set.
type Kind uint8

// The kinds of events. Their numbers are stored.
const (
	KindBoot      Kind = iota + 1 // Boot: the particulars of the incarnation
	KindBeat                      // Beat: a heartbeat
	KindRequest                   // Request
	KindSummary                   // Summary
	KindNode                      // Note: the decision module's view of a storage node has changed
	KindList                      // Note: an entry of the endpoint list has changed; Value is the list's revision
	KindDiscovery                 // Note: a call to discovery failed, or calls succeed again
	KindControl                   // Note: a change from the control endpoint was applied or rejected; Value is the edition
	KindDrain                     // Note: the broker drains
	KindStop                      // Note: the broker has answered everything and ends
	KindLost                      // Lost
	kinds
)

// Event is one entry.
type Event struct {
	At      int64
	Kind    Kind
	Boot    *Boot
	Beat    *Beat
	Request *Request
	Summary *Summary
	Note    *Note
	Lost    *Lost
}

// Boot has the particulars of an incarnation. Later events refer to classes and plans by their positions.
type Boot struct {
	Name    string  `json:"name"` // of the broker
	ID      string  `json:"id"`   // of the incarnation
	Began   int64   `json:"began"`
	Wall    int64   `json:"wall"` // the wall clock at Began
	Beat    int64   `json:"beat"` // time between heartbeats
	Sample  float64 `json:"sample"`
	Classes []Class `json:"classes"`
	Plans   []Plan  `json:"plans"`
}

// Class is the part of a class that an analysis needs.
type Class struct {
	Name  string  `json:"name"`
	Aim   int64   `json:"aim"`   // latency objective
	Due   int64   `json:"due"`   // deadline
	Worth float64 `json:"worth"` // priority weight
}

// Plan is the part of a service level that an analysis needs.
type Plan struct {
	Name  string  `json:"name"`
	Price float64 `json:"price"` // factor on the priority weight
}

// Beat is a heartbeat with levels.
type Beat struct {
	Wall    int64  `json:"wall"` // the wall clock
	Open    int64  `json:"open"` // requests in flight
	Heap    uint64 `json:"heap"` // bytes
	Threads int64  `json:"goroutines"`
	Nodes   int64  `json:"nodes"`
	List    int64  `json:"list"` // revision of the endpoint list
}

// Answer tells how a request ended.
type Answer uint8

// The answers. Their numbers are stored.
const (
	Served  Answer = iota
	Refused        // shed
	Failed
	Overdue // failed because the deadline had passed
	Left    // the client disconnected
	answers
)

// Request is a request with its attempts. Times within it count from its arrival, which is the event's time.
type Request struct {
	Class  uint8 // position in Boot.Classes
	Plan   uint8 // position in Boot.Plans
	Answer Answer
	Volume string
	Units  float64
	Shard  int64
	Took   int64 // until the response
	Hint   int64 // Retry-After of a request that was shed
	Tries  []Try
}

// Try is one attempt at a storage node.
type Try struct {
	Node    string
	Sent    int64 // since the arrival of the request
	Took    int64
	Outcome uint8 // as the decision module numbers outcomes
}

// outcomeServed is the decision module's number of a successful attempt.
const outcomeServed = 0

// maxOutcomes bounds the numbers of outcomes.
const maxOutcomes = 16

// Summary counts all requests that ended in a span of time, sampled or not.
type Summary struct {
	Span    int64 // up to the event's time
	Groups  []Group
	Nodes   []NodeCount
	Volumes []VolumeCount // the most frequent ones
}

// VolumeCount counts the requests of a volume. Count is never too low and too high by at most Error.
type VolumeCount struct {
	Volume  string
	Count   uint64
	Error   uint64
	Refused uint64
	Failed  uint64
	Late    uint64 // served after the latency objective
}

// Group counts the requests of one class and plan.
type Group struct {
	Class   uint8
	Plan    uint8
	Count   [answers]uint64
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
	From     int64 // time of the first
	To       int64 // time of the last
	Events   uint64
	Requests uint64
	Why      string // "full" (no space in a buffer) or "disk" (the sink did not take them)
}
