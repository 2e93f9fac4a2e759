package nodefile

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"

	"go.yaml.in/yaml/v3"
	"go4.org/netipx"

	"poppyarch/internal/yamltree"
)

// groupAll is the name of the group that contains all nodes.
const groupAll = "all"

// group is a group of a YAML list, joined from all the places it stands at.
type group struct {
	name     string
	depth    int
	vars     map[string]field
	children []string
	nets     *netipx.IPSet
}

// member is a node with the groups it stands in.
type member struct {
	id     field
	own    map[string]field
	groups []string
	order  int
}

// tree is one YAML file while it is read.
type tree struct {
	b      *builder
	path   string
	groups map[string]*group
	nodes  map[string]*member
}

// yaml reads groups, hosts, vars and children; kinds, include and nets are this program's own. What is faulty is named and
// left out: a row, a setting, or a group's setting.
func (b *builder) yaml(path string, text []byte) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		b.fault(Fault{Pos: Pos{path, yamltree.ErrorLine(err), 0}, Text: err.Error()})
		b.doc.Complete = false
		return
	}
	if len(doc.Content) == 0 {
		b.fault(Fault{Pos: Pos{path, 1, 0}, Text: "empty, or written half way"})
		b.doc.Complete = false
		return
	}
	t := &tree{b: b, path: path, groups: map[string]*group{}, nodes: map[string]*member{}}
	t.each(doc.Content[0], "", func(key string, k, v *yaml.Node) {
		switch key {
		case "kinds":
			t.each(v, key, func(kind string, k, v *yaml.Node) { t.kind(kind, v) })
		case "include":
			t.include(v)
		default:
			t.group(key, v)
		}
	})
	t.resolve()
}

func (t *tree) pos(n *yaml.Node) Pos { return Pos{t.path, n.Line, n.Column} }

func (t *tree) fault(n *yaml.Node, key, format string, args ...any) {
	t.b.fault(Fault{Pos: t.pos(n), Key: key, Text: fmt.Sprintf(format, args...)})
}

// each calls f for the pairs of a mapping; faulty ones are reported and left out.
func (t *tree) each(n *yaml.Node, at string, f func(key string, k, v *yaml.Node)) {
	_ = yamltree.EachPair(n, yamltree.Visitor{ // neither function returns an error
		Pair: func(key string, k, v *yaml.Node) error {
			f(key, k, v)
			return nil
		},
		Fault: func(f yamltree.Fault, n *yaml.Node, key string) error {
			switch f {
			case yamltree.NotMapping:
				t.fault(n, at, "must be a mapping")
			case yamltree.KeyNotPlain:
				t.fault(n, at, "keys must be plain names")
			case yamltree.KeyRepeated:
				t.fault(n, at+"."+key, "key given twice: the first counts")
			}
			return nil
		},
	})
}

func (t *tree) kind(name string, n *yaml.Node) {
	var kind Kind
	t.each(n, "kinds."+name, func(key string, k, v *yaml.Node) {
		x, err := strconv.ParseFloat(v.Value, 64)
		switch {
		case key != "cores" && key != "speed":
			t.fault(k, "kinds."+name+"."+key, "unknown key; a kind has cores and speed")
		case err != nil || !(x > 0):
			t.fault(v, "kinds."+name+"."+key, "%q is not a number above 0", v.Value)
		case key == "cores":
			kind.Cores = x
		default:
			kind.Speed = x
		}
	})
	t.b.kinds[name] = kind
}

func (t *tree) include(n *yaml.Node) {
	n = yamltree.Resolve(n)
	list := []*yaml.Node{n}
	if n.Kind == yaml.SequenceNode {
		list = n.Content
	}
	for _, x := range list {
		if x.Kind != yaml.ScalarNode || x.Value == "" {
			t.fault(x, "include", "must be a path, or a list of paths")
			continue
		}
		path := x.Value
		if !filepath.IsAbs(path) {
			path = filepath.Join(filepath.Dir(t.path), path)
		}
		t.b.load(path, t.pos(x))
	}
}

func (t *tree) group(name string, n *yaml.Node) {
	g := t.groups[name]
	if g == nil {
		g = &group{name: name, vars: map[string]field{}}
		t.groups[name] = g
	}
	t.each(n, name, func(key string, k, v *yaml.Node) {
		at := name + "." + key
		switch key {
		case "vars":
			t.vars(v, at, g.vars)
		case "children":
			t.each(v, at, func(child string, k, v *yaml.Node) {
				g.children = append(g.children, child)
				t.group(child, v)
			})
		case "hosts":
			t.each(v, at, func(host string, k, v *yaml.Node) { t.hosts(name, host, at+"."+host, k, v) })
		case "nets":
			t.nets(g, v, at)
		default:
			t.fault(k, at, "unknown key; a group has hosts, vars, children and nets")
		}
	})
}

// nets are the addresses that a group's nodes may have: prefixes, ranges and single ones.
func (t *tree) nets(g *group, n *yaml.Node, at string) {
	var set netipx.IPSetBuilder
	n = yamltree.Resolve(n)
	list := []*yaml.Node{n}
	if n.Kind == yaml.SequenceNode {
		list = n.Content
	}
	ok := false
	for _, x := range list {
		if p, err := netip.ParsePrefix(x.Value); err == nil {
			set.AddPrefix(p)
		} else if r, err := netipx.ParseIPRange(x.Value); err == nil {
			set.AddRange(r)
		} else if a, err := netip.ParseAddr(x.Value); err == nil {
			set.Add(a)
		} else {
			t.fault(x, at, "%q is no prefix, range or address", x.Value)
			continue
		}
		ok = true
	}
	if s, err := set.IPSet(); err == nil && ok {
		g.nets = s
	}
}

// hosts reads one host, or a range of them.
func (t *tree) hosts(in, name, at string, k, n *yaml.Node) {
	ids, err := expand(name)
	if err != nil {
		t.fault(k, at, "%v", err)
		return
	}
	own := map[string]field{}
	t.vars(n, at, own)
	for i, id := range ids {
		m := t.nodes[id]
		if m == nil {
			m = &member{id: field{id, t.pos(k)}, own: map[string]field{}, order: len(t.nodes)}
			t.nodes[id] = m
		}
		m.groups = append(m.groups, in)
		for key, f := range own {
			f, err := spread(f, i, len(ids))
			if err != nil {
				if i == 0 {
					t.b.fault(Fault{Pos: f.pos, Key: at + "." + key, Text: err.Error()})
				}
				f.text = "" // stays unset; the fault is told once
			}
			if old, twice := m.own[key]; twice && old.text != f.text {
				t.b.fault(Fault{Pos: f.pos, Key: id + "." + key, Text: "set twice, first at " + old.pos.String() + ": the first counts", Node: id, Warn: true})
				continue
			}
			m.own[key] = f
		}
	}
}

func (t *tree) vars(n *yaml.Node, at string, to map[string]field) {
	t.each(n, at, func(key string, k, v *yaml.Node) {
		v = yamltree.Resolve(v)
		if !slices.Contains(known, key) {
			t.fault(k, at+"."+key, "unknown key")
			return
		}
		text := v.Value
		if key == "labels" && v.Kind == yaml.MappingNode {
			text = ""
			for i := 0; i+1 < len(v.Content); i += 2 {
				if i > 0 {
					text += ";"
				}
				text += v.Content[i].Value + "=" + v.Content[i+1].Value
			}
		} else if v.Kind != yaml.ScalarNode {
			t.fault(v, at+"."+key, "must be a single value")
			return
		}
		to[key] = field{text, t.pos(v)}
	})
}

// resolve determines the settings of every node: from the outermost group to the innermost, groups of one depth in the order
// of their names, the node's own last; the later wins.
func (t *tree) resolve() {
	for _, g := range t.groups {
		if !t.deepen(g, 1, map[string]bool{}) {
			return
		}
	}
	parents := t.parents()
	for _, m := range t.nodesInOrder() {
		groups := t.groupsOf(m, parents)
		t.b.raws = append(t.b.raws, m.inherit(groups))
	}
}

// parents returns the names of the groups that contain each group.
func (t *tree) parents() map[string][]string {
	parents := map[string][]string{}
	for _, g := range t.groups {
		for _, child := range g.children {
			parents[child] = append(parents[child], g.name)
		}
	}
	return parents
}

// nodesInOrder returns the nodes in the order of their first appearance.
func (t *tree) nodesInOrder() []*member {
	nodes := make([]*member, 0, len(t.nodes))
	for _, m := range t.nodes {
		nodes = append(nodes, m)
	}
	slices.SortFunc(nodes, func(a, b *member) int { return cmp.Compare(a.order, b.order) })
	return nodes
}

// groupsOf returns the groups that a node is in, directly or not, the outermost first.
func (t *tree) groupsOf(m *member, parents map[string][]string) []*group {
	names := map[string]bool{}
	var addWithParents func(string)
	addWithParents = func(name string) {
		if names[name] {
			return
		}
		names[name] = true
		for _, parent := range parents[name] {
			addWithParents(parent)
		}
	}
	for _, name := range m.groups {
		addWithParents(name)
	}
	if t.groups[groupAll] != nil {
		names[groupAll] = true
	}
	var groups []*group
	for name := range names {
		groups = append(groups, t.groups[name])
	}
	slices.SortFunc(groups, compareGroups)
	return groups
}

// compareGroups orders groups by depth and name; the group of all nodes is outside of all others.
func compareGroups(a, b *group) int {
	if a.name == b.name {
		return 0
	}
	if a.name == groupAll {
		return -1
	}
	if b.name == groupAll {
		return 1
	}
	return cmp.Or(cmp.Compare(a.depth, b.depth), cmp.Compare(a.name, b.name))
}

// inherit merges the settings of a node's groups and its own.
func (m *member) inherit(groups []*group) raw {
	r := raw{id: m.id, vars: map[string]field{}}
	for _, g := range groups {
		if g.name != groupAll {
			r.groups = append(r.groups, g.name)
		}
		maps.Copy(r.vars, g.vars)
		if g.nets != nil {
			r.nets = g.nets
			r.netsOf = g.name
		}
	}
	maps.Copy(r.vars, m.own)
	return r
}

func (t *tree) deepen(g *group, depth int, above map[string]bool) bool {
	if above[g.name] {
		t.b.fault(Fault{Pos: Pos{t.path, 1, 0}, Key: g.name, Text: "the group contains itself"})
		t.b.doc.Complete = false
		return false
	}
	above[g.name] = true
	defer delete(above, g.name)
	g.depth = max(g.depth, depth)
	for _, c := range g.children {
		if !t.deepen(t.groups[c], depth+1, above) {
			return false
		}
	}
	return true
}
