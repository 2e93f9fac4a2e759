package incident

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"poppyarch/internal/observability/sketch"
)

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
