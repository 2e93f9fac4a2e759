package server

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/control"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/nodes/membership"
)

// membershipTick is how often the timers of the membership are checked.
const membershipTick = 100 * time.Millisecond

// liveState is the state of a broker that can change while it runs. Some settings are changed by a reload of the
// configuration and by the control endpoint, which takes precedence. Nodes are changed by discovery, node lists in
// files and operators. liveState is the control.Broker of the control endpoint.
type liveState struct {
	log       *slog.Logger
	level     *slog.LevelVar
	limiter   *core.ConcurrencyLimiter
	discovery *discovery.Client
	recording *recording

	// mu guards the fields below. It is held while node changes are passed to the endpoint table and the decision
	// module, so that both get them in the order in which they were merged.
	mu         sync.Mutex
	configured spec.LiveSettings
	overrides  spec.LiveSettings // set by the control endpoint; zero fields override nothing
	nodes      nodeSet
}

func newLiveState(b *broker) *liveState {
	s := &liveState{
		log:       b.log,
		level:     &slog.LevelVar{},
		limiter:   b.limiter,
		discovery: b.discovery,
		recording: b.recording,
		configured: spec.LiveSettings{
			LogLevel:    b.cfg.LogLevel,
			Discovery:   b.cfg.DiscoveryAddr,
			MaxInFlight: b.cfg.Limits.MaxInFlight,
		},
		nodes: newNodeSet(b),
	}
	if b.reloader != nil {
		s.level = b.reloader.Level
	}
	if s.nodes.hasMembership() || b.cfg.Record != nil {
		b.discovery.OnEndpoints(s.updateFromDiscovery)
	}
	return s
}

// start publishes the nodes known at the start, from the initial list of discovery and from node lists in files. It
// returns the node lists, or nil if none are configured.
func (s *liveState) start(cfg *config.Config, initial []core.Node) *nodeLists {
	if !s.nodes.hasMembership() {
		s.updateFromDiscovery(initial, true)
		return nil
	}
	s.mu.Lock()
	s.nodes.mergeDiscovery(initial, true)
	s.mu.Unlock()
	var lists *nodeLists
	if cfg.Nodes != nil {
		lists = newNodeLists(cfg.Nodes.Files, s, s.log)
		if complete := lists.readAtStart(); !complete && cfg.Nodes.Mode == "limit" {
			s.log.Error("nodes: a list cannot be read, only nodes of the other lists are used", "files", cfg.Nodes.Files)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes.publishInitial(cfg)
	return lists
}

// updateFromDiscovery applies discovery's endpoint list, or its changes if full is false.
func (s *liveState) updateFromDiscovery(nodes []core.Node, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.nodes.hasMembership() {
		s.nodes.publish(nodes, full)
		return
	}
	// Published even if nothing has changed: the decision module resets its backoff at every update from discovery.
	s.nodes.publish(s.nodes.coreNodes(s.nodes.mergeDiscovery(nodes, full)), false)
}

// runMembershipTimers checks the timers of the membership periodically until ctx is done.
func (s *liveState) runMembershipTimers(ctx context.Context) {
	ticker := time.NewTicker(membershipTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		s.nodes.publishChanges(s.nodes.members.Tick(s.nodes.clock.Now()))
		s.mu.Unlock()
	}
}

// reload applies the settings of a reloaded configuration.
func (s *liveState) reload(discoveryAddr, logLevel string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configured.Discovery = discoveryAddr
	s.configured.LogLevel = logLevel
	s.applySettings()
}

// effective returns the configured settings with the overrides applied. The caller holds mu.
func (s *liveState) effective() spec.LiveSettings {
	v := s.configured
	if s.overrides.LogLevel != "" {
		v.LogLevel = s.overrides.LogLevel
	}
	if s.overrides.Discovery != "" {
		v.Discovery = s.overrides.Discovery
	}
	if s.overrides.MaxInFlight != 0 {
		v.MaxInFlight = s.overrides.MaxInFlight
	}
	return v
}

// applySettings applies the effective settings. The caller holds mu.
func (s *liveState) applySettings() {
	v := s.effective()
	s.discovery.SetAddress(v.Discovery)
	_ = s.level.UnmarshalText([]byte(v.LogLevel)) // valid: both sources have been checked
	s.limiter.SetLimit(v.MaxInFlight)
}

// Check returns an error that names the invalid field of a change, or nil.
func (s *liveState) Check(v spec.LiveSettings, nodes []spec.NodeOverride) error {
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
		return &spec.FieldError{Field: "live.max_open", Problem: fmt.Sprintf("%d is negative", v.MaxInFlight)}
	}
	seen := map[string]bool{}
	for i, n := range nodes {
		field := fmt.Sprintf("nodes[%d]", i)
		if err := n.Validate(); err != nil {
			return fmt.Errorf("%s: %w", field, err)
		}
		if seen[n.ID] {
			return &spec.FieldError{Field: field, Problem: n.ID + " is there twice"}
		}
		seen[n.ID] = true
	}
	return nil
}

// Apply applies a checked change and returns the settings and nodes that it altered.
func (s *liveState) Apply(v spec.LiveSettings, nodes []spec.NodeOverride) []control.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.effective()
	s.overrides = v
	s.applySettings()
	effects := settingEffects(before, s.effective())
	changed := s.nodes.coreNodes(s.nodes.mergeOperators(nodes))
	for _, n := range changed {
		old, known := s.nodes.endpoints.Get(n.ID)
		effects = append(effects, control.Effect{
			Setting:  "node " + n.ID,
			OldValue: nodeEffectState(old, known),
			NewValue: nodeEffectState(n, n.State != decision.Removed),
		})
	}
	if len(changed) > 0 {
		s.nodes.publish(changed, false)
	}
	return effects
}

// settingEffects returns the settings that differ.
func settingEffects(before, after spec.LiveSettings) (effects []control.Effect) {
	for _, e := range []control.Effect{
		{Setting: "log", OldValue: before.LogLevel, NewValue: after.LogLevel},
		{Setting: "discovery", OldValue: before.Discovery, NewValue: after.Discovery},
		{Setting: "max_open", OldValue: strconv.Itoa(before.MaxInFlight), NewValue: strconv.Itoa(after.MaxInFlight)},
	} {
		if e.OldValue != e.NewValue {
			effects = append(effects, e)
		}
	}
	return effects
}

// nodeEffectState returns the name of a node's state in the effects of a change.
func nodeEffectState(n core.Node, known bool) string {
	switch {
	case !known:
		return "out"
	case n.State == decision.Draining:
		return "draining"
	}
	return "up"
}

// FillState implements control.Broker.
func (s *liveState) FillState(st *control.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Stats = s.recording.stats()
	st.Live = s.effective()
	st.EndpointListRevision = s.discovery.Revision()
	st.NodeCount = s.nodes.endpoints.Len()
	st.InFlight = s.limiter.InFlight()
}

// nodesExplanation is the response to GET /v1/nodes without a node id.
type nodesExplanation struct {
	Epoch        uint64                   `json:"epoch"`
	HeldRemovals []string                 `json:"held,omitempty"`
	HeldReason   string                   `json:"why,omitempty"`
	Nodes        []membership.Explanation `json:"nodes"`
}

// explainNodes explains which sources the state of a node comes from; if id is empty, it explains all nodes.
func (s *liveState) explainNodes(id string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := s.nodes.members
	if id != "" {
		return members.Explain(id)
	}
	held, reason := members.HeldRemovals(membership.Files)
	out := nodesExplanation{
		Epoch:        members.Epoch(),
		HeldRemovals: held,
		HeldReason:   reason,
		Nodes:        []membership.Explanation{},
	}
	for _, m := range members.Members() {
		out.Nodes = append(out.Nodes, members.Explain(m.ID))
	}
	return out
}

// acceptRemovals applies the removals that the membership holds back and returns the number of nodes that changed.
func (s *liveState) acceptRemovals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.nodes.members.AcceptRemovals(membership.Files, s.nodes.clock.Now())
	if len(changed) > 0 {
		s.log.Info("nodes: held removals accepted by an operator", "changed", len(changed))
		s.nodes.publishChanges(changed)
	}
	return len(changed)
}
