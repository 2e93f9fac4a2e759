package manager

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/httpserver"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
	drainTimeout      = time.Second // for the responses to calls in progress when the manager stops
)

// Serve serves calls on the listener and runs the manager until ctx is done. Then it ends long polls and answers the
// other calls that have been read, for at most drainTimeout. It returns early if the journal can no longer be written or
// the listener fails.
func (m *Manager) Serve(ctx context.Context, listener net.Listener) error {
	serveCtx, stop := context.WithCancel(ctx)
	defer stop()
	server := httpserver.New(&http.Server{
		Handler:           m.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(m.log.Handler(), slog.LevelWarn),
		BaseContext:       func(net.Listener) context.Context { return serveCtx }, // ends long polls
	}, httpserver.Options{
		HeadTimeout:     readHeaderTimeout,
		StallTimeout:    httpserver.DefaultStallTimeout,
		MaxHeaderFields: httpserver.DefaultMaxHeaderFields,
	}, clock.New())
	served := make(chan error, 1)
	go func() { served <- server.ServeUntil(serveCtx, listener, drainTimeout) }()
	ran := make(chan error, 1)
	go func() { ran <- m.Run(serveCtx) }()
	select {
	case err := <-served:
		stop()
		if err = errors.Join(err, <-ran); err != nil {
			return fmt.Errorf("manager: %w", err)
		}
		return nil
	case err := <-ran:
		stop()
		if serveErr := <-served; err == nil {
			err = serveErr
		}
		return err
	}
}
