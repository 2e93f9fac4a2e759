// Package objectstore sends attempts to object servers. An attempt is one HTTP/1.1 exchange on a connection of the
// broker's own pool. The package does not use the Transport of net/http, which resends requests by itself.
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

// Client sends attempts to object servers.
type Client struct {
	pool  *pool.Pool
	clock *clock.Clock
	lim   *limits.Limits
}

// New returns a client that takes its connections from a pool.
func New(p *pool.Pool, c *clock.Clock, lim *limits.Limits) *Client {
	return &Client{pool: p, clock: c, lim: lim}
}

// Attempt makes one attempt. The request is written once. If the outcome is not Served, the response may be nil or
// incomplete, and only its fields Streamed and Truncated are meaningful.
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
		c.pool.Discard(conn) // closing the connection aborts the attempt at the node
	}
	if err == nil {
		return resp, outcomeOfStatus(resp.Status, a.NotIdempotent)
	}
	return resp, c.outcomeOfError(ctx, a.Node.ObjectAddr, sentAt, err)
}

// send writes a request. If it returns an error, the last byte of the request was not sent, and nothing was executed.
func send(conn *pool.Conn, request *wireRequest, host string) error {
	encoded, err := request.encode(host)
	if err != nil {
		return err
	}
	_, err = conn.Write(encoded)
	return err
}

// outcomeOfStatus returns the outcome of an attempt with a complete response. A result that the server has decided on,
// success or error, counts as Served, as does 501 (not implemented); other server errors count as NodeError. A busy
// server rejects a request before executing it, but this is not relied upon for requests that are not idempotent.
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

// outcomeOfError returns the outcome of an attempt whose response could not be read.
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
