package incident

import (
	"cmp"
	"fmt"
	"slices"

	"poppyarch/internal/timing/clock"
)

// maxMissedHeartbeats is the number of heartbeat intervals without a record after which an incarnation counts as dead.
const maxMissedHeartbeats = 3

// State tells whether a broker's records cover a time span and, if not, why. The values appear in encoded reports.
type State string

// The states of a span.
const (
	Known       State = "known"        // the records are complete
	Lost        State = "lost"         // events were dropped under load or because of a full disk, and counted
	Damaged     State = "damaged"      // part of a segment cannot be read
	Missing     State = "missing"      // frames are in no segment
	Stalled     State = "stalled"      // the process wrote nothing for much longer than its heartbeat interval
	Dead        State = "dead"         // after an incarnation that did not record that it stopped, until the next one
	Stopped     State = "stopped"      // after an incarnation recorded that it stopped
	NotRecorded State = "not recorded" // before the first record, and after an incarnation that may still run
)

// Span is the state of a broker's records in a time span.
type Span struct {
	Broker string       `json:"broker"`
	State  State        `json:"state"`
	From   clock.Micros `json:"from"`
	To     clock.Micros `json:"to"`
	// FromError is by how much the true begin may be later than From: a broker may have crashed up to a heartbeat
	// interval after its last record.
	FromError     clock.Micros `json:"slack,omitempty"`
	IncarnationID string       `json:"boot,omitempty"`
	Events        uint64       `json:"events,omitempty"` // number of lost events, or of damaged bytes
	Text          string       `json:"text,omitempty"`
}

// collectKnowledge sets the spans of all brokers.
func (v *analyzer) collectKnowledge() {
	for from := 0; from < len(v.streams); {
		to := from
		for to < len(v.streams) && v.streams[to].Name == v.streams[from].Name {
			to++
		}
		v.analysis.Knowledge = append(v.analysis.Knowledge, v.brokerKnowledge(from, to)...)
		from = to
	}
	slices.SortStableFunc(v.analysis.Knowledge, func(a, b Span) int {
		return cmp.Or(cmp.Compare(a.Broker, b.Broker), cmp.Compare(a.From, b.From))
	})
}

// brokerKnowledge returns the spans of one broker, whose incarnations are v.streams[from:to].
func (v *analyzer) brokerKnowledge(from, to int) []Span {
	first := v.streams[from]
	var spans []Span
	if begin := first.start() + v.clocks[from].Offset; begin > v.analysis.From {
		spans = append(spans, Span{Broker: first.Name, State: NotRecorded, From: v.analysis.From, To: begin, Text: "no records before"})
	}
	earliest := v.analysis.From // begin of the analysis, then of the current incarnation
	for i := from; i < to; i++ {
		s := v.streams[i]
		offset := v.clocks[i].Offset
		known := Span{Broker: s.Name, IncarnationID: s.IncarnationID, State: Known, From: max(s.start()+offset, earliest), To: s.end() + offset}
		spans = append(spans, known)
		for _, gap := range s.gaps() {
			gap.From += offset
			gap.To += offset
			spans = append(spans, gap)
		}
		after := v.spanAfterIncarnation(i, i+1 == to)
		spans = append(spans, after)
		earliest = v.nextIncarnationStart(i, i+1 == to)
	}
	return subtractGaps(spans)
}

// nextIncarnationStart returns the start of the broker's incarnation after the i-th stream, or the end of the analysis
// if that is the last one.
func (v *analyzer) nextIncarnationStart(i int, last bool) clock.Micros {
	if last {
		return v.analysis.To
	}
	return v.streams[i+1].start() + v.clocks[i+1].Offset
}

// spanAfterIncarnation returns the span between the end of the i-th stream's incarnation and the start of the broker's
// next one.
func (v *analyzer) spanAfterIncarnation(i int, last bool) Span {
	s := v.streams[i]
	end := s.end() + v.clocks[i].Offset
	next := v.nextIncarnationStart(i, last)
	interval := s.heartbeatInterval()
	span := Span{Broker: s.Name, IncarnationID: s.IncarnationID, From: end, To: next}
	switch {
	case next <= end && !last: // two processes with the same name, or a clock that was set back
		clockError := v.clocks[i].Error + v.clocks[i+1].Error
		span.State = Known
		span.From = next
		span.To = end
		span.Text = "two boots of this name at once, by clocks known to " + fmt.Sprint(int64(clockError), " µs")
	case s.stopped:
		span.State = Stopped
	case last && v.options.Now-end <= maxMissedHeartbeats*interval:
		span.State = NotRecorded
		span.Text = "it may still run"
	default:
		span.State = Dead
		span.FromError = min(interval, max(next-end, 0))
	}
	return span
}

// subtractGaps removes the gaps of a broker from its spans in state Known, and drops gaps of zero length.
func subtractGaps(spans []Span) []Span {
	var known, gaps []Span
	for _, s := range spans {
		if s.State == Known {
			known = append(known, s)
		} else {
			gaps = append(gaps, s)
		}
	}
	slices.SortStableFunc(gaps, func(a, b Span) int { return cmp.Compare(a.From, b.From) })
	var out []Span
	for _, k := range known {
		out = append(out, subtract(k, gaps)...)
	}
	for _, gap := range gaps {
		if gap.To > gap.From {
			out = append(out, gap)
		}
	}
	return out
}

// subtract returns the parts of a span that no gap covers. The gaps must be sorted by their begin.
func subtract(span Span, gaps []Span) []Span {
	var parts []Span
	at := span.From
	for _, gap := range gaps {
		if gap.To <= at || gap.From >= span.To {
			continue
		}
		if gap.From > at {
			part := span
			part.From = at
			part.To = gap.From
			parts = append(parts, part)
		}
		at = max(at, gap.To)
	}
	if at < span.To {
		span.From = at
		parts = append(parts, span)
	}
	return parts
}

// isKnown reports whether a broker has a span in state Known that overlaps a time span.
func (v *analyzer) isKnown(broker string, from, to clock.Micros) bool {
	for _, s := range v.analysis.Knowledge {
		if s.Broker == broker && s.State == Known && s.From < to && s.To > from {
			return true
		}
	}
	return false
}
