package block

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"poppyarch/internal/timing/clock"
)

// freeSlotInterval is how often freeSlot checks again while all connections are in use.
const freeSlotInterval = 5 * time.Millisecond

// evictionTimeout is how long freeSlot waits for one evicted connection to end before it evicts another for the same
// client.
const evictionTimeout clock.Micros = 50_000

// connTable holds the client connections and keeps their number within its limits.
type connTable struct {
	clock *clock.Clock
	log   *slog.Logger

	maxConns        int // maximum number of connections
	evictAbove      int // number of connections from which idle ones are evicted for new ones
	maxRequestConns int // maximum number of connections that have carried a request

	draining atomic.Bool   // set during a drain, when connections that have carried a request are kept if possible
	freed    chan struct{} // signals that a connection has ended; buffer of one

	mu           sync.Mutex
	conns        map[*conn]struct{}
	requestConns int // number of connections in conns that have carried a request
}

// add registers an accepted connection.
func (t *connTable) add(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
}

// remove unregisters a connection that has ended.
func (t *connTable) remove(c *conn) {
	t.mu.Lock()
	if _, ok := t.conns[c]; ok && c.hasRequested.Load() {
		t.requestConns--
	}
	delete(t.conns, c)
	t.mu.Unlock()
	select {
	case t.freed <- struct{}{}:
	default:
	}
}

// countRequestConn counts a connection that carries its first request.
func (t *connTable) countRequestConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestConns++
}

// closeAll closes all connections.
func (t *connTable) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close() // ends its reader
	}
}

// count returns the number of connections.
func (t *connTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// underPressure reports whether more than half of the allowed connections are open.
func (t *connTable) underPressure() bool { return t.count() > t.maxConns/2 }

// wakeIdle wakes the readers of all connections that have no pending reply, which ends those connections.
func (t *connTable) wakeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.pending.Load() == 0 {
			c.reader.wake()
		}
	}
}

// evictionRank orders connections by the harm of closing them. Connections of lower ranks are evicted first.
type evictionRank int

const (
	evictUnused          evictionRank = iota // has sent malformed input, or nothing at all for some time
	evictNotReading                          // has not read its replies for some time
	evictDelayed                             // is made to wait, as it got many free answers
	evictStalled                             // has stopped sending within a command
	evictNeverRequested                      // has carried no request, at most commands such as PING
	evictBetweenRequests                     // has carried a request and waits for the next command
	evictSlow                                // has been sending a single command for too long
	notEvictable                             // is busy or about to end
)

// evictionRank returns the connection's rank. A connection that is about to end is not evictable: if it has received
// input meanwhile, it stays open, and waiting for its end would be useless.
func (c *conn) evictionRank(now clock.Micros) evictionRank {
	unused := c.lastReadAt.Load() == 0 && now >= c.acceptedAt+c.server.lim.ClientStallTimeout/4
	switch {
	case c.isClosing():
		return notEvictable
	case c.notReading(now):
		return evictNotReading
	case c.pending.Load() > 0:
		return notEvictable
	case c.reader.failed.Load(), unused:
		return evictUnused
	case c.delayed.Load():
		return evictDelayed
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

// notReading reports whether the client has not read its replies for too long, if its connection is needed for another one.
func (c *conn) notReading(now clock.Micros) bool {
	since := c.writeBlockedSince.Load()
	return since != 0 && now >= since+c.server.lim.ClientStallTimeout/4
}

// evict makes the connection end unless it has become busy.
func (c *conn) evict(now clock.Micros) {
	if c.notReading(now) {
		c.closeNotReading()
		return
	}
	c.reader.wake()
}

// evictionCandidate returns the connection of the lowest rank from first (inclusive) to end (exclusive). Among
// connections of the same rank it returns the one that has been inactive for longest. It returns nil if there is no
// such connection. The caller holds mu.
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

// freeSlot returns once there is a slot for another connection. It evicts connections before the limit is reached, so
// that new clients do not have to wait one by one for an evicted connection to end. During a drain, connections that
// have carried a request are evicted only at the limit, because their clients cannot reconnect.
func (t *connTable) freeSlot() {
	var evicted *conn
	var evictedAt clock.Micros
	logged := false
	for {
		t.mu.Lock()
		count := len(t.conns)
		end := notEvictable
		if t.draining.Load() && count < t.maxConns {
			end = evictBetweenRequests
		}
		var candidate *conn
		ending := t.isEnding(evicted) && t.clock.Now() < evictedAt+evictionTimeout
		if count >= t.evictAbove && !ending {
			candidate = t.evictionCandidate(evictUnused, end)
		}
		t.mu.Unlock()
		if candidate != nil {
			candidate.evict(t.clock.Now())
			evicted = candidate
			evictedAt = t.clock.Now()
		}
		if count < t.maxConns {
			return
		}
		if candidate == nil && !logged && !t.anyClosing() {
			logged = true
			t.log.Warn("all client connections busy, new client waits", "conns", count)
		}
		select {
		case <-t.freed:
		case <-time.After(freeSlotInterval):
		}
	}
}

// isEnding reports whether an evicted connection is about to end: it has not ended yet, and has received no input that
// keeps it open. The caller holds mu.
func (t *connTable) isEnding(evicted *conn) bool {
	_, open := t.conns[evicted]
	return open && evicted.isClosing()
}

// anyClosing reports whether any connection is about to end.
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

// evictSurplus evicts connections that wait for their next request while more than maxRequestConns connections have
// carried one. Clients that send one request and stay connected would use up the connections that the clients' hosts
// may have open, until no client can connect. Therefore the whole surplus is evicted, not one connection per new
// client. Connections that have carried no request are not counted.
func (t *connTable) evictSurplus() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requestConns <= t.maxRequestConns || t.draining.Load() {
		return
	}
	surplus := t.requestConns - t.maxRequestConns
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
