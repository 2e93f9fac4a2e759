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

// listener keeps the number of client connections within a limit. At the limit it closes the connection that has been
// idle for longest to accept a new one, so that idle clients cannot block others.
type listener struct {
	net.Listener
	clock               *clock.Clock
	maxConns            int
	firstRequestTimeout clock.Micros // time after which a connection that has sent no request counts as idle

	mu      sync.Mutex
	changed *sync.Cond // signals that a connection has ended or changed its state, or that the listener is closed
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

func newListener(ln net.Listener, maxConns int, firstRequestTimeout clock.Micros, c *clock.Clock) *listener {
	l := &listener{
		Listener:            ln,
		clock:               c,
		maxConns:            maxConns,
		firstRequestTimeout: firstRequestTimeout,
		conns:               map[*conn]struct{}{},
	}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Accept returns the next client once there is a slot for its connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.freeSlot() {
		_ = nc.Close() // the connection was not used
		return nil, net.ErrClosed
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &conn{Conn: nc, listener: l, stateSince: l.clock.Now()}
	l.conns[c] = struct{}{}
	return c, nil
}

// freeSlot waits until there is a slot for another connection. It returns false if the listener is closed meanwhile.
func (l *listener) freeSlot() bool {
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

// longestIdle returns the connection that has been idle for longest, or nil if all are busy. A connection with unread
// input is about to carry a request and does not count as idle. The caller holds mu.
func (l *listener) longestIdle() *conn {
	var longest *conn
	now := l.clock.Now()
	for c := range l.conns {
		unused := c.state == http.StateNew && now >= c.stateSince+l.firstRequestTimeout
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

// Close closes the listener and ends a wait in freeSlot.
func (l *listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.changed.Broadcast()
	return l.Listener.Close()
}

// recordConnState records the state of a connection. The HTTP server calls it on each change of the state.
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

// clientDisconnected returns a function that reports whether a request's client has disconnected, or nil if the
// connection is not known. The HTTP server itself detects a disconnect only after it has read the request's body, and
// not if more input follows the body.
func clientDisconnected(ctx context.Context) func() bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	return func() bool { return socket.PeerClosed(c) }
}
