package incident

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"

	"poppyarch/internal/observability/record"
	"poppyarch/internal/observability/sketch"
	"poppyarch/internal/timing/clock"
)

// analyzer is everything on the reference's clock.
type analyzer struct {
	options  Options
	analysis *Analysis
	streams  []*Stream
	clocks   []Clock
	nodes    map[string]*nodeView
}

// nodeView is what all brokers saw of a node.
type nodeView struct {
	responses    []clock.Micros
	timedOut     []attempt
	refused      []attempt
	usualLatency clock.Micros // slowest usual answer
}

// Analyse works everything out. Streams may come in any order.
func Analyse(streams []*Stream, o Options) *Analysis {
	streams = slices.DeleteFunc(slices.Clone(streams), func(s *Stream) bool { return len(s.frames) == 0 })
	sort.Slice(streams, func(a, b int) bool {
		return cmp.Or(cmp.Compare(streams[a].Name, streams[b].Name), cmp.Compare(streams[a].start(), streams[b].start()), cmp.Compare(streams[a].ID, streams[b].ID)) < 0
	})
	v := &analyzer{options: o, streams: streams, analysis: &Analysis{Sampled: 1, groups: map[clock.Micros]map[string]*GroupImpact{}, Knowledge: []Span{}, Episodes: []Episode{}, Seconds: []Second{}},
		nodes: map[string]*nodeView{}}
	v.clocks = compareClocks(streams, o.NotificationTime, o.MaxClockSkew)
	v.analysis.Clocks = v.clocks
	for i, s := range streams {
		v.analysis.Events += s.events
		if s.Boot.SampleFraction > 0 {
			v.analysis.Sampled = min(v.analysis.Sampled, s.Boot.SampleFraction)
		}
		off := v.clocks[i].Offset
		if b := s.start() + off; v.analysis.From == 0 || b < v.analysis.From {
			v.analysis.From = b
		}
		v.analysis.To = max(v.analysis.To, s.end()+off)
		if !slices.Contains(v.analysis.Brokers, s.Name) {
			v.analysis.Brokers = append(v.analysis.Brokers, s.Name)
		}
	}
	if v.options.Now == 0 {
		v.options.Now = v.analysis.To
	}
	v.analysis.To = max(v.analysis.To, min(v.options.Now, v.analysis.To+second))
	v.collectKnowledge()
	v.mergeStreams()
	v.findBrokerDeaths()
	for _, name := range v.analysis.Nodes {
		v.findUnanswered(name, NodeSilent, v.nodes[name].timedOut)
		v.findUnanswered(name, NodeDown, v.nodes[name].refused)
	}
	v.findSlowNodes()
	v.findSurges()
	v.findNotedEpisodes()
	v.findRejections()
	v.finish()
	return v.analysis
}

// collectKnowledge brings the spans of all boots to one clock and fills what lies between boots.
func (v *analyzer) collectKnowledge() {
	for i := 0; i < len(v.streams); {
		j := i
		for j < len(v.streams) && v.streams[j].Name == v.streams[i].Name {
			j++
		}
		v.collectBrokerKnowledge(i, j)
		i = j
	}
	sort.SliceStable(v.analysis.Knowledge, func(x, y int) bool {
		a, b := v.analysis.Knowledge[x], v.analysis.Knowledge[y]
		return cmp.Or(cmp.Compare(a.Broker, b.Broker), cmp.Compare(a.From, b.From)) < 0
	})
}

// collectBrokerKnowledge does it for one broker's boots, from i to before j.
func (v *analyzer) collectBrokerKnowledge(i, j int) {
	name := v.streams[i].Name
	var spans []Span
	at := v.analysis.From
	for k := i; k < j; k++ {
		s, off := v.streams[k], v.clocks[k].Offset
		begin, end := s.start()+off, s.end()+off
		if k == i && begin > v.analysis.From {
			spans = append(spans, Span{Broker: name, State: NotRecorded, From: v.analysis.From, To: begin, Text: "no records before"})
		}
		spans = append(spans, Span{Broker: name, Boot: s.ID, State: Known, From: max(begin, at), To: end})
		for _, h := range s.knowledge() {
			h.From, h.To = h.From+off, h.To+off
			spans = append(spans, h)
		}
		next := v.analysis.To
		if k+1 < j {
			next = v.streams[k+1].start() + v.clocks[k+1].Offset
		}
		period := s.heartbeatInterval()
		switch {
		case next <= end && k+1 < j: // two boots under one name at once, or a clock that was set back
			spans = append(spans, Span{Broker: name, Boot: s.ID, State: Known, From: next, To: end,
				Text: "two boots of this name at once, by clocks known to " + fmt.Sprint(v.clocks[k].Error+v.clocks[k+1].Error, " µs")})
		case s.stopped:
			spans = append(spans, Span{Broker: name, Boot: s.ID, State: Stopped, From: end, To: next})
		case k+1 == j && v.options.Now-end <= 3*period:
			spans = append(spans, Span{Broker: name, Boot: s.ID, State: NotRecorded, From: end, To: next, Text: "it may still run"})
		default:
			spans = append(spans, Span{Broker: name, Boot: s.ID, State: Dead, From: end, To: next, Slack: min(period, max(next-end, 0))})
		}
		at = next
	}
	v.analysis.Knowledge = append(v.analysis.Knowledge, subtractHoles(spans)...)
}

// subtractHoles takes the holes of a broker out of what is known of it.
func subtractHoles(spans []Span) (out []Span) {
	var known, holes []Span
	for _, s := range spans {
		if s.State == Known {
			known = append(known, s)
		} else {
			holes = append(holes, s)
		}
	}
	sort.SliceStable(holes, func(a, b int) bool { return holes[a].From < holes[b].From })
	for _, k := range known {
		at := k.From
		for _, h := range holes {
			if h.To <= at || h.From >= k.To {
				continue
			}
			if h.From > at {
				part := k
				part.From, part.To = at, h.From
				out = append(out, part)
			}
			at = max(at, h.To)
		}
		if at < k.To {
			k.From = at
			out = append(out, k)
		}
	}
	for _, h := range holes {
		if h.To > h.From {
			out = append(out, h)
		}
	}
	return out
}

// mergeStreams combines what all brokers saw, on the reference's clock.
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

// node returns the named node's view, which it creates.
func (v *analyzer) node(name string) *nodeView {
	node := v.nodes[name]
	if node == nil {
		node = &nodeView{}
		v.nodes[name] = node
	}
	return node
}

// usualQuantile is the quantile of an incarnation's latencies that counts as the slowest usual answer.
const usualQuantile = 0.995

// mergeNodes adds what one incarnation saw of each node.
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
		if (n.kind == record.KindNode || n.kind == record.KindList) && n.subject != "" {
			v.node(n.subject)
		}
	}
}

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

// mergeGroups adds one incarnation's requests, by second, class and plan.
func (v *analyzer) mergeGroups(s *Stream, offset clock.Micros) {
	for sec, byGroup := range s.groups {
		at := secondOf(sec + offset)
		impacts := v.analysis.groups[at]
		if impacts == nil {
			impacts = map[string]*GroupImpact{}
			v.analysis.groups[at] = impacts
		}
		for g, counted := range byGroup {
			class, plan := s.groupNames(g)
			key := class + " " + plan
			if impacts[key] == nil {
				impacts[key] = &GroupImpact{Class: class, Plan: plan}
			}
			impacts[key].add(counted)
		}
	}
}

// groupNames returns the names of a class and a plan; their numbers where the names are not recorded.
func (s *Stream) groupNames(g group) (class, plan string) {
	class = strconv.Itoa(int(g.class))
	if int(g.class) < len(s.Boot.Classes) {
		class = s.Boot.Classes[g.class].Name
	}
	plan = strconv.Itoa(int(g.plan))
	if int(g.plan) < len(s.Boot.Plans) {
		plan = s.Boot.Plans[g.plan].Name
	}
	return class, plan
}

func (g *GroupImpact) add(t *groupCounts) {
	g.Served += t.count[record.Served]
	g.Late += t.late
	g.Refused += t.count[record.Rejected]
	g.Failed += t.count[record.Failed] + t.count[record.DeadlineExceeded]
	g.Worth += t.worth
}

// mergeLatencies adds one incarnation's latencies, by second.
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

// quantile returns a quantile of latencies.
func quantile(latency *sketch.Sketch, q float64) clock.Micros {
	return clock.Micros(latency.Quantile(q))
}

// second sums one second over all brokers. latency is nil if nothing was served.
func (v *analyzer) second(sec clock.Micros, latency *sketch.Sketch) Second {
	sum := Second{At: sec}
	for _, g := range v.analysis.groups[sec] {
		sum.Served += g.Served
		sum.Late += g.Late
		sum.Refused += g.Refused
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

// isKnown reports whether anything is known of a broker within a span.
func (v *analyzer) isKnown(broker string, from, to clock.Micros) bool {
	for _, s := range v.analysis.Knowledge {
		if s.Broker == broker && s.State == Known && s.From < to && s.To > from {
			return true
		}
	}
	return false
}

// describeGaps words the gaps that a span of time touches, so that a bound in it can be doubted.
func (v *analyzer) describeGaps(from, to clock.Micros) (out []string) {
	for _, s := range v.analysis.Knowledge {
		if s.State != Known && s.State != NotRecorded && s.From < to && s.To > from {
			out = append(out, fmt.Sprintf("%s: %s from %s to %s", s.Broker, s.State, FormatTime(s.From), FormatTime(s.To)))
		}
	}
	return out
}

func (v *analyzer) addEpisode(e Episode) {
	e.Begin.Latest, e.End.Latest = max(e.Begin.Latest, e.Begin.Earliest), max(e.End.Latest, e.End.Earliest)
	for _, b := range []Bound{e.Begin, e.End} {
		if e.Kind == BrokerDead || e.Kind == BrokerDrain || e.Kind == Rollout {
			break // its own records say it, whatever others know
		}
		for _, g := range v.describeGaps(b.Earliest, b.Latest) {
			if !slices.Contains(e.Doubt, g) && !strings.HasPrefix(g, e.Subject+": ") {
				e.Doubt = append(e.Doubt, g)
			}
		}
	}
	v.analysis.Episodes = append(v.analysis.Episodes, e)
}
