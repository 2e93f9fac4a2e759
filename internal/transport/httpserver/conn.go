package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

// pastDeadline is a read deadline in the past, which ends a blocked read.
var pastDeadline = time.Unix(1, 0)

// conn is one client connection. Its Read ends the connection if it is to end and waits for a request: it returns a
// time-out, on which net/http closes a connection without a response.
type conn struct {
	net.Conn
	server *Server

	// Guarded by the server's mu.
	state      http.ConnState
	stateSince clock.Micros

	mu           sync.Mutex // may be locked while the server's mu is held, not the other way round
	mode         endMode
	evicted      bool      // to be closed for another client, unless a request arrives
	busy         bool      // a request has been read completely, up to its body, and is not answered yet
	requestBegun bool      // part of the next request has been read
	readDeadline time.Time // as net/http has set it
	interrupted  bool      // pastDeadline is in force in place of readDeadline
	ended        bool      // Read has ended the connection: nothing more is read or written
	input        requestInput
}

// Read reads from the client. While the connection is to end, it reads only bytes that have already arrived.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readArrived(b, err)
	}
	if n > 0 {
		c.recordRead(b[:n])
	}
	return n, err
}

// readArrived reads bytes that have already arrived if the read has timed out because the connection is to end. If
// there are none, or the time-out is one of net/http, it returns timeout.
func (c *conn) readArrived(b []byte, timeout error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		return 0, timeout
	}
	if c.ended || socket.Peek(c.Conn) != socket.Readable {
		c.ended = true
		return 0, timeout
	}
	c.interrupted = false
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b) // does not block
	_ = c.Conn.SetReadDeadline(c.readDeadline)
	return n, err
}

// Write writes to the client. It fails once Read has ended the connection: net/http takes the part of a request that has
// arrived for a malformed one, and would answer it, although the client has not sent the rest.
func (c *conn) Write(b []byte) (int, error) {
	if c.hasEnded() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// recordRead records bytes that net/http has read. A connection that was to be evicted is kept for them.
func (c *conn) recordRead(b []byte) {
	c.mu.Lock()
	keep := c.evicted && !c.busy
	if !c.busy && (!c.requestBegun || keep) {
		c.requestBegun = true
		c.evicted = false
		c.updateReadDeadline()
	}
	c.input.read(b)
	c.mu.Unlock()
	if keep {
		c.server.notify() // another connection may have to be evicted
	}
}

// mustEnd reports whether the connection ends unless bytes have arrived. The caller holds mu.
func (c *conn) mustEnd() bool {
	if c.busy {
		return false
	}
	return c.evicted || c.mode >= endIncomplete || c.mode >= endIdle && !c.requestBegun
}

// updateReadDeadline sets the deadline of the network connection: one in the past if the connection must end, or else
// that of net/http. It is called when the answer of mustEnd may have changed. The caller holds mu.
func (c *conn) updateReadDeadline() {
	interrupt := c.mustEnd()
	if interrupt == c.interrupted {
		return
	}
	c.interrupted = interrupt
	deadline := c.readDeadline
	if interrupt {
		deadline = pastDeadline
	}
	_ = c.Conn.SetReadDeadline(deadline) // fails only on a closed connection, whose reads fail too
}

// SetReadDeadline sets the deadline that applies unless the connection must end.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// end makes the connection end as mode tells.
func (c *conn) end(mode endMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = mode
	c.updateReadDeadline()
}

// evict makes the connection end unless bytes of a request have arrived.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	c.updateReadDeadline()
}

// eviction is the progress of a connection's eviction.
type eviction uint8

const (
	notEvicted eviction = iota
	evictionAsked
	evictionDone // the connection is being closed
)

func (c *conn) eviction() eviction {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended:
		return evictionDone
	case c.evicted:
		return evictionAsked
	}
	return notEvicted
}

// setBusy records that the head of a request has been read, or that its response has been sent.
func (c *conn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy && !busy {
		c.input.endRequest()
	}
	c.busy = busy
	c.requestBegun = false
	c.evicted = false
	c.updateReadDeadline()
}

// beginRequest records the size of a request's body, which is negative if it is not known.
func (c *conn) beginRequest(bodySize int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.input.bodySize = bodySize
}

// announcesEnd reports whether the response to the current request must tell the client that the connection ends. It
// does not if part of a further request has been read, which would then remain without an answer.
func (c *conn) announcesEnd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode >= endAnswered && !c.input.hasReadBeyondRequest()
}

// Close closes the connection, once the client has received the last response or has had the time for it. Requests that
// arrive meanwhile are not read.
func (c *conn) Close() error {
	if n, ok := socket.UnsentBytes(c.Conn); ok && n > 0 && !c.server.aborting.Load() {
		socket.AwaitDelivery(c.Conn, c.server.opts.LingerTimeout, c.server.opts.DeliveryTimeout)
	}
	return c.Conn.Close()
}

// SyscallConn lets package socket inspect the connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

type connKey struct{}

// contextWithConn adds a request's connection to its context.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request's context, for package socket. ok is false if the request does not come
// from a Server.
func ConnOf(ctx context.Context) (c net.Conn, ok bool) {
	c, ok = ctx.Value(connKey{}).(net.Conn)
	return c, ok
}
