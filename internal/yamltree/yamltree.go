// Package yamltree walks the mappings of YAML documents and reports faults with their position. The caller decides
// whether a fault ends the walk or only skips the faulty pair.
package yamltree

import (
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// Fault is a kind of invalid content that EachPair reports.
type Fault uint8

// Kinds of faults.
const (
	NotMapping   Fault = iota // the node is not a mapping
	KeyNotScalar              // a key is not a scalar, or is a merge key
	DuplicateKey              // a key occurs more than once in the mapping
)

// Visitor is called by EachPair. An error that one of its functions returns ends the walk.
type Visitor struct {
	// Pair is called for each pair of a key and a value.
	Pair func(key string, keyNode, value *yaml.Node) error
	// Fault is called with the faulty node. key is the repeated key for DuplicateKey and empty for other faults. If
	// Fault returns nil, the walk continues after the faulty pair.
	Fault func(f Fault, at *yaml.Node, key string) error
}

// EachPair calls v for the pairs of a mapping, in the order of the document. A null value, as in "hosts:" without
// content, counts as an empty mapping.
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
			err = v.Fault(KeyNotScalar, key, "")
		case seen[key.Value]:
			err = v.Fault(DuplicateKey, key, key.Value)
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

// Resolve returns the node that an alias refers to, and any other node unchanged.
func Resolve(n *yaml.Node) *yaml.Node {
	if n.Kind == yaml.AliasNode {
		return n.Alias
	}
	return n
}

// IsNull reports whether a node is an explicit or implicit null.
func IsNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

var lineInError = regexp.MustCompile(`line (\d+)`)

// ErrorLine returns the line number in an error message of the YAML library. It returns 1 if the message has none,
// since the library leaves out the number of line 1.
func ErrorLine(err error) int {
	if m := lineInError.FindStringSubmatch(err.Error()); m != nil {
		if line, err := strconv.Atoi(m[1]); err == nil {
			return line
		}
	}
	return 1
}
