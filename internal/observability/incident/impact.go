package incident

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"

	"poppyarch/internal/timing/clock"
)

// findRejections finds seconds in which clients were turned away.
func (v *analyzer) findRejections() {
	var slots []clock.Micros
	worst := 0.0
	for _, s := range v.analysis.Seconds {
		all := s.Served + s.Refused + s.Failed
		if s.Refused >= 5 && float64(s.Refused) > v.options.RejectedShare*float64(all) {
			slots = append(slots, s.At)
			worst = max(worst, float64(s.Refused)/float64(all))
		}
	}
	for _, r := range joinSeconds(slots, 2*second) {
		v.addEpisode(Episode{Kind: Refusals, Subject: "clients", Begin: Bound{r.Earliest, r.Earliest + second}, End: Bound{r.Latest, r.Latest + second},
			Evidence: []string{fmt.Sprintf("up to %.0f %% of a second's answers", 100*worst)}})
	}
}

// finish sorts, numbers, joins and weighs the episodes.
func (v *analyzer) finish() {
	a := v.analysis
	if v.options.From > 0 || v.options.To > 0 {
		to := v.options.To
		if to == 0 {
			to = a.To
		}
		a.Episodes = slices.DeleteFunc(a.Episodes, func(e Episode) bool { return e.End.Latest < v.options.From || e.Begin.Earliest > to })
		a.Seconds = slices.DeleteFunc(a.Seconds, func(s Second) bool { return s.At+second <= v.options.From || s.At > to })
		a.Knowledge = slices.DeleteFunc(a.Knowledge, func(s Span) bool { return s.To < v.options.From || s.From > to })
		a.From, a.To = max(a.From, v.options.From), min(a.To, to)
	}
	sort.SliceStable(a.Episodes, func(x, y int) bool {
		p, q := a.Episodes[x], a.Episodes[y]
		return cmp.Or(cmp.Compare(p.Begin.Earliest, q.Begin.Earliest), cmp.Compare(p.Kind, q.Kind), cmp.Compare(p.Subject, q.Subject)) < 0
	})
	for i := range a.Episodes {
		e := &a.Episodes[i]
		e.ID = i + 1
		e.Impact = a.impact(e.Begin.Earliest, e.End.Latest)
		for j := range a.Episodes {
			if o := &a.Episodes[j]; i != j && o.Begin.Earliest <= e.End.Latest && o.End.Latest >= e.Begin.Earliest {
				e.Overlaps = append(e.Overlaps, j+1)
			}
		}
	}
}

// impact sums the seconds that a span touches.
func (a *Analysis) impact(from, to clock.Micros) (out Impact) {
	byGroup := map[string]*GroupImpact{}
	for sec := secondOf(from); sec <= to; sec += second {
		for k, g := range a.groups[sec] {
			x := byGroup[k]
			if x == nil {
				x = &GroupImpact{Class: g.Class, Plan: g.Plan}
				byGroup[k] = x
			}
			x.Served += g.Served
			x.Late += g.Late
			x.Refused += g.Refused
			x.Failed += g.Failed
			x.Worth += g.Worth
		}
	}
	for _, k := range slices.Sorted(maps.Keys(byGroup)) {
		g := byGroup[k]
		out.Groups = append(out.Groups, *g)
		out.Served += g.Served
		out.Late += g.Late
		out.Refused += g.Refused
		out.Failed += g.Failed
		out.Worth += g.Worth
	}
	return out
}
