// Package limits holds all sizes, counts and times that bound the broker in one type. Package config fills it once at
// startup; no other package defines such values. The JSON names are those of the configuration's tuning object; limits without
// one cannot be overridden.
package limits

import "poppyarch/internal/timing/clock"

// Limits holds the limits of one broker. Sizes are in bytes and times in microseconds. The order of the fields is that
// of the encoded form.
type Limits struct {
	// Resources of the machine.
	Procs       int   `json:"procs"`        // threads that run Go code simultaneously
	MemoryBytes int64 `json:"memory"`       // soft memory limit of the garbage collector
	Descriptors int   `json:"descriptors"`  // file descriptors that the process may open
	ClientConns int   `json:"client_conns"` // connections of clients, on all frontends together
	NodeConns   int   `json:"node_conns"`   // connections to storage nodes

	// Requests in flight and their sizes.
	MaxInFlight       int   `json:"max_open"`     // admitted requests without a response
	MaxTotalBodyBytes int64 `json:"max_bodies"`   // message bytes held for all of them
	MaxPipeline       int   `json:"max_pipeline"` // requests of one client connection that are passed on at a time
	MaxMessageBytes   int   `json:"max_message"`  // size of one command
	MaxArgs           int   `json:"max_args"`     // arguments of one command
	MaxValueBytes     int   `json:"max_value"`    // size of one value in a request or a response
	MaxID             int   `json:"max_id"`       // length of a request's ID
	MaxParams         int   `json:"max_params"`   // length of a command's list of names and values

	// Client connections.
	ClientWriteTimeout             clock.Micros `json:"client_write"`  // for a client to take its response
	ClientFirstByteTimeout         clock.Micros `json:"client_first"`  // for the first byte on a new connection
	ClientStallTimeout             clock.Micros `json:"client_stall"`  // between two reads within one command
	ClientRequestTimeout           clock.Micros `json:"client_send"`   // for receiving one complete command
	ClientIdleTimeoutUnderPressure clock.Micros `json:"client_lull"`   // client_idle if descriptors or memory are scarce
	ClientIdleConns                int          `json:"client_keep"`   // idle connections kept; the longest idle are closed first
	ClientIdleTimeout              clock.Micros `json:"client_idle"`   // between two commands
	ClientLingerTimeout            clock.Micros `json:"client_linger"` // after a close whose last response may not have arrived

	// Responses.
	BusyRetryAfter clock.Micros `json:"busy_hint"`     // Retry-After of rejections while the process is at its limits
	ResponseMargin clock.Micros `json:"answer_margin"` // how long before the client's deadline a response is sent

	// Graceful shutdown. All times count from SIGTERM. Connections are accepted until DrainAcceptTime by the object
	// frontend and by a frontend without clients.
	DrainAcceptTime   clock.Micros `json:"drain_accept"`
	DrainServeTime    clock.Micros `json:"drain_serve"`  // end of the admission of requests by the block frontend
	DrainResponseTime clock.Micros `json:"drain_answer"` // all its requests are answered by then, ahead of SIGKILL
	DrainTotalTime    clock.Micros `json:"drain_total"`  // the process ends by then

	// Storage nodes.
	ConnectTimeout            clock.Micros `json:"connect"`       // for establishing a connection
	NodeIdleTimeout           clock.Micros `json:"node_idle"`     // an idle connection is closed after this
	NodeReuseWindow           clock.Micros `json:"node_fresh"`    // longest idle time before a request that is not idempotent
	NodeReuseDelay            clock.Micros `json:"node_rest"`     // after a response, as surplus bytes may follow it
	ResponseCompletionTimeout clock.Micros `json:"answer_rest"`   // from the first byte of a response to its last
	MaxIdleConnsPerNode       int          `json:"idle_per_node"` // idle connections kept to one node

	// Discovery.
	//
	// A response to a poll may arrive up to WatchGracePeriod after WatchTimeout. The period doubles with each timeout,
	// within NotificationDeadline. After NotificationDeadline a change counts as known to the broker; a poll without a
	// response is cancelled a third of that time earlier.
	WatchTimeout         clock.Micros `json:"list_wait"` // for a change; a hung poll is not detected earlier
	WatchGracePeriod     clock.Micros `json:"list_grace"`
	NotificationDeadline clock.Micros `json:"list_told"`
	DiscoveryMaxBackoff  clock.Micros `json:"list_retry"`    // after a failed poll; 0 for the decision module's backoff only
	DiscoveryMoveJitter  clock.Micros `json:"list_spread"`   // a new address of discovery is polled within this time
	WatchMinInterval     clock.Micros `json:"list_pause"`    // after a poll that returned immediately without a change
	MaxListBytes         int64        `json:"max_list"`      // size of one response
	MaxListEndpoints     int          `json:"max_list_rows"` // entries of one response

	// The object frontend.
	MaxObjectBytes     int64        `json:"max_object"`      // body of one PUT request or one part
	MaxHeaderBytes     int          `json:"max_head"`        // request line and headers
	ObjectBufferBytes  int          `json:"object_buffer"`   // bytes of a response buffered before the first one is sent
	MaxParts           int          `json:"max_parts"`       // parts of one upload
	ObjectIdleTimeout  clock.Micros `json:"object_idle"`     // an idle HTTP client connection is closed after this
	ObjectStallTimeout clock.Micros `json:"object_stall"`    // between two writes of a body
	ReadBackTime       clock.Micros `json:"read_back"`       // part of a completion's time reserved for checking its outcome
	ReadBackInterval   clock.Micros `json:"read_back_pause"` // between two checks of the outcome
	MaxCompletionBytes int64        `json:"max_completion"`  // body of a request that completes an upload

	Clients ClientLimits `json:"-"` // what a client may take up
}

// ClientLimits bound what a client may take up. They cannot be overridden.
type ClientLimits struct {
	MaxPendingReplies    int          // replies pending on one client connection, requests that wait for their turn included
	MaxParamCount        int          // names in a command's list
	MaxRecentIDs         int          // IDs kept of requests that must not be executed again
	RequestIDRetention   clock.Micros // how long they are kept
	FreeAnswersPerSecond int          // errors and rejections of all clients that get more than their burst
	FreeAnswerBurst      int          // errors and rejections that one client gets at once
	MaxHeaderFields      int          // lines of the head of an HTTP request
	ObjectReceiveTimeout clock.Micros // for the head of an HTTP request, and between two reads of its body
}
