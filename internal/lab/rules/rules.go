// Package rules checks the history of a run against the rules that every broker must keep: one final response in time, no
// attempt that must not run twice, nothing new to a draining node, order, rate limits, the retry budget, slow start.
//
// The Checker knows nothing of designs and does no I/O. It keeps only what is open: a request until the outcomes of its
// attempts are known, a node's attempts until its slow start is over. All times are microseconds of the run.
package rules

// Names of the rules, as results name them.
const (
	ruleHistory  = "history" // the history itself is consistent
	ruleResponse = "answer"  // exactly one final response, before the client gives up
	ruleAttempts = "attempts"
	ruleRetry    = "repeat"  // nothing runs twice that must not
	ruleReject   = "refusal" // no rejection of a request that may have run
	ruleListed   = "list"    // attempts only at nodes that the broker has been notified of
	ruleDrain    = "drain"
	ruleOrder    = "order"
	ruleBudget   = "budget" // of retries
	ruleLimit    = "limit"  // of a volume's rate
	ruleOverload = "cold"   // no node in slow start is overloaded by brokers that know of its start
)

// Idempotency is what a class allows once an attempt may have run.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // any number of retries
	IdempotentByKey                    // retries within a window, at nodes of the deduplication scope
	NotIdempotent                      // none
)

// DeduplicationScope is the set of nodes that drop repeats of a request that one of them has executed.
type DeduplicationScope uint8

// The scopes.
const (
	AllNodes DeduplicationScope = iota
	SameZone
	SameShard
)

// Class is what the rules need to know of a class of requests.
type Class struct {
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow int64 // microseconds
	Ordered             bool  // requests of one key run one after the other
}

// RateLimit bounds what a volume sends to all nodes together: a token bucket.
type RateLimit struct {
	Rate      float64 // units per second; 0: none
	Burst     float64 // units
	Tolerance float64 // units by which the bucket may be overdrawn
}

// Settings are the bounds of the rules. A bound of 0 is not checked. Times are microseconds.
type Settings struct {
	Classes           []Class
	RateLimit         func(volume int32) RateLimit
	MaxAttempts       int32
	DrainGrace        int64 // within which a broker may still send to a node that it was notified of as draining
	ResponseGrace     int64 // by which a response may be later than its deadline
	SlowStartWindow   int64 // over which a node in slow start adds up its load
	RetryBudget       bool
	RetryBudgetBase   float64 // retries that are always allowed within the window
	RetryBudgetRatio  float64 // further ones per request received within the window
	RetryBudgetWindow int64
	KeyQuietTime      int64 // between an attempt of a key whose outcome is unknown and the next
}

// Violation is a rule that was broken.
type Violation struct {
	At      int64  `json:"at_us"` // microseconds
	Rule    string `json:"rule"`
	Request uint64 `json:"request,omitempty"`
	Broker  int32  `json:"broker"`
	Node    int32  `json:"node"`
	Text    string `json:"text"`
}
