package incident

import (
	"cmp"
	"fmt"
	"slices"

	"poppyarch/internal/timing/clock"
)

// maxMissedHeartbeats is after how many heartbeat intervals without a record a boot is dead.
const maxMissedHeartbeats = 3

// State is what is known of a broker at a time. Its texts are part of reports' encoded form.
type State string

// The states of knowledge.
const (
	Known       State = "known"
	Lost        State = "lost"         // dropped under load or because a folder was full, and counted
	Damaged     State = "damaged"      // bytes that cannot be read
	Missing     State = "missing"      // frames that are in no segment
	Stalled     State = "stalled"      // the process wrote nothing for longer than its heartbeat interval
	Dead        State = "dead"         // from the last record of a boot that did not say that it stopped, to the next boot
	Stopped     State = "stopped"      // it said that it stopped
	NotRecorded State = "not recorded" // before the first record, and after the last of a boot that may still run
)

// Span is what is known of a broker from one time to another.
type Span struct {
	Broker    string       `json:"broker"`
	State     State        `json:"state"`
	From      clock.Micros `json:"from"`
	To        clock.Micros `json:"to"`
	FromError clock.Micros `json:"slack,omitempty"` // by how much From may be later: a dead broker's last record is up to a heartbeat older
	Boot      string       `json:"boot,omitempty"`
	Events    uint64       `json:"events,omitempty"` // lost, or bytes damaged
	Text      string       `json:"text,omitempty"`
}

// collectKnowledge works out what is known of each broker when.
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

// brokerKnowledge returns the spans of one broker, whose boots are the streams from one index to before another.
func (v *analyzer) brokerKnowledge(from, to int) []Span {
	first := v.streams[from]
	var spans []Span
	if begin := first.start() + v.clocks[from].Offset; begin > v.analysis.From {
		spans = append(spans, Span{Broker: first.Name, State: NotRecorded, From: v.analysis.From, To: begin, Text: "no records before"})
	}
	at := v.analysis.From // end of the boot before
	for i := from; i < to; i++ {
		s := v.streams[i]
		offset := v.clocks[i].Offset
		known := Span{Broker: s.Name, Boot: s.BootID, State: Known, From: max(s.start()+offset, at), To: s.end() + offset}
		spans = append(spans, known)
		for _, gap := range s.gaps() {
			gap.From += offset
			gap.To += offset
			spans = append(spans, gap)
		}
		after := v.afterBoot(i, i+1 == to)
		spans = append(spans, after)
		at = v.nextBoot(i, i+1 == to)
	}
	return subtractGaps(spans)
}

// nextBoot returns when the next boot of a broker begins; the end of the analysis after the last one.
func (v *analyzer) nextBoot(i int, last bool) clock.Micros {
	if last {
		return v.analysis.To
	}
	return v.streams[i+1].start() + v.clocks[i+1].Offset
}

// afterBoot returns the span between the end of a boot and the next.
func (v *analyzer) afterBoot(i int, last bool) Span {
	s := v.streams[i]
	end := s.end() + v.clocks[i].Offset
	next := v.nextBoot(i, last)
	interval := s.heartbeatInterval()
	span := Span{Broker: s.Name, Boot: s.BootID, From: end, To: next}
	switch {
	case next <= end && !last: // two processes of one name, or a clock that was set back
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

// subtractGaps removes the gaps of a broker from the spans in which it is known.
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

// subtract returns the parts of a span that lie in no gap. The gaps are sorted by their begin.
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

// isKnown reports whether anything is known of a broker within a span.
func (v *analyzer) isKnown(broker string, from, to clock.Micros) bool {
	for _, s := range v.analysis.Knowledge {
		if s.Broker == broker && s.State == Known && s.From < to && s.To > from {
			return true
		}
	}
	return false
}
