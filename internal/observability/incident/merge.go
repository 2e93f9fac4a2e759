package incident

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"poppyarch/internal/observability/record"
	"poppyarch/internal/observability/sketch"
	"poppyarch/internal/timing/clock"
)

// mergeStreams merges the records of all brokers, on the reference's clock.
func (v *analyzer) mergeStreams() {
	v.analysis.groups = map[clock.Micros]map[string]*GroupImpact{}
	latencies := map[clock.Micros]*sketch.Sketch{}
	for i, s := range v.streams {
		offset := v.clocks[i].Offset
		v.mergeNodes(s, offset)
		v.mergeGroups(s, offset)
		mergeLatencies(latencies, s, offset)
	}
	for _, node := range v.nodes {
		node.sort()
	}
	v.analysis.Nodes = slices.Sorted(maps.Keys(v.nodes))
	for sec := secondOf(v.analysis.From); sec <= v.analysis.To; sec += second {
		v.analysis.Seconds = append(v.analysis.Seconds, v.second(sec, latencies[sec]))
	}
}

// node returns the view of the named node, creating it if necessary.
func (v *analyzer) node(name string) *nodeView {
	node := v.nodes[name]
	if node == nil {
		node = &nodeView{}
		v.nodes[name] = node
	}
	return node
}

// usualQuantile is the quantile of an incarnation's latencies at a node that counts as the highest usual latency.
const usualQuantile = 0.995

// mergeNodes adds the attempts of one incarnation at each node, and the nodes that its notes mention.
func (v *analyzer) mergeNodes(s *Stream, offset clock.Micros) {
	for name, from := range s.nodes {
		to := v.node(name)
		for _, at := range from.responses {
			to.responses = append(to.responses, at+offset)
		}
		to.timedOut = appendShifted(to.timedOut, from.timedOut, offset)
		to.refused = appendShifted(to.refused, from.refused, offset)
		var latency sketch.Sketch
		for _, bySecond := range from.latency {
			latency.Merge(bySecond)
		}
		to.usualLatency = max(to.usualLatency, quantile(&latency, usualQuantile))
	}
	for _, n := range s.notes {
		if (n.kind == record.KindNode || n.kind == record.KindEndpointList) && n.subject != "" {
			v.node(n.subject)
		}
	}
}

// appendShifted appends attempts with their times shifted by offset.
func appendShifted(to, from []attempt, offset clock.Micros) []attempt {
	for _, t := range from {
		to = append(to, attempt{sent: t.sent + offset, done: t.done + offset})
	}
	return to
}

func (n *nodeView) sort() {
	slices.Sort(n.responses)
	byTime := func(a, b attempt) int { return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.done, b.done)) }
	slices.SortFunc(n.timedOut, byTime)
	slices.SortFunc(n.refused, byTime)
}

// mergeGroups adds the request counts of one incarnation by second, class and plan.
func (v *analyzer) mergeGroups(s *Stream, offset clock.Micros) {
	for sec, byGroup := range s.groups {
		at := secondOf(sec + offset)
		impacts := v.analysis.groups[at]
		if impacts == nil {
			impacts = map[string]*GroupImpact{}
			v.analysis.groups[at] = impacts
		}
		for g, counts := range byGroup {
			class, plan := s.groupNames(g)
			key := class + " " + plan
			if impacts[key] == nil {
				impacts[key] = &GroupImpact{Class: class, Plan: plan}
			}
			impacts[key].add(counts)
		}
	}
}

// groupNames returns the names of a class and a plan, or their positions if the names are not recorded.
func (s *Stream) groupNames(g group) (class, plan string) {
	class = strconv.Itoa(int(g.class))
	if int(g.class) < len(s.Incarnation.Classes) {
		class = s.Incarnation.Classes[g.class].Name
	}
	plan = strconv.Itoa(int(g.plan))
	if int(g.plan) < len(s.Incarnation.Plans) {
		plan = s.Incarnation.Plans[g.plan].Name
	}
	return class, plan
}

func (g *GroupImpact) add(counts *groupCounts) {
	g.Served += counts.results[record.Served]
	g.Late += counts.late
	g.Rejected += counts.results[record.Rejected]
	g.Failed += counts.results[record.Failed] + counts.results[record.DeadlineExceeded]
	g.WeightLost += counts.weightLost
}

// mergeLatencies adds the latencies of one incarnation by second.
func mergeLatencies(latencies map[clock.Micros]*sketch.Sketch, s *Stream, offset clock.Micros) {
	for _, index := range s.latency {
		index.Build()
		for sec := secondOf(s.start()); sec <= s.end(); sec += second {
			latency := index.Span(int64(sec), int64(sec+second))
			if latency.Count() == 0 {
				continue
			}
			at := secondOf(sec + offset)
			if latencies[at] == nil {
				latencies[at] = &sketch.Sketch{}
			}
			latencies[at].Merge(latency)
		}
	}
}

func quantile(latency *sketch.Sketch, q float64) clock.Micros {
	return clock.Micros(latency.Quantile(q))
}

// second sums one second over all brokers. latency is nil if no request was served in it.
func (v *analyzer) second(sec clock.Micros, latency *sketch.Sketch) Second {
	sum := Second{Begin: sec}
	for _, g := range v.analysis.groups[sec] {
		sum.Served += g.Served
		sum.Late += g.Late
		sum.Rejected += g.Rejected
		sum.Failed += g.Failed
	}
	if latency != nil {
		sum.P50 = quantile(latency, 0.5)
		sum.P99 = quantile(latency, 0.99)
	}
	for _, name := range v.analysis.Brokers {
		if !v.isKnown(name, sec, sec+second) {
			sum.UnknownBrokers++
		}
	}
	return sum
}
