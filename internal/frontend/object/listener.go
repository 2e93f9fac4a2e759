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

// listener keeps the number of client connections within a limit. At the limit a new client takes the place of the
// longest idle one, so that idle clients cannot keep others out.
type listener struct {
	net.Listener
	clock            *clock.Clock
	maxConns         int
	firstRequestTime clock.Micros // a connection that has sent no request is idle after this

	mu      sync.Mutex
	changed *sync.Cond // a connection has ended or changed its state, or the listener is closed
	conns   map[*conn]struct{}
	closed  bool
}

// conn is one client connection.
type conn struct {
	net.Conn
	listener *listener

	// Guarded by the listener's mu.
	state      http.ConnState
	stateSince clock.Micros
}

func newListener(ln net.Listener, maxConns int, firstRequestTime clock.Micros, c *clock.Clock) *listener {
	l := &listener{
		Listener:         ln,
		clock:            c,
		maxConns:         maxConns,
		firstRequestTime: firstRequestTime,
		conns:            map[*conn]struct{}{},
	}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Accept returns the next client once there is room for it.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.makeRoom() {
		_ = nc.Close() // it was not used
		return nil, net.ErrClosed
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &conn{Conn: nc, listener: l, stateSince: l.clock.Now()}
	l.conns[c] = struct{}{}
	return c, nil
}

// makeRoom waits until one more connection fits. It returns false if the listener is closed meanwhile.
func (l *listener) makeRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.maxConns && !l.closed {
		idle := l.longestIdle()
		if idle == nil {
			l.changed.Wait()
			continue
		}
		delete(l.conns, idle)
		_ = idle.Close() // the client may have closed it already
	}
	return !l.closed
}

// longestIdle is the connection that has been idle for longest; nil if all are busy. One with unread input is about to
// carry a request and not idle. The caller holds mu.
func (l *listener) longestIdle() *conn {
	var longest *conn
	now := l.clock.Now()
	for c := range l.conns {
		unused := c.state == http.StateNew && now >= c.stateSince+l.firstRequestTime
		if c.state != http.StateIdle && !unused {
			continue
		}
		if longest != nil && c.stateSince >= longest.stateSince {
			continue
		}
		if socket.Peek(c.Conn) != socket.Readable {
			longest = c
		}
	}
	return longest
}

// Close closes the listener and ends a wait for room.
func (l *listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.changed.Broadcast()
	return l.Listener.Close()
}

// recordConnState records a connection's state. The HTTP server calls it on each change.
func recordConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	l := c.listener
	l.mu.Lock()
	c.state = state
	c.stateSince = l.clock.Now()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(l.conns, c)
	}
	l.mu.Unlock()
	l.changed.Broadcast()
}

// SyscallConn lets package socket inspect the connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

type connKey struct{}

// withConn adds a request's connection to its context.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// clientGone returns a function that reports whether a request's client has disconnected; nil if its connection is not
// known. The HTTP server detects that only once it has read the request's body, and not if more input follows it.
func clientGone(ctx context.Context) func() bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	return func() bool { return socket.PeerClosed(c) }
}
