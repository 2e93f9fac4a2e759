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
)

// view is everything on the reference's clock.
type view struct {
	o      Options
	a      *Analysis
	s      []*Stream
	clocks []Clock
	nodes  map[string]*nodeView
}

// nodeView is what all brokers saw of a node.
type nodeView struct {
	answers []int64
	silent  []try
	refused []try
	usual   int64 // slowest usual answer
}

// Analyse works everything out. Streams may come in any order.
func Analyse(streams []*Stream, o Options) *Analysis {
	streams = slices.DeleteFunc(slices.Clone(streams), func(s *Stream) bool { return len(s.frames) == 0 })
	sort.Slice(streams, func(a, b int) bool {
		return cmp.Or(cmp.Compare(streams[a].Name, streams[b].Name), cmp.Compare(streams[a].begin(), streams[b].begin()), cmp.Compare(streams[a].ID, streams[b].ID)) < 0
	})
	v := &view{o: o, s: streams, a: &Analysis{Sampled: 1, groups: map[int64]map[string]*GroupImpact{}, Knowledge: []Span{}, Episodes: []Episode{}, Seconds: []Second{}},
		nodes: map[string]*nodeView{}}
	v.clocks = clocks(streams, o.Notice, o.Wall)
	v.a.Clocks = v.clocks
	for i, s := range streams {
		v.a.Events += s.events
		if s.Boot.Sample > 0 {
			v.a.Sampled = min(v.a.Sampled, s.Boot.Sample)
		}
		off := v.clocks[i].Offset
		if b := s.begin() + off; v.a.From == 0 || b < v.a.From {
			v.a.From = b
		}
		v.a.To = max(v.a.To, s.end()+off)
		if !slices.Contains(v.a.Brokers, s.Name) {
			v.a.Brokers = append(v.a.Brokers, s.Name)
		}
	}
	if v.o.Now == 0 {
		v.o.Now = v.a.To
	}
	v.a.To = max(v.a.To, min(v.o.Now, v.a.To+second))
	v.knowledge()
	v.merge()
	v.brokers()
	for _, name := range v.a.Nodes {
		v.unanswered(name, NodeSilent, v.nodes[name].silent)
		v.unanswered(name, NodeDown, v.nodes[name].refused)
	}
	v.slow()
	v.surges()
	v.fromNotes()
	v.refusals()
	v.finish()
	return v.a
}

// knowledge brings the spans of all boots to one clock and fills what lies between boots.
func (v *view) knowledge() {
	for i := 0; i < len(v.s); {
		j := i
		for j < len(v.s) && v.s[j].Name == v.s[i].Name {
			j++
		}
		v.broker(i, j)
		i = j
	}
	sort.SliceStable(v.a.Knowledge, func(x, y int) bool {
		a, b := v.a.Knowledge[x], v.a.Knowledge[y]
		return cmp.Or(cmp.Compare(a.Broker, b.Broker), cmp.Compare(a.From, b.From)) < 0
	})
}

// broker does it for one broker's boots, from i to before j.
func (v *view) broker(i, j int) {
	name := v.s[i].Name
	var spans []Span
	at := v.a.From
	for k := i; k < j; k++ {
		s, off := v.s[k], v.clocks[k].Offset
		begin, end := s.begin()+off, s.end()+off
		if k == i && begin > v.a.From {
			spans = append(spans, Span{Broker: name, State: NotRecorded, From: v.a.From, To: begin, Text: "no records before"})
		}
		spans = append(spans, Span{Broker: name, Boot: s.ID, State: Known, From: max(begin, at), To: end})
		for _, h := range s.knowledge() {
			h.From, h.To = h.From+off, h.To+off
			spans = append(spans, h)
		}
		next := v.a.To
		if k+1 < j {
			next = v.s[k+1].begin() + v.clocks[k+1].Offset
		}
		period := s.period()
		switch {
		case next <= end && k+1 < j: // two boots under one name at once, or a clock that was set back
			spans = append(spans, Span{Broker: name, Boot: s.ID, State: Known, From: next, To: end,
				Text: "two boots of this name at once, by clocks known to " + fmt.Sprint(v.clocks[k].Error+v.clocks[k+1].Error, " µs")})
		case s.stopped:
			spans = append(spans, Span{Broker: name, Boot: s.ID, State: Stopped, From: end, To: next})
		case k+1 == j && v.o.Now-end <= 3*period:
			spans = append(spans, Span{Broker: name, Boot: s.ID, State: NotRecorded, From: end, To: next, Text: "it may still run"})
		default:
			spans = append(spans, Span{Broker: name, Boot: s.ID, State: Dead, From: end, To: next, Slack: min(period, max(next-end, 0))})
		}
		at = next
	}
	v.a.Knowledge = append(v.a.Knowledge, carve(spans)...)
}

// carve takes the holes of a broker out of what is known of it.
func carve(spans []Span) (out []Span) {
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

// merge combines what all brokers saw, on the reference's clock.
func (v *view) merge() {
	v.a.groups = map[int64]map[string]*GroupImpact{}
	latencies := map[int64]*sketch.Sketch{}
	for i, s := range v.s {
		offset := v.clocks[i].Offset
		v.mergeNodes(s, offset)
		v.mergeGroups(s, offset)
		mergeLatencies(latencies, s, offset)
	}
	for _, node := range v.nodes {
		node.sort()
	}
	v.a.Nodes = slices.Sorted(maps.Keys(v.nodes))
	for sec := slot(v.a.From); sec <= v.a.To; sec += second {
		v.a.Seconds = append(v.a.Seconds, v.second(sec, latencies[sec]))
	}
}

// node returns the named node's view, which it creates.
func (v *view) node(name string) *nodeView {
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
func (v *view) mergeNodes(s *Stream, offset int64) {
	for name, from := range s.nodes {
		to := v.node(name)
		for _, at := range from.answers {
			to.answers = append(to.answers, at+offset)
		}
		to.silent = appendShifted(to.silent, from.silent, offset)
		to.refused = appendShifted(to.refused, from.refused, offset)
		var latency sketch.Sketch
		for _, bySecond := range from.latency {
			latency.Merge(bySecond)
		}
		to.usual = max(to.usual, latency.Quantile(usualQuantile))
	}
	for _, n := range s.notes {
		if (n.kind == record.KindNode || n.kind == record.KindList) && n.subject != "" {
			v.node(n.subject)
		}
	}
}

func appendShifted(to, from []try, offset int64) []try {
	for _, t := range from {
		to = append(to, try{sent: t.sent + offset, done: t.done + offset})
	}
	return to
}

func (n *nodeView) sort() {
	slices.Sort(n.answers)
	byTime := func(a, b try) int { return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.done, b.done)) }
	slices.SortFunc(n.silent, byTime)
	slices.SortFunc(n.refused, byTime)
}

// mergeGroups adds one incarnation's requests, by second, class and plan.
func (v *view) mergeGroups(s *Stream, offset int64) {
	for sec, byGroup := range s.groups {
		at := slot(sec + offset)
		impacts := v.a.groups[at]
		if impacts == nil {
			impacts = map[string]*GroupImpact{}
			v.a.groups[at] = impacts
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

func (g *GroupImpact) add(t *tally) {
	g.Served += t.count[record.Served]
	g.Late += t.late
	g.Refused += t.count[record.Refused]
	g.Failed += t.count[record.Failed] + t.count[record.Overdue]
	g.Worth += t.worth
}

// mergeLatencies adds one incarnation's latencies, by second.
func mergeLatencies(latencies map[int64]*sketch.Sketch, s *Stream, offset int64) {
	for _, index := range s.latency {
		index.Build()
		for sec := slot(s.begin()); sec <= s.end(); sec += second {
			latency := index.Span(sec, sec+second)
			if latency.Count() == 0 {
				continue
			}
			at := slot(sec + offset)
			if latencies[at] == nil {
				latencies[at] = &sketch.Sketch{}
			}
			latencies[at].Merge(latency)
		}
	}
}

// second sums one second over all brokers. latency is nil if nothing was served.
func (v *view) second(sec int64, latency *sketch.Sketch) Second {
	sum := Second{At: sec}
	for _, g := range v.a.groups[sec] {
		sum.Served += g.Served
		sum.Late += g.Late
		sum.Refused += g.Refused
		sum.Failed += g.Failed
	}
	if latency != nil {
		sum.P50 = latency.Quantile(0.5)
		sum.P99 = latency.Quantile(0.99)
	}
	for _, name := range v.a.Brokers {
		if !v.knows(name, sec, sec+second) {
			sum.Blind++
		}
	}
	return sum
}

// knows reports whether anything is known of a broker within a span.
func (v *view) knows(broker string, from, to int64) bool {
	for _, s := range v.a.Knowledge {
		if s.Broker == broker && s.State == Known && s.From < to && s.To > from {
			return true
		}
	}
	return false
}

// gaps words the gaps that a span of time touches, so that a bound in it can be doubted.
func (v *view) gaps(from, to int64) (out []string) {
	for _, s := range v.a.Knowledge {
		if s.State != Known && s.State != NotRecorded && s.From < to && s.To > from {
			out = append(out, fmt.Sprintf("%s: %s from %s to %s", s.Broker, s.State, Clockface(s.From), Clockface(s.To)))
		}
	}
	return out
}

func (v *view) add(e Episode) {
	e.Begin.Hi, e.End.Hi = max(e.Begin.Hi, e.Begin.Lo), max(e.End.Hi, e.End.Lo)
	for _, b := range []Bound{e.Begin, e.End} {
		if e.Kind == BrokerDead || e.Kind == BrokerDrain || e.Kind == Rollout {
			break // its own records say it, whatever others know
		}
		for _, g := range v.gaps(b.Lo, b.Hi) {
			if !slices.Contains(e.Doubt, g) && !strings.HasPrefix(g, e.Subject+": ") {
				e.Doubt = append(e.Doubt, g)
			}
		}
	}
	v.a.Episodes = append(v.a.Episodes, e)
}
