package server

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"strconv"
	"sync"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/control"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/nodes/membership"
	"poppyarch/internal/nodes/routing"
	"poppyarch/internal/timing/clock"
)

// live is what a running broker takes up: from its configuration at a hangup, and from the control endpoint, which
// stands over it. Without an endpoint it only passes on.
type live struct {
	table  *core.EndpointTable
	facade *dispatcher.Dispatcher
	watch  *discovery.Client
	gate   *core.ConcurrencyLimiter
	level  *slog.LevelVar
	hook   func(string)
	rec    *recording

	mu   sync.Mutex
	file spec.LiveSettings // as the configuration has it
	over spec.LiveSettings // as the control endpoint has it
	all  *membership.Set   // nil: discovery's word goes through as it is
	part *routing.Subset   // nil: all nodes are used
	said [3]int64          // words of each source so far: their versions here
	zone []string
	log  *slog.Logger
	time *clock.Clock
}

func newLive(cfg *config.Config, table *core.EndpointTable, f *dispatcher.Dispatcher, w *discovery.Client, g *core.ConcurrencyLimiter, r *Reloader, c *clock.Clock,
	log *slog.Logger) *live {
	l := &live{zone: cfg.Zones, log: log, time: c, table: table, facade: f, watch: w, gate: g, level: &slog.LevelVar{},
		file: spec.LiveSettings{LogLevel: cfg.LogLevel, Discovery: cfg.DiscoveryAddr, MaxInFlight: cfg.Limits.MaxInFlight}}
	if r != nil {
		l.level, l.hook = r.Level, r.ControlHook
	}
	if cfg.Control != nil || cfg.Nodes != nil {
		l.all = membership.New(cfg.Nodes.MembershipOptions(cfg.Policy.SlowStartDuration), c.Now())
		if cfg.Nodes != nil && cfg.Nodes.Subset > 0 {
			l.part = routing.NewSubset(cfg.Name, cfg.Nodes.Subset)
		}
	}
	if l.all != nil || cfg.Record != nil {
		w.OnEndpoints(l.list)
	}
	return l
}

// list takes in discovery's list. Its order with the operators' changes is that of the lock: what stands for a node
// must reach the table and the module in the order in which it was decided.
func (l *live) list(nodes []core.Node, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all != nil {
		// Told on even where nothing has changed: the module counts from discovery's last word.
		nodes, full = l.merged(l.fromDiscovery(nodes, full)), false
	}
	l.pass(nodes, full)
}

func (l *live) pass(nodes []core.Node, full bool) {
	l.rec.list(l.table, nodes, full, l.watch.Revision())
	l.table.Update(nodes, full) // first: what the module decides next is checked against it
	l.facade.UpdateEndpoints(discovery.DecisionEndpoints(nodes), full)
}

// reload takes up what a hangup brought.
func (l *live) reload(discovery, level string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.file.Discovery, l.file.LogLevel = discovery, level
	l.enforce()
}

// inForce is the configuration's word where the endpoint has none.
func (l *live) inForce() spec.LiveSettings {
	v := l.file
	if l.over.LogLevel != "" {
		v.LogLevel = l.over.LogLevel
	}
	if l.over.Discovery != "" {
		v.Discovery = l.over.Discovery
	}
	if l.over.MaxInFlight != 0 {
		v.MaxInFlight = l.over.MaxInFlight
	}
	return v
}

func (l *live) enforce() {
	v := l.inForce()
	l.watch.SetAddress(v.Discovery)
	l.level.UnmarshalText([]byte(v.LogLevel)) // checked before
	l.gate.SetLimit(v.MaxInFlight)
}

// Check reports what cannot be taken up.
func (l *live) Check(v spec.LiveSettings, nodes []spec.NodeOverride) error {
	var level slog.Level
	if v.LogLevel != "" {
		if err := level.UnmarshalText([]byte(v.LogLevel)); err != nil {
			return fmt.Errorf("live.log: %w", err)
		}
	}
	if v.Discovery != "" {
		if err := config.CheckAddress(v.Discovery); err != nil {
			return fmt.Errorf("live.discovery: %w", err)
		}
	}
	if v.MaxInFlight < 0 {
		return fmt.Errorf("live.max_open: %d is negative", v.MaxInFlight)
	}
	seen := map[string]bool{}
	for i, n := range nodes {
		if err := n.Validate(); err != nil {
			return fmt.Errorf("nodes[%d]: %w", i, err)
		}
		if seen[n.ID] {
			return fmt.Errorf("nodes[%d]: %s is there twice", i, n.ID)
		}
		seen[n.ID] = true
	}
	return nil
}

// Apply takes a checked change up.
func (l *live) Apply(v spec.LiveSettings, nodes []spec.NodeOverride) (did []control.Effect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.inForce()
	l.over = v
	now := l.inForce()
	l.enforce()
	for _, e := range []control.Effect{
		{Setting: "log", OldValue: was.LogLevel, NewValue: now.LogLevel},
		{Setting: "discovery", OldValue: was.Discovery, NewValue: now.Discovery},
		{Setting: "max_open", OldValue: strconv.Itoa(was.MaxInFlight), NewValue: strconv.Itoa(now.MaxInFlight)},
	} {
		if e.OldValue != e.NewValue {
			did = append(did, e)
		}
	}
	changed := l.merged(l.fromOperators(nodes))
	for _, n := range changed {
		old, ok := l.table.Get(n.ID)
		did = append(did, control.Effect{Setting: "node " + n.ID, OldValue: nodeState(old, ok), NewValue: nodeState(n, n.State != decision.Removed)})
	}
	if len(changed) > 0 {
		l.pass(changed, false)
	}
	return did
}

func nodeState(n core.Node, known bool) string {
	switch {
	case !known:
		return "out"
	case n.State == decision.Draining:
		return "draining"
	}
	return "up"
}

// FillState fills in what is in force.
func (l *live) FillState(st *control.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st.Stats = l.rec.figures()
	st.Live, st.EndpointListRevision, st.NodeCount, st.InFlight = l.inForce(), l.watch.Revision(), l.table.Len(), l.gate.InFlight()
}

// newBoot names a boot.
func newBoot() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// control serves the endpoint until ctx is done. end, called at the start of a drain, has it take no more changes.
func (l *live) control(ctx context.Context, cfg *config.Config, behind *sync.WaitGroup, log *slog.Logger) (end func(), err error) {
	id := newBoot()
	if l.rec != nil {
		id = l.rec.id // the boot has one name, here and in its records
	}
	ln, err := control.Listen(cfg.Control.Listen)
	if err != nil {
		return nil, fmt.Errorf("control.listen: %w", err)
	}
	s := control.NewServer(cfg.Name, id, cfg.Control.StartDigest, l, log)
	s.SetHook(l.hook)
	l.rec.control(s)
	s.HandleNodes(l.explain, l.accept)
	log.Info("control: listening", "addr", cfg.Control.Listen)
	behind.Go(func() {
		if err := s.Serve(ctx, ln); err != nil {
			log.Error("control: ended", "err", err)
		}
	})
	return s.Drain, nil
}
