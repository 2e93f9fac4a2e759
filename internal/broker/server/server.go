// Package server builds a broker from its configuration, runs it until its context is done and drains it.
//
// Run starts the goroutines of a broker and returns when all of them have ended. The background goroutines (decisions,
// discovery, connection pools, node lists, reload, control endpoint) outlive the frontends, which need them during the
// drain. The recorder is started first and closed last.
package server

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/backend/objectstore"
	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/broker/memory"
	"poppyarch/internal/frontend/block"
	"poppyarch/internal/frontend/object"
	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/pacing"
	"poppyarch/internal/transport/pool"
)

// clientReportInterval is how often the frontends log what was done to clients.
const clientReportInterval = 10 * time.Second

// Run serves until ctx is done and then drains: new connections are accepted for a short time, idle ones are closed,
// and every accepted request is answered. reloader may be nil.
func Run(ctx context.Context, cfg *config.Config, listen ListenFunc, reloader *Reloader, log *slog.Logger) error {
	b := &broker{
		cfg:       cfg,
		reloader:  reloader,
		log:       log,
		clock:     clock.New(),
		endpoints: core.NewEndpointTable(),
		limiter:   core.NewConcurrencyLimiter(cfg.Limits.MaxInFlight),
	}
	var err error
	if b.recording, err = startRecording(cfg, b.clock, b.limiter, b.endpoints, log); err != nil {
		return err
	}
	defer b.recording.close()
	if err := b.assemble(); err != nil {
		return err
	}

	// The background goroutines are stopped once the frontends have drained.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer b.background.Wait()
	defer stop()
	b.startBackground(background)
	if cfg.Control != nil {
		rejectChanges, err := b.startControl(background)
		if err != nil {
			return err
		}
		b.onDrain(ctx, background, rejectChanges)
	}
	frontends := b.startFrontends(background)
	b.onDrain(ctx, background, func() { b.recording.note(record.KindDrain, "draining") })
	if err := serve(ctx, clock.Duration(cfg.Limits.DrainTotalTime), frontends, listen, log); err != nil {
		return err
	}
	b.recording.note(record.KindStop, "stopped")
	return nil
}

// broker holds the components of a running broker.
type broker struct {
	cfg        *config.Config
	reloader   *Reloader // nil if the configuration is never reloaded
	log        *slog.Logger
	clock      *clock.Clock
	endpoints  *core.EndpointTable
	limiter    *core.ConcurrencyLimiter
	recording  *recording // nil if nothing is recorded
	dispatcher *dispatcher.Dispatcher
	discovery  *discovery.Client
	state      *liveState
	nodeLists  *nodeLists     // nil if there are no node lists in files
	background sync.WaitGroup // the goroutines that outlive the frontends
}

// assemble creates the dispatcher, the discovery client and the live state, and publishes the initial nodes. It starts
// no goroutine.
func (b *broker) assemble() (err error) {
	b.dispatcher, err = dispatcher.New(b.cfg.Policy, func(text string) {
		b.log.Info("module: " + text)
		b.recording.recordDecisionLog(text)
	})
	if err != nil {
		return err
	}
	initial, err := b.cfg.InitialList.Nodes(b.cfg.Zones)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	b.discovery = discovery.New(b.cfg.DiscoveryAddr, b.cfg.InitialList.Revision, b.cfg.Zones, b.endpoints, b.dispatcher,
		&b.cfg.Limits, b.log)
	b.state = newLiveState(b)
	b.recording.observeDiscovery(b.discovery)
	b.nodeLists = b.state.start(b.cfg, initial)
	return nil
}

// startBackground starts the goroutines that run until ctx is done.
func (b *broker) startBackground(ctx context.Context) {
	b.background.Go(func() { core.RunDecisions(ctx, b.dispatcher, b.clock) })
	b.background.Go(func() { b.discovery.Run(ctx) })
	if b.reloader != nil {
		b.background.Go(func() { b.reloader.run(ctx, b.cfg, b.state, b.log) })
	}
	if b.state.nodes.hasMembership() {
		b.background.Go(func() { b.state.runMembershipTimers(ctx) })
	}
	if b.nodeLists != nil {
		b.background.Go(func() { b.nodeLists.run(ctx) })
	}
}

// onDrain runs f when ctx is done, which starts the drain, unless the broker ends first.
func (b *broker) onDrain(ctx, background context.Context, f func()) {
	b.background.Go(func() {
		select {
		case <-ctx.Done():
		case <-background.Done():
		}
		if ctx.Err() != nil {
			f()
		}
	})
}

// startFrontends creates the frontends, keyed by address, and starts their connection pools.
func (b *broker) startFrontends(ctx context.Context) map[string]frontend {
	// If both frontends are on, each gets half of the descriptors, so that neither starves the other.
	limits := &b.cfg.Limits
	clientConns, nodeConns := limits.ClientConns, limits.NodeConns
	if b.cfg.Listen != "" && b.cfg.Object != nil {
		clientConns /= 2
		nodeConns /= 2
	}
	budget := memory.NewBudget(limits.MaxTotalBodyBytes)
	pacer := pacing.NewLimiter(limits.Clients.FreeAnswersPerSecond, limits.Clients.FreeAnswerBurst)
	frontends := map[string]frontend{}
	if b.cfg.Listen != "" {
		backend := blockstore.New(b.startPool(ctx, nodeConns), b.clock, limits)
		requests := core.NewBroker(b.dispatcher, b.endpoints, b.limiter, backend, b.clock, limits)
		requests.SetRecorder(b.recording.requests())
		schema := block.NewSchema(&b.cfg.Policy, b.cfg.Shards, limits)
		f := block.New(requests, schema, block.Options{MaxConns: clientConns, Memory: budget, Pacing: pacer}, b.clock, limits, b.log)
		b.background.Go(func() { f.Report(ctx, clientReportInterval) })
		frontends[b.cfg.Listen] = f
	}
	if b.cfg.Object != nil {
		backend := objectstore.New(b.startPool(ctx, nodeConns), b.clock, limits)
		requests := core.NewBroker(b.dispatcher, b.endpoints, b.limiter, backend, b.clock, limits)
		requests.SetRecorder(b.recording.requests())
		f := object.New(requests, b.cfg, object.Options{MaxConns: clientConns, Memory: budget, Pacing: pacer}, b.clock, b.log)
		b.background.Go(func() { f.Report(ctx, clientReportInterval) })
		frontends[b.cfg.Object.Listen] = f
	}
	return frontends
}

// startPool starts a connection pool for one frontend. Frontends cannot share one: their connections use different
// protocols.
func (b *broker) startPool(ctx context.Context, conns int) *pool.Pool {
	p := pool.New(&b.cfg.Limits, conns, b.clock)
	b.background.Go(func() { p.Run(ctx) })
	return p
}
