package incident

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"poppyarch/internal/observability/sketch"
	"poppyarch/internal/timing/clock"
)

// findBrokerDeaths makes episodes of deaths.
func (v *analyzer) findBrokerDeaths() {
	for _, s := range v.analysis.Knowledge {
		if s.State != Dead {
			continue
		}
		e := Episode{Kind: BrokerDead, Subject: s.Broker, Begin: Bound{s.From, s.From + s.Slack}, End: Bound{s.To, s.To},
			Evidence: []string{fmt.Sprintf("boot %s has its last word at %s and never said that it stopped", s.Boot, FormatTime(s.From))}}
		if s.To >= v.analysis.To {
			e.Open = true
		} else {
			e.Evidence = append(e.Evidence, fmt.Sprintf("another boot begins at %s", FormatTime(s.To)))
		}
		v.addEpisode(e)
	}
}

// findUnanswered finds the times in which a node gave nobody an answer. What proves it are attempts that waited for much
// longer than its usual answers take while no answer came to anyone. Their begin lies after the last answer, and at the
// latest when the first of them should have been answered; their end after the last of them was sent, and before the next answer.
func (v *analyzer) findUnanswered(name string, kind Kind, tries []attempt) {
	n := v.nodes[name]
	usual := max(n.usualLatency, 1000)
	after := func(t clock.Micros) int {
		return sort.Search(len(n.responses), func(i int) bool { return n.responses[i] > t })
	}
	type run struct {
		first, last attempt // by their times of sending
		sent        clock.Micros
		n           int
	}
	var runs []run
	for _, t := range tries {
		if kind == NodeSilent {
			if t.done-t.sent < 2*usual {
				continue // it may just have been slow
			}
			if k := after(t.sent + usual); k < len(n.responses) && n.responses[k] < t.done {
				continue // others were answered meanwhile: this one was lost on the way
			}
		}
		if k := len(runs) - 1; k >= 0 {
			r := &runs[k]
			if i := after(r.sent); i == len(n.responses) || n.responses[i] > t.sent+usual {
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
			FormatTime(r.first.sent), FormatTime(r.sent))}}
		limit := r.first.sent + usual
		if kind == NodeDown {
			limit = r.first.done
		}
		e.Begin = Bound{v.analysis.From, limit}
		if i := after(limit) - 1; i >= 0 {
			e.Begin.Earliest = n.responses[i]
			e.Evidence = append(e.Evidence, "last answer before at "+FormatTime(n.responses[i]))
		}
		e.End = Bound{r.sent, v.analysis.To}
		if i := after(r.sent); i < len(n.responses) {
			// An answer that came shortly after may have been made before.
			e.End.Latest = n.responses[i]
			e.Evidence = append(e.Evidence, "next answer at "+FormatTime(n.responses[i]))
		} else {
			e.Open = true
		}
		v.addEpisode(e)
	}
}

// runs joins slots that lie no more than gap apart.
func joinSeconds(slots []clock.Micros, gap clock.Micros) (out []Bound) {
	slices.Sort(slots)
	for _, s := range slots {
		if k := len(out) - 1; k >= 0 && s-out[k].Latest <= gap {
			out[k].Latest = s
		} else {
			out = append(out, Bound{s, s})
		}
	}
	return out
}

// medians are a node's answers by seconds, over all brokers, and the middle of the seconds' medians; 0: too little is known.
func (v *analyzer) medians(name string) (bySec map[clock.Micros]*sketch.Sketch, usual clock.Micros) {
	bySec = map[clock.Micros]*sketch.Sketch{}
	for i, s := range v.streams {
		if n := s.nodes[name]; n != nil {
			for sec, k := range n.latency {
				at := secondOf(sec + v.clocks[i].Offset)
				if bySec[at] == nil {
					bySec[at] = &sketch.Sketch{}
				}
				bySec[at].Merge(k)
			}
		}
	}
	var medians []clock.Micros
	for _, k := range bySec {
		if k.Count() >= 5 {
			medians = append(medians, quantile(k, 0.5))
		}
	}
	if len(medians) < 10 {
		return bySec, 0
	}
	slices.Sort(medians)
	return bySec, max(medians[len(medians)/2], 500)
}

// findSlowNodes finds seconds in which a node's median was far above its own usual one.
func (v *analyzer) findSlowNodes() {
	for _, name := range v.analysis.Nodes {
		bySec, usual := v.medians(name)
		if usual == 0 {
			continue
		}
		var slots []clock.Micros
		worst := clock.Micros(0)
		for at, k := range bySec {
			if k.Count() >= 5 && float64(k.Quantile(0.5)) > v.options.SlowFactor*float64(usual) {
				slots = append(slots, at)
				worst = max(worst, quantile(k, 0.5))
			}
		}
		for _, r := range joinSeconds(slots, 2*second) {
			if r.Latest-r.Earliest < second { // a second alone may be a pause
				continue
			}
			v.addEpisode(Episode{Kind: NodeSlow, Subject: name, Begin: Bound{r.Earliest - second, r.Earliest + second}, End: Bound{r.Latest, r.Latest + 2*second},
				Evidence: []string{fmt.Sprintf("median answers of up to %d ms, usually %d ms", worst/1000, usual/1000)}})
		}
	}
}

// findSurges finds volumes that ask for far more than usual.
func (v *analyzer) findSurges() {
	volumes := map[string]map[clock.Micros]float64{}
	for i, s := range v.streams {
		share := s.Boot.SampleFraction
		if share <= 0 {
			share = 1
		}
		for name, bySec := range s.volumes {
			m := volumes[name]
			if m == nil {
				m = map[clock.Micros]float64{}
				volumes[name] = m
			}
			for sec, n := range bySec {
				m[secondOf(sec+v.clocks[i].Offset)] += float64(n) / share
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(volumes)) {
		m := volumes[name]
		var rates []float64
		for sec := secondOf(v.analysis.From); sec <= v.analysis.To; sec += second {
			rates = append(rates, m[sec]) // seconds without a request count as well
		}
		if len(rates) < 10 {
			continue
		}
		slices.Sort(rates)
		usual := rates[len(rates)/2]
		var slots []clock.Micros
		worst := 0.0
		for sec, n := range m {
			if n > v.options.SurgeFactor*usual && n >= usual+10 {
				slots = append(slots, sec)
				worst = max(worst, n)
			}
		}
		for _, r := range joinSeconds(slots, 2*second) {
			if r.Latest-r.Earliest < second {
				continue
			}
			v.addEpisode(Episode{Kind: VolumeSurge, Subject: name, Begin: Bound{r.Earliest - second, r.Earliest + second}, End: Bound{r.Latest, r.Latest + 2*second},
				Evidence: []string{fmt.Sprintf("up to %.0f requests a second, usually %.0f", worst, usual)}})
		}
	}
}
