package inventory

import (
	"cmp"
	"maps"
	"slices"
	"sort"
)

// resolve returns the hosts with their effective settings: those of the groups that contain the host, directly or through
// children, and last its own. A later one wins; groups are applied by depth, and those of one depth by name.
func (d *document) resolve() ([]host, error) {
	all := d.group(groupAll)
	d.adoptTopLevelGroups(all)
	if err := d.setDepths(all, 0, map[string]bool{}); err != nil {
		return nil, err
	}
	memberships := d.memberships()
	var out []host
	for name, own := range d.hosts {
		containing := map[*group]bool{all: true}
		for _, g := range memberships[name] {
			d.addWithAncestors(g, containing)
		}
		out = append(out, resolveHost(own, inOrderOfPrecedence(containing)))
	}
	return out, nil
}

// adoptTopLevelGroups makes groups that no group contains the children of all.
func (d *document) adoptTopLevelGroups(all *group) {
	contained := map[string]bool{groupAll: true}
	for _, g := range d.groups {
		for _, child := range g.children {
			contained[child] = true
		}
	}
	for name := range d.groups {
		if !contained[name] {
			all.children = append(all.children, name)
		}
	}
	sort.Strings(all.children)
}

// setDepths sets the depths of a group and of all below it. It is an error where a group is among its own ancestors.
func (d *document) setDepths(g *group, depth int, ancestors map[string]bool) error {
	if ancestors[g.name] {
		return &Error{File: d.path, Key: g.name, Err: ErrGroupCycle}
	}
	ancestors[g.name] = true
	defer delete(ancestors, g.name)
	g.depth = max(g.depth, depth)
	for _, child := range g.children {
		if err := d.setDepths(d.groups[child], depth+1, ancestors); err != nil {
			return err
		}
	}
	return nil
}

// memberships returns the groups that name each host.
func (d *document) memberships() map[string][]*group {
	out := map[string][]*group{}
	for _, g := range d.groups {
		for _, name := range g.hosts {
			out[name] = append(out[name], g)
		}
	}
	return out
}

// addWithAncestors adds a group and all groups that contain it.
func (d *document) addWithAncestors(g *group, to map[*group]bool) {
	to[g] = true
	for _, parent := range d.groups {
		if !to[parent] && slices.Contains(parent.children, g.name) {
			d.addWithAncestors(parent, to)
		}
	}
}

// inOrderOfPrecedence sorts groups so that the settings of a later one override those of an earlier one.
func inOrderOfPrecedence(groups map[*group]bool) []*group {
	return slices.SortedFunc(maps.Keys(groups), func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.depth, b.depth), cmp.Compare(a.name, b.name))
	})
}

// resolveHost applies the settings of groups, in this order, and then the host's own.
func resolveHost(own *host, groups []*group) host {
	h := host{name: own.name, line: own.line, settings: map[string]value{}}
	for _, g := range groups {
		if g.name != groupAll {
			h.groups = append(h.groups, g.name)
		}
		maps.Copy(h.settings, g.vars)
	}
	maps.Copy(h.settings, own.settings)
	return h
}
