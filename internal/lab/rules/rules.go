// Package rules checks the history of a run against the rules that every broker must keep: one final response in time,
// no second run of a request that must not run twice, no new attempts at a draining node, request order, rate limits,
// the retry budget, and slow start.
//
// The Checker is independent of the designs and does no I/O. Its memory is bounded by what is open: it keeps a request
// until the outcomes of its attempts are known, and a node's attempts until its slow start has ended. All times are
// microseconds of the run.
package rules

// Names of the rules in results.
const (
	ruleHistory  = "history" // the history itself is consistent
	ruleResponse = "answer"  // exactly one final response, before the client gives up
	ruleAttempts = "attempts"
	ruleRetry    = "repeat"  // no request runs twice that must not
	ruleReject   = "refusal" // no rejection of a request that may have run
	ruleListed   = "list"    // attempts go only to nodes that the broker was notified of
	ruleDrain    = "drain"
	ruleOrder    = "order"
	ruleBudget   = "budget" // retry budget
	ruleLimit    = "limit"  // rate limit of a volume
	ruleOverload = "cold"   // no node in slow start is overloaded by brokers that know of its start
)

// Idempotency is which retries a class allows once an attempt may have run.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // any number of retries
	IdempotentByKey                    // retries within a window, at nodes of the deduplication scope
	NotIdempotent                      // no retry
)

// DeduplicationScope is the set of nodes that drop repeats of a request that one of them has executed.
type DeduplicationScope uint8

// The scopes.
const (
	AllNodes DeduplicationScope = iota
	SameZone
	SameShard
)

// Class holds the properties of a request class that the rules depend on.
type Class struct {
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow int64 // microseconds
	Ordered             bool  // requests of one key run one at a time
}

// RateLimit is the token bucket that limits what a volume sends to all nodes together.
type RateLimit struct {
	Rate      float64 // units per second; 0 if there is no limit
	Burst     float64 // units
	Tolerance float64 // units by which the bucket may be overdrawn
}

// Settings are the limits that the rules check. A limit of 0 is not checked. Times are microseconds.
type Settings struct {
	Classes           []Class
	RateLimit         func(volume int32) RateLimit
	MaxAttempts       int32
	DrainGrace        int64 // how long a broker may still send to a node after a notification of its drain
	ResponseGrace     int64 // how long after its deadline a response may still be sent
	SlowStartWindow   int64 // window over which the load of a node in slow start is summed
	RetryBudget       bool
	RetryBudgetBase   float64 // retries that are always allowed within the window
	RetryBudgetRatio  float64 // additional retries per request received within the window
	RetryBudgetWindow int64
	KeyQuietTime      int64 // between an attempt of a key that ended with an unknown outcome and the key's next request
}

// Violation is a rule that was broken.
type Violation struct {
	At      int64  `json:"at_us"`
	Rule    string `json:"rule"`
	Request uint64 `json:"request,omitempty"`
	Broker  int32  `json:"broker"`
	Node    int32  `json:"node"`
	Text    string `json:"text"`
}
