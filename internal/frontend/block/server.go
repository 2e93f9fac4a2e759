// Package block serves the platform's block protocol to clients. Its commands are in RESP2 and are parsed by redcon.
package block

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/broker/memory"
	"poppyarch/internal/frontend/clientstats"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/pacing"
)

// Broker executes requests, those of ordered classes in the order of the calls of Submit. Submit does not wait for the
// single, final response to a request; Wait of its result does.
type Broker interface {
	Submit(r core.Request[*blockstore.Command]) core.Pending[[]byte]
}

// Server serves clients.
//
// Commands are parsed by redcon, one by one; see scanner for why its reader and its server are not used.
type Server struct {
	broker   Broker
	schema   *Schema
	clock    *clock.Clock
	lim      *limits.Limits
	log      *slog.Logger
	conns    connTable
	memory   *memory.Budget
	pacing   *pacing.Limiter
	inFlight *inFlight
	drain    drainState
	stats    clientstats.Counters

	mu       sync.Mutex
	listener net.Listener // nil before Serve
}

// Options are what the clients of a server may take up.
type Options struct {
	MaxConns int             // simultaneous clients
	Memory   *memory.Budget  // for what clients make the process hold
	Pacing   *pacing.Limiter // of free answers
}

// New returns a server.
func New(b Broker, schema *Schema, o Options, c *clock.Clock, lim *limits.Limits, log *slog.Logger) *Server {
	maxConns := o.MaxConns
	evictAbove := maxConns - maxConns/8
	maxRequestConns := evictAbove
	if lim.ClientIdleConns > 0 {
		maxRequestConns = min(maxRequestConns, lim.ClientIdleConns)
	}
	s := &Server{
		broker: b,
		schema: schema,
		clock:  c,
		lim:    lim,
		log:    log,
		conns: connTable{
			clock:           c,
			log:             log,
			maxConns:        maxConns,
			evictAbove:      evictAbove,
			maxRequestConns: maxRequestConns,
			freed:           make(chan struct{}, 1),
			conns:           map[*conn]struct{}{},
		},
		memory:   o.Memory,
		pacing:   o.Pacing,
		inFlight: newInFlight(lim.Clients.RequestIDRetention, lim.Clients.MaxRecentIDs),
		drain:    drainState{done: make(chan struct{})},
	}
	s.drain.base, s.drain.expire = context.WithCancelCause(context.Background())
	return s
}

// Report logs what was done to clients every interval until ctx is done, if there is anything to tell.
func (s *Server) Report(ctx context.Context, interval time.Duration) {
	s.stats.Report(ctx, interval, s.log.With("frontend", "block"), func() []any {
		return []any{"conns", s.conns.count(), "in_flight", s.inFlight.count(), "client_bytes", s.memory.Used()}
	})
}

// Serve accepts clients until the listener is closed, and returns when their connections have ended. Unless the server is
// draining, they are closed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.listener = ln
	s.mu.Unlock()
	l := &listener{Listener: ln, server: s, noneWaitedAt: s.clock.Now()}
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		c, err := l.accept()
		if err != nil {
			s.conns.closeAll()
			return err
		}
		serving.Go(func() { s.serveConn(c) })
	}
}

// serveConn serves a connection until it ends.
func (s *Server) serveConn(c *conn) {
	c.serve()
	_ = c.Close() // it may be closed already
	s.conns.remove(c)
}

// countEvent counts and logs what was done to a client or to its request, whose id is empty if it is not known.
func (s *Server) countEvent(c *conn, event clientstats.Event, requestID string) {
	s.stats.Count(event)
	if s.log.Enabled(context.Background(), slog.LevelDebug) {
		s.log.Debug("client event", "event", event.String(), "client", c.RemoteAddr().String(), "request", requestID)
	}
}
