package incident

import (
	"fmt"
	"sort"

	"poppyarch/internal/timing/clock"
)

// Thresholds for outages of a node.
const (
	// minUsualLatency is the lower limit of a node's highest usual latency.
	minUsualLatency clock.Micros = 1000
	// silenceFactor is the multiple of the highest usual latency that an attempt must have waited for a response to
	// count as unanswered.
	silenceFactor = 2
	// minOutageAttempts is the minimum number of failed attempts of an outage: a single one may have been lost in
	// transit.
	minOutageAttempts = 2
)

// outage is a series of failed attempts at one node without a response in between.
type outage struct {
	first    attempt
	lastSent clock.Micros
	attempts int
}

// findNodeOutages adds episodes of the times in which a node did not respond to any broker.
func (v *analyzer) findNodeOutages() {
	for _, name := range v.analysis.Nodes {
		node := v.nodes[name]
		for _, o := range node.outages(node.silentAttempts()) {
			v.addNodeOutage(name, NodeSilent, o)
		}
		for _, o := range node.outages(node.refused) {
			v.addNodeOutage(name, NodeDown, o)
		}
	}
}

// usual returns the node's highest usual latency.
func (n *nodeView) usual() clock.Micros { return max(n.usualLatency, minUsualLatency) }

// firstResponseAfter returns the index of the first response after a time.
func (n *nodeView) firstResponseAfter(t clock.Micros) int {
	return sort.Search(len(n.responses), func(i int) bool { return n.responses[i] > t })
}

// silentAttempts returns the attempts that show that the node was unresponsive: they waited for much longer than the
// node's usual latency, and no broker received a response in that time.
func (n *nodeView) silentAttempts() []attempt {
	var silent []attempt
	for _, a := range n.timedOut {
		if a.done-a.sent < silenceFactor*n.usual() {
			continue // the node may just have been slow
		}
		if i := n.firstResponseAfter(a.sent + n.usual()); i < len(n.responses) && n.responses[i] < a.done {
			continue // other attempts were answered in that time: this one was lost in transit
		}
		silent = append(silent, a)
	}
	return silent
}

// outages joins attempts into outages: two attempts belong to the same outage if no response lies between them.
func (n *nodeView) outages(attempts []attempt) []outage {
	var outages []outage
	for _, a := range attempts {
		if k := len(outages) - 1; k >= 0 {
			o := &outages[k]
			if i := n.firstResponseAfter(o.lastSent); i == len(n.responses) || n.responses[i] > a.sent+n.usual() {
				o.lastSent = max(o.lastSent, a.sent)
				o.attempts++
				continue
			}
		}
		outages = append(outages, outage{first: a, lastSent: a.sent, attempts: 1})
	}
	return outages
}

// addNodeOutage adds an episode for an outage. The outage begins after the last response before it, and at the latest
// when the first failed attempt should have been answered. It ends after the last failed attempt was sent, and before
// the next response.
func (v *analyzer) addNodeOutage(name string, kind Kind, o outage) {
	if o.attempts < minOutageAttempts {
		return
	}
	n := v.nodes[name]
	symptom := "without an answer"
	latestBegin := o.first.sent + n.usual()
	if kind == NodeDown {
		symptom = "whose connection was refused or broke"
		latestBegin = o.first.done
	}
	e := Episode{
		Kind:    kind,
		Subject: name,
		Begin:   Bound{v.analysis.From, latestBegin},
		End:     Bound{o.lastSent, v.analysis.To},
		Evidence: []string{
			fmt.Sprintf("%d attempts %s, sent from %s to %s", o.attempts, symptom, FormatTime(o.first.sent), FormatTime(o.lastSent)),
		},
	}
	if i := n.firstResponseAfter(latestBegin) - 1; i >= 0 {
		e.Begin.Earliest = n.responses[i]
		e.Evidence = append(e.Evidence, "last answer before at "+FormatTime(n.responses[i]))
	}
	if i := n.firstResponseAfter(o.lastSent); i < len(n.responses) {
		// The node may have sent this response before the last attempt was sent.
		e.End.Latest = n.responses[i]
		e.Evidence = append(e.Evidence, "next answer at "+FormatTime(n.responses[i]))
	} else {
		e.Open = true
	}
	v.addEpisode(e)
}
