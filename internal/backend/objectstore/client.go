// Package objectstore makes attempts at object servers: one HTTP/1.1 exchange on a connection of the broker's own pool.
// It does not use the Transport of net/http, which resends requests by itself.
package objectstore

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/pool"
	"poppyarch/internal/transport/socket"
)

// Client makes attempts at object servers.
type Client struct {
	pool  *pool.Pool
	clock *clock.Clock
	lim   *limits.Limits
}

// New returns a client that uses the connections of a pool.
func New(p *pool.Pool, c *clock.Clock, lim *limits.Limits) *Client {
	return &Client{pool: p, clock: c, lim: lim}
}

// Attempt makes one attempt: one exchange, whose request is written once. With an outcome other than Served there may be
// an incomplete response, of which only Streamed and Truncated matter.
func (c *Client) Attempt(ctx context.Context, a core.Attempt[*Request]) (*Response, core.Outcome) {
	conn, outcome := c.pool.Acquire(ctx, a.Node.ObjectAddr, a.NotIdempotent, a.Deadline, a.MayStart)
	if conn == nil {
		return nil, outcome
	}
	stopInterrupt := conn.InterruptOnDone(ctx)
	defer stopInterrupt()
	request := a.Work.wireRequest()
	sentAt := c.clock.Now()
	if err := send(conn, &request, a.Node.ObjectAddr); err != nil {
		c.pool.Discard(conn)
		return nil, core.SendIncomplete
	}
	resp, reusable, err := c.readResponse(ctx, conn, &a)
	if err == nil && reusable && stopInterrupt() {
		c.pool.Put(conn)
	} else {
		c.pool.Discard(conn) // which aborts the attempt at the node
	}
	if err == nil {
		return resp, outcomeOfStatus(resp.Status, a.NotIdempotent)
	}
	return resp, c.outcomeOfError(ctx, a.Node.ObjectAddr, sentAt, err)
}

// send writes a request. After an error its last byte was not sent, so that nothing was executed.
func send(conn *pool.Conn, request *wireRequest, host string) error {
	encoded, err := request.encode(host)
	if err != nil {
		return err
	}
	_, err = conn.Write(encoded)
	return err
}

// outcomeOfStatus is the outcome of an attempt with a complete response. Whatever the server has decided, success or
// error, is a response; what it was unable to do is a node error. A server that is busy says so before it executes
// anything, but for requests that are not idempotent that is not relied upon.
func outcomeOfStatus(status int, notIdempotent bool) core.Outcome {
	busy := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch {
	case busy && !notIdempotent:
		return core.Rejected
	case busy, status >= 500 && status != http.StatusNotImplemented:
		return core.NodeError
	}
	return core.Served
}

// outcomeOfError is the outcome of an attempt whose response could not be read.
func (c *Client) outcomeOfError(ctx context.Context, addr string, sentAt clock.Micros, err error) core.Outcome {
	if ctx.Err() != nil {
		return core.OutcomeOf(ctx)
	}
	var netErr net.Error
	switch {
	case errors.Is(err, errVersionChanged), errors.Is(err, errResponseTooLong):
		return core.NodeError
	case socket.IsTimeout(err):
		c.pool.RecordTimeout(addr, sentAt)
		return core.TimedOut
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return core.ConnectionLost
	}
	return core.MalformedResponse
}
