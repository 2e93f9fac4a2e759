package inventory

import (
	"errors"
	"fmt"

	"go.yaml.in/yaml/v3"

	"poppyarch/internal/yamltree"
)

// groupAll is the name of the group that contains all others.
const groupAll = "all"

// group is a group of a YAML inventory. Groups are nested by their children; each may have hosts and vars.
type group struct {
	name     string
	depth    int // length of the longest path from groupAll to this group
	vars     map[string]value
	children []string
	hosts    []string
}

// document is a YAML inventory that is being parsed.
type document struct {
	path   string
	groups map[string]*group
	hosts  map[string]*host // with only the host's own settings
}

// parseYAML reads groups, hosts and vars in the form that configuration management tools use.
func parseYAML(path string, text []byte) ([]host, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return nil, &Error{File: path, Line: yamltree.ErrorLine(err), Err: err}
	}
	if len(root.Content) == 0 {
		return nil, &Error{File: path, Err: errors.New("the file is empty")}
	}
	d := &document{path: path, groups: map[string]*group{}, hosts: map[string]*host{}}
	if err := d.eachPair(root.Content[0], "", d.readGroup); err != nil {
		return nil, err
	}
	return d.resolve()
}

// eachPair calls f for the pairs of a mapping. keyPath is the full key of the mapping, for errors.
func (d *document) eachPair(n *yaml.Node, keyPath string, f func(key string, keyNode, value *yaml.Node) error) error {
	return yamltree.EachPair(n, yamltree.Visitor{
		Pair: f,
		Fault: func(f yamltree.Fault, n *yaml.Node, key string) error {
			switch f {
			case yamltree.NotMapping:
				return d.errorAt(n, keyPath, errors.New("must be a mapping"))
			case yamltree.KeyNotScalar:
				return d.errorAt(n, keyPath, errors.New("keys must be plain names"))
			default:
				return d.errorAt(n, joinKeys(keyPath, key), errors.New("key given twice"))
			}
		},
	})
}

func (d *document) errorAt(n *yaml.Node, key string, err error) error {
	return &Error{File: d.path, Line: n.Line, Key: key, Err: err}
}

func joinKeys(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// readGroup reads one occurrence of a group. A group may occur in several places; their contents are merged.
func (d *document) readGroup(name string, keyNode, n *yaml.Node) error {
	if !validName(name) {
		return d.errorAt(keyNode, name, ErrInvalidName)
	}
	g := d.group(name)
	return d.eachPair(n, name, func(key string, keyNode, v *yaml.Node) error {
		keyPath := joinKeys(name, key)
		switch key {
		case "vars":
			return d.readSettings(v, keyPath, g.vars)
		case "children":
			return d.eachPair(v, keyPath, func(child string, keyNode, v *yaml.Node) error {
				g.children = append(g.children, child)
				return d.readGroup(child, keyNode, v)
			})
		case "hosts":
			return d.eachPair(v, keyPath, func(host string, keyNode, v *yaml.Node) error {
				g.hosts = append(g.hosts, host)
				return d.readHost(host, joinKeys(keyPath, host), keyNode, v)
			})
		default:
			return d.errorAt(keyNode, keyPath, fmt.Errorf("%w; a group has hosts, vars and children", ErrUnknownKey))
		}
	})
}

// group returns the group with a name, and creates it if it does not exist.
func (d *document) group(name string) *group {
	g := d.groups[name]
	if g == nil {
		g = &group{name: name, vars: map[string]value{}}
		d.groups[name] = g
	}
	return g
}

// readHost reads one occurrence of a host. A host may be in several groups, but each of its own settings may be given
// only once.
func (d *document) readHost(name, keyPath string, keyNode, n *yaml.Node) error {
	h := d.hosts[name]
	if h == nil {
		h = &host{name: name, line: keyNode.Line, settings: map[string]value{}}
		d.hosts[name] = h
	}
	return d.readSettings(n, keyPath, h.settings)
}

// readSettings adds the settings of a mapping to settings.
func (d *document) readSettings(n *yaml.Node, keyPath string, settings map[string]value) error {
	return d.eachPair(n, keyPath, func(key string, keyNode, v *yaml.Node) error {
		if err := checkKey(d.path, keyNode.Line, keyPath+".", key); err != nil {
			return err
		}
		v = yamltree.Resolve(v)
		if v.Kind != yaml.ScalarNode || yamltree.IsNull(v) {
			return d.errorAt(v, joinKeys(keyPath, key), errors.New("must be a single value"))
		}
		if first, repeated := settings[key]; repeated {
			return d.errorAt(keyNode, joinKeys(keyPath, key), fmt.Errorf("set twice, first in line %d", first.line))
		}
		settings[key] = value{text: v.Value, line: v.Line}
		return nil
	})
}
