package decision

import "time"

// Idempotency says whether a request may be repeated once an attempt of it may have been executed.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may always be repeated
	IdempotentByKey                    // the nodes that saw the first attempt drop repeats of its key for a while
	NotIdempotent                      // must never be executed twice
)

// DedupScope is the set of nodes that drops repeats of a class that is idempotent by key.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupEverywhere DedupScope = iota
	DedupZone
	DedupShard
)

// Covers reports whether both nodes drop repeats of each other's requests.
func (s DedupScope) Covers(a, b *Endpoint) bool {
	switch s {
	case DedupZone:
		return a.Zone == b.Zone
	case DedupShard:
		return a.Shard == b.Shard
	}
	return true
}

// Class is one kind of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer is wanted within
	Deadline         time.Duration // the client waits no longer
	PriorityWeight   float64       // of one request answered within the objective
	Idempotency      Idempotency
	DedupScope       DedupScope    // if idempotent by key
	DedupWindow      time.Duration // if idempotent by key: repeats are dropped for so long
	Ordered          bool          // requests with the same key are executed one after the other
}

// MayShed reports whether a request may be rejected whatever became of its attempts, as a retry of the client does
// no harm.
func (c *Class) MayShed() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == DedupEverywhere
}
