// Package server puts one broker together and runs it until it is told to stop.
package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/backend/objectstore"
	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/frontend/block"
	"poppyarch/internal/frontend/object"
	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/pool"
)

// ListenFunc opens a listening socket.
type ListenFunc func(ctx context.Context, addr string) (net.Listener, error)

// front is what this package needs of either front.
type front interface {
	Serve(net.Listener) error
	Drain(context.Context) error
}

// Run serves until ctx is done, then drains: new connections are taken a while longer, idle ones are closed, all
// that was taken is answered. reload may be nil.
func Run(ctx context.Context, cfg *config.Config, listen ListenFunc, reload *Reloader, log *slog.Logger) error {
	lim := &cfg.Limits
	c := clock.New()
	table := core.NewEndpointTable()
	gate := core.NewConcurrencyLimiter(lim.MaxInFlight)
	rec, err := newRecording(cfg, c, gate, table, log)
	if err != nil {
		return err
	}
	defer rec.close()
	facade, err := dispatcher.New(cfg.Policy, func(text string) {
		log.Info("module: " + text)
		rec.module(text)
	})
	if err != nil {
		return err
	}
	known, err := cfg.InitialList.Nodes(cfg.Zones)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	watch := discovery.New(cfg.DiscoveryAddr, cfg.InitialList.Revision, cfg.Zones, table, facade, lim, log)
	l := newLive(cfg, table, facade, watch, gate, reload, c, log)
	l.rec = rec
	rec.discovery(watch)
	files, err := l.begin(cfg, known)
	if err != nil {
		return err
	}

	// What the fronts stand on outlives them: it stops when they have drained.
	back, stop := context.WithCancel(context.WithoutCancel(ctx))
	var behind sync.WaitGroup
	defer behind.Wait()
	defer stop()
	// With both fronts on, each has its half of the descriptors, so that neither starves the other.
	clients, nodes := lim.ClientConns, lim.NodeConns
	if cfg.Listen != "" && cfg.Object != nil {
		clients, nodes = clients/2, nodes/2
	}
	behind.Go(func() { core.RunDecisions(back, facade, c) })
	behind.Go(func() { watch.Run(back) })
	if reload != nil {
		behind.Go(func() { reload.run(back, cfg, l, log) })
	}
	if l.all != nil {
		behind.Go(func() { l.ticks(back) })
	}
	if files != nil {
		behind.Go(func() { files.run(back) })
	}
	if cfg.Control != nil {
		end, err := l.control(back, cfg, &behind, log)
		if err != nil {
			return err
		}
		defer context.AfterFunc(ctx, end)()
	}

	fronts := map[string]front{}
	if cfg.Listen != "" {
		conns := pool.New(lim, nodes, c)
		behind.Go(func() { conns.Run(back) })
		b := core.NewBroker(facade, table, gate, blockstore.New(conns, c, lim), c, lim)
		b.SetRecorder(rec.recorder())
		fronts[cfg.Listen] = block.New(b, block.NewSchema(&cfg.Policy, cfg.Shards, lim), clients, c, lim, log)
	}
	if cfg.Object != nil {
		conns := pool.New(lim, nodes, c) // a pool of its own: its connections speak HTTP
		behind.Go(func() { conns.Run(back) })
		b := core.NewBroker(facade, table, gate, objectstore.New(conns, c, lim), c, lim)
		b.SetRecorder(rec.recorder())
		fronts[cfg.Object.Listen] = object.New(b, cfg, clients, c, log)
	}
	defer context.AfterFunc(ctx, func() { rec.note(record.KindDrain, "", "draining", 0) })()
	err = run(ctx, cfg, fronts, listen, log)
	if err == nil {
		rec.note(record.KindStop, "", "stopped", 0)
	}
	return err
}

// run serves the fronts and drains them.
func run(ctx context.Context, cfg *config.Config, fronts map[string]front, listen ListenFunc, log *slog.Logger) error {
	var listeners []net.Listener
	var serving sync.WaitGroup
	failed := make(chan error, len(fronts))
	defer serving.Wait()
	closeAll := func() {
		for _, ln := range listeners {
			ln.Close()
		}
	}
	defer closeAll()
	for addr, f := range fronts {
		ln, err := listen(ctx, addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		listeners = append(listeners, ln)
		serving.Go(func() {
			if err := f.Serve(ln); err != nil && !errors.Is(err, net.ErrClosed) {
				failed <- err
			}
		})
		log.Info("serving", "addr", ln.Addr().String())
	}
	select {
	case <-ctx.Done():
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	}
	log.Info("draining")
	total, cancel := context.WithTimeout(context.WithoutCancel(ctx), clock.Duration(cfg.Limits.DrainTotalTime))
	defer cancel()
	var draining sync.WaitGroup
	for addr, f := range fronts {
		draining.Go(func() {
			if err := f.Drain(total); err != nil {
				log.Error("drain: not all was answered", "addr", addr, "err", err)
			}
		})
	}
	draining.Wait()
	log.Info("stopped")
	return nil
}
