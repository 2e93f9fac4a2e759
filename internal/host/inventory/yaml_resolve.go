package inventory

import (
	"cmp"
	"maps"
	"slices"
	"sort"
)

// resolve returns the hosts with their effective settings. These are the vars of the groups that contain the host,
// directly or through child groups, and then the host's own settings; a later value overrides an earlier one. Groups
// are applied in order of depth, and groups of the same depth in order of name.
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

// adoptTopLevelGroups makes the groups without a parent children of all.
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

// setDepths sets the depth of a group and of its descendants. It returns an error if a group is its own ancestor.
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

// memberships maps each host to the groups that list it directly.
func (d *document) memberships() map[string][]*group {
	out := map[string][]*group{}
	for _, g := range d.groups {
		for _, name := range g.hosts {
			out[name] = append(out[name], g)
		}
	}
	return out
}

// addWithAncestors adds a group and all groups that contain it to a set.
func (d *document) addWithAncestors(g *group, set map[*group]bool) {
	set[g] = true
	for _, parent := range d.groups {
		if !set[parent] && slices.Contains(parent.children, g.name) {
			d.addWithAncestors(parent, set)
		}
	}
}

// inOrderOfPrecedence sorts groups so that the settings of a later one override those of an earlier one.
func inOrderOfPrecedence(groups map[*group]bool) []*group {
	return slices.SortedFunc(maps.Keys(groups), func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.depth, b.depth), cmp.Compare(a.name, b.name))
	})
}

// resolveHost applies the vars of the groups in the given order, and then the host's own settings.
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
