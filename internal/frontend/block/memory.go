package block

import (
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/frontend/clientstats"
	"poppyarch/internal/timing/clock"
)

const (
	// requestOverheadBytes and replyOverheadBytes are what a waiting request and a pending reply take beside their bytes.
	requestOverheadBytes = 1024
	replyOverheadBytes   = 128
	// minPendingReplies is the number of replies that a connection may have pending when memory is short.
	minPendingReplies = 64
	// connShare is the part of the memory for clients that a single connection may hold, as a divisor.
	connShare = 2
	// reclaimInterval is how often a connection that needs memory looks for some, and reclaimAttempts how many times.
	reclaimInterval = time.Millisecond
	reclaimAttempts = 20
)

// reserve counts bytes for a command or a reply of the connection until the reply is removed. If the connection holds its
// share already, reserve waits until replies have been sent. It returns false if all clients together hold too much.
func (c *conn) reserve(r *reply, size int64) bool {
	c.replies.waitWhile(func(queued int) bool {
		c.reader.observeWaiting()
		return queued > 0 && c.heldBytes.Load()+size > c.server.memory.Limit()/connShare
	})
	if !c.server.memory.Reserve(size) {
		return false
	}
	c.count(r, size)
	return true
}

// addBytes is like reserve for bytes that are held already, so that it cannot fail.
func (c *conn) addBytes(r *reply, size int64) {
	c.server.memory.Add(size)
	c.count(r, size)
}

func (c *conn) count(r *reply, size int64) {
	r.reserved += size
	c.heldBytes.Add(size)
}

// releaseReply ends the count of what a reply and its command hold.
func (c *conn) releaseReply(r *reply) {
	c.server.memory.Release(r.reserved)
	c.heldBytes.Add(-r.reserved)
}

// reserveInput reserves memory for a command that is being received. If there is none, connections that have held theirs
// for longest without progress give it up.
func (c *conn) reserveInput(size int64) bool {
	s := c.server
	for range reclaimAttempts {
		if s.memory.Reserve(size) {
			c.inputBytes.Add(size)
			return true
		}
		if !s.conns.reclaimMemory(c) {
			return false
		}
		time.Sleep(reclaimInterval)
	}
	return false
}

// releaseInput ends the reservation of bytes for a command that is being received.
func (c *conn) releaseInput(size int64) {
	c.server.memory.Release(size)
	c.inputBytes.Add(-size)
}

// reclaimMemory makes the connection that has held memory for longest give it up: one whose command does not come to its
// end loses what has come of it, and one that does not read its replies is closed. It returns false if there is none, apart
// from the connection that asks.
func (t *connTable) reclaimMemory(asking *conn) bool {
	t.mu.Lock()
	victim := t.longestHolder(asking)
	t.mu.Unlock()
	if victim == nil {
		return false
	}
	if victim.writeBlockedSince.Load() != 0 {
		victim.closeNotReading()
		return true
	}
	victim.dropInput.Store(true)
	victim.reader.wake()
	return true
}

// longestHolder returns the connection that has held memory for longest, and for at least a part of the stall timeout. The
// caller holds mu.
func (t *connTable) longestHolder(asking *conn) *conn {
	var longest *conn
	since := t.clock.Now() - asking.server.lim.ClientStallTimeout/4
	for c := range t.conns {
		if at := c.holdsMemorySince(); c != asking && at != 0 && at <= since {
			longest = c
			since = at
		}
	}
	return longest
}

// holdsMemorySince returns since when the client has held memory by not sending the end of a command or by not reading a
// reply, or 0 if it does not.
func (c *conn) holdsMemorySince() clock.Micros {
	if at := c.writeBlockedSince.Load(); at != 0 && c.heldBytes.Load() > 0 {
		return at
	}
	if c.inCommand.Load() && c.inputBytes.Load() > 0 {
		return c.commandStartedAt.Load()
	}
	return 0
}

// closeNotReading closes the connection of a client that does not read its replies.
func (c *conn) closeNotReading() {
	if !c.writeFailed.CompareAndSwap(false, true) {
		return
	}
	c.server.countEvent(c, clientstats.ClosedNotReading, "")
	c.cancel(core.ErrClientDisconnected)
	_ = c.Close() // ends the reader and the writer; their errors add nothing
}
