package spec

import (
	"fmt"
	"slices"
	"strings"
)

// labelPrefix is the prefix of the key of a term that matches a label.
const labelPrefix = "label."

// Selector selects the instances whose name is listed in Names and that match every term. A term is group=G, agent=A,
// domain=D or label.KEY=VALUE. Empty Names match every name, so that an empty Selector selects all instances.
type Selector struct {
	Names []string
	Terms []string
}

// Validate returns an error for the first term that has none of these forms.
func (s Selector) Validate() error {
	for _, term := range s.Terms {
		if !validTerm(term) {
			return fmt.Errorf("selector %q: want group=G, agent=A, domain=D or label.KEY=VALUE", term)
		}
	}
	return nil
}

func validTerm(term string) bool {
	key, _, hasValue := strings.Cut(term, "=")
	if !hasValue {
		return false
	}
	switch key {
	case "group", "agent", "domain":
		return true
	}
	label, isLabel := strings.CutPrefix(key, labelPrefix)
	return isLabel && label != ""
}

// Matches reports whether the instance is selected.
func (s Selector) Matches(i *Instance) bool {
	if len(s.Names) > 0 && !slices.Contains(s.Names, i.Name) {
		return false
	}
	for _, term := range s.Terms {
		if !matchesTerm(i, term) {
			return false
		}
	}
	return true
}

func matchesTerm(i *Instance, term string) bool {
	key, value, _ := strings.Cut(term, "=")
	switch key {
	case "group":
		return slices.Contains(i.Groups, value)
	case "agent":
		return i.Agent == value
	case "domain":
		return i.FailureDomain() == value
	}
	label, set := i.Labels[strings.TrimPrefix(key, labelPrefix)]
	return set && label == value
}
