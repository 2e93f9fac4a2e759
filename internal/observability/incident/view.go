package incident

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
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

// merge brings what all brokers saw together.
func (v *view) merge() {
	all := map[int64]map[string]*GroupImpact{}
	lat := map[int64]*sketch.Sketch{}
	for i, s := range v.s {
		off := v.clocks[i].Offset
		for name, n := range s.nodes {
			w := v.nodes[name]
			if w == nil {
				w = &nodeView{}
				v.nodes[name] = w
			}
			for _, t := range n.answers {
				w.answers = append(w.answers, t+off)
			}
			for _, t := range n.silent {
				w.silent = append(w.silent, try{t.sent + off, t.done + off})
			}
			for _, t := range n.refused {
				w.refused = append(w.refused, try{t.sent + off, t.done + off})
			}
			var k sketch.Sketch
			for _, x := range n.latency {
				k.Merge(x)
			}
			w.usual = max(w.usual, k.Quantile(0.995))
		}
		for _, n := range s.notes {
			if (n.kind == record.KindNode || n.kind == record.KindList) && v.nodes[n.subject] == nil && n.subject != "" {
				v.nodes[n.subject] = &nodeView{}
			}
		}
		for sec, byGroup := range s.groups {
			at := slot(sec + off)
			m := all[at]
			if m == nil {
				m = map[string]*GroupImpact{}
				all[at] = m
			}
			for g, t := range byGroup {
				class, plan := fmt.Sprint(g.class), fmt.Sprint(g.plan)
				if int(g.class) < len(s.Boot.Classes) {
					class = s.Boot.Classes[g.class].Name
				}
				if int(g.plan) < len(s.Boot.Plans) {
					plan = s.Boot.Plans[g.plan].Name
				}
				x := m[class+" "+plan]
				if x == nil {
					x = &GroupImpact{Class: class, Plan: plan}
					m[class+" "+plan] = x
				}
				x.Served += t.count[record.Served]
				x.Late += t.late
				x.Refused += t.count[record.Refused]
				x.Failed += t.count[record.Failed] + t.count[record.Overdue]
				x.Worth += t.worth
			}
		}
		for _, x := range s.latency {
			x.Build()
			for sec := slot(s.begin()); sec <= s.end(); sec += second {
				if k := x.Span(sec, sec+second); k.Count() > 0 {
					at := slot(sec + off)
					if lat[at] == nil {
						lat[at] = &sketch.Sketch{}
					}
					lat[at].Merge(k)
				}
			}
		}
	}
	for _, w := range v.nodes {
		slices.Sort(w.answers)
		byTime := func(a, b try) int { return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.done, b.done)) }
		slices.SortFunc(w.silent, byTime)
		slices.SortFunc(w.refused, byTime)
	}
	v.a.Nodes = slices.Sorted(maps.Keys(v.nodes))
	v.a.groups = all
	for sec := slot(v.a.From); sec <= v.a.To; sec += second {
		out := Second{At: sec}
		for _, g := range all[sec] {
			out.Served += g.Served
			out.Late += g.Late
			out.Refused += g.Refused
			out.Failed += g.Failed
		}
		if k := lat[sec]; k != nil {
			out.P50, out.P99 = k.Quantile(0.5), k.Quantile(0.99)
		}
		for _, name := range v.a.Brokers {
			if !v.knows(name, sec, sec+second) {
				out.Blind++
			}
		}
		v.a.Seconds = append(v.a.Seconds, out)
	}
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
