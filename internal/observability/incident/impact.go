package incident

import (
	"cmp"
	"maps"
	"slices"

	"poppyarch/internal/timing/clock"
)

// finish limits the analysis to the requested time span, numbers the episodes in the order of their begins, and sets
// the impact and the overlapping episodes of each.
func (v *analyzer) finish() {
	v.limitSpan()
	episodes := v.analysis.Episodes
	slices.SortStableFunc(episodes, func(a, b Episode) int {
		return cmp.Or(
			cmp.Compare(a.Begin.Earliest, b.Begin.Earliest),
			cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Subject, b.Subject),
		)
	})
	for i := range episodes {
		e := &episodes[i]
		e.ID = i + 1
		e.Impact = v.analysis.impact(e.Begin.Earliest, e.End.Latest)
		for j := range episodes {
			if i != j && e.mayOverlap(&episodes[j]) {
				e.Overlaps = append(e.Overlaps, j+1)
			}
		}
	}
}

// limitSpan removes everything that does not overlap the requested time span.
func (v *analyzer) limitSpan() {
	a := v.analysis
	from, to := v.options.From, v.options.To
	if from == 0 && to == 0 {
		return
	}
	if to == 0 {
		to = a.To
	}
	a.Episodes = slices.DeleteFunc(a.Episodes, func(e Episode) bool { return e.End.Latest < from || e.Begin.Earliest > to })
	a.Seconds = slices.DeleteFunc(a.Seconds, func(s Second) bool { return s.Begin+second <= from || s.Begin > to })
	a.Knowledge = slices.DeleteFunc(a.Knowledge, func(s Span) bool { return s.To < from || s.From > to })
	a.From = max(a.From, from)
	a.To = min(a.To, to)
}

// mayOverlap reports whether two episodes overlap within their bounds.
func (e *Episode) mayOverlap(other *Episode) bool {
	return other.Begin.Earliest <= e.End.Latest && other.End.Latest >= e.Begin.Earliest
}

// impact sums the seconds that overlap a time span.
func (a *Analysis) impact(from, to clock.Micros) Impact {
	groups := map[string]*GroupImpact{}
	for sec := secondOf(from); sec <= to; sec += second {
		for key, g := range a.groups[sec] {
			sum := groups[key]
			if sum == nil {
				sum = &GroupImpact{Class: g.Class, Plan: g.Plan}
				groups[key] = sum
			}
			sum.Served += g.Served
			sum.Late += g.Late
			sum.Rejected += g.Rejected
			sum.Failed += g.Failed
			sum.WeightLost += g.WeightLost
		}
	}
	var impact Impact
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		g := groups[key]
		impact.Groups = append(impact.Groups, *g)
		impact.Served += g.Served
		impact.Late += g.Late
		impact.Rejected += g.Rejected
		impact.Failed += g.Failed
		impact.WeightLost += g.WeightLost
	}
	return impact
}
