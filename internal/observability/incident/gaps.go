package incident

import (
	"cmp"
	"slices"

	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// maxHeartbeatDelay is the number of heartbeat intervals between two frames above which the process counts as stalled.
const maxHeartbeatDelay = 2.5

// lossReasons are the texts for the reasons of lost events.
var lossReasons = map[string]string{lostToDisk: "folder", "full": "buffers"}

// lostToDisk is the reason of events that were lost because the disk was full or failing.
const lostToDisk = "disk"

// gaps returns the spans in which the boot's records are incomplete, on its own clock.
func (s *Stream) gaps() []Span {
	if len(s.frames) == 0 {
		return nil
	}
	frames := slices.Clone(s.frames)
	slices.SortFunc(frames, func(a, b frame) int { return cmp.Compare(a.seq, b.seq) })
	var gaps []Span
	if frames[0].seq > 1 && s.Boot.StartedAt > 0 {
		gaps = append(gaps, s.gap(Missing, s.Boot.StartedAt, s.first, 0, "the boot's first records have been removed or are nowhere"))
	}
	for i := 1; i < len(frames); i++ {
		gaps = append(gaps, s.gapBetween(frames[i-1], frames[i])...)
	}
	for _, l := range s.lost {
		text := "no room in the " + lossReasons[l.Reason]
		gaps = append(gaps, s.gap(Lost, l.From, max(l.To, l.From+1), l.Events, text))
	}
	return slices.DeleteFunc(gaps, func(gap Span) bool { return gap.To <= gap.From && gap.Events == 0 })
}

func (s *Stream) gap(state State, from, to clock.Micros, events uint64, text string) Span {
	return Span{Broker: s.Name, Boot: s.BootID, State: state, From: from, To: to, Events: events, Text: text}
}

// gapBetween returns the gap between two frames that follow each other in the records, if there is one.
func (s *Stream) gapBetween(a, b frame) []Span {
	switch {
	case b.seq == a.seq: // a copy
		return nil
	case b.seq > a.seq+1:
		if bytes, ok := s.damagedBetween(a, b); ok {
			return []Span{s.gap(Damaged, a.now, b.now, bytes, "bytes cannot be read")}
		}
		if s.lostToDiskBetween(a, b) {
			return nil // the record of the loss has the details
		}
		return []Span{s.gap(Missing, a.now, b.now, 0, "frames are missing")}
	case float64(b.now-a.now) > maxHeartbeatDelay*float64(s.heartbeatInterval()):
		return []Span{s.gap(Stalled, a.now, b.now, 0, "no heartbeat")}
	}
	return nil
}

// damagedBetween counts the damaged bytes between two frames.
func (s *Stream) damagedBetween(a, b frame) (bytes uint64, ok bool) {
	for _, d := range s.damaged {
		if d.after >= a.seq && d.after < b.seq {
			bytes += uint64(d.bytes)
			ok = true
		}
	}
	return bytes, ok
}

// lostToDiskBetween reports whether the boot recorded that it lost events to its disk around two frames.
func (s *Stream) lostToDiskBetween(a, b frame) bool {
	return slices.ContainsFunc(s.lost, func(l record.Lost) bool {
		return l.Reason == lostToDisk && l.From <= b.now && l.To >= a.now-s.heartbeatInterval()
	})
}
