// Package blockstore sends attempts to storage nodes in the platform's block protocol, which is RESP2 over TCP.
package blockstore

import (
	"context"
	"errors"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/pool"
	"poppyarch/internal/transport/socket"
)

// Client sends attempts to storage nodes.
type Client struct {
	pool  *pool.Pool
	clock *clock.Clock
	lim   *limits.Limits
}

// New returns a client that takes its connections from a pool.
func New(p *pool.Pool, c *clock.Clock, lim *limits.Limits) *Client {
	return &Client{pool: p, clock: c, lim: lim}
}

// Attempt makes one attempt and returns the value if the outcome is Served. The command is written once. If the
// connection breaks before the last byte of the command is written, nothing was executed; if it breaks later, it is not
// known whether the command was executed.
func (c *Client) Attempt(ctx context.Context, a core.Attempt[*Command]) ([]byte, core.Outcome) {
	conn, outcome := c.pool.Acquire(ctx, a.Node.Addr, a.NotIdempotent, a.Deadline, a.MayStart)
	if conn == nil {
		return nil, outcome
	}
	stopInterrupt := conn.InterruptOnDone(ctx)
	defer stopInterrupt()
	sentAt := c.clock.Now()
	if _, err := conn.Write(a.Work.encode(a.Deadline - sentAt)); err != nil {
		c.pool.Discard(conn)
		return nil, core.SendIncomplete
	}
	r, err := c.readReply(ctx, conn, a.Deadline)
	if err == nil && r.complete && stopInterrupt() {
		c.pool.Put(conn)
	} else {
		c.pool.Discard(conn) // closing the connection aborts the attempt at the node
	}
	if err == nil {
		return r.value, r.outcome()
	}
	return nil, c.outcomeOfError(ctx, a.Node.Addr, sentAt, err)
}

// outcomeOfError returns the outcome of an attempt whose reply could not be read.
func (c *Client) outcomeOfError(ctx context.Context, addr string, sentAt clock.Micros, err error) core.Outcome {
	switch {
	case ctx.Err() != nil:
		return core.OutcomeOf(ctx)
	case errors.Is(err, errMalformedReply): // no timeout is recorded: the node's other connections are not affected
		return core.MalformedResponse
	case socket.IsTimeout(err):
		c.pool.RecordTimeout(addr, sentAt)
		return core.TimedOut
	}
	return core.ConnectionLost
}

// readReply waits for a reply and reads it. A reply that is not complete within Limits.ResponseCompletionTimeout of its
// first byte is malformed and does not count as a timeout of the node: an unterminated line or a wrong length would
// otherwise delay the attempt until its deadline.
func (c *Client) readReply(ctx context.Context, conn *pool.Conn, deadline clock.Micros) (reply, error) {
	if _, err := conn.Reader.Peek(1); err != nil {
		return reply{}, err
	}
	timeout := min(c.lim.ResponseCompletionTimeout, deadline-c.clock.Now())
	_ = conn.SetReadDeadline(time.Now().Add(clock.Duration(timeout))) // a broken connection fails when it is read
	// The call above may have overwritten the deadline that InterruptOnDone sets.
	if ctx.Err() != nil {
		return reply{}, ctx.Err()
	}
	r, err := readReply(conn.Reader, c.lim.MaxValueBytes)
	if socket.IsTimeout(err) {
		return reply{}, errMalformedReply
	}
	return r, err
}
