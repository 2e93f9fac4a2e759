package incident

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// timedNote is a note on the reference's clock.
type timedNote struct {
	note
	broker string
	error  clock.Micros
}

// findNotedEpisodes finds what brokers noted themselves: drains, discovery, restarts, rollouts.
func (v *analyzer) findNotedEpisodes() {
	var all []timedNote
	for i, s := range v.streams {
		for _, n := range s.notes {
			n.at += v.clocks[i].Offset
			all = append(all, timedNote{n, s.Name, v.clocks[i].Error})
		}
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].at < all[b].at })
	v.findNodeDrains(all)
	v.findDiscoveryOutages(all)
	v.findNodeRestarts(all)
	v.findRollouts(all)
	for i, s := range v.streams {
		for _, n := range s.notes {
			if n.kind == record.KindDrain {
				from := n.at + v.clocks[i].Offset
				end := s.end() + v.clocks[i].Offset
				v.addEpisode(Episode{Kind: BrokerDrain, Subject: s.Name, Begin: Bound{from, from}, End: Bound{end, end}, Open: !s.stopped,
					Evidence: []string{"boot " + s.ID + " noted it"}})
			}
		}
	}
}

// findNodeDrains joins what brokers were told of a node. Each is told within the notice time, so the true change lies up to
// that much before the first.
func (v *analyzer) findNodeDrains(all []timedNote) {
	type open struct {
		first, last clock.Micros
		who         []string
	}
	on := map[string]*open{}
	end := func(node string, b Bound, opened bool) {
		o := on[node]
		delete(on, node)
		v.addEpisode(Episode{Kind: NodeDrain, Subject: node, Begin: Bound{o.first - v.options.NotificationTime, o.first}, End: b, Open: opened,
			Evidence: []string{fmt.Sprintf("told to %s from %s to %s", strings.Join(o.who, " "), FormatTime(o.first), FormatTime(o.last))}})
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
			end(n.subject, Bound{n.at - v.options.NotificationTime, n.at}, false)
		}
	}
	for _, node := range slices.Sorted(maps.Keys(on)) {
		end(node, Bound{v.analysis.To, v.analysis.To}, true)
	}
}

// maxHangingCall is how long a watch call may hang before a broker gives it up.
const maxHangingCall = 2_500_000

func (v *analyzer) findDiscoveryOutages(all []timedNote) {
	down := map[string]clock.Micros{} // brokers that found it down, since
	var from Bound
	var who []string
	end := func(b Bound, opened bool) {
		v.addEpisode(Episode{Kind: DiscoveryDown, Subject: "discovery", Begin: from, End: b, Open: opened, Evidence: []string{"found by " + strings.Join(who, " ")}})
		who = nil
		clear(down)
	}
	for _, n := range all {
		if n.kind == record.KindIncarnation {
			delete(down, n.broker)
		}
		if n.kind != record.KindDiscovery {
			continue
		}
		if strings.HasPrefix(n.text, "down") {
			if len(down) == 0 && len(who) == 0 {
				from = Bound{n.at - maxHangingCall, n.at}
			}
			down[n.broker] = n.at
			if !slices.Contains(who, n.broker) {
				who = append(who, n.broker)
			}
		} else if len(who) > 0 {
			// Asked every half second and then up to four seconds apart while it is down.
			end(Bound{max(n.at-4_500_000, from.Latest), n.at}, false)
		}
	}
	if len(who) > 0 {
		end(Bound{v.analysis.To, v.analysis.To}, true)
	}
}

// findNodeRestarts joins signs that a node's process is another than before. It is cold until a second in which its median is no more
// than half above its usual one.
func (v *analyzer) findNodeRestarts(all []timedNote) {
	last := map[string]clock.Micros{}
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
			if i := sort.Search(len(w.responses), func(i int) bool { return w.responses[i] >= n.at }) - 1; i >= 0 {
				b.Earliest = max(b.Earliest, w.responses[i])
			}
		}
		e := Episode{Kind: NodeCold, Subject: n.subject, Begin: b, End: Bound{n.at, v.analysis.To}, Open: true, Evidence: []string{n.broker + ": " + n.text}}
		bySec, usual := v.medians(n.subject)
		for _, sec := range slices.Sorted(maps.Keys(bySec)) {
			k := bySec[sec]
			if sec <= n.at || k.Count() < 3 {
				continue
			}
			if float64(k.Quantile(0.5)) <= 1.5*float64(usual) {
				e.End, e.Open = Bound{max(sec-second, n.at), sec + second}, false
				e.Evidence = append(e.Evidence, fmt.Sprintf("as quick as usual (%d ms) in the second from %s", usual/1000, FormatTime(sec)))
				break
			}
		}
		v.addEpisode(e)
	}
}

func (v *analyzer) findRollouts(all []timedNote) {
	type span struct {
		from, to clock.Micros
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
		v.addEpisode(Episode{Kind: Rollout, Subject: "revision " + rev, Begin: Bound{x.from, x.from}, End: Bound{x.to, x.to},
			Evidence: []string{"taken by " + strings.Join(x.who, " ")}})
	}
}
