// Package blockstore is the platform's protocol towards storage nodes: RESP2 on the net package.
package blockstore

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/pool"
)

// Command is what a client asked for. It passes on as it came, but for the time left.
type Command struct {
	Name, BlockID, RequestID []byte
	Params                   []Param // in the client's order
	Body                     []byte
	HasBody                  bool
}

// Param is one name=value of a command.
type Param struct{ Name, Value string }

// Client makes attempts at storage nodes.
type Client struct {
	pool  *pool.Pool
	clock *clock.Clock
	lim   *limits.Limits
}

// New returns a client on a pool.
func New(p *pool.Pool, c *clock.Clock, lim *limits.Limits) *Client {
	return &Client{pool: p, clock: c, lim: lim}
}

// Attempt makes one attempt. A break before the last byte was written proves that nothing ran; after it nothing is
// proven. Nothing is ever written twice.
func (c *Client) Attempt(ctx context.Context, a core.Attempt[*Command]) ([]byte, core.Outcome) {
	conn, out := c.pool.Acquire(ctx, a.Node.Addr, a.NotIdempotent, a.Deadline, a.MayStart)
	if conn == nil {
		return nil, out
	}
	stop := conn.InterruptOnDone(ctx)
	defer stop()
	sent := c.clock.Now()
	msg := a.Work.encode((a.Deadline - sent) / 1000)
	if n, err := conn.Write(msg); err != nil || n < len(msg) {
		c.pool.Discard(conn)
		return nil, core.SendIncomplete
	}
	rep, err := c.read(ctx, conn, a.Deadline)
	if err == nil && !rep.spoilt && stop() {
		c.pool.Put(conn)
	} else {
		c.pool.Discard(conn) // also gives the attempt up at the node
	}
	switch {
	case err == nil:
		return rep.value, rep.outcome()
	case ctx.Err() != nil:
		return nil, core.OutcomeOf(ctx)
	case errors.Is(err, errSyntax): // nothing against the node, whose other connections are sound
		return nil, core.MalformedResponse
	}
	if timedOut(err) {
		c.pool.RecordTimeout(a.Node.Addr, sent)
		return nil, core.TimedOut
	}
	return nil, core.ConnectionLost
}

// read waits for an answer and reads it. What begins but does not come to its end is spoilt and not late: a line
// without an end or a length that does not fit would otherwise hold the attempt for all of its time, and then count
// against the node as silence.
func (c *Client) read(ctx context.Context, conn *pool.Conn, deadline int64) (reply, error) {
	if _, err := conn.Reader.Peek(1); err != nil {
		return reply{}, err
	}
	conn.SetReadDeadline(time.Now().Add(clock.Duration(min(c.lim.ResponseCompletionTimeout, deadline-c.clock.Now()))))
	if ctx.Err() != nil { // its own deadline may just have been overwritten
		return reply{}, ctx.Err()
	}
	rep, err := readReply(conn.Reader, c.lim.MaxValueBytes)
	if timedOut(err) {
		err = errSyntax
	}
	return rep, err
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// encode writes the command with d set to the milliseconds that the broker will wait.
func (c *Command) encode(d int64) []byte {
	d = max(d, 1)
	params := make([]byte, 0, 160)
	for i, p := range c.Params {
		if i > 0 {
			params = append(params, ',')
		}
		params = append(append(params, p.Name...), '=')
		if p.Name == "d" {
			params = strconv.AppendInt(params, d, 10)
		} else {
			params = append(params, p.Value...)
		}
	}
	words := [][]byte{c.Name, c.BlockID, c.RequestID, params}
	if c.HasBody {
		words = append(words, c.Body)
	}
	out := make([]byte, 0, 256+len(c.Body))
	out = append(strconv.AppendInt(append(out, '*'), int64(len(words)), 10), "\r\n"...)
	for _, w := range words {
		out = append(strconv.AppendInt(append(out, '$'), int64(len(w)), 10), "\r\n"...)
		out = append(append(out, w...), "\r\n"...)
	}
	return out
}
