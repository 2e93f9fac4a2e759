package block

import (
	"errors"
	"sync/atomic"

	"poppyarch/internal/timing/clock"
)

// errIdle ends a connection that has been idle for too long and has no reply pending.
var errIdle = errors.New("client connection idle for too long")

// errCommandStalled ends a connection whose client has stopped within a command, of which nothing was executed.
var errCommandStalled error = &protocolError{reason: "the command did not come to its end in time"}

// largeCommandBytes is the size of redcon's first read buffer. redcon keeps a larger one until the connection ends.
const largeCommandBytes = 4096

// activity is what a connection's timeouts and its eviction rank depend on. Times of 0 mean never. The connection's
// reader writes the fields on received bytes, its writer those on replies; all may be read at any time.
type activity struct {
	acceptedAt   clock.Micros
	idleSince    clock.AtomicMicros // when the last reply was sent, or the connection accepted
	pending      atomic.Int64       // replies that are not sent
	hasRequested atomic.Bool        // it has carried a request
	closing      atomic.Bool        // it ends as soon as its reader returns

	lastReadAt       clock.AtomicMicros
	inCommand        atomic.Bool // a command has begun and is not complete
	commandStartedAt clock.AtomicMicros
	largeBuffer      bool // it has carried a command that left a large buffer; used by the reader alone
}

// recordRead records received bytes: whether they end within a command, and the size of the longest command so far.
func (c *conn) recordRead(now clock.Micros, largestCommand int, inCommand bool) {
	c.lastReadAt.Store(now)
	if inCommand && !c.inCommand.Load() {
		c.commandStartedAt.Store(now)
	}
	c.inCommand.Store(inCommand)
	if largestCommand > largeCommandBytes {
		c.largeBuffer = true
	}
}

// nextIdleCheck is when the reader should check its client's timeouts next.
func (c *conn) nextIdleCheck(now clock.Micros) clock.Micros {
	lim := c.server.lim
	idleSince := c.idleSince.Load()
	lastReadAt := c.lastReadAt.Load()
	switch {
	case c.pending.Load() > 0: // the reader is not woken when the last reply is sent
		return now + min(lim.ClientIdleTimeoutUnderPressure, lim.ClientStallTimeout)/4
	case lastReadAt == 0:
		return c.acceptedAt + lim.ClientFirstByteTimeout
	case c.inCommand.Load():
		return min(lastReadAt+lim.ClientStallTimeout, c.commandStartedAt.Load()+lim.ClientRequestTimeout)
	case now < idleSince+lim.ClientIdleTimeoutUnderPressure:
		return idleSince + lim.ClientIdleTimeoutUnderPressure
	}
	return min(now+lim.ClientIdleTimeoutUnderPressure/4, idleSince+lim.ClientIdleTimeout)
}

// checkIdle returns an error if the connection has to end: one of its timeouts has passed, or it was woken for
// eviction. A connection with replies pending never has to. Unused connections occupy descriptors, incomplete commands
// occupy a reader, and idle clients occupy memory.
func (c *conn) checkIdle(now clock.Micros) error {
	evicted := c.reader.woken.Swap(false)
	if c.pending.Load() > 0 {
		return nil
	}
	if c.inCommand.Load() {
		if !c.commandTimedOut(now, evicted) {
			return nil
		}
		c.closing.Store(true)
		return errCommandStalled
	}
	if !evicted && !c.idleTimedOut(now) {
		return nil
	}
	c.closing.Store(true)
	return errIdle
}

// commandTimedOut reports whether a client within a command has exceeded a timeout, of which those of an evicted client
// are shorter.
func (c *conn) commandTimedOut(now clock.Micros, evicted bool) bool {
	return c.stalled(now, evicted) ||
		evicted && c.tooSlow(now) ||
		now >= c.commandStartedAt.Load()+c.server.lim.ClientRequestTimeout
}

// idleTimedOut reports whether a client between two commands has exceeded a timeout.
func (c *conn) idleTimedOut(now clock.Micros) bool {
	lim := c.server.lim
	idle := now - c.idleSince.Load()
	switch {
	case idle >= lim.ClientIdleTimeout:
		return true
	case c.lastReadAt.Load() == 0:
		return now >= c.acceptedAt+lim.ClientFirstByteTimeout
	}
	return idle >= lim.ClientIdleTimeoutUnderPressure && (c.largeBuffer || c.server.conns.crowded())
}

// isClosing reports whether the connection is about to end.
func (c *conn) isClosing() bool { return c.closing.Load() || c.reader.woken.Load() }

// lastActivity is when the client last sent something or was sent a reply.
func (c *conn) lastActivity() clock.Micros {
	return max(c.lastReadAt.Load(), c.idleSince.Load())
}

// stalled reports whether the client has stopped within a command for too long. The timeout is shorter where its
// connection is needed for others.
func (c *conn) stalled(now clock.Micros, needed bool) bool {
	timeout := c.server.lim.ClientStallTimeout
	if needed {
		timeout /= 4
	}
	return c.inCommand.Load() && now >= c.lastReadAt.Load()+timeout
}

// tooSlow reports whether the client has been within one command for so long that it may be evicted although it still
// sends: a few hundred such clients would keep all others out.
func (c *conn) tooSlow(now clock.Micros) bool {
	return c.inCommand.Load() && now >= c.commandStartedAt.Load()+2*c.server.lim.ClientStallTimeout
}
