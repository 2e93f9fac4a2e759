package incident

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"poppyarch/internal/record"
	"poppyarch/internal/sketch"
)

// Options are an analysis's assumptions. Times are microseconds.
type Options struct {
	From, To int64 // only what touches this span; 0: everything
	Now      int64 // of the reference; a boot without a word for three heartbeats before it is dead; 0: the latest word
	Notice   int64 // a list version is told to every broker within this
	Wall     int64 // wall clocks of machines differ by at most this
	Slow     float64
	Surge    float64
	Refused  float64
}

// DefaultOptions suit brokers on machines whose clocks are kept.
func DefaultOptions() Options {
	return Options{Notice: 500_000, Wall: 1_000_000, Slow: 3, Surge: 4, Refused: 0.05}
}

// Kind is what an episode is.
type Kind string

// The kinds of episodes.
const (
	BrokerDead    Kind = "broker dead"
	BrokerDrain   Kind = "broker drains"
	NodeSilent    Kind = "node silent"
	NodeDown      Kind = "node down" // refuses or resets connections
	NodeCold      Kind = "node cold" // it has restarted, and is not yet as quick as usual
	NodeSlow      Kind = "node slow"
	NodeDrain     Kind = "node drains"
	VolumeSurge   Kind = "surge"
	DiscoveryDown Kind = "discovery down"
	Refusals      Kind = "refusals"
	Rollout       Kind = "rollout"
)

// Bound is a time that is known to lie between two.
type Bound struct {
	Lo int64 `json:"lo"`
	Hi int64 `json:"hi"`
}

// Episode is something that went on for a while.
type Episode struct {
	ID       int      `json:"id"`
	Kind     Kind     `json:"kind"`
	Subject  string   `json:"subject"`
	Begin    Bound    `json:"begin"`
	End      Bound    `json:"end"`
	Open     bool     `json:"open,omitempty"` // it had not ended by the last record
	Evidence []string `json:"evidence"`
	Doubt    []string `json:"doubt,omitempty"`    // gaps that its bounds fall into
	Overlaps []int    `json:"overlaps,omitempty"` // ids of episodes that it may share time with
	Impact   Impact   `json:"impact"`
}

// Impact is what came to all clients while an episode went on, by its widest bounds.
type Impact struct {
	Served  int64         `json:"served"`
	Late    int64         `json:"late"`
	Refused int64         `json:"refused"`
	Failed  int64         `json:"failed"`
	Worth   float64       `json:"worth"` // of the late, refused and failed: class worth, times price, times units
	Groups  []GroupImpact `json:"groups,omitempty"`
}

// GroupImpact is the share of one class and plan.
type GroupImpact struct {
	Class   string  `json:"class"`
	Plan    string  `json:"plan"`
	Served  int64   `json:"served"`
	Late    int64   `json:"late"`
	Refused int64   `json:"refused"`
	Failed  int64   `json:"failed"`
	Worth   float64 `json:"worth"`
}

// Second is what was answered in one second, over all brokers whose records are there.
type Second struct {
	At      int64 `json:"at"`
	Served  int64 `json:"served"`
	Late    int64 `json:"late"`
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
	P50     int64 `json:"p50"`
	P99     int64 `json:"p99"`
	Blind   int   `json:"blind"` // brokers of which nothing is known in it
}

// Analysis is the outcome.
type Analysis struct {
	From      int64     `json:"from"`
	To        int64     `json:"to"`
	Brokers   []string  `json:"brokers"`
	Nodes     []string  `json:"nodes"`
	Clocks    []Clock   `json:"clocks"`
	Knowledge []Span    `json:"knowledge"`
	Episodes  []Episode `json:"episodes"`
	Seconds   []Second  `json:"seconds"`
	Events    int       `json:"events"`
	Sampled   float64   `json:"sampled"` // the least share of requests that any boot recorded

	groups map[int64]map[string]*GroupImpact
}

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

// brokers makes episodes of deaths.
func (v *view) brokers() {
	for _, s := range v.a.Knowledge {
		if s.State != Dead {
			continue
		}
		e := Episode{Kind: BrokerDead, Subject: s.Broker, Begin: Bound{s.From, s.From + s.Slack}, End: Bound{s.To, s.To},
			Evidence: []string{fmt.Sprintf("boot %s has its last word at %s and never said that it stopped", s.Boot, Clockface(s.From))}}
		if s.To >= v.a.To {
			e.Open = true
		} else {
			e.Evidence = append(e.Evidence, fmt.Sprintf("another boot begins at %s", Clockface(s.To)))
		}
		v.add(e)
	}
}

// unanswered finds the times in which a node gave nobody an answer. What proves it are attempts that waited for much
// longer than its usual answers take while no answer came to anyone. Their begin lies after the last answer, and at the
// latest when the first of them should have been answered; their end after the last of them was sent, and before the next answer.
func (v *view) unanswered(name string, kind Kind, tries []try) {
	n := v.nodes[name]
	usual := max(n.usual, 1000)
	after := func(t int64) int { return sort.Search(len(n.answers), func(i int) bool { return n.answers[i] > t }) }
	type run struct {
		first, last try // by their times of sending
		sent        int64
		n           int
	}
	var runs []run
	for _, t := range tries {
		if kind == NodeSilent {
			if t.done-t.sent < 2*usual {
				continue // it may just have been slow
			}
			if k := after(t.sent + usual); k < len(n.answers) && n.answers[k] < t.done {
				continue // others were answered meanwhile: this one was lost on the way
			}
		}
		if k := len(runs) - 1; k >= 0 {
			r := &runs[k]
			if i := after(r.sent); i == len(n.answers) || n.answers[i] > t.sent+usual {
				r.last, r.sent, r.n = t, max(r.sent, t.sent), r.n+1
				continue
			}
		}
		runs = append(runs, run{t, t, t.sent, 1})
	}
	word := map[Kind]string{NodeSilent: "without an answer", NodeDown: "whose connection was refused or broke"}[kind]
	for _, r := range runs {
		if r.n < 2 {
			continue // one attempt proves little
		}
		e := Episode{Kind: kind, Subject: name, Evidence: []string{fmt.Sprintf("%d attempts %s, sent from %s to %s", r.n, word,
			Clockface(r.first.sent), Clockface(r.sent))}}
		limit := r.first.sent + usual
		if kind == NodeDown {
			limit = r.first.done
		}
		e.Begin = Bound{v.a.From, limit}
		if i := after(limit) - 1; i >= 0 {
			e.Begin.Lo = n.answers[i]
			e.Evidence = append(e.Evidence, "last answer before at "+Clockface(n.answers[i]))
		}
		e.End = Bound{r.sent, v.a.To}
		if i := after(r.sent); i < len(n.answers) {
			// An answer that came shortly after may have been made before.
			e.End.Hi = n.answers[i]
			e.Evidence = append(e.Evidence, "next answer at "+Clockface(n.answers[i]))
		} else {
			e.Open = true
		}
		v.add(e)
	}
}

// runs joins slots that lie no more than gap apart.
func runsOf(slots []int64, gap int64) (out []Bound) {
	slices.Sort(slots)
	for _, s := range slots {
		if k := len(out) - 1; k >= 0 && s-out[k].Hi <= gap {
			out[k].Hi = s
		} else {
			out = append(out, Bound{s, s})
		}
	}
	return out
}

// medians are a node's answers by seconds, over all brokers, and the middle of the seconds' medians; 0: too little is known.
func (v *view) medians(name string) (bySec map[int64]*sketch.Sketch, usual int64) {
	bySec = map[int64]*sketch.Sketch{}
	for i, s := range v.s {
		if n := s.nodes[name]; n != nil {
			for sec, k := range n.latency {
				at := slot(sec + v.clocks[i].Offset)
				if bySec[at] == nil {
					bySec[at] = &sketch.Sketch{}
				}
				bySec[at].Merge(k)
			}
		}
	}
	var medians []int64
	for _, k := range bySec {
		if k.Count() >= 5 {
			medians = append(medians, k.Quantile(0.5))
		}
	}
	if len(medians) < 10 {
		return bySec, 0
	}
	slices.Sort(medians)
	return bySec, max(medians[len(medians)/2], 500)
}

// slow finds seconds in which a node's median was far above its own usual one.
func (v *view) slow() {
	for _, name := range v.a.Nodes {
		bySec, usual := v.medians(name)
		if usual == 0 {
			continue
		}
		var slots []int64
		worst := int64(0)
		for at, k := range bySec {
			if k.Count() >= 5 && float64(k.Quantile(0.5)) > v.o.Slow*float64(usual) {
				slots = append(slots, at)
				worst = max(worst, k.Quantile(0.5))
			}
		}
		for _, r := range runsOf(slots, 2*second) {
			if r.Hi-r.Lo < second { // a second alone may be a pause
				continue
			}
			v.add(Episode{Kind: NodeSlow, Subject: name, Begin: Bound{r.Lo - second, r.Lo + second}, End: Bound{r.Hi, r.Hi + 2*second},
				Evidence: []string{fmt.Sprintf("median answers of up to %d ms, usually %d ms", worst/1000, usual/1000)}})
		}
	}
}

// surges finds volumes that ask for far more than usual.
func (v *view) surges() {
	volumes := map[string]map[int64]float64{}
	for i, s := range v.s {
		share := s.Boot.Sample
		if share <= 0 {
			share = 1
		}
		for name, bySec := range s.volumes {
			m := volumes[name]
			if m == nil {
				m = map[int64]float64{}
				volumes[name] = m
			}
			for sec, n := range bySec {
				m[slot(sec+v.clocks[i].Offset)] += float64(n) / share
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(volumes)) {
		m := volumes[name]
		var rates []float64
		for sec := slot(v.a.From); sec <= v.a.To; sec += second {
			rates = append(rates, m[sec]) // seconds without a request count as well
		}
		if len(rates) < 10 {
			continue
		}
		slices.Sort(rates)
		usual := rates[len(rates)/2]
		var slots []int64
		worst := 0.0
		for sec, n := range m {
			if n > v.o.Surge*usual && n >= usual+10 {
				slots = append(slots, sec)
				worst = max(worst, n)
			}
		}
		for _, r := range runsOf(slots, 2*second) {
			if r.Hi-r.Lo < second {
				continue
			}
			v.add(Episode{Kind: VolumeSurge, Subject: name, Begin: Bound{r.Lo - second, r.Lo + second}, End: Bound{r.Hi, r.Hi + 2*second},
				Evidence: []string{fmt.Sprintf("up to %.0f requests a second, usually %.0f", worst, usual)}})
		}
	}
}

// at is a note on the reference's clock.
type at struct {
	note
	broker string
	error  int64
}

// fromNotes finds what brokers noted themselves: drains, discovery, restarts, rollouts.
func (v *view) fromNotes() {
	var all []at
	for i, s := range v.s {
		for _, n := range s.notes {
			n.at += v.clocks[i].Offset
			all = append(all, at{n, s.Name, v.clocks[i].Error})
		}
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].at < all[b].at })
	v.drains(all)
	v.discovery(all)
	v.restarts(all)
	v.rollouts(all)
	for i, s := range v.s {
		for _, n := range s.notes {
			if n.kind == record.KindDrain {
				from := n.at + v.clocks[i].Offset
				end := s.end() + v.clocks[i].Offset
				v.add(Episode{Kind: BrokerDrain, Subject: s.Name, Begin: Bound{from, from}, End: Bound{end, end}, Open: !s.stopped,
					Evidence: []string{"boot " + s.ID + " noted it"}})
			}
		}
	}
}

// drains joins what brokers were told of a node. Each is told within the notice time, so the true change lies up to
// that much before the first.
func (v *view) drains(all []at) {
	type open struct {
		first, last int64
		who         []string
	}
	on := map[string]*open{}
	end := func(node string, b Bound, opened bool) {
		o := on[node]
		delete(on, node)
		v.add(Episode{Kind: NodeDrain, Subject: node, Begin: Bound{o.first - v.o.Notice, o.first}, End: b, Open: opened,
			Evidence: []string{fmt.Sprintf("told to %s from %s to %s", strings.Join(o.who, " "), Clockface(o.first), Clockface(o.last))}})
	}
	for _, n := range all {
		if n.kind != record.KindList {
			continue
		}
		o := on[n.subject]
		switch {
		case n.text == "draining" || strings.HasPrefix(n.text, "known draining"):
			if o == nil {
				o = &open{first: n.at}
				on[n.subject] = o
			}
			o.last = n.at
			if !slices.Contains(o.who, n.broker) {
				o.who = append(o.who, n.broker)
			}
		case (n.text == "up" || n.text == "gone") && o != nil:
			end(n.subject, Bound{n.at - v.o.Notice, n.at}, false)
		}
	}
	for _, node := range slices.Sorted(maps.Keys(on)) {
		end(node, Bound{v.a.To, v.a.To}, true)
	}
}

// hangs is how long a watch call may hang before a broker gives it up.
const hangs = 2_500_000

func (v *view) discovery(all []at) {
	down := map[string]int64{} // brokers that found it down, since
	var from Bound
	var who []string
	end := func(b Bound, opened bool) {
		v.add(Episode{Kind: DiscoveryDown, Subject: "discovery", Begin: from, End: b, Open: opened, Evidence: []string{"found by " + strings.Join(who, " ")}})
		who = nil
		clear(down)
	}
	for _, n := range all {
		if n.kind == record.KindBoot {
			delete(down, n.broker)
		}
		if n.kind != record.KindDiscovery {
			continue
		}
		if strings.HasPrefix(n.text, "down") {
			if len(down) == 0 && len(who) == 0 {
				from = Bound{n.at - hangs, n.at}
			}
			down[n.broker] = n.at
			if !slices.Contains(who, n.broker) {
				who = append(who, n.broker)
			}
		} else if len(who) > 0 {
			// Asked every half second and then up to four seconds apart while it is down.
			end(Bound{max(n.at-4_500_000, from.Hi), n.at}, false)
		}
	}
	if len(who) > 0 {
		end(Bound{v.a.To, v.a.To}, true)
	}
}

// restarts joins signs that a node's process is another than before. It is cold until a second in which its median is no more
// than half above its usual one.
func (v *view) restarts(all []at) {
	last := map[string]int64{}
	for _, n := range all {
		started := n.kind == record.KindList && strings.HasPrefix(n.text, "started ")
		restarted := n.kind == record.KindNode && strings.HasPrefix(n.text, "may have restarted")
		if !started && !restarted {
			continue
		}
		if t, ok := last[n.subject]; ok && n.at-t < 10*second {
			continue
		}
		last[n.subject] = n.at
		b := Bound{n.at - 5*second, n.at}
		if w := v.nodes[n.subject]; w != nil {
			if i := sort.Search(len(w.answers), func(i int) bool { return w.answers[i] >= n.at }) - 1; i >= 0 {
				b.Lo = max(b.Lo, w.answers[i])
			}
		}
		e := Episode{Kind: NodeCold, Subject: n.subject, Begin: b, End: Bound{n.at, v.a.To}, Open: true, Evidence: []string{n.broker + ": " + n.text}}
		bySec, usual := v.medians(n.subject)
		for _, sec := range slices.Sorted(maps.Keys(bySec)) {
			k := bySec[sec]
			if sec <= n.at || k.Count() < 3 {
				continue
			}
			if float64(k.Quantile(0.5)) <= 1.5*float64(usual) {
				e.End, e.Open = Bound{max(sec-second, n.at), sec + second}, false
				e.Evidence = append(e.Evidence, fmt.Sprintf("as quick as usual (%d ms) in the second from %s", usual/1000, Clockface(sec)))
				break
			}
		}
		v.add(e)
	}
}

func (v *view) rollouts(all []at) {
	type span struct {
		from, to int64
		who      []string
	}
	byRev := map[string]*span{}
	for _, n := range all {
		if n.kind != record.KindControl || n.text != "taken" || n.subject == "0" {
			continue
		}
		x := byRev[n.subject]
		if x == nil {
			x = &span{from: n.at}
			byRev[n.subject] = x
		}
		if slices.Contains(x.who, n.broker) {
			continue // told again: it has restarted, or nodes have changed
		}
		x.to, x.who = n.at, append(x.who, n.broker)
	}
	for _, rev := range slices.Sorted(maps.Keys(byRev)) {
		x := byRev[rev]
		v.add(Episode{Kind: Rollout, Subject: "revision " + rev, Begin: Bound{x.from, x.from}, End: Bound{x.to, x.to},
			Evidence: []string{"taken by " + strings.Join(x.who, " ")}})
	}
}

// refusals finds seconds in which clients were turned away.
func (v *view) refusals() {
	var slots []int64
	worst := 0.0
	for _, s := range v.a.Seconds {
		all := s.Served + s.Refused + s.Failed
		if s.Refused >= 5 && float64(s.Refused) > v.o.Refused*float64(all) {
			slots = append(slots, s.At)
			worst = max(worst, float64(s.Refused)/float64(all))
		}
	}
	for _, r := range runsOf(slots, 2*second) {
		v.add(Episode{Kind: Refusals, Subject: "clients", Begin: Bound{r.Lo, r.Lo + second}, End: Bound{r.Hi, r.Hi + second},
			Evidence: []string{fmt.Sprintf("up to %.0f %% of a second's answers", 100*worst)}})
	}
}

// finish sorts, numbers, joins and weighs the episodes.
func (v *view) finish() {
	a := v.a
	if v.o.From > 0 || v.o.To > 0 {
		to := v.o.To
		if to == 0 {
			to = a.To
		}
		a.Episodes = slices.DeleteFunc(a.Episodes, func(e Episode) bool { return e.End.Hi < v.o.From || e.Begin.Lo > to })
		a.Seconds = slices.DeleteFunc(a.Seconds, func(s Second) bool { return s.At+second <= v.o.From || s.At > to })
		a.Knowledge = slices.DeleteFunc(a.Knowledge, func(s Span) bool { return s.To < v.o.From || s.From > to })
		a.From, a.To = max(a.From, v.o.From), min(a.To, to)
	}
	sort.SliceStable(a.Episodes, func(x, y int) bool {
		p, q := a.Episodes[x], a.Episodes[y]
		return cmp.Or(cmp.Compare(p.Begin.Lo, q.Begin.Lo), cmp.Compare(p.Kind, q.Kind), cmp.Compare(p.Subject, q.Subject)) < 0
	})
	for i := range a.Episodes {
		e := &a.Episodes[i]
		e.ID = i + 1
		e.Impact = a.impact(e.Begin.Lo, e.End.Hi)
		for j := range a.Episodes {
			if o := &a.Episodes[j]; i != j && o.Begin.Lo <= e.End.Hi && o.End.Hi >= e.Begin.Lo {
				e.Overlaps = append(e.Overlaps, j+1)
			}
		}
	}
}

// impact sums the seconds that a span touches.
func (a *Analysis) impact(from, to int64) (out Impact) {
	byGroup := map[string]*GroupImpact{}
	for sec := slot(from); sec <= to; sec += second {
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
