package incident

import (
	"cmp"
	"slices"

	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// maxHeartbeatDelay is the number of heartbeat intervals between two frames above which the process counts as stalled.
const maxHeartbeatDelay = 2.5

// lossLocations maps the reason of a record.Lost event to the storage that was full, as named in Span.Text.
var lossLocations = map[string]string{lostToDisk: "folder", "full": "buffers"}

// lostToDisk is the reason of events that were lost because the disk was full or failing.
const lostToDisk = "disk"

// gaps returns the spans in which the incarnation's records are incomplete, on its own clock.
func (s *Stream) gaps() []Span {
	if len(s.frames) == 0 {
		return nil
	}
	frames := slices.Clone(s.frames)
	slices.SortFunc(frames, func(a, b frame) int { return cmp.Compare(a.seq, b.seq) })
	var gaps []Span
	if frames[0].seq > 1 && s.Incarnation.StartedAt > 0 {
		gaps = append(gaps, s.gap(Missing, s.Incarnation.StartedAt, s.first, 0, "the boot's first records have been removed or are nowhere"))
	}
	for i := 1; i < len(frames); i++ {
		gaps = append(gaps, s.gapBetween(frames[i-1], frames[i])...)
	}
	for _, l := range s.lost {
		text := "no room in the " + lossLocations[l.Reason]
		gaps = append(gaps, s.gap(Lost, l.From, max(l.To, l.From+1), l.Events, text))
	}
	return slices.DeleteFunc(gaps, func(gap Span) bool { return gap.To <= gap.From && gap.Events == 0 })
}

func (s *Stream) gap(state State, from, to clock.Micros, events uint64, text string) Span {
	return Span{Broker: s.Name, IncarnationID: s.IncarnationID, State: state, From: from, To: to, Events: events, Text: text}
}

// gapBetween returns the gap between two consecutive frames of the records, if there is one.
func (s *Stream) gapBetween(a, b frame) []Span {
	switch {
	case b.seq == a.seq: // two copies of a frame
		return nil
	case b.seq > a.seq+1:
		if bytes, ok := s.damagedBetween(a, b); ok {
			return []Span{s.gap(Damaged, a.writtenAt, b.writtenAt, bytes, "bytes cannot be read")}
		}
		if s.lostToDiskBetween(a, b) {
			return nil // the Lost event adds a gap with the exact times and counts
		}
		return []Span{s.gap(Missing, a.writtenAt, b.writtenAt, 0, "frames are missing")}
	case float64(b.writtenAt-a.writtenAt) > maxHeartbeatDelay*float64(s.heartbeatInterval()):
		return []Span{s.gap(Stalled, a.writtenAt, b.writtenAt, 0, "no heartbeat")}
	}
	return nil
}

// damagedBetween returns the number of damaged bytes between two frames, and whether there is damage.
func (s *Stream) damagedBetween(a, b frame) (bytes uint64, ok bool) {
	for _, d := range s.damaged {
		if d.afterSeq >= a.seq && d.afterSeq < b.seq {
			bytes += uint64(d.bytes)
			ok = true
		}
	}
	return bytes, ok
}

// lostToDiskBetween reports whether the incarnation recorded a loss of events to a disk fault between two frames.
func (s *Stream) lostToDiskBetween(a, b frame) bool {
	return slices.ContainsFunc(s.lost, func(l record.Lost) bool {
		return l.Reason == lostToDisk && l.From <= b.writtenAt && l.To >= a.writtenAt-s.heartbeatInterval()
	})
}
