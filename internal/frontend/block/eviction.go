package block

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"poppyarch/internal/timing/clock"
)

// makeRoomInterval is how often makeRoom looks again while all connections are in use.
const makeRoomInterval = 5 * time.Millisecond

// connTable holds the client connections and keeps their number within its limits.
type connTable struct {
	clock *clock.Clock
	log   *slog.Logger

	maxConns      int // connections at once
	evictAbove    int // connections from which on idle ones are evicted for new ones
	maxRequesting int // connections that have carried a request, at once

	draining atomic.Bool   // connections that have carried a request are kept while that is possible
	freed    chan struct{} // a connection has ended; holds one

	mu         sync.Mutex
	conns      map[*conn]struct{}
	requesting int // of conns, those that have carried a request
}

// add registers an accepted connection.
func (t *connTable) add(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
}

// remove forgets a connection that has ended.
func (t *connTable) remove(c *conn) {
	t.mu.Lock()
	if _, ok := t.conns[c]; ok && c.hasRequested.Load() {
		t.requesting--
	}
	delete(t.conns, c)
	t.mu.Unlock()
	select {
	case t.freed <- struct{}{}:
	default:
	}
}

// countRequesting counts a connection that has carried its first request.
func (t *connTable) countRequesting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requesting++
}

// count is how many connections there are.
func (t *connTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// crowded reports whether more than half of the connections are in use.
func (t *connTable) crowded() bool { return t.count() > t.maxConns/2 }

// wakeIdle wakes the readers of all connections without pending replies, which ends those connections.
func (t *connTable) wakeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.pending.Load() == 0 {
			c.reader.wake()
		}
	}
}

// evictionRank orders connections by how little is lost when they are closed. Lower ranks go first.
type evictionRank int

const (
	evictUnused          evictionRank = iota // got a protocol error, or has sent nothing for some time
	evictStalled                             // has stopped within a command
	evictNeverRequested                      // has only connected or sent PING
	evictBetweenRequests                     // is between two requests
	evictSlow                                // is far too slow within a command
	notEvictable                             // busy, or about to end already
)

// evictionRank is the connection's rank. One that is about to end is not evictable: had it received something
// meanwhile, it would stay, and the wait for it would be in vain.
func (c *conn) evictionRank(now clock.Micros) evictionRank {
	unused := c.lastReadAt.Load() == 0 && now >= c.acceptedAt+c.server.lim.ClientStallTimeout/4
	switch {
	case c.pending.Load() > 0, c.isClosing():
		return notEvictable
	case c.reader.failed.Load(), unused:
		return evictUnused
	case c.stalled(now, true):
		return evictStalled
	case c.tooSlow(now):
		return evictSlow
	case c.inCommand.Load():
		return notEvictable
	case !c.hasRequested.Load():
		return evictNeverRequested
	}
	return evictBetweenRequests
}

// evictionCandidate is the connection of the lowest rank, and among these the one that has been inactive for longest,
// of those ranked from first to before end; nil if there is none. The caller holds mu.
func (t *connTable) evictionCandidate(first, end evictionRank) *conn {
	var candidate *conn
	var candidateRank evictionRank
	var inactiveSince clock.Micros
	now := t.clock.Now()
	for c := range t.conns {
		rank := c.evictionRank(now)
		if rank < first || rank >= end {
			continue
		}
		since := c.lastActivity()
		if candidate == nil || rank < candidateRank || rank == candidateRank && since < inactiveSince {
			candidate = c
			candidateRank = rank
			inactiveSince = since
		}
	}
	return candidate
}

// makeRoom returns once another connection fits. It evicts ahead of the limit, so that new clients need not wait one by
// one for another to end. In a drain connections that have carried a request are evicted at the limit only: their
// clients cannot connect anew.
func (t *connTable) makeRoom() {
	for {
		t.mu.Lock()
		count := len(t.conns)
		end := notEvictable
		if t.draining.Load() && count < t.maxConns {
			end = evictBetweenRequests
		}
		var candidate *conn
		if count >= t.evictAbove {
			candidate = t.evictionCandidate(evictUnused, end)
		}
		t.mu.Unlock()
		if candidate != nil {
			candidate.reader.wake()
		}
		if count < t.maxConns {
			return
		}
		if candidate == nil && !t.anyClosing() {
			t.log.Warn("all client connections busy, new client waits", "conns", count)
		}
		select {
		case <-t.freed:
		case <-time.After(makeRoomInterval):
		}
	}
}

// anyClosing reports whether some connection is about to end.
func (t *connTable) anyClosing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.isClosing() {
			return true
		}
	}
	return false
}

// evictSurplus evicts connections between two requests while more than maxRequesting have carried one. Clients that
// send one request and stay would use up what the clients' hosts may hold, until nobody can connect any more, so it
// evicts the whole surplus and not one for each new client. Connections that carry no request do not count here.
func (t *connTable) evictSurplus() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requesting <= t.maxRequesting || t.draining.Load() {
		return
	}
	surplus := t.requesting - t.maxRequesting
	for c := range t.conns {
		if c.hasRequested.Load() && c.isClosing() {
			surplus--
		}
	}
	for ; surplus > 0; surplus-- {
		candidate := t.evictionCandidate(evictBetweenRequests, evictSlow)
		if candidate == nil {
			return
		}
		candidate.reader.wake()
	}
}
