package incident

import (
	"math"
	"slices"
	"strings"

	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// Clock relates the clock of a boot to the reference's: at its time t the reference shows t+Offset, plus or minus Error.
type Clock struct {
	Broker string       `json:"broker"`
	Boot   string       `json:"boot"`
	Offset clock.Micros `json:"offset"`
	Error  clock.Micros `json:"error"`
	Shared int          `json:"shared"` // list revisions that both have seen
	Text   string       `json:"text,omitempty"`
}

// revisionTimes is when a boot was first notified of each revision of the endpoint list.
type revisionTimes map[int64]clock.Micros

// revisionTimes returns the times that say something about the boot's clock. Revisions of which it was notified after its
// watch had failed are left out, as they may be much older, and so are those that it knew from its start.
func (s *Stream) revisionTimes() revisionTimes {
	times := revisionTimes{}
	delayed := map[int64]bool{}
	watchFailed := false
	for _, n := range s.notes {
		if n.kind == record.KindDiscovery {
			watchFailed = n.isDiscoveryFailure()
			continue
		}
		if n.kind != record.KindList || n.value < 0 {
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

// isDiscoveryFailure reports whether a note on discovery says that a call failed.
func (n *note) isDiscoveryFailure() bool { return strings.HasPrefix(n.text, "down") }

// compareClocks bounds the offsets of all boots against the one that has seen most revisions. Every broker is notified of a
// revision within notification of its making, so the offset differs by at most that from the difference of the times at which
// two boots were; every shared revision bounds it again. Boots that share none are related by their wall clocks, which differ
// by at most maxSkew.
func compareClocks(streams []*Stream, notification, maxSkew clock.Micros) []Clock {
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
			clocks[i] = compareClock(seen[reference], seen[i], notification, maxSkew)
		}
		clocks[i].Broker = s.Name
		clocks[i].Boot = s.BootID
	}
	return clocks
}

// compareClock bounds the offset of one boot.
func compareClock(reference, seen revisionTimes, notification, maxSkew clock.Micros) Clock {
	lowest, highest := clock.Micros(math.MinInt64), clock.Micros(math.MaxInt64)
	var differences []clock.Micros
	for revision, at := range seen {
		referenceAt, ok := reference[revision]
		if !ok {
			continue
		}
		difference := referenceAt - at
		differences = append(differences, difference)
		lowest = max(lowest, difference-notification)
		highest = min(highest, difference+notification)
	}
	c := Clock{Shared: len(differences)}
	slices.Sort(differences)
	switch {
	case len(differences) == 0:
		c.Error = maxSkew
		c.Text = "no list version in common: by the wall clocks only"
	case lowest > highest: // a notification took longer than it may, or a clock was set while the boot ran
		c.Offset = differences[len(differences)/2]
		c.Error = (differences[len(differences)-1]-differences[0])/2 + notification
		c.Text = "the common list versions contradict each other: the widest span is shown"
	case lowest <= 0 && highest >= 0: // both clocks may agree
		c.Error = min(max(-lowest, highest), notification)
	default:
		c.Offset = (lowest + highest) / 2
		c.Error = (highest - lowest + 1) / 2
	}
	return c
}
