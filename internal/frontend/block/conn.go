package block

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

// deliveryTime is how long a written reply may take to arrive, where the system does not report what it still holds.
const deliveryTime clock.Micros = 1_000_000

// errQuit ends a connection on its client's QUIT, after the pending replies.
var errQuit = errors.New("client quit")

// conn is one client connection. Reads go through its commandReader, everything else to the network connection.
//
// Three kinds of goroutines work on it: the one that runs serve reads commands, one for each request waits for its
// response, and one writes replies in the order of the commands. serve waits for the others.
type conn struct {
	net.Conn
	activity
	server  *Server
	reader  commandReader
	replies chan *reply // pending, in the order of the commands
}

func newConn(s *Server, nc net.Conn) *conn {
	now := s.clock.Now()
	c := &conn{
		Conn:     nc,
		activity: activity{acceptedAt: now},
		server:   s,
		replies:  make(chan *reply, s.lim.MaxPipeline),
	}
	c.reader = commandReader{net: nc, clock: s.clock, client: c, scanner: scanner{lim: s.lim}}
	c.idleSince.Store(now)
	return c
}

// Read implements net.Conn for redcon.
func (c *conn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// reply is the pending reply to one command.
type reply struct {
	encoded   chan []byte // holds one
	requestID string      // empty for commands that are no requests
	bytes     atomic.Int64
}

// enqueue adds a pending reply. Where too many are pending it blocks, and no more commands are read.
func (c *conn) enqueue(r *reply) {
	r.encoded = make(chan []byte, 1)
	c.pending.Add(1)
	c.replies <- r
}

// replyNow enqueues a reply that is known already.
func (c *conn) replyNow(encoded []byte) {
	r := &reply{}
	c.enqueue(r)
	r.encoded <- encoded
}

// serve executes the commands of a connection, of which redcon has read the first, until the connection ends.
func (c *conn) serve(first redcon.Command, commands redcon.DetachedConn) {
	ctx, cancel := context.WithCancelCause(c.server.drain.base)
	var requests, writer sync.WaitGroup
	defer requests.Wait()
	defer cancel(nil)
	writer.Go(func() { c.writeReplies(cancel) })

	err := c.executeAll(ctx, first, commands, &requests)
	protocolFailure := isProtocolError(err)
	switch {
	case protocolFailure:
		c.replyNow([]byte("-ERR " + err.Error() + "\r\n"))
	case !errors.Is(err, errIdle) && !errors.Is(err, errQuit):
		cancel(core.ErrClientDisconnected) // end of stream or reset
	}
	close(c.replies)
	writer.Wait()
	disconnected := errors.Is(context.Cause(ctx), core.ErrClientDisconnected)
	if protocolFailure || !disconnected && c.replyInTransit() {
		c.lingerClose()
	}
}

// executeAll starts commands until the connection ends, and returns why it ends.
func (c *conn) executeAll(ctx context.Context, first redcon.Command, commands redcon.DetachedConn, requests *sync.WaitGroup) error {
	cmd := first
	for {
		if err := c.execute(ctx, cmd, requests); err != nil {
			return err
		}
		var err error
		if cmd, err = commands.ReadCommand(); err != nil {
			return err
		}
	}
}

// execute starts one command. An error ends the connection after the pending replies.
func (c *conn) execute(ctx context.Context, cmd redcon.Command, requests *sync.WaitGroup) error {
	switch strings.ToUpper(string(cmd.Args[0])) {
	case "PING":
		if len(cmd.Args) > 1 {
			c.replyNow(bulkString(cmd.Args[1]))
		} else {
			c.replyNow([]byte(replyPong))
		}
	case "QUIT":
		c.replyNow([]byte(replyOK))
		return errQuit
	case "BLK.READ", "BLK.WRITE":
		return c.startRequest(ctx, cmd, requests)
	default:
		c.replyNow([]byte(replyUnknownCommand))
	}
	return nil
}

// startRequest hands a request to the broker, or rejects it. It returns core.ErrClientDisconnected if the client has
// gone.
func (c *conn) startRequest(ctx context.Context, cmd redcon.Command, requests *sync.WaitGroup) error {
	s := c.server
	req, err := parseCommand(cmd.Args, s.schema, s.clock.Now())
	if err != nil {
		c.replyNow(errorReply(err))
		return nil
	}
	if !s.drain.limitDeadline(&req.Deadline, s.clock.Now()) {
		c.replyNow(busyReply(s.lim.BusyRetryAfter))
		return nil
	}
	// Commands that a client sent before it disconnected can still be read afterwards, if this process was late or
	// several commands arrived at once.
	req.ClientGone = func() bool { return socket.PeerClosed(c.Conn) }
	if (!c.hasRequested.Load() || c.pending.Load() > 0) && req.ClientGone() {
		return core.ErrClientDisconnected
	}
	r := &reply{requestID: string(req.Work.RequestID)}
	if !s.inFlight.addID(r.requestID) {
		c.replyNow([]byte(replyDuplicateID))
		return nil
	}
	if !s.inFlight.reserve(r, int64(len(cmd.Raw))) {
		s.inFlight.remove(r)
		c.replyNow(busyReply(s.lim.BusyRetryAfter))
		return nil
	}
	c.enqueue(r)
	if !c.hasRequested.Swap(true) {
		s.conns.countRequesting()
		s.conns.evictSurplus()
	}
	requests.Go(func() {
		encoded := encodeResponse(s.broker.Handle(ctx, req))
		s.inFlight.addReply(r, int64(len(encoded)))
		r.encoded <- encoded
	})
	return nil
}

// writeReplies sends the replies in the order of their commands. After a failed write the rest is discarded.
func (c *conn) writeReplies(cancel context.CancelCauseFunc) {
	s := c.server
	writeFailed := false
	for r := range c.replies {
		encoded := <-r.encoded
		if !writeFailed {
			if err := c.write(encoded); err != nil {
				writeFailed = true
				cancel(core.ErrClientDisconnected)
				_ = c.Close() // ends the reader; the write has failed already
			}
		}
		s.inFlight.remove(r)
		c.idleSince.Store(s.clock.Now())
		if c.pending.Add(-1) == 0 {
			if s.drain.listenerClosed.Load() {
				c.reader.wake()
			}
			s.conns.evictSurplus() // all may have been busy before
		}
	}
}

// write sends one reply, within the client's write timeout.
func (c *conn) write(encoded []byte) error {
	timeout := clock.Duration(c.server.lim.ClientWriteTimeout)
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := c.Write(encoded)
	return err
}

// replyInTransit reports whether the client's system may lack a part of the last reply.
func (c *conn) replyInTransit() bool {
	if n, ok := socket.UnsentBytes(c.Conn); ok {
		return n > 0
	}
	return c.server.clock.Now()-c.idleSince.Load() < deliveryTime
}

// lingerClose closes the sending side and waits a moment for the client to close its own. Closing a connection with
// unread input resets it, and the client loses the replies that it has not read. Input that arrives meanwhile is
// discarded: none of it was executed, and the client sends it again elsewhere.
func (c *conn) lingerClose() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // the connection is closed in any case
	}
	deadline := time.Now().Add(clock.Duration(c.server.lim.ClientLingerTimeout))
	buf := make([]byte, 4096)
	for left := c.server.lim.MaxMessageBytes; left > 0 && time.Now().Before(deadline); {
		if c.SetReadDeadline(deadline) != nil {
			return
		}
		n, err := c.Conn.Read(buf)
		left -= n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // wake ends a read before the deadline
			return
		}
	}
}
