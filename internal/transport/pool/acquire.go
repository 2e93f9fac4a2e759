package pool

import (
	"context"
	"errors"
	"net"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

// Acquire returns a connection for one attempt, with the attempt's deadline set, or nil and the attempt's outcome. In
// that case nothing was sent. With fresh the connection is one that has certainly not broken unnoticed, as work needs
// that is not idempotent: if it is written to a stale connection, which then breaks, nobody knows whether it was
// executed. mayStart is called once the connection is established, since its node may have begun to drain meanwhile.
func (p *Pool) Acquire(ctx context.Context, addr string, fresh bool, deadline clock.Micros, mayStart func() bool) (*Conn, core.Outcome) {
	timeout := deadline - p.clock.Now()
	if ctx.Err() != nil || timeout <= 0 {
		return nil, core.NotAttempted
	}
	connectCtx, cancel := context.WithTimeout(ctx, clock.Duration(timeout))
	defer cancel()
	c, err := p.getOrWait(connectCtx, addr, fresh)
	if err != nil {
		if errors.Is(err, ErrExhausted) || ctx.Err() != nil {
			return nil, core.NotAttempted // does not count against the node
		}
		return nil, core.ConnectFailed
	}
	timeout = deadline - p.clock.Now()
	if !mayStart() || timeout <= 0 {
		p.Put(c)
		return nil, core.NotAttempted
	}
	_ = c.SetDeadline(time.Now().Add(clock.Duration(timeout))) // a broken connection fails when it is written to
	return c, core.Served
}

// getOrWait is get, but if all connections are in use it waits for one, for as long as a connection may take to be
// established. There may be far fewer connections than nodes, and each is returned after one response.
func (p *Pool) getOrWait(ctx context.Context, addr string, fresh bool) (*Conn, error) {
	c, err := p.get(ctx, addr, fresh)
	if !errors.Is(err, ErrExhausted) {
		return c, err
	}
	timeout := time.NewTimer(clock.Duration(p.lim.ConnectTimeout)) // of waiting; dialling has its own
	defer timeout.Stop()
	for errors.Is(err, ErrExhausted) {
		select {
		case <-p.freed:
			c, err = p.get(ctx, addr, fresh)
		case <-timeout.C:
			return nil, ErrExhausted
		case <-ctx.Done():
			return nil, ErrExhausted
		}
	}
	return c, err
}

// get returns an idle connection that is still usable, or else a new one. It returns ErrExhausted if all connections are
// in use, or the error of dialling.
func (p *Pool) get(ctx context.Context, addr string, fresh bool) (*Conn, error) {
	for {
		c := p.takeIdle(addr, fresh)
		if c == nil {
			break
		}
		if socket.Peek(c.Conn) == socket.Empty {
			return c, nil
		}
		p.Discard(c) // closed by the node, or with input that belongs to no request
	}
	if !p.reserveSlot() {
		return nil, ErrExhausted
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(p.lim.ConnectTimeout))
	defer cancel()
	nc, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	return newConn(nc, addr), nil
}

// dialer returns the function that dials nodes. Keep-alive is off: a machine that is gone does not answer it either, and
// attempts have deadlines.
func dialer() func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{KeepAlive: -1}
	return d.DialContext
}
