package block

import (
	"errors"
	"sync/atomic"

	"poppyarch/internal/frontend/clientstats"
	"poppyarch/internal/timing/clock"
)

// errIdle ends a connection that has been idle for too long, or is evicted, and has no pending reply.
var errIdle = errors.New("client connection idle for too long")

// errCommandStalled ends a connection whose client did not complete a command in time. Nothing of it was executed.
var errCommandStalled error = &protocolError{reason: "the command did not come to its end in time"}

// errDrained ends a connection whose client has not completed a command by the drain deadline. Nothing of it was executed.
var errDrained = errors.New("the drain is over")

// activity holds the state that a connection's timeouts and its eviction rank depend on. A time of 0 means never. The
// connection's reader sets the fields about received bytes, and its writer those about replies. All fields may be read by
// any goroutine.
type activity struct {
	acceptedAt   clock.Micros
	idleSince    clock.AtomicMicros // when the last reply was sent, or else when the connection was accepted
	pending      atomic.Int64       // number of replies that are not sent yet
	hasRequested atomic.Bool        // the connection has carried a request
	closing      atomic.Bool        // the connection ends as soon as its reader returns

	lastReadAt       clock.AtomicMicros
	inCommand        atomic.Bool // a command has begun and is incomplete
	commandStartedAt clock.AtomicMicros
	backlogged       atomic.Bool // much input was left after a read, and the reader has not caught up since

	writeBlockedSince clock.AtomicMicros // since when a write has been waiting for the client; 0 if none is
	inputBytes        atomic.Int64       // memory that is reserved for the incomplete command
	heldBytes         atomic.Int64       // memory that is reserved for commands and replies
	delayed           atomic.Bool        // the client is made to wait, as it got many free answers
	dropInput         atomic.Bool        // the memory of the incomplete command is needed for others
}

// recordRead records that bytes were received.
func (c *conn) recordRead(now clock.Micros) { c.lastReadAt.Store(now) }

// recordScan records whether the bytes that were scanned last end within a command.
func (c *conn) recordScan(inCommand bool) {
	if inCommand && !c.inCommand.Load() {
		c.commandStartedAt.Store(c.lastReadAt.Load())
	}
	c.inCommand.Store(inCommand)
}

// nextIdleCheck returns the time at which the reader checks the client's timeouts next.
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

// checkIdle returns an error if the connection has to end, because one of its timeouts has passed or because it was
// woken for eviction. A connection with pending replies does not have to end. The timeouts limit the resources that
// clients hold: unused connections occupy file descriptors, incomplete commands occupy a reader, and idle clients
// occupy memory.
func (c *conn) checkIdle(now clock.Micros) error {
	evicted := c.reader.woken.Swap(false)
	if c.pending.Load() > 0 {
		return nil
	}
	if c.inCommand.Load() && c.server.drain.base.Err() != nil {
		c.close(evicted, clientstats.RejectedDraining)
		return errDrained
	}
	if c.inCommand.Load() {
		if !c.commandTimedOut(now, evicted) {
			return nil
		}
		c.close(evicted, clientstats.ClosedStalled)
		return errCommandStalled
	}
	if !evicted && !c.idleTimedOut(now) {
		return nil
	}
	reason := clientstats.ClosedIdle
	if c.lastReadAt.Load() == 0 {
		reason = clientstats.ClosedSilent
	}
	c.close(evicted, reason)
	return errIdle
}

// close marks the connection as closing and counts the reason.
func (c *conn) close(evicted bool, reason clientstats.Event) {
	c.closing.Store(true)
	if evicted && !c.server.drain.listenerClosed.Load() {
		reason = clientstats.ClosedEvicted
	}
	c.server.countEvent(c, reason, "")
}

// commandTimedOut reports whether a client within a command has exceeded a timeout. The timeouts of an evicted client
// are shorter.
func (c *conn) commandTimedOut(now clock.Micros, evicted bool) bool {
	return c.stalled(now, evicted) ||
		evicted && c.tooSlow(now) ||
		now >= c.commandStartedAt.Load()+c.server.lim.ClientRequestTimeout
}

// idleTimedOut reports whether a client that is not within a command has exceeded a timeout.
func (c *conn) idleTimedOut(now clock.Micros) bool {
	lim := c.server.lim
	idle := now - c.idleSince.Load()
	switch {
	case idle >= lim.ClientIdleTimeout:
		return true
	case c.lastReadAt.Load() == 0:
		return now >= c.acceptedAt+lim.ClientFirstByteTimeout
	}
	return idle >= lim.ClientIdleTimeoutUnderPressure && c.server.conns.underPressure()
}

// isClosing reports whether the connection is about to end.
func (c *conn) isClosing() bool { return c.closing.Load() || c.reader.woken.Load() }

// lastActivity returns the time of the last received bytes or the last sent reply, whichever is later.
func (c *conn) lastActivity() clock.Micros {
	return max(c.lastReadAt.Load(), c.idleSince.Load())
}

// stalled reports whether the client has sent nothing for too long within a command. The timeout is shorter if the
// connection is needed for another client.
func (c *conn) stalled(now clock.Micros, needed bool) bool {
	timeout := c.server.lim.ClientStallTimeout
	if needed {
		timeout /= 4
	}
	return c.inCommand.Load() && now >= c.lastReadAt.Load()+timeout
}

// tooSlow reports whether the client has exceeded the time for sending one command and may be evicted although it is not
// stalled: otherwise a few hundred such clients could occupy all connections.
func (c *conn) tooSlow(now clock.Micros) bool {
	return c.inCommand.Load() && now >= c.commandStartedAt.Load()+2*c.server.lim.ClientStallTimeout
}
