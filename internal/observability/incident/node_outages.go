package incident

import (
	"fmt"
	"sort"

	"poppyarch/internal/timing/clock"
)

// What an outage of a node is taken from.
const (
	// minUsualLatency is the least latency that counts as a node's slowest usual one.
	minUsualLatency clock.Micros = 1000
	// silenceFactor is how many usual latencies an attempt must have waited to count as one without a response.
	silenceFactor = 2
	// minOutageAttempts is the least number of attempts that show an outage: a single one may have been lost on the way.
	minOutageAttempts = 2
)

// outage is a series of attempts at one node between two responses of it.
type outage struct {
	first    attempt
	lastSent clock.Micros
	attempts int
}

// findNodeOutages finds the times in which nodes responded to no broker.
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

// usual returns the node's slowest usual latency.
func (n *nodeView) usual() clock.Micros { return max(n.usualLatency, minUsualLatency) }

// firstResponseAfter is the index of the first response after a time.
func (n *nodeView) firstResponseAfter(t clock.Micros) int {
	return sort.Search(len(n.responses), func(i int) bool { return n.responses[i] > t })
}

// silentAttempts returns the attempts that show that the node was silent: they waited for much longer than its usual
// responses take, and no broker had a response meanwhile.
func (n *nodeView) silentAttempts() []attempt {
	var silent []attempt
	for _, a := range n.timedOut {
		if a.done-a.sent < silenceFactor*n.usual() {
			continue // the node may just have been slow
		}
		if i := n.firstResponseAfter(a.sent + n.usual()); i < len(n.responses) && n.responses[i] < a.done {
			continue // others had responses meanwhile: this attempt was lost on the way
		}
		silent = append(silent, a)
	}
	return silent
}

// outages joins attempts that no response of the node lies between.
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

// addNodeOutage adds an outage. It begins after the last response before, and at the latest when the first attempt should have
// had one; it ends after the last attempt was sent, and before the next response.
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
		// The response may have been made before the last attempt was sent.
		e.End.Latest = n.responses[i]
		e.Evidence = append(e.Evidence, "next answer at "+FormatTime(n.responses[i]))
	} else {
		e.Open = true
	}
	v.addEpisode(e)
}
