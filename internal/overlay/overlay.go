// Package overlay lays operators' changes over the node list that discovery tells. It holds values only: no I/O, no
// locks. An operator can add a node that discovery does not know, and take work away from one that it does; an
// operator's word never brings work to a node that discovery has draining or removed.
package overlay

import (
	"maps"
	"slices"
	"sort"

	"poppyarch/internal/core"
	"poppyarch/internal/fleet/spec"
	"poppyarch/policy"
)

// Overlay is discovery's list with the operators' changes to it.
type Overlay struct {
	zones []string
	base  map[string]core.Node // as discovery has it
	ops   map[string]spec.Node
}

// New returns an overlay over nothing. zones numbers the zones by their names.
func New(zones []string) *Overlay {
	return &Overlay{zones: zones, base: map[string]core.Node{}, ops: map[string]spec.Node{}}
}

// Discovery takes in a whole list or changed entries of it, and returns what to pass on in its place.
func (o *Overlay) Discovery(list []core.Node, full bool) []core.Node {
	if full {
		clear(o.base)
	}
	touched := map[string]bool{}
	for _, n := range list {
		touched[n.ID] = true
		if n.State == policy.Gone {
			delete(o.base, n.ID)
		} else {
			o.base[n.ID] = n
		}
	}
	if full {
		for id := range o.ops {
			touched[id] = true
		}
	}
	return o.entries(touched, full)
}

// Operators takes in all changes that operators want in force, and returns the entries that differ now.
func (o *Overlay) Operators(ops []spec.Node) []core.Node {
	next := map[string]spec.Node{}
	for _, n := range ops {
		next[n.ID] = n
	}
	touched := map[string]bool{}
	for id, n := range next {
		if was, ok := o.ops[id]; !ok || was != n {
			touched[id] = true
		}
	}
	for id := range o.ops {
		if _, ok := next[id]; !ok {
			touched[id] = true
		}
	}
	before := map[string]core.Node{}
	for id := range touched {
		before[id] = o.effective(id)
	}
	o.ops = next
	for id := range touched {
		if o.effective(id) == before[id] {
			delete(touched, id)
		}
	}
	return o.entries(touched, false)
}

// entries are what stands for the ids. Of a whole list, what is gone is left out.
func (o *Overlay) entries(ids map[string]bool, full bool) []core.Node {
	out := []core.Node{}
	for id := range ids {
		if n := o.effective(id); !full || n.State != policy.Gone {
			out = append(out, n)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// effective is what stands for an id.
func (o *Overlay) effective(id string) core.Node {
	n, known := o.base[id]
	op, has := o.ops[id]
	switch {
	case !known && has && op.Addr != "" && op.State != spec.NodeOut:
		n = core.Node{ID: id, Addr: op.Addr, Objects: op.Objects, Shard: op.Shard, Zone: max(slices.Index(o.zones, op.Zone), 0)}
		if n.Objects == "" {
			n.Objects = n.Addr
		}
		if op.State == spec.NodeDrain {
			n.State = policy.Draining
		}
		return n
	case !known, has && op.State == spec.NodeOut:
		return core.Node{ID: id, State: policy.Gone}
	case has && op.State == spec.NodeDrain:
		n.State = policy.Draining
	}
	return n
}

// In lists the operators' changes in force, by id.
func (o *Overlay) In() []spec.Node {
	var out []spec.Node
	for _, id := range slices.Sorted(maps.Keys(o.ops)) {
		out = append(out, o.ops[id])
	}
	return out
}
