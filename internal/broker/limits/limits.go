// Package limits holds every size, count and time that bounds the broker, in one type. The configuration fills
// it once at start and hands it down; no package keeps figures of its own.
package limits

import "poppyarch/internal/timing/clock"

// Limits bounds one broker. Sizes are bytes.
type Limits struct {
	// The machine.
	Procs       int   `json:"procs"`        // threads that run Go code at once
	MemoryBytes int64 `json:"memory"`       // the garbage collector's soft limit
	Descriptors int   `json:"descriptors"`  // descriptors that the process may hold
	ClientConns int   `json:"client_conns"` // of these, for clients of all fronts
	NodeConns   int   `json:"node_conns"`   // of these, for storage nodes

	// Clients.
	MaxInFlight                    int          `json:"max_open"`      // requests taken and not answered
	MaxBodyBytes                   int64        `json:"max_bodies"`    // bytes of messages held for them, together
	MaxPipeline                    int          `json:"max_pipeline"`  // of these, on one connection
	MaxMessageBytes                int          `json:"max_message"`   // one command
	MaxArgs                        int          `json:"max_args"`      // words of one command
	MaxValueBytes                  int          `json:"max_value"`     // one value, either way
	MaxID                          int          `json:"max_id"`        // a request's id
	MaxParams                      int          `json:"max_params"`    // a command's list of names and values
	ClientWriteTimeout             clock.Micros `json:"client_write"`  // a client takes its answer within this
	ClientFirstByteTimeout         clock.Micros `json:"client_first"`  // a connection that has sent nothing at all is closed after this
	ClientStallTimeout             clock.Micros `json:"client_stall"`  // one that stands still within a command gets an error and a close
	ClientRequestTimeout           clock.Micros `json:"client_send"`   // a command is whole within this, also where it keeps coming
	ClientIdleTimeoutUnderPressure clock.Micros `json:"client_lull"`   // one without a request is closed after this where descriptors or memory are short
	ClientIdleConns                int          `json:"client_keep"`   // so many connections that have carried a request stay; the longest idle go first
	ClientIdleTimeout              clock.Micros `json:"client_idle"`   // and after this in any case
	ClientLingerTimeout            clock.Micros `json:"client_linger"` // a closed connection is waited on for so long where its last answer may not have arrived
	BusyRetryAfter                 clock.Micros `json:"busy_hint"`     // come back after this where the process is full
	AnswerMargin                   clock.Micros `json:"answer_margin"` // an answer leaves so long before the client gives up
	DrainAcceptTime                clock.Micros `json:"drain_accept"`  // after SIGTERM a front without clients, and the object front, goes on listening for this long
	DrainServeTime                 clock.Micros `json:"drain_serve"`   // the block front goes on taking requests for this long
	DrainAnswerTime                clock.Micros `json:"drain_answer"`  // and has answered them all by then, ahead of SIGKILL
	DrainTotalTime                 clock.Micros `json:"drain_total"`   // after SIGTERM the process ends by then

	// Storage nodes.
	ConnectTimeout            clock.Micros `json:"connect"`       // a connection is up within this
	NodeIdleTimeout           clock.Micros `json:"node_idle"`     // an idle connection is dropped after this
	NodeReuseWindow           clock.Micros `json:"node_fresh"`    // one that was silent for longer carries no work that must not run twice
	NodeReuseDelay            clock.Micros `json:"node_rest"`     // a connection rests this long after an answer, in case more than the answer comes
	ResponseCompletionTimeout clock.Micros `json:"answer_rest"`   // once an answer has begun, all of it comes within this
	MaxIdleConnsPerNode       int          `json:"idle_per_node"` // idle connections kept to one node

	// Discovery.
	WatchTimeout         clock.Micros `json:"list_wait"`     // how long a watch call waits for news; one that hangs goes unnoticed for as long
	WatchGracePeriod     clock.Micros `json:"list_grace"`    // and how much later its answer may come; doubles with each that comes too late, within ListTold
	NotificationDeadline clock.Micros `json:"list_told"`     // what a call should have told counts as told after this; a silent one is given up a third ahead
	DiscoveryMaxBackoff  clock.Micros `json:"list_retry"`    // the longest pause after a call that failed; 0: the module decides alone
	DiscoveryMoveJitter  clock.Micros `json:"list_spread"`   // a broker that is told to move asks the new address within this
	WatchMinInterval     clock.Micros `json:"list_pause"`    // before the next call where one came back at once without news
	MaxListBytes         int64        `json:"max_list"`      // one answer
	MaxListEndpoints     int          `json:"max_list_rows"` // entries of one answer

	// The object front.
	MaxObjectBytes     int64        `json:"max_object"`      // body of one PUT or part
	MaxHeaderBytes     int          `json:"max_head"`        // request line and header
	ObjectBufferBytes  int          `json:"object_buffer"`   // of an answer, held back before its first byte goes to the client
	MaxParts           int          `json:"max_parts"`       // parts of one upload
	ObjectIdleTimeout  clock.Micros `json:"object_idle"`     // an idle HTTP client connection is closed after this
	ObjectStallTimeout clock.Micros `json:"object_stall"`    // a body that stands still for so long is given up
	ReadBackTime       clock.Micros `json:"read_back"`       // of a completion's time, kept to find out how it ended
	ReadBackInterval   clock.Micros `json:"read_back_pause"` // between two looks
	MaxCompletionBytes int64        `json:"max_completion"`  // body of a complete call
}
