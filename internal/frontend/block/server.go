// Package block serves the platform's block protocol to clients: RESP2 commands, read by redcon.
package block

import (
	"context"
	"log/slog"
	"net"
	"sync"

	"github.com/tidwall/redcon"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

// Broker carries out requests. Handle returns each request's one final response.
type Broker interface {
	Handle(ctx context.Context, r core.Request[*blockstore.Command]) core.Response[[]byte]
}

// Server serves clients.
//
// redcon calls its handler on the connection's own goroutine. A handler that waited there for a response could neither
// notice that the client disconnects nor start pipelined commands. So the first command detaches the connection from
// redcon's loop, and the handler serves it to its end; see conn.
type Server struct {
	broker   Broker
	schema   *Schema
	clock    *clock.Clock
	lim      *limits.Limits
	log      *slog.Logger
	conns    connTable
	inFlight inFlight
	drain    drainState

	mu       sync.Mutex
	listener net.Listener // nil before Serve
}

// New returns a server for at most maxConns clients at once.
func New(b Broker, schema *Schema, maxConns int, c *clock.Clock, lim *limits.Limits, log *slog.Logger) *Server {
	evictAbove := maxConns - maxConns/8
	maxRequesting := evictAbove
	if lim.ClientIdleConns > 0 {
		maxRequesting = min(maxRequesting, lim.ClientIdleConns)
	}
	s := &Server{
		broker: b,
		schema: schema,
		clock:  c,
		lim:    lim,
		log:    log,
		conns: connTable{
			clock:         c,
			log:           log,
			maxConns:      maxConns,
			evictAbove:    evictAbove,
			maxRequesting: maxRequesting,
			freed:         make(chan struct{}, 1),
			conns:         map[*conn]struct{}{},
		},
		inFlight: inFlight{maxBytes: lim.MaxBodyBytes, ids: map[string]struct{}{}},
		drain:    drainState{done: make(chan struct{})},
	}
	s.drain.base, s.drain.expire = context.WithCancelCause(context.Background())
	return s
}

// Serve accepts clients until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.listener = ln
	s.mu.Unlock()
	return redcon.Serve(&listener{Listener: ln, server: s}, handle, nil, handleClosed)
}

// handle serves a connection from its first command to its end.
func handle(rc redcon.Conn, first redcon.Command) {
	c := rc.NetConn().(*conn)
	c.serve(first, rc.Detach())
}

// handleClosed is called by redcon once it is done with a connection.
func handleClosed(rc redcon.Conn, _ error) {
	c, ok := rc.NetConn().(*conn)
	if !ok {
		return
	}
	_ = c.Close() // it may be closed already
	c.server.conns.remove(c)
}
