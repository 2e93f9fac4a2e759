package incident

import (
	"testing"

	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// Of two incarnations with equal clocks, one had no watch when revision 9 was created and was notified of it 1.3 s
// after the other. The offset must be computed only from the revisions that reached both through a working watch.
func TestRevisionsDelayedByAWatchFailureDoNotShiftTheClock(t *testing.T) {
	list := func(at clock.Micros, rev int64) note {
		return note{at: at, kind: record.KindEndpointList, subject: "s-1", text: "up", value: rev}
	}
	discovery := func(at clock.Micros, text string) note { return note{at: at, kind: record.KindDiscovery, text: text} }
	onTime := &Stream{Name: "b1", first: 1, notes: []note{list(5*second, 8), list(20*second, 9), list(30*second, 10)}}
	delayed := &Stream{Name: "o1", first: 1, notes: []note{list(5*second, 8), discovery(18*second, "down: 503"),
		list(21*second+300_000, 9), discovery(21*second+300_000, "answers"), list(30*second+100_000, 10)}}
	c := compareClocks([]*Stream{onTime, delayed}, second/2, second)[1]
	if c.Offset != 0 || c.SharedRevisions != 2 || c.Error > second/2 {
		t.Errorf("clock is %+v, want offset 0 from 2 shared revisions with an error of at most 0.5 s", c)
	}
	delayed.notes = delayed.notes[1:4] // no comparable revision left: only the wall clocks remain
	if c := compareClocks([]*Stream{onTime, delayed}, second/2, second)[1]; c.Offset != 0 || c.SharedRevisions != 0 {
		t.Errorf("clock is %+v, want offset 0 from no shared revision", c)
	}
}
