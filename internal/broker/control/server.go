package control

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/httpserver"
)

// Broker is the running broker that a Server controls.
type Broker interface {
	// Check returns an error that names the invalid field of a change, or nil.
	Check(spec.LiveSettings, []spec.NodeOverride) error
	// Apply applies a checked change and returns the settings that it altered.
	Apply(spec.LiveSettings, []spec.NodeOverride) []Effect
	// FillState sets the endpoint list revision, the node count, the requests in flight, the settings in force and the
	// statistics.
	FillState(*State)
}

// Points at which the hook is called while a change is handled.
const (
	PointAdmitted = "admitted" // before the change is applied
	PointRecorded = "recorded" // after the outcome was recorded, before the response is sent
)

// maxCommands is the number of outcomes that the ledger keeps.
const maxCommands = 256

// Server is the control endpoint of one incarnation. The methods that set callbacks are called before Serve.
type Server struct {
	broker      Broker
	log         *slog.Logger
	name        string
	startDigest string
	startedAt   time.Time
	callbacks   callbacks

	mu            sync.Mutex // guards the fields below and serializes changes
	ledger        *Ledger
	fleetRevision uint64
	draining      bool
}

// callbacks are the optional functions of a Server. A nil hook or onChange is not called; a path that needs another one
// that is nil responds with 404.
type callbacks struct {
	hook           func(point string)
	onChange       func(*Change, *Outcome)
	records        func() []byte
	explainNodes   func(id string) any
	acceptRemovals func() int
}

// NewServer returns the endpoint of an incarnation that holds revision 0. startDigest is the digest of the start
// settings, from the configuration.
func NewServer(name, incarnation, startDigest string, b Broker, log *slog.Logger) *Server {
	return &Server{
		broker:      b,
		log:         log,
		name:        name,
		startDigest: startDigest,
		startedAt:   time.Now(),
		ledger:      NewLedger(incarnation, maxCommands),
	}
}

// SetHook sets a function that is called at PointAdmitted and PointRecorded of an admitted change. Tests stop the
// process there.
func (s *Server) SetHook(f func(point string)) { s.callbacks.hook = f }

// OnChange sets a function that is called with every change and its outcome.
func (s *Server) OnChange(f func(*Change, *Outcome)) { s.callbacks.onChange = f }

// HandleNodes sets the functions that serve GET /v1/nodes and POST /v1/nodes/accept. explain is called with the id of
// one node or with "" for all; acceptRemovals returns the number of nodes that changed.
func (s *Server) HandleNodes(explain func(id string) any, acceptRemovals func() int) {
	s.callbacks.explainNodes = explain
	s.callbacks.acceptRemovals = acceptRemovals
}

// HandleRecords sets the function that serves GET /v1/records. It returns the records that the broker keeps in memory.
func (s *Server) HandleRecords(f func() []byte) { s.callbacks.records = f }

// Drain rejects all changes from now on.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// State returns the response to GET /v1/state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := State{
		Name:            s.name,
		Incarnation:     s.ledger.Incarnation(),
		PID:             os.Getpid(),
		StartDigest:     s.startDigest,
		AppliedRevision: s.ledger.AppliedRevision(),
		FleetRevision:   s.fleetRevision,
		FencingToken:    s.ledger.Token(),
		StartedAt:       s.startedAt,
		Draining:        s.draining,
	}
	s.broker.FillState(&st)
	return st
}

// Change applies a change, or returns an outcome with the reason why it was not applied. Changes are handled one at a
// time.
func (s *Server) Change(c *Change) *Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.changeLocked(c)
	if s.callbacks.onChange != nil {
		s.callbacks.onChange(c, o)
	}
	return o
}

func (s *Server) changeLocked(c *Change) *Outcome {
	if s.draining {
		return s.ledger.reject(CodeDraining, "the broker is draining")
	}
	if o := s.ledger.Admit(c); o != nil {
		s.log.Warn("control: change not applied", "id", c.ID, "code", o.Code, "reason", o.Reason, "repeated", o.Repeated)
		return o
	}
	s.reach(PointAdmitted)
	var effects []Effect
	err := s.broker.Check(c.Live, c.NodeOverrides)
	if err == nil {
		effects = s.broker.Apply(c.Live, c.NodeOverrides)
		s.fleetRevision = c.FleetRevision
	}
	o := s.ledger.Record(c, effects, err)
	s.reach(PointRecorded)
	if err != nil {
		s.log.Error("control: change rejected", "id", c.ID, "revision", c.Revision, "reason", err)
	} else {
		s.log.Info("control: change applied", "id", c.ID, "revision", c.Revision, "effects", len(effects))
	}
	return o
}

func (s *Server) reach(point string) {
	if s.callbacks.hook != nil {
		s.callbacks.hook(point)
	}
}

// Bounds of one HTTP connection.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	writeTimeout      = 10 * time.Second
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 16 << 10
	drainTimeout      = time.Second // for the responses to requests in progress when the endpoint ends
)

// Serve serves the endpoint on ln until ctx is done; it then closes ln, answers the requests that have been read, for at
// most drainTimeout, and closes all connections.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	srv := httpserver.New(&http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelWarn),
	}, httpserver.Options{
		HeadTimeout:     readHeaderTimeout,
		StallTimeout:    httpserver.DefaultStallTimeout,
		MaxHeaderFields: httpserver.DefaultMaxHeaderFields,
	}, clock.New())
	if err := srv.ServeUntil(ctx, ln, drainTimeout); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}
