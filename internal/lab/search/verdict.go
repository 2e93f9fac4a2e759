package search

import (
	"fmt"
	"slices"
)

// similarity is the fraction of a shortfall that a smaller case must keep to count as the same finding.
const similarity = 0.8

// Verdict is the outcome of a design on a scenario. Any broken rule is worse than any shortfall.
type Verdict struct {
	Rules     []string // names of the broken rules, sorted
	Shortfall float64  // mean service below the reference design's, as a fraction of the possible
}

// worse reports whether v is worse than other.
func (v Verdict) worse(other Verdict) bool {
	if (len(v.Rules) > 0) != (len(other.Rules) > 0) {
		return len(v.Rules) > 0
	}
	return v.Shortfall > other.Shortfall
}

// reproduces reports whether v still shows a finding: one of its broken rules or, if it broke none, most of its
// shortfall.
func (v Verdict) reproduces(finding Verdict) bool {
	for _, rule := range finding.Rules {
		if slices.Contains(v.Rules, rule) {
			return true
		}
	}
	return len(finding.Rules) == 0 && finding.Shortfall > 0 && v.Shortfall >= similarity*finding.Shortfall
}

func (v Verdict) String() string {
	if len(v.Rules) > 0 {
		return fmt.Sprintf("breaks %v, %.3f behind", v.Rules, v.Shortfall)
	}
	return fmt.Sprintf("%.3f behind", v.Shortfall)
}
