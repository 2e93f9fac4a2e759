package manager

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
)

// Serve serves calls on the listener and runs the manager until ctx is done. It returns early if the journal can no
// longer be written or the listener fails.
func (m *Manager) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           m.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(m.log.Handler(), slog.LevelWarn),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	ran := make(chan error, 1)
	go func() { ran <- m.Run(runCtx) }()
	select {
	case err := <-served:
		stop()
		return fmt.Errorf("manager: %w", errors.Join(err, <-ran))
	case err := <-ran:
		_ = server.Close() // closes connections; server.Serve returns the error of the listener
		if serveErr := <-served; !errors.Is(serveErr, http.ErrServerClosed) && err == nil {
			err = serveErr
		}
		return err
	}
}
