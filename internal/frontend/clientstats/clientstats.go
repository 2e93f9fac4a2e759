// Package clientstats counts why a frontend closes connections and answers requests without an attempt, and logs the
// counts.
package clientstats

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"poppyarch/internal/timing/clock"
)

// Event is something that a frontend does to a client.
type Event uint8

// The events.
const (
	ClosedSilent      Event = iota // nothing came on a new connection
	ClosedIdle                     // no request came for too long
	ClosedStalled                  // a request did not come to its end in time
	ClosedMalformed                // malformed or oversized input
	ClosedEvicted                  // made room for the connection of another client
	ClosedForMemory                // its incomplete request made room in memory
	ClosedNotReading               // the client did not read its answers
	RejectedUnsound                // a well-formed request with invalid content
	RejectedDuplicate              // a request id that is in use or was in use recently
	RejectedMemory                 // no memory left for a request or its answer
	RejectedDraining               // came after the end of a drain
	RejectedExpired                // its deadline had passed before it was read
	ClientLeft                     // the client had disconnected before its request was passed on
	Delayed                        // the client was made to wait, as it got many answers that cost it nothing
	eventCount
)

// names are the keys of the events in the log.
var names = [eventCount]string{
	"closed_silent", "closed_idle", "closed_stalled", "closed_malformed", "closed_evicted", "closed_for_memory",
	"closed_not_reading", "rejected_unsound", "rejected_duplicate", "rejected_memory", "rejected_draining",
	"rejected_expired", "client_left", "delayed",
}

func (e Event) String() string { return names[e] }

// longestUnreadKey is the key in the log of the longest time for which a request has waited to be read.
const longestUnreadKey = "longest_unread_ms"

// Counters counts events. Its zero value is ready to use, and its methods may be called by any goroutine.
type Counters struct {
	counts        [eventCount]atomic.Uint64
	longestUnread clock.AtomicMicros // since the last line of the log
}

// Count counts one event.
func (c *Counters) Count(e Event) { c.counts[e].Add(1) }

// Get returns how often an event was counted.
func (c *Counters) Get(e Event) uint64 { return c.counts[e].Load() }

// RecordUnread records for how long a request waited, after it had arrived, until it was read.
func (c *Counters) RecordUnread(unread clock.Micros) {
	for longest := c.longestUnread.Load(); unread > longest; longest = c.longestUnread.Load() {
		if c.longestUnread.CompareAndSwap(longest, unread) {
			return
		}
	}
}

// LongestUnread returns the longest time that was recorded since the last line of the log.
func (c *Counters) LongestUnread() clock.Micros { return c.longestUnread.Load() }

// Report logs the counts every interval if any has changed, until ctx is done. state returns further attributes of the
// line.
func (c *Counters) Report(ctx context.Context, interval time.Duration, log *slog.Logger, state func() []any) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var logged [eventCount]uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if attributes := c.changes(&logged); len(attributes) > 0 {
			if longest := c.longestUnread.Swap(0); longest > 0 {
				attributes = append(attributes, longestUnreadKey, clock.Duration(longest).Milliseconds())
			}
			log.Info("clients: closed, rejected and delayed", append(attributes, state()...)...)
		}
	}
}

// changes returns how often each event was counted since the last call, without those that were not.
func (c *Counters) changes(logged *[eventCount]uint64) []any {
	var attributes []any
	for e := range eventCount {
		count := c.Get(e)
		if count != logged[e] {
			attributes = append(attributes, names[e], count-logged[e])
		}
		logged[e] = count
	}
	return attributes
}
