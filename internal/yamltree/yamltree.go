// Package yamltree walks YAML documents whose faults are reported with their position. The caller decides whether a fault
// ends the walk or only skips what is faulty.
package yamltree

import (
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// Fault is something in a mapping that cannot be used.
type Fault uint8

// The faults.
const (
	NotMapping  Fault = iota // the node is not a mapping
	KeyNotPlain              // a key is not a plain scalar
	KeyRepeated              // a key is repeated
)

// Visitor is called by EachPair. An error that one of its functions returns ends the walk.
type Visitor struct {
	// Pair is called for each pair of a key and a value.
	Pair func(key string, keyNode, value *yaml.Node) error
	// Fault is called at the faulty node. key is that of a repeated key and else empty. Where it returns nil, the walk goes on
	// behind the faulty pair.
	Fault func(f Fault, at *yaml.Node, key string) error
}

// EachPair calls v for the pairs of a mapping, in the order of the document. A null, as in "hosts:" with nothing behind it, is
// an empty mapping.
func EachPair(n *yaml.Node, v Visitor) error {
	n = Resolve(n)
	if IsNull(n) {
		return nil
	}
	if n.Kind != yaml.MappingNode {
		return v.Fault(NotMapping, n, "")
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		var err error
		switch {
		case key.Kind != yaml.ScalarNode || key.Tag == "!!merge":
			err = v.Fault(KeyNotPlain, key, "")
		case seen[key.Value]:
			err = v.Fault(KeyRepeated, key, key.Value)
		default:
			seen[key.Value] = true
			err = v.Pair(key.Value, key, n.Content[i+1])
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Resolve returns the node that an alias stands for, and any other node as it is.
func Resolve(n *yaml.Node) *yaml.Node {
	if n.Kind == yaml.AliasNode {
		return n.Alias
	}
	return n
}

// IsNull reports whether a node is an explicit or implicit null.
func IsNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

var lineInError = regexp.MustCompile(`line (\d+)`)

// ErrorLine is the line that an error of the YAML library names. The library leaves out line 1.
func ErrorLine(err error) int {
	if m := lineInError.FindStringSubmatch(err.Error()); m != nil {
		if line, err := strconv.Atoi(m[1]); err == nil {
			return line
		}
	}
	return 1
}
