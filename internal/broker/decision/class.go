package decision

import "time"

// Idempotency determines whether a request may be sent again after an attempt that may have been executed.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times
	IdempotentByKey                    // nodes in the dedup scope drop repeats of its key within the dedup window
	NotIdempotent                      // must never be executed twice
)

// DedupScope is the set of nodes that drop each other's repeats of a request that is idempotent by key.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupEverywhere DedupScope = iota
	DedupZone
	DedupShard
)

// Covers reports whether each of two nodes drops repeats of requests that the other has executed.
func (s DedupScope) Covers(a, b *Endpoint) bool {
	switch s {
	case DedupZone:
		return a.Zone == b.Zone
	case DedupShard:
		return a.Shard == b.Shard
	}
	return true
}

// Class holds the properties of one class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a later response has no value
	Deadline         time.Duration // how long the client waits
	PriorityWeight   float64       // value of one request that is served within the objective
	Idempotency      Idempotency
	DedupScope       DedupScope    // if idempotent by key
	DedupWindow      time.Duration // if idempotent by key: how long repeats are dropped
	Ordered          bool          // requests with the same key are executed one at a time, in order
}

// MayShed reports whether a request may be rejected regardless of the outcomes of its attempts, since a retry by the
// client is harmless.
func (c *Class) MayShed() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == DedupEverywhere
}
