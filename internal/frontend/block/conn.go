package block

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/frontend/clientstats"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

// deliveryTime is the time allowed for a written reply to arrive if the system does not report its unsent bytes.
const deliveryTime clock.Micros = 1_000_000

// errQuit ends a connection after its client has sent QUIT and the pending replies were sent.
var errQuit = errors.New("client quit")

// conn is one client connection. Reads go through its commandReader, all other calls to the network connection.
//
// A connection uses several goroutines: the one that runs serve reads commands and submits their requests, one per
// request waits for the response, and one writes replies in the order of the commands. serve waits for the others to
// end.
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
	encoded   chan []byte  // receives the encoded reply; buffer of one
	requestID string       // empty for commands that are not requests
	bytes     atomic.Int64 // of the command and the reply, as counted in inFlight
}

// enqueue adds a pending reply. It blocks while too many replies are pending, so that no more commands are read.
func (c *conn) enqueue(r *reply) {
	r.encoded = make(chan []byte, 1)
	c.pending.Add(1)
	c.replies <- r
}

// enqueueEncoded adds a reply that is already encoded.
func (c *conn) enqueueEncoded(encoded []byte) {
	r := &reply{}
	c.enqueue(r)
	r.encoded <- encoded
}

// serve executes the commands of a connection until the connection ends. redcon has already read the first command.
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
		if !errors.Is(err, errCommandStalled) {
			c.server.countEvent(c, clientstats.ClosedMalformed, "")
		}
		c.enqueueEncoded([]byte("-ERR " + err.Error() + "\r\n"))
	case !errors.Is(err, errIdle) && !errors.Is(err, errQuit):
		cancel(core.ErrClientDisconnected) // end of stream or reset
	}
	close(c.replies)
	writer.Wait()
	disconnected := errors.Is(context.Cause(ctx), core.ErrClientDisconnected)
	if protocolFailure || !disconnected && c.replyInTransit() {
		// Input that arrives meanwhile is not executed; the client sends it to another broker.
		socket.Linger(c.Conn, clock.Duration(c.server.lim.ClientLingerTimeout), c.server.lim.MaxMessageBytes)
	}
}

// executeAll starts commands until the connection ends, and returns the reason as an error.
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

// execute starts one command. If it returns an error, the connection ends after the pending replies.
func (c *conn) execute(ctx context.Context, cmd redcon.Command, requests *sync.WaitGroup) error {
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
		return c.startRequest(ctx, cmd, requests)
	default:
		c.enqueueEncoded([]byte(replyUnknownCommand))
	}
	return nil
}

// startRequest passes a request to the broker, or rejects it. It returns core.ErrClientDisconnected if the client has
// disconnected.
func (c *conn) startRequest(ctx context.Context, cmd redcon.Command, requests *sync.WaitGroup) error {
	s := c.server
	req, err := parseCommand(cmd.Args, s.schema, s.clock.Now())
	if err != nil {
		s.countEvent(c, clientstats.RejectedUnsound, "")
		c.enqueueEncoded(errorReply(err))
		return nil
	}
	id := string(req.Work.RequestID)
	if !s.drain.limitDeadline(&req.Deadline, s.clock.Now()) {
		s.countEvent(c, clientstats.RejectedDraining, id)
		c.enqueueEncoded(busyReply(s.lim.BusyRetryAfter))
		return nil
	}
	// Commands that a client sent before it disconnected may be read after the disconnect, if this process was delayed
	// or several commands arrived together.
	req.ClientDisconnected = func() bool { return socket.PeerClosed(c.Conn) }
	if (!c.hasRequested.Load() || c.pending.Load() > 0) && req.ClientDisconnected() {
		s.countEvent(c, clientstats.ClientLeft, id)
		return core.ErrClientDisconnected
	}
	r := &reply{requestID: id}
	if !s.inFlight.addID(id) {
		s.countEvent(c, clientstats.RejectedDuplicate, id)
		c.enqueueEncoded([]byte(replyDuplicateID))
		return nil
	}
	if !s.inFlight.reserve(r, int64(len(cmd.Raw))) {
		s.inFlight.remove(r)
		s.countEvent(c, clientstats.RejectedMemory, id)
		c.enqueueEncoded(busyReply(s.lim.BusyRetryAfter))
		return nil
	}
	c.enqueue(r)
	if !c.hasRequested.Swap(true) {
		s.conns.countRequestConn()
		s.conns.evictSurplus()
	}
	pending := s.broker.Submit(req) // here and not in the goroutine, to keep the order of the commands
	requests.Go(func() {
		encoded := encodeResponse(pending.Wait(ctx))
		s.inFlight.addReply(r, int64(len(encoded)))
		r.encoded <- encoded
	})
	return nil
}

// writeReplies sends the replies in the order of their commands. After a failed write it discards the remaining ones.
func (c *conn) writeReplies(cancel context.CancelCauseFunc) {
	s := c.server
	writeFailed := false
	for r := range c.replies {
		encoded := <-r.encoded
		if !writeFailed {
			if err := c.write(encoded); err != nil {
				writeFailed = true
				if socket.IsTimeout(err) {
					s.countEvent(c, clientstats.ClosedNotReading, r.requestID)
				}
				cancel(core.ErrClientDisconnected)
				_ = c.Close() // ends the reader; its error adds nothing to that of the write
			}
		}
		s.inFlight.remove(r)
		c.idleSince.Store(s.clock.Now())
		if c.pending.Add(-1) == 0 {
			if s.drain.listenerClosed.Load() {
				c.reader.wake()
			}
			s.conns.evictSurplus() // earlier calls may have found all connections busy
		}
	}
}

// write sends one reply within Limits.ClientWriteTimeout.
func (c *conn) write(encoded []byte) error {
	timeout := clock.Duration(c.server.lim.ClientWriteTimeout)
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := c.Write(encoded)
	return err
}

// replyInTransit reports whether the client's system may not yet have received all of the last reply.
func (c *conn) replyInTransit() bool {
	if n, ok := socket.UnsentBytes(c.Conn); ok {
		return n > 0
	}
	return c.server.clock.Now()-c.idleSince.Load() < deliveryTime
}
