package state

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// NodeOverrideChange sets or withdraws the override of one storage node.
type NodeOverrideChange struct {
	ID       string             `json:"id"`
	Override *spec.NodeOverride `json:"to"` // nil withdraws it
}

// NodeOverrides returns the overrides of storage nodes and the revision that set them.
func (s *State) NodeOverrides() ([]spec.NodeOverride, uint64) {
	return s.desired.nodes.list, s.desired.nodes.revision
}

// SetNodeOverrides returns the record that changes the overrides of storage nodes, or nil if nothing changes.
func (s *State) SetNodeOverrides(c *Command, changes []NodeOverrideChange, at clock.Micros) (*Record, error) {
	if err := s.checkExpectedRevision(c); err != nil {
		return nil, err
	}
	byID := map[string]spec.NodeOverride{}
	for _, n := range s.desired.nodes.list {
		byID[n.ID] = n
	}
	for _, change := range changes {
		if err := changeOverride(byID, change); err != nil {
			return nil, err
		}
	}
	list := slices.SortedFunc(maps.Values(byID), func(a, b spec.NodeOverride) int { return strings.Compare(a.ID, b.ID) })
	if slices.Equal(list, s.desired.nodes.list) {
		return nil, nil
	}
	r := &Record{
		Kind:     RecordNodeOverridesSet,
		Revision: s.desired.revision + 1,
		Nodes:    list,
	}
	return c.attribute(r, at), nil
}

// changeOverride applies one change to a set of overrides.
func changeOverride(byID map[string]spec.NodeOverride, change NodeOverrideChange) error {
	previous, exists := byID[change.ID]
	if change.Override == nil {
		if !exists {
			return fmt.Errorf("node %s: %w: no node command is in force on it", change.ID, ErrNotFound)
		}
		delete(byID, change.ID)
		return nil
	}
	override := *change.Override
	if override.ID != change.ID {
		return &spec.FieldError{Field: "node " + change.ID + ": id", Problem: fmt.Sprintf("%q does not match", override.ID)}
	}
	if exists && override.State != spec.NodeAdded && override.Addr == "" {
		// A node that was added keeps its address when it is drained or removed.
		override.Addr = previous.Addr
		override.ObjectAddr = previous.ObjectAddr
		override.Shard = previous.Shard
		override.Zone = previous.Zone
	}
	if err := override.Validate(); err != nil {
		return err
	}
	byID[change.ID] = override
	return nil
}

func (s *State) applyNodeOverridesSet(r *Record) error {
	if err := s.checkNextRevision(r); err != nil {
		return err
	}
	s.desired.revision = r.Revision
	s.setNodeOverrides(r)
	s.addRevision(newRevision(r, r.Nodes))
	return nil
}

// setNodeOverrides replaces the overrides, which changes the assignment of every instance.
func (s *State) setNodeOverrides(r *Record) {
	s.desired.nodes = nodeOverrides{
		list:     r.Nodes,
		revision: r.Revision,
		edition:  s.edition,
	}
	for _, name := range slices.Sorted(maps.Keys(s.instances)) {
		i := s.instances[name]
		if i.release.desired != nil {
			i.agent.assignmentChanged(name)
		}
		s.reindex(i)
	}
}
