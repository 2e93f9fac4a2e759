package incident

import (
	"math"
	"slices"
	"strings"

	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// Clock relates the clock of an incarnation to the reference's clock: when it shows t, the reference's clock shows
// t+Offset, plus or minus Error.
type Clock struct {
	Broker          string       `json:"broker"`
	IncarnationID   string       `json:"boot"`
	Offset          clock.Micros `json:"offset"`
	Error           clock.Micros `json:"error"`
	SharedRevisions int          `json:"shared"` // number of list revisions of which both incarnations were notified
	Text            string       `json:"text,omitempty"`
}

// revisionTimes holds the time at which an incarnation was first notified of each revision of the endpoint list.
type revisionTimes map[int64]clock.Micros

// revisionTimes returns the notification times that can be compared with those of other incarnations. Revisions of
// which the incarnation was notified after its watch had failed are left out, as they may be much older, and so are
// revisions that it read within a second of its start.
func (s *Stream) revisionTimes() revisionTimes {
	times := revisionTimes{}
	delayed := map[int64]bool{}
	watchFailed := false
	for _, n := range s.notes {
		if n.kind == record.KindDiscovery {
			watchFailed = n.isDiscoveryFailure()
			continue
		}
		if n.kind != record.KindEndpointList || n.value < 0 {
			continue
		}
		if at, ok := times[n.value]; !ok || n.at < at {
			times[n.value] = n.at
		}
		delayed[n.value] = delayed[n.value] || watchFailed
	}
	for revision, at := range times {
		if delayed[revision] || at < s.start()+second {
			delete(times, revision)
		}
	}
	return times
}

// isDiscoveryFailure reports whether a note of kind KindDiscovery says that a call failed.
func (n *note) isDiscoveryFailure() bool { return strings.HasPrefix(n.text, "down") }

// compareClocks bounds the clock offsets of all incarnations against the reference: the incarnation that was notified
// of most revisions. Every broker is notified of a revision within notificationTime after its creation. So the offset
// differs by at most notificationTime from the difference between the two notification times of a revision, and each
// shared revision bounds the offset further. Incarnations that share no revision with the reference are related by
// their wall clocks, which differ by at most maxSkew.
func compareClocks(streams []*Stream, notificationTime, maxSkew clock.Micros) []Clock {
	seen := make([]revisionTimes, len(streams))
	reference := 0
	for i, s := range streams {
		seen[i] = s.revisionTimes()
		if len(seen[i]) > len(seen[reference]) {
			reference = i
		}
	}
	clocks := make([]Clock, len(streams))
	for i, s := range streams {
		if i == reference {
			clocks[i] = Clock{Text: "the reference"}
		} else {
			clocks[i] = compareClock(seen[reference], seen[i], notificationTime, maxSkew)
		}
		clocks[i].Broker = s.Name
		clocks[i].IncarnationID = s.IncarnationID
	}
	return clocks
}

// compareClock bounds the clock offset of one incarnation.
func compareClock(reference, seen revisionTimes, notificationTime, maxSkew clock.Micros) Clock {
	lowest, highest := clock.Micros(math.MinInt64), clock.Micros(math.MaxInt64)
	var differences []clock.Micros
	for revision, at := range seen {
		referenceAt, ok := reference[revision]
		if !ok {
			continue
		}
		difference := referenceAt - at
		differences = append(differences, difference)
		lowest = max(lowest, difference-notificationTime)
		highest = min(highest, difference+notificationTime)
	}
	c := Clock{SharedRevisions: len(differences)}
	slices.Sort(differences)
	switch {
	case len(differences) == 0:
		c.Error = maxSkew
		c.Text = "no list version in common: by the wall clocks only"
	case lowest > highest: // a notification took longer than notificationTime, or a clock was set while running
		c.Offset = differences[len(differences)/2]
		c.Error = (differences[len(differences)-1]-differences[0])/2 + notificationTime
		c.Text = "the common list versions contradict each other: the widest span is shown"
	case lowest <= 0 && highest >= 0: // the clocks may be equal
		c.Error = min(max(-lowest, highest), notificationTime)
	default:
		c.Offset = (lowest + highest) / 2
		c.Error = (highest - lowest + 1) / 2
	}
	return c
}
