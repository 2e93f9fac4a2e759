// Package object serves the object API to clients over HTTP: objects, ranges of objects and multipart uploads, as in
// S3. It keeps no state between requests: an upload is kept by a storage node, whose shard the upload id contains.
package object

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"poppyarch/internal/backend/objectstore"
	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/broker/memory"
	"poppyarch/internal/frontend/clientstats"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/pacing"
	"poppyarch/internal/transport/httpserver"
	"poppyarch/internal/transport/socket"
)

// healthPath is the path of health checks, which are answered without a request to the broker.
const healthPath = "/_health"

// Broker executes requests. Handle returns the single, final response to a request.
type Broker interface {
	Handle(ctx context.Context, r core.Request[*objectstore.Request]) core.Response[*objectstore.Response]
}

// Server serves the object API.
type Server struct {
	broker Broker
	cfg    *config.Config
	clock  *clock.Clock
	lim    *limits.Limits
	log    *slog.Logger
	http   *httpserver.Server
	stats  clientstats.Counters

	memory *memory.Budget
	lastID atomic.Uint64 // last number used in a request id

	drainDeadline clock.AtomicMicros // when all requests must have been answered; 0 before the drain
	base          context.Context    // done at the drain deadline
	expire        context.CancelFunc
}

// Options are what the clients of a server may take up.
type Options struct {
	MaxConns int             // simultaneous clients
	Memory   *memory.Budget  // for what clients make the process hold
	Pacing   *pacing.Limiter // of free answers
}

// New returns a server.
func New(b Broker, cfg *config.Config, o Options, c *clock.Clock, log *slog.Logger) *Server {
	s := &Server{
		broker: b,
		cfg:    cfg,
		memory: o.Memory,
		clock:  c,
		lim:    &cfg.Limits,
		log:    log,
	}
	s.base, s.expire = context.WithCancel(context.Background())
	s.http = httpserver.New(&http.Server{
		Handler:           s,
		MaxHeaderBytes:    s.lim.MaxHeaderBytes,
		ReadHeaderTimeout: clock.Duration(s.lim.Clients.ObjectReceiveTimeout),
		IdleTimeout:       clock.Duration(s.lim.ObjectIdleTimeout),
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}, httpserver.Options{
		MaxConns:        o.MaxConns,
		HeadTimeout:     clock.Duration(s.lim.Clients.ObjectReceiveTimeout),
		StallTimeout:    clock.Duration(s.lim.Clients.ObjectReceiveTimeout),
		MaxHeaderFields: s.lim.Clients.MaxHeaderFields,
		Pacing:          o.Pacing,
		UnusedTimeout:   s.lim.ClientStallTimeout / 4,
		LingerTimeout:   clock.Duration(s.lim.ClientLingerTimeout),
		DeliveryTimeout: clock.Duration(s.lim.ClientWriteTimeout),
	}, c)
	return s
}

// Report logs what was done to clients every interval until ctx is done, if there is anything to tell.
func (s *Server) Report(ctx context.Context, interval time.Duration) {
	s.stats.Report(ctx, interval, s.log.With("frontend", "object"), func() []any {
		return []any{"conns", s.http.ConnCount(), "client_bytes", s.memory.Used()}
	})
}

// Serve accepts clients until the listener fails or Drain is called. After Drain it returns nil.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Drain shuts the server down gracefully. It continues to accept clients for Limits.DrainAcceptTime, then closes idle
// connections, and returns when all requests have been answered. A request that has been read is always answered, also
// the first one of its connection. Requests whose response has not begun are answered within Limits.DrainResponseTime
// of the call, because the process may be killed after that; those that have not arrived completely by then end with
// their connections. If ctx is done earlier, all connections are closed and its error is returned.
func (s *Server) Drain(ctx context.Context) error {
	s.drainDeadline.Store(s.clock.Now() + s.lim.DrainResponseTime)
	expiry := time.AfterFunc(clock.Duration(s.lim.DrainResponseTime), func() {
		s.expire()
		s.http.ExpireIncomplete()
	})
	defer expiry.Stop()
	s.http.AnnounceDrain()
	select {
	case <-time.After(clock.Duration(s.lim.DrainAcceptTime)):
	case <-ctx.Done():
	}
	return s.http.Drain(ctx)
}

// drainDeadlinePassed reports whether the drain deadline has passed, after which no request is executed.
func (s *Server) drainDeadlinePassed() bool {
	deadline := s.drainDeadline.Load()
	return deadline > 0 && s.clock.Now() >= deadline
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := s.newExchange(w, r)
	w.Header().Set("X-Amz-Request-Id", x.id)
	if r.URL.Path == healthPath {
		w.Header().Set("Content-Type", "text/plain")
		httpserver.CountFreeAnswer(r.Context(), pacing.NoRequest, 0)
		_, _ = io.WriteString(w, "ok\n") // a client that has disconnected needs no reply
		return
	}
	defer func() { s.memory.Release(x.reserved) }()
	err := x.serve()
	if err == nil {
		return
	}
	if x.responseStarted.Load() {
		panic(http.ErrAbortHandler) // the aborted connection tells the client that the body is incomplete
	}
	s.countError(x, err)
	httpserver.CountFreeAnswer(r.Context(), freeAnswerKind(err), x.headBytes+len(x.body))
	x.setWriteTimeout(s.lim.ClientWriteTimeout)
	writeError(w, r, x.id, err)
}

// clientDisconnected returns a function that reports whether a request's client has disconnected, or nil if the
// connection is not known. The HTTP server itself detects a disconnect only after it has read the request's body, and
// not if more input follows the body. If much of that is unread, the client counts as disconnected.
func clientDisconnected(ctx context.Context) func() bool {
	c, ok := httpserver.ConnOf(ctx)
	if !ok {
		return nil
	}
	return func() bool { return socket.MayHaveEnded(c) }
}

// newExchange returns the exchange for a request. Its time counts from its arrival, which may be long before it was read.
func (s *Server) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	now := s.clock.Now()
	receivedAt := now
	if arrival, ok := httpserver.ArrivalOf(r.Context()); ok {
		receivedAt = arrival.At
		s.stats.RecordUnread(now - receivedAt)
		if arrival.Delayed {
			s.stats.Count(clientstats.Delayed)
		}
	}
	return &exchange{
		server:     s,
		w:          w,
		r:          r,
		control:    http.NewResponseController(w),
		id:         fmt.Sprintf("%s-%x-%d", s.cfg.Name, uint64(now), s.lastID.Add(1)),
		receivedAt: receivedAt,
	}
}

// countError counts and logs a request that is answered with an error of this server's own.
func (s *Server) countError(x *exchange, err error) {
	event, ok := eventOf(err)
	if !ok {
		return
	}
	s.stats.Count(event)
	if s.log.Enabled(context.Background(), slog.LevelDebug) {
		s.log.Debug("client event", "event", event.String(), "client", x.r.RemoteAddr, "request", x.id)
	}
}

// freeAnswerKind returns the kind of the answer to a request that has ended with an error. An error of the client's own is
// one to no sound request; others are due to the load, to nodes or to the client's deadline.
func freeAnswerKind(err error) pacing.Kind {
	var api *apiError
	if errors.As(err, &api) && (api.status < http.StatusInternalServerError || api.status == http.StatusNotImplemented) {
		return pacing.NoRequest
	}
	return pacing.Rejection
}

// eventOf returns what an error does to a client. ok is false for the errors of storage nodes and of the decision module.
func eventOf(err error) (event clientstats.Event, ok bool) {
	var api *apiError
	switch {
	case errors.Is(err, errBodyStalled):
		return clientstats.ClosedStalled, true
	case errors.Is(err, errNoMemory):
		return clientstats.RejectedMemory, true
	case errors.Is(err, errDraining):
		return clientstats.RejectedDraining, true
	case errors.Is(err, errExpired):
		return clientstats.RejectedExpired, true
	case errors.As(err, &api) && api.status < http.StatusInternalServerError:
		return clientstats.RejectedUnsound, true
	}
	return 0, false
}
