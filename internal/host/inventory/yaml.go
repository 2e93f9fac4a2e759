package inventory

import (
	"errors"
	"fmt"

	"go.yaml.in/yaml/v3"

	"poppyarch/internal/yamltree"
)

// groupAll is the group that contains all others.
const groupAll = "all"

// group is one group of a YAML inventory. Groups nest by children; any of them may have hosts and vars.
type group struct {
	name     string
	depth    int // the longest path from groupAll
	vars     map[string]value
	children []string
	hosts    []string
}

// document is a YAML inventory while it is read.
type document struct {
	path   string
	groups map[string]*group
	hosts  map[string]*host // with the settings of the host itself
}

// parseYAML reads groups, hosts and vars in the form that configuration management tools use.
func parseYAML(path string, text []byte) ([]host, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return nil, &Error{File: path, Line: yamltree.ErrorLine(err), Err: err}
	}
	if len(root.Content) == 0 {
		return nil, &Error{File: path, Err: errors.New("empty")}
	}
	d := &document{path: path, groups: map[string]*group{}, hosts: map[string]*host{}}
	if err := d.eachPair(root.Content[0], "", d.readGroup); err != nil {
		return nil, err
	}
	return d.resolve()
}

// eachPair calls f for the pairs of a mapping. at is the key of the mapping.
func (d *document) eachPair(n *yaml.Node, at string, f func(key string, keyNode, value *yaml.Node) error) error {
	return yamltree.EachPair(n, yamltree.Visitor{
		Pair: f,
		Fault: func(f yamltree.Fault, n *yaml.Node, key string) error {
			switch f {
			case yamltree.NotMapping:
				return d.errorAt(n, at, errors.New("must be a mapping"))
			case yamltree.KeyNotPlain:
				return d.errorAt(n, at, errors.New("keys must be plain names"))
			default:
				return d.errorAt(n, joinKeys(at, key), errors.New("key given twice"))
			}
		},
	})
}

func (d *document) errorAt(n *yaml.Node, key string, err error) error {
	return &Error{File: d.path, Line: n.Line, Key: key, Err: err}
}

func joinKeys(at, key string) string {
	if at == "" {
		return key
	}
	return at + "." + key
}

// readGroup reads one occurrence of a group. It may occur in several places, whose content is joined.
func (d *document) readGroup(name string, keyNode, n *yaml.Node) error {
	if !validName(name) {
		return d.errorAt(keyNode, name, ErrInvalidName)
	}
	g := d.group(name)
	return d.eachPair(n, name, func(key string, keyNode, v *yaml.Node) error {
		at := joinKeys(name, key)
		switch key {
		case "vars":
			return d.readSettings(v, at, g.vars)
		case "children":
			return d.eachPair(v, at, func(child string, keyNode, v *yaml.Node) error {
				g.children = append(g.children, child)
				return d.readGroup(child, keyNode, v)
			})
		case "hosts":
			return d.eachPair(v, at, func(host string, keyNode, v *yaml.Node) error {
				g.hosts = append(g.hosts, host)
				return d.readHost(host, joinKeys(at, host), keyNode, v)
			})
		default:
			return d.errorAt(keyNode, at, fmt.Errorf("%w; a group has hosts, vars and children", ErrUnknownKey))
		}
	})
}

// group returns a group, which is created where it is new.
func (d *document) group(name string) *group {
	g := d.groups[name]
	if g == nil {
		g = &group{name: name, vars: map[string]value{}}
		d.groups[name] = g
	}
	return g
}

// readHost reads one occurrence of a host. It may be in many groups, but each of its own settings may be given only once.
func (d *document) readHost(name, at string, keyNode, n *yaml.Node) error {
	h := d.hosts[name]
	if h == nil {
		h = &host{name: name, line: keyNode.Line, settings: map[string]value{}}
		d.hosts[name] = h
	}
	return d.readSettings(n, at, h.settings)
}

// readSettings reads a mapping of settings into to.
func (d *document) readSettings(n *yaml.Node, at string, to map[string]value) error {
	return d.eachPair(n, at, func(key string, keyNode, v *yaml.Node) error {
		if err := checkKey(d.path, keyNode.Line, at+".", key); err != nil {
			return err
		}
		v = yamltree.Resolve(v)
		if v.Kind != yaml.ScalarNode || yamltree.IsNull(v) {
			return d.errorAt(v, joinKeys(at, key), errors.New("must be a single value"))
		}
		if first, repeated := to[key]; repeated {
			return d.errorAt(keyNode, joinKeys(at, key), fmt.Errorf("set twice, first in line %d", first.line))
		}
		to[key] = value{text: v.Value, line: v.Line}
		return nil
	})
}
