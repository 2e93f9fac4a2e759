package object

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

// listener keeps the number of client connections within a bound. Where it is met, the next client takes the place of the
// one that has been idle for longest: clients that connect and rest must not keep all others out.
type listener struct {
	net.Listener
	max   int
	quiet int64 // a connection without a request is idle after so long, in microseconds
	clock *clock.Clock

	mu     sync.Mutex
	change *sync.Cond // a connection has gone or become idle, or the listener is closed
	conns  map[*conn]struct{}
	closed bool
}

// conn is one client connection.
type conn struct {
	net.Conn
	owner *listener
	state http.ConnState // guarded by the listener's mu, as since
	since int64
}

func newListener(ln net.Listener, max int, quiet int64, c *clock.Clock) *listener {
	l := &listener{Listener: ln, max: max, quiet: quiet, clock: c, conns: map[*conn]struct{}{}}
	l.change = sync.NewCond(&l.mu)
	return l
}

// Accept returns the next client once there is room for it.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.makeRoom() {
		c.Close()
		return nil, net.ErrClosed
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := &conn{Conn: c, owner: l, since: l.clock.Now()}
	l.conns[k] = struct{}{}
	return k, nil
}

// makeRoom waits until one more connection fits. It reports false where the listener is closed meanwhile.
func (l *listener) makeRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.max && !l.closed {
		idle := l.longestIdle()
		if idle == nil {
			l.change.Wait()
			continue
		}
		delete(l.conns, idle)
		idle.Conn.Close()
	}
	return !l.closed
}

// longestIdle is the connection that has been without a request for longest; nil: none. One on which something has come is
// about to be read and not idle. The caller holds mu.
func (l *listener) longestIdle() (idle *conn) {
	now := l.clock.Now()
	for c := range l.conns {
		rests := c.state == http.StateIdle || c.state == http.StateNew && now >= c.since+l.quiet
		if rests && (idle == nil || c.since < idle.since) && socket.Peek(c.Conn) != socket.Readable {
			idle = c
		}
	}
	return idle
}

// Close closes the listener and ends a wait for room.
func (l *listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.change.Broadcast()
	return l.Listener.Close()
}

// connState follows a connection's states, as the server tells them.
func connState(c net.Conn, state http.ConnState) {
	k, ok := c.(*conn)
	if !ok {
		return
	}
	l := k.owner
	l.mu.Lock()
	k.state, k.since = state, l.clock.Now()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(l.conns, k)
	}
	l.mu.Unlock()
	l.change.Broadcast()
}

// SyscallConn lets package socket look at the connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

type connKey struct{}

// withConn keeps a request's connection in its context.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// clientLeft returns a look at whether a request's client has gone; nil where its connection is not known. The server
// notices by itself only once it has read a request's body, and not where more has come behind it.
func clientLeft(ctx context.Context) func() bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	return func() bool { return socket.PeerClosed(c) }
}
