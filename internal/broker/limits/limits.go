// Package limits holds every size, count and time that bounds the broker, in one type. The configuration fills
// it once at start and hands it down; no package keeps figures of its own.
package limits

// Limits bounds one broker. Times are microseconds, sizes are bytes.
type Limits struct {
	// The machine.
	Procs       int   `json:"procs"`        // threads that run Go code at once
	Memory      int64 `json:"memory"`       // the garbage collector's soft limit
	Descriptors int   `json:"descriptors"`  // descriptors that the process may hold
	ClientConns int   `json:"client_conns"` // of these, for clients of all fronts
	NodeConns   int   `json:"node_conns"`   // of these, for storage nodes

	// Clients.
	MaxOpen      int   `json:"max_open"`      // requests taken and not answered
	MaxBodies    int64 `json:"max_bodies"`    // bytes of messages held for them, together
	MaxPipeline  int   `json:"max_pipeline"`  // of these, on one connection
	MaxMessage   int   `json:"max_message"`   // one command
	MaxArgs      int   `json:"max_args"`      // words of one command
	MaxValue     int   `json:"max_value"`     // one value, either way
	MaxID        int   `json:"max_id"`        // a request's id
	MaxParams    int   `json:"max_params"`    // a command's list of names and values
	ClientWrite  int64 `json:"client_write"`  // a client takes its answer within this
	ClientFirst  int64 `json:"client_first"`  // a connection that has sent nothing at all is closed after this
	ClientStall  int64 `json:"client_stall"`  // one that stands still within a command gets an error and a close
	ClientSend   int64 `json:"client_send"`   // a command is whole within this, also where it keeps coming
	ClientLull   int64 `json:"client_lull"`   // one without a request is closed after this where descriptors or memory are short
	ClientKeep   int   `json:"client_keep"`   // so many connections that have carried a request stay; the longest idle go first
	ClientIdle   int64 `json:"client_idle"`   // and after this in any case
	ClientLinger int64 `json:"client_linger"` // a closed connection is waited on for so long where its last answer may not have arrived
	BusyHint     int64 `json:"busy_hint"`     // come back after this where the process is full
	AnswerMargin int64 `json:"answer_margin"` // an answer leaves so long before the client gives up
	DrainAccept  int64 `json:"drain_accept"`  // after SIGTERM a front without clients, and the object front, goes on listening for this long
	DrainServe   int64 `json:"drain_serve"`   // the block front goes on taking requests for this long
	DrainAnswer  int64 `json:"drain_answer"`  // and has answered them all by then, ahead of SIGKILL
	DrainTotal   int64 `json:"drain_total"`   // after SIGTERM the process ends by then

	// Storage nodes.
	Connect     int64 `json:"connect"`       // a connection is up within this
	NodeIdle    int64 `json:"node_idle"`     // an idle connection is dropped after this
	NodeFresh   int64 `json:"node_fresh"`    // one that was silent for longer carries no work that must not run twice
	NodeRest    int64 `json:"node_rest"`     // a connection rests this long after an answer, in case more than the answer comes
	AnswerRest  int64 `json:"answer_rest"`   // once an answer has begun, all of it comes within this
	IdlePerNode int   `json:"idle_per_node"` // idle connections kept to one node

	// Discovery.
	ListWait    int64 `json:"list_wait"`     // how long a watch call waits for news; one that hangs goes unnoticed for as long
	ListGrace   int64 `json:"list_grace"`    // and how much later its answer may come; doubles with each that comes too late, within ListTold
	ListTold    int64 `json:"list_told"`     // what a call should have told counts as told after this; a silent one is given up a third ahead
	ListRetry   int64 `json:"list_retry"`    // the longest pause after a call that failed; 0: the module decides alone
	ListSpread  int64 `json:"list_spread"`   // a broker that is told to move asks the new address within this
	ListPause   int64 `json:"list_pause"`    // before the next call where one came back at once without news
	MaxList     int64 `json:"max_list"`      // one answer
	MaxListRows int   `json:"max_list_rows"` // entries of one answer

	// The object front.
	MaxObject     int64 `json:"max_object"`      // body of one PUT or part
	MaxHead       int   `json:"max_head"`        // request line and header
	ObjectBuffer  int   `json:"object_buffer"`   // of an answer, held back before its first byte goes to the client
	MaxParts      int   `json:"max_parts"`       // parts of one upload
	ObjectIdle    int64 `json:"object_idle"`     // an idle HTTP client connection is closed after this
	ObjectStall   int64 `json:"object_stall"`    // a body that stands still for so long is given up
	ReadBack      int64 `json:"read_back"`       // of a completion's time, kept to find out how it ended
	ReadBackPause int64 `json:"read_back_pause"` // between two looks
	MaxCompletion int64 `json:"max_completion"`  // body of a complete call
}
