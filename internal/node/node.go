// Package node is the platform's protocol towards storage nodes: RESP2 on the net package.
package node

import (
	"context"
	"strconv"
	"strings"

	"poppyarch/internal/clock"
	"poppyarch/internal/core"
	"poppyarch/internal/limits"
	"poppyarch/internal/pool"
)

// Command is what a client asked for. It passes on as it came, but for the time left.
type Command struct {
	Name, Piece, ID []byte
	Params          []Param // in the client's order
	Body            []byte
	HasBody         bool
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

// Do makes one attempt. A break before the last byte was written proves that nothing ran; after it nothing is
// proven. Nothing is ever written twice.
func (c *Client) Do(ctx context.Context, a core.Attempt[*Command]) ([]byte, core.Outcome) {
	conn, out := c.pool.Lend(ctx, a.Node.Addr, a.Unsafe, a.Deadline, a.Open)
	if conn == nil {
		return nil, out
	}
	stop := conn.EndWith(ctx)
	defer stop()
	msg := a.Work.encode((a.Deadline - c.clock.Now()) / 1000)
	if n, err := conn.Write(msg); err != nil || n < len(msg) {
		c.pool.Drop(conn)
		c.pool.Quiet(a.Node.Addr)
		return nil, core.NoConnection
	}
	rep, err := readReply(conn.R, c.lim.MaxValue)
	if err != nil || !stop() {
		c.pool.Drop(conn) // also gives the attempt up at the node
		if err == nil {
			return c.judge(rep)
		}
		if ctx.Err() != nil {
			return nil, core.Cancelled
		}
		c.pool.Quiet(a.Node.Addr)
		if ne, ok := err.(interface{ Timeout() bool }); ok && ne.Timeout() {
			return nil, core.TimedOut
		}
		return nil, core.ConnectionLost
	}
	c.pool.Put(conn)
	return c.judge(rep)
}

// judge names the outcome that a whole reply means.
func (c *Client) judge(r reply) ([]byte, core.Outcome) {
	switch {
	case r.served:
		return r.value, core.Served
	case r.err == "BUSY" || strings.HasPrefix(r.err, "BUSY "):
		return nil, core.TurnedAway
	}
	return nil, core.NodeError
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
	words := [][]byte{c.Name, c.Piece, c.ID, params}
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
