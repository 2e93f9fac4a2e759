package server

import (
	"log/slog"
	"slices"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/nodes/membership"
	"poppyarch/internal/nodes/routing"
	"poppyarch/internal/timing/clock"
)

// nodeSet merges the sources of nodes and publishes the result to the endpoint table, the decision module and the
// recorder. The mutex of its liveState guards it.
type nodeSet struct {
	clock      *clock.Clock
	endpoints  *core.EndpointTable
	dispatcher *dispatcher.Dispatcher
	discovery  *discovery.Client
	recording  *recording
	log        *slog.Logger
	zones      []string // names, by zone number

	members  *membership.Set // nil if discovery is the only source of nodes
	subset   *routing.Subset // nil if all nodes are used
	versions [3]int64        // of the last update, by source
}

func newNodeSet(b *broker) nodeSet {
	s := nodeSet{
		clock:      b.clock,
		endpoints:  b.endpoints,
		dispatcher: b.dispatcher,
		discovery:  b.discovery,
		recording:  b.recording,
		log:        b.log,
		zones:      b.cfg.Zones,
	}
	if b.cfg.Control == nil && b.cfg.Nodes == nil {
		return s
	}
	s.members = membership.New(b.cfg.Nodes.MembershipOptions(b.cfg.Policy.SlowStartDuration), b.clock.Now())
	s.resetSubset(b.cfg)
	return s
}

// hasMembership reports whether there are sources of nodes besides discovery.
func (s *nodeSet) hasMembership() bool { return s.members != nil }

// resetSubset replaces the subset with an empty one, if the configuration limits the broker to a subset of the nodes.
func (s *nodeSet) resetSubset(cfg *config.Config) {
	if cfg.Nodes != nil && cfg.Nodes.Subset > 0 {
		s.subset = routing.NewSubset(cfg.Name, cfg.Nodes.Subset)
	}
}

// publishInitial publishes all members known at the start.
func (s *nodeSet) publishInitial(cfg *config.Config) {
	s.members.EndInitialSync()
	s.resetSubset(cfg) // so that the subset is chosen from all members at the same time
	s.publish(s.coreNodes(s.members.Members()), true)
}

// publish passes nodes to the recorder, the endpoint table and the decision module: the full list, or changes to it.
func (s *nodeSet) publish(nodes []core.Node, full bool) {
	s.recording.recordNodeChanges(s.endpoints, nodes, full, s.discovery.Revision())
	s.endpoints.Update(nodes, full) // before the module: its next decisions are checked against the table
	s.dispatcher.UpdateEndpoints(discovery.DecisionEndpoints(nodes), full)
}

// publishChanges publishes changes of the membership, if there are any.
func (s *nodeSet) publishChanges(changed []membership.Member) {
	s.logOutlived()
	if len(changed) > 0 {
		s.publish(s.coreNodes(changed), false)
	}
}

// nextVersion returns the version number for the next update from a source.
func (s *nodeSet) nextVersion(source membership.Source) int64 {
	s.versions[source]++
	return s.versions[source]
}

// mergeDiscovery merges discovery's list, or changes to it if full is false, and returns the members that changed.
func (s *nodeSet) mergeDiscovery(nodes []core.Node, full bool) []membership.Member {
	entries := make([]membership.Entry, 0, len(nodes))
	var removed []string
	for _, n := range nodes {
		if n.State == decision.Removed {
			removed = append(removed, n.ID)
			continue
		}
		e := membership.Entry{
			ID:         n.ID,
			Addr:       n.Addr,
			ObjectAddr: n.ObjectAddr,
			Shard:      n.Shard,
			Zone:       n.Zone,
			StartedAt:  n.StartedAt,
		}
		if n.State == decision.Draining {
			e.State = membership.Draining
		}
		entries = append(entries, e)
	}
	version := s.nextVersion(membership.Discovery)
	defer s.logOutlived()
	if full {
		return s.members.Replace(membership.Discovery, version, entries, s.clock.Now())
	}
	return s.members.Update(membership.Discovery, version, entries, removed, s.clock.Now())
}

// logOutlived logs the restrictions that have outlived the entries that made them.
func (s *nodeSet) logOutlived() {
	for _, o := range s.members.TakeOutlived() {
		s.log.Info("nodes: a restriction stays although its source no longer names the node", "node", o.ID,
			"source", o.Source.String(), "state", o.State.String())
	}
}

// mergeOperators replaces the operators' overrides and returns the members that changed.
func (s *nodeSet) mergeOperators(overrides []spec.NodeOverride) []membership.Member {
	entries := make([]membership.Entry, 0, len(overrides))
	for _, n := range overrides {
		e := membership.Entry{
			ID:         n.ID,
			Addr:       n.Addr,
			ObjectAddr: n.ObjectAddr,
			Shard:      n.Shard,
			Zone:       s.zoneNumber(n.Zone),
			Origin:     "fleet nodes",
		}
		switch n.State {
		case spec.NodeDraining:
			e.State = membership.Draining
		case spec.NodeRemoved:
			e.State = membership.OutOfService
		}
		entries = append(entries, e)
	}
	return s.members.Replace(membership.Operators, s.nextVersion(membership.Operators), entries, s.clock.Now())
}

// zoneNumber returns the number of a zone. An unknown zone is treated as the first one.
func (s *nodeSet) zoneNumber(name string) int { return max(slices.Index(s.zones, name), 0) }

// coreNodes converts changed members to nodes of package core. If the broker uses a subset, nodes outside it are left
// out, and the change of one node may add others to it.
func (s *nodeSet) coreNodes(changed []membership.Member) []core.Node {
	nodes := make([]core.Node, 0, len(changed))
	if s.subset != nil {
		changed = s.applySubset(changed)
	}
	medianCapacity := 0.0
	if slices.ContainsFunc(changed, func(m membership.Member) bool { return m.Capacity > 0 }) {
		medianCapacity = s.members.MedianCapacity()
	}
	for _, m := range changed {
		n := core.Node{
			ID:         m.ID,
			Addr:       m.Addr,
			ObjectAddr: m.ObjectAddr,
			Shard:      m.Shard,
			Zone:       m.Zone,
			StartedAt:  m.StartedAt,
		}
		if medianCapacity > 0 {
			n.Capacity = m.Capacity / medianCapacity
		}
		switch m.State {
		case membership.Draining:
			n.State = decision.Draining
		case membership.OutOfService:
			n.State = decision.Removed
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// applySubset updates the subset of nodes that this broker uses and returns the changes to publish. A changed node that
// is draining or out of service is always included, and another node takes its place in the subset.
func (s *nodeSet) applySubset(changed []membership.Member) (out []membership.Member) {
	var up []routing.ShardNode
	var unavailable []string
	listed := map[string]bool{}
	for _, m := range changed {
		listed[m.ID] = true
		if m.State == membership.Up {
			up = append(up, routing.ShardNode{Node: routing.Node{ID: m.ID, Weight: m.Capacity}, Shard: m.Shard})
		} else {
			unavailable = append(unavailable, m.ID)
		}
	}
	added, dropped := s.subset.Change(up, unavailable)
	for _, m := range changed {
		switch {
		case m.State != membership.Up || s.subset.Uses(m.ID):
			out = append(out, m)
		case slices.Contains(dropped, m.ID):
			out = append(out, membership.Member{ID: m.ID, State: membership.OutOfService})
		}
	}
	for _, id := range added {
		if m, ok := s.members.Get(id); ok && !listed[id] {
			out = append(out, m)
		}
	}
	for _, id := range dropped {
		if !listed[id] {
			out = append(out, membership.Member{ID: id, State: membership.OutOfService})
		}
	}
	return out
}
