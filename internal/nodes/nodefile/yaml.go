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

// group is a group of a YAML list, merged from all places where it is defined.
type group struct {
	name     string
	depth    int
	vars     map[string]setting
	children []string
	nets     *netipx.IPSet
}

// host is a node of a YAML list.
type host struct {
	id     setting
	own    map[string]setting // its own settings, without those of its groups
	groups []string           // groups that name it directly
	order  int                // rank in the order of first appearance
}

// yamlParser parses one YAML file.
type yamlParser struct {
	b      *builder
	path   string
	groups map[string]*group
	nodes  map[string]*host
}

// yaml reads an inventory of groups with hosts, vars and children, extended by kinds, include and nets. A faulty row or
// setting is reported and ignored.
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
	t := &yamlParser{b: b, path: path, groups: map[string]*group{}, nodes: map[string]*host{}}
	t.eachPair(doc.Content[0], "", func(key string, k, v *yaml.Node) {
		switch key {
		case "kinds":
			t.eachPair(v, key, func(kind string, k, v *yaml.Node) { t.kind(kind, v) })
		case "include":
			t.include(v)
		default:
			t.group(key, v)
		}
	})
	t.resolve()
}

func (t *yamlParser) pos(n *yaml.Node) Pos { return Pos{t.path, n.Line, n.Column} }

func (t *yamlParser) fault(n *yaml.Node, key, format string, args ...any) {
	t.b.fault(Fault{Pos: t.pos(n), Key: key, Text: fmt.Sprintf(format, args...)})
}

// eachPair calls f for the pairs of a mapping. Faulty pairs are reported and skipped.
func (t *yamlParser) eachPair(n *yaml.Node, keyPath string, f func(key string, k, v *yaml.Node)) {
	_ = yamltree.EachPair(n, yamltree.Visitor{ // neither function returns an error
		Pair: func(key string, k, v *yaml.Node) error {
			f(key, k, v)
			return nil
		},
		Fault: func(f yamltree.Fault, n *yaml.Node, key string) error {
			switch f {
			case yamltree.NotMapping:
				t.fault(n, keyPath, "must be a mapping")
			case yamltree.KeyNotScalar:
				t.fault(n, keyPath, "keys must be plain names")
			case yamltree.DuplicateKey:
				t.fault(n, keyPath+"."+key, "key given twice: the first value is used")
			}
			return nil
		},
	})
}

func (t *yamlParser) kind(name string, n *yaml.Node) {
	var kind Kind
	t.eachPair(n, "kinds."+name, func(key string, k, v *yaml.Node) {
		x, err := strconv.ParseFloat(v.Value, 64)
		switch {
		case key != "cores" && key != "speed":
			t.fault(k, "kinds."+name+"."+key, "unknown key; valid keys are cores and speed")
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

func (t *yamlParser) include(n *yaml.Node) {
	n = yamltree.Resolve(n)
	list := []*yaml.Node{n}
	if n.Kind == yaml.SequenceNode {
		list = n.Content
	}
	for _, x := range list {
		if x.Kind != yaml.ScalarNode || x.Value == "" {
			t.fault(x, "include", "must be a path or a list of paths")
			continue
		}
		path := x.Value
		if !filepath.IsAbs(path) {
			path = filepath.Join(filepath.Dir(t.path), path)
		}
		t.b.load(path, t.pos(x))
	}
}

func (t *yamlParser) group(name string, n *yaml.Node) {
	g := t.groups[name]
	if g == nil {
		g = &group{name: name, vars: map[string]setting{}}
		t.groups[name] = g
	}
	t.eachPair(n, name, func(key string, k, v *yaml.Node) {
		keyPath := name + "." + key
		switch key {
		case "vars":
			t.vars(v, keyPath, g.vars)
		case "children":
			t.eachPair(v, keyPath, func(child string, k, v *yaml.Node) {
				g.children = append(g.children, child)
				t.group(child, v)
			})
		case "hosts":
			t.eachPair(v, keyPath, func(host string, k, v *yaml.Node) { t.hosts(name, host, keyPath+"."+host, k, v) })
		case "nets":
			t.nets(g, v, keyPath)
		default:
			t.fault(k, keyPath, "unknown key; valid keys are hosts, vars, children and nets")
		}
	})
}

// nets reads the addresses that the nodes of a group may have: prefixes, ranges and single addresses.
func (t *yamlParser) nets(g *group, n *yaml.Node, keyPath string) {
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
			t.fault(x, keyPath, "%q is not an IP address, prefix or range", x.Value)
			continue
		}
		ok = true
	}
	if s, err := set.IPSet(); err == nil && ok {
		g.nets = s
	}
}

// hosts reads one host or a range of hosts.
func (t *yamlParser) hosts(group, name, keyPath string, k, n *yaml.Node) {
	ids, err := expand(name)
	if err != nil {
		t.fault(k, keyPath, "%v", err)
		return
	}
	own := map[string]setting{}
	faultsBefore := len(t.b.doc.Faults)
	t.vars(n, keyPath, own)
	if len(ids) == 1 {
		t.attribute(faultsBefore, ids[0])
	}
	for i, id := range ids {
		m := t.nodes[id]
		if m == nil {
			m = &host{id: setting{id, t.pos(k)}, own: map[string]setting{}, order: len(t.nodes)}
			t.nodes[id] = m
		}
		m.groups = append(m.groups, group)
		for key, f := range own {
			f, err := settingAt(f, i, len(ids))
			if err != nil {
				if i == 0 {
					t.b.fault(Fault{Pos: f.pos, Key: keyPath + "." + key, Text: err.Error()})
				}
				f.text = "" // stays unset; the fault is reported only once per range
			}
			if old, twice := m.own[key]; twice && old.text != f.text {
				t.b.fault(Fault{Pos: f.pos, Key: id + "." + key, Text: "set twice, first at " + old.pos.String() + ": the first value is used", Node: id, IsWarning: true})
				continue
			}
			m.own[key] = f
		}
	}
}

// attribute records that the faults from an index on are in the row of a node.
func (t *yamlParser) attribute(first int, id string) {
	for i := range t.b.doc.Faults[first:] {
		t.b.doc.Faults[first+i].Node = id
	}
}

func (t *yamlParser) vars(n *yaml.Node, keyPath string, to map[string]setting) {
	t.eachPair(n, keyPath, func(key string, k, v *yaml.Node) {
		v = yamltree.Resolve(v)
		if !slices.Contains(knownKeys, key) {
			t.fault(k, keyPath+"."+key, "unknown key")
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
			t.fault(v, keyPath+"."+key, "must be a single value")
			return
		}
		to[key] = setting{text, t.pos(v)}
	})
}

// resolve determines the settings of every node. Settings are applied from the outermost group to the innermost, for
// groups of the same depth in the order of their names, and the node's own settings last. Later settings override
// earlier ones.
func (t *yamlParser) resolve() {
	for _, g := range t.groups {
		if !t.setDepth(g, 1, map[string]bool{}) {
			return
		}
	}
	parents := t.parents()
	for _, m := range t.nodesInOrder() {
		groups := t.groupsOf(m, parents)
		t.b.rawRows = append(t.b.rawRows, m.inherit(groups))
	}
}

// parents returns the names of the groups that contain each group.
func (t *yamlParser) parents() map[string][]string {
	parents := map[string][]string{}
	for _, g := range t.groups {
		for _, child := range g.children {
			parents[child] = append(parents[child], g.name)
		}
	}
	return parents
}

// nodesInOrder returns the nodes in the order of their first appearance.
func (t *yamlParser) nodesInOrder() []*host {
	nodes := make([]*host, 0, len(t.nodes))
	for _, m := range t.nodes {
		nodes = append(nodes, m)
	}
	slices.SortFunc(nodes, func(a, b *host) int { return cmp.Compare(a.order, b.order) })
	return nodes
}

// groupsOf returns the groups that a node is in, directly or not, the outermost first.
func (t *yamlParser) groupsOf(m *host, parents map[string][]string) []*group {
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

// compareGroups orders groups by depth and name. The group of all nodes is the outermost.
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
func (m *host) inherit(groups []*group) rawRow {
	r := rawRow{id: m.id, vars: map[string]setting{}}
	for _, g := range groups {
		if g.name != groupAll {
			r.groups = append(r.groups, g.name)
		}
		maps.Copy(r.vars, g.vars)
		if g.nets != nil {
			r.nets = g.nets
			r.netsGroup = g.name
		}
	}
	maps.Copy(r.vars, m.own)
	return r
}

// setDepth sets the depth of a group and of all groups in it. It returns false if a group contains itself.
func (t *yamlParser) setDepth(g *group, depth int, ancestors map[string]bool) bool {
	if ancestors[g.name] {
		t.b.fault(Fault{Pos: Pos{t.path, 1, 0}, Key: g.name, Text: "the group contains itself"})
		t.b.doc.Complete = false
		return false
	}
	ancestors[g.name] = true
	defer delete(ancestors, g.name)
	g.depth = max(g.depth, depth)
	for _, c := range g.children {
		if !t.setDepth(t.groups[c], depth+1, ancestors) {
			return false
		}
	}
	return true
}
