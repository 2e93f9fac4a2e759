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
	"poppyarch/internal/timing/pacing"
	"poppyarch/internal/transport/socket"
)

// pastDeadline is a read deadline in the past, which ends a blocked read.
var pastDeadline = time.Unix(1, 0)

// conn is one client connection. Its Read ends the connection if it is to end and waits for a request: it returns a
// time-out, on which net/http closes a connection without a response.
type conn struct {
	net.Conn
	server *Server

	pace *pacing.Client // nil if the client is not slowed down

	arrival Arrival // of the current request; used by the handler's goroutine

	// Guarded by the server's mu.
	state      http.ConnState
	stateSince clock.Micros

	mu           sync.Mutex // may be locked while the server's mu is held, not the other way round
	mode         endMode
	evicted      bool         // to be closed for another client, unless a request arrives
	busy         bool         // a request has been read completely, up to its body, and is not answered yet
	requestBegun bool         // part of the next request has been read
	readingBody  bool         // the handler waits for more of the body
	cutOff       bool         // to be closed for another client, unless more of its request arrives
	lastReadAt   clock.Micros // or when the client had not sent anything yet
	inputAt      clock.Micros // when the bytes that were read last had arrived
	readDeadline time.Time    // as net/http or the handler has set it
	partDeadline time.Time    // by which more of the request must have arrived; zero if nothing is awaited
	interrupted  bool         // pastDeadline is in force in place of the others
	ended        bool         // Read has ended the connection: nothing more is read or written
	input        requestInput
}

// errTooManyFields ends a connection whose request has too many header fields. net/http answers it with status 400.
var errTooManyFields = errors.New("httpserver: too many header fields")

// Read reads from the client. While the connection is to end, it reads only bytes that have already arrived.
func (c *conn) Read(b []byte) (int, error) {
	waitedSince, waited := c.inputWaitsSince()
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readArrived(b, err)
	}
	if n == 0 {
		return n, err
	}
	arrivedAt := c.server.clock.Now()
	if waited {
		arrivedAt = waitedSince
	}
	if !c.recordRead(b[:n], arrivedAt) {
		return 0, errTooManyFields
	}
	return n, err
}

// inputWaitsSince returns since when input has waited to be read. ok is false if none does, or if it belongs to the body of
// a request or follows that.
func (c *conn) inputWaitsSince() (since clock.Micros, ok bool) {
	readAt, busy := c.lastRead()
	if busy || socket.Peek(c.Conn) != socket.Readable {
		return 0, false
	}
	waits, ok := socket.SinceLastArrival(c.Conn)
	// The system's clock need not be this one, so it is not trusted beyond what this one tells.
	return max(c.server.clock.Now()-clock.FromDuration(waits), readAt), ok
}

// lastRead returns when bytes were read last, and whether a request is being handled.
func (c *conn) lastRead() (at clock.Micros, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReadAt, c.busy
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
		c.ended = !c.busy // a request whose body does not come is answered
		return 0, timeout
	}
	c.interrupted = false
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b) // does not block
	_ = c.Conn.SetReadDeadline(c.deadline())
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

// recordRead records bytes that net/http has read, and when they had arrived. A connection that was to be closed for another
// client is kept for them. It returns false if the head of the request has too many fields.
func (c *conn) recordRead(b []byte, arrivedAt clock.Micros) bool {
	c.mu.Lock()
	keep := c.cutOff || c.evicted && !c.busy
	c.lastReadAt = c.server.clock.Now()
	c.inputAt = arrivedAt
	if !c.busy && !c.requestBegun {
		c.requestBegun = true
		c.awaitPart(c.server.opts.HeadTimeout)
	}
	if keep {
		c.evicted = false
		c.cutOff = false
	}
	c.updateReadDeadline()
	c.input.read(b)
	maxFields := c.server.opts.MaxHeaderFields
	ok := c.busy || maxFields == 0 || c.input.headLines <= maxFields
	c.mu.Unlock()
	if keep {
		c.server.notify() // another connection may have to be evicted
	}
	return ok
}

// awaitPart sets the time by which more of the request must arrive; 0 sets no limit. The caller holds mu.
func (c *conn) awaitPart(timeout time.Duration) {
	c.partDeadline = time.Time{}
	if timeout > 0 {
		c.partDeadline = time.Now().Add(timeout)
	}
	if !c.interrupted {
		_ = c.Conn.SetReadDeadline(c.deadline()) // fails only on a closed connection, whose reads fail too
	}
}

// deadline returns the deadline of reads while the connection need not end. The caller holds mu.
func (c *conn) deadline() time.Time {
	if c.partDeadline.IsZero() || !c.readDeadline.IsZero() && c.readDeadline.Before(c.partDeadline) {
		return c.readDeadline
	}
	return c.partDeadline
}

// setReadingBody records that the handler begins or ends a read of the body. More of it must arrive in time.
func (c *conn) setReadingBody(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody = reading
	c.cutOff = false
	timeout := time.Duration(0)
	if reading {
		c.lastReadAt = c.server.clock.Now()
		timeout = c.server.opts.StallTimeout
	}
	c.awaitPart(timeout)
	c.updateReadDeadline()
}

// waitsSince returns since when the connection has waited for more of a request whose beginning has been read. ok is false
// if it does not wait for that.
func (c *conn) waitsSince() (since clock.Micros, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReadAt, !c.ended && !c.cutOff && (c.readingBody || c.requestBegun && !c.busy)
}

// cut makes a connection end that waits for more of a request, unless more has arrived.
func (c *conn) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutOff = true
	c.updateReadDeadline()
}

// mustEnd reports whether the connection ends unless bytes have arrived. The caller holds mu.
func (c *conn) mustEnd() bool {
	if c.cutOff {
		return true
	}
	if c.busy {
		return c.readingBody && c.mode >= endIncomplete
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
	deadline := c.deadline()
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
	return c.Conn.SetReadDeadline(c.deadline())
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
	timeout := time.Duration(0)
	if c.busy && !busy {
		c.input.endRequest()
		if c.input.pipelined {
			timeout = c.server.opts.HeadTimeout // part of the next request may have been read
		}
	}
	c.busy = busy
	c.requestBegun = false
	c.evicted = false
	c.cutOff = false
	c.input.headLines = 0
	c.awaitPart(timeout)
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

// CloseWrite closes the sending side. net/http calls it before it closes a connection whose input it has not read.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn lets package socket inspect the connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// beginArrival records the arrival of a request whose head has been read. A head that was read together with an earlier request
// has arrived with that.
func (c *conn) beginArrival() {
	now := c.server.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrival = Arrival{At: min(now, c.inputAt)}
}

// awaitTurn makes a client wait that has had many free answers. In a drain nobody waits, as requests that were read must be
// answered before its end.
func (c *conn) awaitTurn() {
	if c.pace == nil {
		return
	}
	for !c.isDraining() {
		delay := c.pace.BeginWait(c.server.clock.Now())
		if delay == 0 {
			return
		}
		c.arrival.Delayed = true
		time.Sleep(delay)
		c.pace.EndWait()
	}
}

func (c *conn) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode >= endAnswered
}

// CountFreeAnswer records that the request of a context, with the given size in bytes, is answered without any work for it.
// A client that gets many such answers is made to wait before its next request.
func CountFreeAnswer(ctx context.Context, kind pacing.Kind, requestBytes int) {
	nc, _ := ConnOf(ctx)
	if c, ok := nc.(*conn); ok && c.pace != nil {
		c.pace.CountFreeAnswer(c.server.clock.Now(), kind, requestBytes)
	}
}

// Arrival tells when a request has come.
type Arrival struct {
	At      clock.Micros // when its head had arrived, which may have waited to be read since
	Delayed bool         // its client was made to wait, as it got many free answers
}

// ArrivalOf returns the arrival of a context's request. ok is false if the request does not come from a Server.
func ArrivalOf(ctx context.Context) (a Arrival, ok bool) {
	nc, _ := ConnOf(ctx)
	c, ok := nc.(*conn)
	if !ok {
		return Arrival{}, false
	}
	return c.arrival, true
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
