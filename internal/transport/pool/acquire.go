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

// Acquire returns a connection for one attempt, with the attempt's deadline set. If it cannot, it returns nil and the
// attempt's outcome; nothing was sent then. fresh excludes connections that may have broken unnoticed. Work that is not
// idempotent requires this: if it is written to a stale connection, which then breaks, it is not known whether the work
// was executed. mayStart is called once the connection is established, because the node may have begun to drain
// meanwhile.
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

// getOrWait is like get, but if all connections are in use it waits for one for up to Limits.ConnectTimeout. This
// is worthwhile because there may be far fewer connections than nodes, and each is returned after one response.
func (p *Pool) getOrWait(ctx context.Context, addr string, fresh bool) (*Conn, error) {
	c, err := p.get(ctx, addr, fresh)
	if !errors.Is(err, ErrExhausted) {
		return c, err
	}
	timeout := time.NewTimer(clock.Duration(p.lim.ConnectTimeout)) // limits the wait; dialling has its own timeout
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

// get returns an idle connection that is still usable, or else a new one. The error is ErrExhausted if all connections
// are in use, or that of dialling.
func (p *Pool) get(ctx context.Context, addr string, fresh bool) (*Conn, error) {
	for {
		c := p.takeIdle(addr, fresh)
		if c == nil {
			break
		}
		if socket.Peek(c.Conn) == socket.Empty {
			return c, nil
		}
		p.Discard(c) // closed by the node, or it has input that belongs to no request
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

// dialer returns the function that dials nodes. TCP keep-alive is disabled: a crashed machine would not answer the
// probes either, and attempts have deadlines.
func dialer() func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{KeepAlive: -1}
	return d.DialContext
}
