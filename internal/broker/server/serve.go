package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"
)

// ListenFunc opens a listening socket.
type ListenFunc func(ctx context.Context, addr string) (net.Listener, error)

// frontend accepts client connections of one protocol.
type frontend interface {
	Serve(net.Listener) error
	Drain(context.Context) error
}

// serve runs the frontends, keyed by address, until ctx is done or one fails, and then drains them for at most drainTime.
// It returns when their goroutines have ended, with the error of the frontend that failed.
func serve(ctx context.Context, drainTime time.Duration, frontends map[string]frontend, listen ListenFunc,
	log *slog.Logger) error {
	listeners := map[string]net.Listener{}
	var serving sync.WaitGroup
	failed := make(chan error, len(frontends))
	defer serving.Wait()
	defer func() {
		for _, ln := range listeners {
			_ = ln.Close() // a drained frontend has closed its own
		}
	}()
	// No frontend serves before all listen: a request that one had read would be lost if another could not listen.
	for addr := range frontends {
		ln, err := listen(ctx, addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		listeners[addr] = ln
	}
	for addr, ln := range listeners {
		serving.Go(func() {
			if err := frontends[addr].Serve(ln); err != nil && !errors.Is(err, net.ErrClosed) {
				failed <- err
			}
		})
		log.Info("serving", "addr", ln.Addr().String())
	}
	var serveErr error
	select {
	case <-ctx.Done():
	case err := <-failed:
		serveErr = fmt.Errorf("serve: %w", err)
		log.Error("a frontend failed, draining all", "err", err)
	}
	log.Info("draining")
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTime)
	defer cancel()
	drain(drainCtx, frontends, log)
	log.Info("stopped")
	return serveErr
}

// drain drains all frontends concurrently and waits until they have drained.
func drain(ctx context.Context, frontends map[string]frontend, log *slog.Logger) {
	var draining sync.WaitGroup
	for addr, f := range frontends {
		draining.Go(func() {
			if err := f.Drain(ctx); err != nil {
				log.Error("drain: ended with requests not answered", "addr", addr, "err", err)
			}
		})
	}
	draining.Wait()
}
