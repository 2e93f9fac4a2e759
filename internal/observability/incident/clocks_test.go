package incident

import (
	"testing"

	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// Two boots with the same clock: one was without a watch when version 9 was made, and heard it 1.3 s after the other. Only what
// both were told at once says how their clocks stand to each other.
func TestNewsHeardAfterAnOutageMoveNoClock(t *testing.T) {
	list := func(at clock.Micros, rev int64) note {
		return note{at: at, kind: record.KindList, subject: "s-1", text: "up", value: rev}
	}
	discovery := func(at clock.Micros, text string) note { return note{at: at, kind: record.KindDiscovery, text: text} }
	told := &Stream{Name: "b1", first: 1, notes: []note{list(5*second, 8), list(20*second, 9), list(30*second, 10)}}
	late := &Stream{Name: "o1", first: 1, notes: []note{list(5*second, 8), discovery(18*second, "down: 503"),
		list(21*second+300_000, 9), discovery(21*second+300_000, "answers"), list(30*second+100_000, 10)}}
	c := compareClocks([]*Stream{told, late}, second/2, second)[1]
	if c.Offset != 0 || c.Shared != 2 || c.Error > second/2 {
		t.Errorf("%+v", c)
	}
	late.notes = late.notes[1:4] // nothing else in common: only the wall clocks are left
	if c := compareClocks([]*Stream{told, late}, second/2, second)[1]; c.Offset != 0 || c.Shared != 0 {
		t.Errorf("%+v", c)
	}
}
