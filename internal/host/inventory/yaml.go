package inventory

import (
	"regexp"
	"sort"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// group is one group of a YAML inventory. Groups nest by children; hosts and vars stand in any of them.
type group struct {
	name     string
	depth    int // the longest way from the top
	vars     map[string]value
	children []string
	hosts    []string
}

// tree is a YAML inventory as it is read.
type tree struct {
	path   string
	groups map[string]*group
	hosts  map[string]*host // with the host's own vars
}

// parseYAML reads groups, hosts and vars as configuration tools keep them. A host's settings come from the
// groups it is in, directly or through children: from the outermost to the innermost, groups of one depth in the
// order of their names, and last from the host itself; the later wins.
func parseYAML(path string, text []byte) ([]host, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		e := &Error{File: path, Line: 1, Reason: err.Error()} // the library leaves the first line out
		if m := regexp.MustCompile(`line (\d+)`).FindStringSubmatch(err.Error()); m != nil {
			e.Line, _ = strconv.Atoi(m[1])
		}
		return nil, e
	}
	if len(doc.Content) == 0 {
		return nil, &Error{File: path, Reason: "empty"}
	}
	t := &tree{path: path, groups: map[string]*group{}, hosts: map[string]*host{}}
	err := t.each(doc.Content[0], "", func(key string, k, v *yaml.Node) error { return t.group(key, k, v) })
	if err != nil {
		return nil, err
	}
	all := t.groups["all"]
	if all == nil {
		all = &group{name: "all", vars: map[string]value{}}
		t.groups["all"] = all
	}
	return t.resolve(all)
}

// each walks a mapping and rejects keys given twice.
func (t *tree) each(n *yaml.Node, at string, f func(key string, k, v *yaml.Node) error) error {
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return nil // "hosts:" with nothing behind it
	}
	if n.Kind != yaml.MappingNode {
		return &Error{t.path, n.Line, at, "must be a mapping"}
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		if k.Kind != yaml.ScalarNode || k.Tag == "!!merge" {
			return &Error{t.path, k.Line, at, "keys must be plain names"}
		}
		if seen[k.Value] {
			return &Error{t.path, k.Line, join(at, k.Value), "key given twice"}
		}
		seen[k.Value] = true
		if err := f(k.Value, k, v); err != nil {
			return err
		}
	}
	return nil
}

func join(at, key string) string {
	if at == "" {
		return key
	}
	return at + "." + key
}

// group reads one group, at whatever place it stands; a group may be spread over several places.
func (t *tree) group(name string, k, n *yaml.Node) error {
	if !validName(name) {
		return &Error{t.path, k.Line, name, "a name is up to 64 letters, digits, '-', '_' and '.'"}
	}
	g := t.groups[name]
	if g == nil {
		g = &group{name: name, vars: map[string]value{}}
		t.groups[name] = g
	}
	return t.each(n, name, func(key string, k, v *yaml.Node) error {
		at := join(name, key)
		switch key {
		case "vars":
			return t.vars(v, at, g.vars)
		case "children":
			return t.each(v, at, func(child string, k, v *yaml.Node) error {
				g.children = append(g.children, child)
				return t.group(child, k, v)
			})
		case "hosts":
			return t.each(v, at, func(host string, k, v *yaml.Node) error {
				g.hosts = append(g.hosts, host)
				return t.host(host, join(at, host), k, v)
			})
		}
		return &Error{t.path, k.Line, at, "unknown key; a group has hosts, vars and children"}
	})
}

// host reads one host. It may stand in many groups, but each of its own settings only once.
func (t *tree) host(name, at string, k, n *yaml.Node) error {
	h := t.hosts[name]
	if h == nil {
		h = &host{name: name, line: k.Line, vars: map[string]value{}}
		t.hosts[name] = h
	}
	return t.vars(n, at, h.vars)
}

// vars reads settings into to.
func (t *tree) vars(n *yaml.Node, at string, to map[string]value) error {
	return t.each(n, at, func(key string, k, v *yaml.Node) error {
		if err := known(t.path, k.Line, at+".", key); err != nil {
			return err
		}
		if v.Kind == yaml.AliasNode {
			v = v.Alias
		}
		if v.Kind != yaml.ScalarNode || v.Tag == "!!null" {
			return &Error{t.path, v.Line, join(at, key), "must be a single value"}
		}
		if old, twice := to[key]; twice {
			return &Error{t.path, k.Line, join(at, key), "set twice, first in line " + strconv.Itoa(old.line)}
		}
		to[key] = value{v.Value, v.Line}
		return nil
	})
}

// resolve works out every host's settings.
func (t *tree) resolve(all *group) ([]host, error) {
	// Groups that are nobody's children are all's.
	child := map[string]bool{"all": true}
	for _, g := range t.groups {
		for _, c := range g.children {
			child[c] = true
		}
	}
	for name := range t.groups {
		if !child[name] {
			all.children = append(all.children, name)
		}
	}
	sort.Strings(all.children)
	if err := t.deepen(all, 0, map[string]bool{}); err != nil {
		return nil, err
	}
	var out []host
	for name, own := range t.hosts {
		in := map[*group]bool{all: true}
		for _, g := range t.groups {
			for _, h := range g.hosts {
				if h == name {
					t.ancestors(g, in)
				}
			}
		}
		var order []*group
		for g := range in {
			order = append(order, g)
		}
		sort.Slice(order, func(i, j int) bool {
			if order[i].depth != order[j].depth {
				return order[i].depth < order[j].depth
			}
			return order[i].name < order[j].name
		})
		h := host{name: name, line: own.line, vars: map[string]value{}}
		for _, g := range order {
			if g != all {
				h.groups = append(h.groups, g.name)
			}
			for k, v := range g.vars {
				h.vars[k] = v
			}
		}
		for k, v := range own.vars {
			h.vars[k] = v
		}
		out = append(out, h)
	}
	return out, nil
}

// deepen sets depths and finds groups that contain themselves.
func (t *tree) deepen(g *group, depth int, above map[string]bool) error {
	if above[g.name] {
		return &Error{File: t.path, Key: g.name, Reason: "the group contains itself"}
	}
	above[g.name] = true
	defer delete(above, g.name)
	g.depth = max(g.depth, depth)
	for _, c := range g.children {
		if err := t.deepen(t.groups[c], depth+1, above); err != nil {
			return err
		}
	}
	return nil
}

// ancestors adds a group and all that contain it.
func (t *tree) ancestors(g *group, to map[*group]bool) {
	to[g] = true
	for _, p := range t.groups {
		for _, c := range p.children {
			if c == g.name && !to[p] {
				t.ancestors(p, to)
			}
		}
	}
}
