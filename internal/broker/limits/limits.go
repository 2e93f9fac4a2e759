// Package limits holds every size, count and time that bounds the broker in one type. Package config fills it once at the
// start; no other package has such values of its own. The JSON names are those of the configuration's tuning object.
package limits

import "poppyarch/internal/timing/clock"

// Limits bounds one broker. Sizes are bytes and times are microseconds. The order of the fields is that of the encoded form.
type Limits struct {
	// The machine.
	Procs       int   `json:"procs"`        // threads that run Go code at once
	MemoryBytes int64 `json:"memory"`       // the garbage collector's soft limit
	Descriptors int   `json:"descriptors"`  // that the process may open
	ClientConns int   `json:"client_conns"` // connections of clients, over all frontends
	NodeConns   int   `json:"node_conns"`   // connections to storage nodes

	// Requests in flight and their sizes.
	MaxInFlight     int   `json:"max_open"`     // requests admitted and not answered
	MaxBodyBytes    int64 `json:"max_bodies"`   // message bytes held for them, together
	MaxPipeline     int   `json:"max_pipeline"` // requests in flight on one connection
	MaxMessageBytes int   `json:"max_message"`  // one command
	MaxArgs         int   `json:"max_args"`     // arguments of one command
	MaxValueBytes   int   `json:"max_value"`    // one value, in a request or a response
	MaxID           int   `json:"max_id"`       // a request's ID
	MaxParams       int   `json:"max_params"`   // a command's list of names and values

	// Client connections.
	ClientWriteTimeout             clock.Micros `json:"client_write"`  // for a client to take its response
	ClientFirstByteTimeout         clock.Micros `json:"client_first"`  // for the first byte on a new connection
	ClientStallTimeout             clock.Micros `json:"client_stall"`  // between two reads within a command
	ClientRequestTimeout           clock.Micros `json:"client_send"`   // for a whole command
	ClientIdleTimeoutUnderPressure clock.Micros `json:"client_lull"`   // client_idle where descriptors or memory are short
	ClientIdleConns                int          `json:"client_keep"`   // idle connections kept; the longest idle are closed first
	ClientIdleTimeout              clock.Micros `json:"client_idle"`   // between two commands
	ClientLingerTimeout            clock.Micros `json:"client_linger"` // after a close whose last response may not have arrived

	// Responses.
	BusyRetryAfter clock.Micros `json:"busy_hint"`     // Retry-After of a process at capacity
	AnswerMargin   clock.Micros `json:"answer_margin"` // a response leaves so long before its client's deadline

	// Graceful shutdown; all count from SIGTERM.
	DrainAcceptTime clock.Micros `json:"drain_accept"` // the object frontend, and a frontend without clients, accept connections until then
	DrainServeTime  clock.Micros `json:"drain_serve"`  // the block frontend admits requests until then
	DrainAnswerTime clock.Micros `json:"drain_answer"` // and has answered them all by then, ahead of SIGKILL
	DrainTotalTime  clock.Micros `json:"drain_total"`  // the process ends by then

	// Storage nodes.
	ConnectTimeout            clock.Micros `json:"connect"`       // for a connection to be established
	NodeIdleTimeout           clock.Micros `json:"node_idle"`     // an idle connection is closed after this
	NodeReuseWindow           clock.Micros `json:"node_fresh"`    // one that was idle for longer carries no request that is not idempotent
	NodeReuseDelay            clock.Micros `json:"node_rest"`     // after a response, in case that surplus bytes follow it
	ResponseCompletionTimeout clock.Micros `json:"answer_rest"`   // from the first byte of a response to its last
	MaxIdleConnsPerNode       int          `json:"idle_per_node"` // idle connections kept to one node

	// Discovery.
	WatchTimeout         clock.Micros `json:"list_wait"`     // how long a poll waits for a change; a hung one is not detected sooner
	WatchGracePeriod     clock.Micros `json:"list_grace"`    // how much later its answer may arrive; doubles with each timeout, within NotificationDeadline
	NotificationDeadline clock.Micros `json:"list_told"`     // after this a change counts as known to the broker; a silent poll is cancelled a third ahead
	DiscoveryMaxBackoff  clock.Micros `json:"list_retry"`    // after a poll that failed; 0: the decision module's backoff alone
	DiscoveryMoveJitter  clock.Micros `json:"list_spread"`   // a new address of discovery is polled within this
	WatchMinInterval     clock.Micros `json:"list_pause"`    // before the next poll where one returned at once without a change
	MaxListBytes         int64        `json:"max_list"`      // one answer
	MaxListEndpoints     int          `json:"max_list_rows"` // entries of one answer

	// The object frontend.
	MaxObjectBytes     int64        `json:"max_object"`      // body of one PUT or part
	MaxHeaderBytes     int          `json:"max_head"`        // request line and header
	ObjectBufferBytes  int          `json:"object_buffer"`   // of a response, held back before its first byte goes to the client
	MaxParts           int          `json:"max_parts"`       // parts of one upload
	ObjectIdleTimeout  clock.Micros `json:"object_idle"`     // an idle HTTP client connection is closed after this
	ObjectStallTimeout clock.Micros `json:"object_stall"`    // between two reads or writes of a body
	ReadBackTime       clock.Micros `json:"read_back"`       // part of a completion's time that is reserved to find out how it ended
	ReadBackInterval   clock.Micros `json:"read_back_pause"` // between two checks of that
	MaxCompletionBytes int64        `json:"max_completion"`  // body of a call that completes an upload
}
