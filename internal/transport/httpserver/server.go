// Package httpserver serves HTTP/1.1 with net/http and ends connections without losing requests.
//
// net/http ends connections by its own view of which of them are idle. After Shutdown it reads the first request of a
// connection and closes the connection without calling the handler, and it closes a connection while the next request
// on it is being read. Server decides where the bytes are read instead: a connection ends only when it waits for a
// request of which nothing has arrived. What has been read is always passed to the handler and answered.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/pacing"
)

// Options for servers whose clients are programs of the same installation.
const (
	DefaultStallTimeout    = 5 * time.Second
	DefaultMaxHeaderFields = 128
)

// Options configure a Server. The zero value sets no limit.
type Options struct {
	// MaxConns limits the number of client connections; 0 means no limit. At the limit, the connection that has been
	// idle for longest is closed to accept a new one.
	MaxConns int
	// UnusedTimeout is the time after which a connection without a request counts as idle.
	UnusedTimeout clock.Micros
	// LingerTimeout is how long the close of a connection waits for its client to receive more of the last response, and
	// DeliveryTimeout how long in all.
	LingerTimeout   time.Duration
	DeliveryTimeout time.Duration
	// HeadTimeout is the time from the first byte of a request to the end of its head, and StallTimeout that between two
	// reads of its body.
	HeadTimeout  time.Duration
	StallTimeout time.Duration
	// MaxHeaderFields limits the lines of a request's head.
	MaxHeaderFields int
	// Pacing slows down clients for which CountFreeAnswer is called often; nil slows none down.
	Pacing *pacing.Limiter
}

// endMode tells which connections end, apart from those that are evicted. Each mode includes the ones before it.
type endMode uint8

const (
	endNone       endMode = iota
	endAnswered           // those whose client is told so by the response to its current request
	endIdle               // those that wait for a request of which nothing has arrived
	endIncomplete         // those whose next request, or the body of whose current one, has not arrived completely
)

// Server serves the clients of one listener. Its methods may be called by any goroutine.
type Server struct {
	http  *http.Server
	opts  Options
	clock *clock.Clock

	aborting atomic.Bool // connections are closed without a delay

	mu       sync.Mutex
	changed  *sync.Cond // signals that a connection has ended or changed its state, or that the server accepts no more
	conns    map[*conn]struct{}
	listener net.Listener // nil before Serve
	stopped  bool         // no more connections are accepted
	mode     endMode
}

// New returns a server that serves with srv. It sets the Handler, ConnContext and ConnState of srv.
func New(srv *http.Server, opts Options, c *clock.Clock) *Server {
	s := &Server{http: srv, opts: opts, clock: c, conns: map[*conn]struct{}{}}
	s.changed = sync.NewCond(&s.mu)
	srv.Handler = &handler{next: srv.Handler}
	srv.ConnContext = contextWithConn
	srv.ConnState = setConnState
	return s
}

// Serve accepts clients until Drain or Close is called, and then returns nil. It returns an error if the listener fails
// before that.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.listener = ln
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		_ = ln.Close() // nothing was accepted
		return nil
	}
	err := s.http.Serve(&listener{Listener: ln, server: s, noneWaitedAt: s.clock.Now()})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil
	}
	return err
}

// ServeUntil serves clients until ctx is done and then drains for at most drainTimeout. It returns an error if the
// listener fails before that.
func (s *Server) ServeUntil(ctx context.Context, ln net.Listener, drainTimeout time.Duration) error {
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	s.AnnounceDrain()
	_ = s.Drain(drainCtx) // after the time-out all connections are closed
	return <-served
}

// AnnounceDrain makes all following responses tell their clients that the connection ends, unless part of a further
// request has been read from it.
func (s *Server) AnnounceDrain() { s.endConns(endAnswered) }

// Drain stops accepting clients, ends each connection once its requests have been answered, and returns when no
// connection is left. A connection whose next request has arrived in part is kept until ExpireIncomplete is called. If
// ctx is done earlier, all connections are closed and its error is returned.
func (s *Server) Drain(ctx context.Context) error {
	s.stopAccepting()
	s.endConns(endIdle)
	stop := context.AfterFunc(ctx, s.notify)
	defer stop()
	s.mu.Lock()
	for len(s.conns) > 0 && ctx.Err() == nil {
		s.changed.Wait()
	}
	drained := len(s.conns) == 0
	s.mu.Unlock()
	if drained {
		return nil
	}
	s.Close()
	return ctx.Err()
}

// ExpireIncomplete ends the connections whose next request has not arrived completely, now and in future. Reads of a body of
// which nothing more has arrived fail with a time-out, and the handler answers the request.
func (s *Server) ExpireIncomplete() { s.endConns(endIncomplete) }

// ConnCount returns the number of connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close stops accepting clients and closes all connections, also those that carry a request.
func (s *Server) Close() {
	s.stopAccepting()
	s.aborting.Store(true)
	_ = s.http.Close() // fails only if the listener is closed already
}

// stopAccepting closes the listener and ends a wait in admit.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	s.stopped = true
	ln := s.listener
	s.mu.Unlock()
	s.changed.Broadcast()
	if ln != nil {
		_ = ln.Close() // it may be closed already
	}
}

// endConns makes the connections end as mode tells, unless a later mode is in force.
func (s *Server) endConns(mode endMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = max(s.mode, mode)
	for c := range s.conns {
		c.end(s.mode)
	}
}

// notify wakes those who wait for changed.
func (s *Server) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

// setConnState records the state of a connection. net/http calls it on each change of the state.
func setConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	c.setBusy(state == http.StateActive)
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	c.state = state
	c.stateSince = s.clock.Now()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
	}
	s.changed.Broadcast()
}
