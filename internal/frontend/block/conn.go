package block

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/frontend/clientstats"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/pacing"
	"poppyarch/internal/transport/socket"
)

// deliveryTime is the time allowed for a written reply to arrive if the system does not report its unsent bytes.
const deliveryTime clock.Micros = 1_000_000

const (
	// catchUpTimeout is the time for the reader to read what has arrived, before the client counts as disconnected. An attempt
	// may begin up to 100 ms after that.
	catchUpTimeout  clock.Micros = 50_000
	catchUpInterval              = time.Millisecond
	// settledIntervals is how many intervals in a row must show the same short queue of input.
	settledIntervals = 5
)

// errQuit ends a connection after its client has sent QUIT and the pending replies were sent.
var errQuit = errors.New("client quit")

// conn is one client connection. Reads go through its commandReader, all other calls to the network connection.
//
// A connection uses several goroutines: the one that runs serve reads commands and submits their requests, one per
// submitted request waits for the response, and one writes replies in the order of the commands while there are any. serve
// waits for the others to end.
type conn struct {
	net.Conn
	activity
	server      *Server
	reader      commandReader
	replies     *replyQueue
	pace        *pacing.Client
	submissions submissions
	cancel      context.CancelCauseFunc // ends the requests; set by serve
	writeFailed atomic.Bool             // a reply could not be sent
}

// newConn returns the connection of a client. All that it has sent has arrived after noneWaitedAt.
func newConn(s *Server, nc net.Conn, noneWaitedAt clock.Micros) *conn {
	now := s.clock.Now()
	c := &conn{
		Conn:     nc,
		activity: activity{acceptedAt: now},
		server:   s,
		replies:  newReplyQueue(),
		pace:     s.pacing.NewClient(now),
	}
	c.reader = commandReader{net: nc, clock: s.clock, client: c, scanner: scanner{lim: s.lim}, noneWaitedAt: noneWaitedAt}
	c.idleSince.Store(now)
	return c
}

// enqueue adds a pending reply. It blocks while too many replies are pending, so that no more commands are read.
func (c *conn) enqueue(r *reply) {
	limit := c.server.lim.Clients.MaxPendingReplies
	if !c.reserve(r, replyOverheadBytes) {
		c.addBytes(r, replyOverheadBytes)
		limit = min(limit, minPendingReplies)
	}
	c.replies.waitWhile(func(queued int) bool {
		c.reader.observeWaiting()
		return queued >= limit
	})
	c.pending.Add(1)
	if c.replies.push(r) {
		go c.writeReplies()
	}
}

// enqueueEncoded adds a reply that is already encoded, to a command that is no sound request. If there is no memory for it,
// the command is rejected.
func (c *conn) enqueueEncoded(encoded []byte) { c.enqueueFree(encoded, pacing.NoRequest) }

// enqueueRejection adds the reply to a request that is rejected without having been passed to the broker.
func (c *conn) enqueueRejection() {
	c.enqueueFree(busyReply(c.server.lim.BusyRetryAfter), pacing.Rejection)
}

// enqueueFree adds a reply that is already encoded, which is a free answer.
func (c *conn) enqueueFree(encoded []byte, kind pacing.Kind) {
	c.pace.CountFreeAnswer(c.server.clock.Now(), kind, c.reader.commandBytes)
	r := &reply{encoded: encoded}
	if !c.reserve(r, int64(len(encoded))) {
		c.server.countEvent(c, clientstats.RejectedMemory, "")
		r.encoded = busyReply(c.server.lim.BusyRetryAfter)
	}
	c.enqueue(r)
}

// serve executes the commands of a connection until the connection ends.
func (c *conn) serve() {
	ctx, cancel := context.WithCancelCause(c.server.drain.base)
	c.cancel = cancel
	defer c.awaitSubmissions()
	defer cancel(nil)

	err := c.executeAll(ctx)
	c.reader.release()
	malformed := isProtocolError(err) && !errors.Is(err, errCommandStalled) // more input may follow
	if malformed {
		c.server.countEvent(c, clientstats.ClosedMalformed, "")
	}
	switch {
	case isProtocolError(err):
		c.enqueueEncoded([]byte("-ERR " + err.Error() + "\r\n"))
	case errors.Is(err, errDrained):
		c.enqueueRejection()
	case !errors.Is(err, errIdle) && !errors.Is(err, errQuit):
		cancel(core.ErrClientDisconnected) // end of stream or reset
	}
	c.replies.awaitEmpty()
	disconnected := errors.Is(context.Cause(ctx), core.ErrClientDisconnected)
	if malformed || !disconnected && c.replyInTransit() {
		// Input that arrives meanwhile is not executed; the client sends it to another broker.
		socket.Linger(c.Conn, clock.Duration(c.server.lim.ClientLingerTimeout), c.server.lim.MaxMessageBytes)
	}
}

// executeAll starts commands until the connection ends, and returns the reason as an error.
func (c *conn) executeAll(ctx context.Context) error {
	for {
		if err := c.awaitTurn(); err != nil { // before the command is read: it would hold memory meanwhile
			return err
		}
		cmd, err := c.reader.next()
		if err != nil {
			return err
		}
		if err := c.execute(ctx, cmd); err != nil {
			return err
		}
	}
}

// awaitTurn makes a client wait that has had many free answers. It returns an error if the connection ends meanwhile.
func (c *conn) awaitTurn() error {
	for {
		if c.server.drain.listenerClosed.Load() && c.reader.hasUnreadCommand() {
			return nil // at the end of a drain, what was read is answered before the process is killed
		}
		c.reader.observeWaiting()
		delay := c.pace.BeginWait(c.server.clock.Now())
		c.delayed.Store(delay > 0)
		if delay == 0 {
			return nil
		}
		c.server.stats.Count(clientstats.Delayed)
		time.Sleep(delay)
		c.pace.EndWait()
		if socket.PeerClosed(c.Conn) {
			return core.ErrClientDisconnected
		}
		woken := c.reader.woken.Load()
		if woken && c.reader.hasUnreadCommand() {
			return nil // a command that was read is answered before the connection ends
		}
		if woken && c.pending.Load() == 0 {
			c.close(true, clientstats.ClosedEvicted)
			return errIdle
		}
	}
}

// hasLeft reports whether the client has disconnected, or may have done so: while the reader has not caught up with the
// input, the end of the connection may be behind it. It must not be called by the reader.
func (c *conn) hasLeft() bool {
	if c.catchesUp() {
		return false
	}
	c.server.countEvent(c, clientstats.ClientLeft, "")
	return true
}

// catchesUp waits until the reader has caught up with the input of a client that has not disconnected. It returns false if
// the client has, or if the reader does not catch up in time.
func (c *conn) catchesUp() bool {
	end := c.server.clock.Now() + catchUpTimeout
	settled := 0 // number of intervals that have shown the same short queue of input
	lastReadAt := c.lastReadAt.Load()
	for ; !socket.PeerClosed(c.Conn) && c.server.clock.Now() < end; time.Sleep(catchUpInterval) {
		unread, known := socket.UnreadBytes(c.Conn)
		short := unread < socket.MaxUnreadBytes
		if !known || short && !c.backlogged.Load() || settled >= settledIntervals {
			return true
		}
		// After a backlog, a short queue that is not being read stays short only if the client has sent nothing behind it.
		readAt := c.lastReadAt.Load()
		settled++
		if readAt != lastReadAt || !short {
			settled = 0
		}
		lastReadAt = readAt
	}
	return false
}

// execute starts one command. If it returns an error, the connection ends after the pending replies.
func (c *conn) execute(ctx context.Context, cmd redcon.Command) error {
	if len(cmd.Args) == 0 {
		c.server.countEvent(c, clientstats.RejectedMemory, "")
		c.enqueueRejection()
		return nil
	}
	switch strings.ToUpper(string(cmd.Args[0])) {
	case "PING":
		if len(cmd.Args) > 1 {
			c.enqueueEncoded(bulkString(cmd.Args[1]))
		} else {
			c.enqueueEncoded([]byte(replyPong))
		}
	case "QUIT":
		c.enqueueEncoded([]byte(replyOK))
		return errQuit
	case "BLK.READ", "BLK.WRITE":
		return c.startRequest(ctx, cmd)
	default:
		c.enqueueEncoded([]byte(replyUnknownCommand))
	}
	return nil
}

// startRequest passes a request to the broker, or rejects it. It returns core.ErrClientDisconnected if the client has
// disconnected.
func (c *conn) startRequest(ctx context.Context, cmd redcon.Command) error {
	s := c.server
	now := s.clock.Now()
	arrivedAt := c.reader.arrivedAt(now)
	req, err := parseCommand(cmd.Args, s.schema, arrivedAt)
	if err != nil {
		s.countEvent(c, clientstats.RejectedUnsound, "")
		c.enqueueEncoded(errorReply(err))
		return nil
	}
	s.stats.RecordUnread(now - arrivedAt)
	id := string(req.Work.RequestID)
	if req.Deadline <= now {
		s.countEvent(c, clientstats.RejectedExpired, id)
		c.enqueueRejection()
		return nil
	}
	if !s.drain.limitDeadline(&req.Deadline, s.clock.Now()) {
		s.countEvent(c, clientstats.RejectedDraining, id)
		c.enqueueRejection()
		return nil
	}
	// Commands that a client sent before it disconnected may be read after the disconnect, if this process was delayed
	// or several commands arrived together.
	req.ClientDisconnected = c.hasLeft
	if (!c.hasRequested.Load() || c.pending.Load() > 0) && socket.PeerClosed(c.Conn) {
		s.countEvent(c, clientstats.ClientLeft, id)
		return core.ErrClientDisconnected
	}
	r := &reply{requestID: id, repeatable: s.schema.repeatable[req.Class], ready: make(chan struct{})}
	switch s.inFlight.addID(id, r.repeatable, s.clock.Now()) {
	case idInUse:
		s.countEvent(c, clientstats.RejectedDuplicate, id)
		c.enqueueEncoded([]byte(replyDuplicateID))
		return nil
	case idTableFull:
		s.countEvent(c, clientstats.RejectedMemory, id)
		c.enqueueRejection()
		return nil
	}
	if !c.reserve(r, int64(len(cmd.Raw)+requestOverheadBytes)) {
		s.inFlight.remove(r, s.clock.Now())
		s.countEvent(c, clientstats.RejectedMemory, id)
		c.enqueueRejection()
		return nil
	}
	c.enqueue(r)
	if !c.hasRequested.Swap(true) {
		s.conns.countRequestConn()
		s.conns.evictSurplus()
	}
	c.submit(ctx, submission{request: req, reply: r})
	return nil
}

// writeReplies sends the pending replies in the order of their commands. After a failed write it discards them.
func (c *conn) writeReplies() {
	for {
		r, ok := c.replies.first()
		if !ok {
			return
		}
		if r.ready != nil {
			<-r.ready
		}
		c.writeReply(r)
		now := c.server.clock.Now()
		c.server.inFlight.remove(r, now)
		c.releaseReply(r)
		c.idleSince.Store(now)
		c.replies.removeFirst()
		if c.pending.Add(-1) == 0 {
			if c.server.drain.listenerClosed.Load() {
				c.reader.wake()
			}
			c.server.conns.evictSurplus() // earlier calls may have found all connections busy
		}
	}
}

// writeReply sends one reply, unless an earlier one could not be sent.
func (c *conn) writeReply(r *reply) {
	if c.writeFailed.Load() {
		return
	}
	c.writeBlockedSince.Store(c.server.clock.Now())
	err := c.write(r)
	c.writeBlockedSince.Store(0)
	if err == nil || !c.writeFailed.CompareAndSwap(false, true) {
		return
	}
	if socket.IsTimeout(err) {
		c.server.countEvent(c, clientstats.ClosedNotReading, r.requestID)
	}
	c.cancel(core.ErrClientDisconnected)
	_ = c.Close() // ends the reader; its error adds nothing to that of the write
}

// write sends one reply within Limits.ClientWriteTimeout.
func (c *conn) write(r *reply) error {
	timeout := clock.Duration(c.server.lim.ClientWriteTimeout)
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := c.Write(r.encoded); err != nil || r.value == nil {
		return err
	}
	if _, err := c.Write(r.value); err != nil {
		return err
	}
	_, err := c.Write([]byte("\r\n"))
	return err
}

// replyInTransit reports whether the client's system may not yet have received all of the last reply.
func (c *conn) replyInTransit() bool {
	if n, ok := socket.UnsentBytes(c.Conn); ok {
		return n > 0
	}
	return c.server.clock.Now()-c.idleSince.Load() < deliveryTime
}
