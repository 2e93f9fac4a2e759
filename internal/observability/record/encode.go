package record

import (
	"encoding/binary"
	"math"

	"poppyarch/internal/timing/clock"
)

// unitsScale is the fixed-point scale of Request.Units: they are stored in units of 1/16.
const unitsScale = 16

// Append encodes an event, with its time as the difference from base, and appends it to b.
func (e *Event) Append(b []byte, base clock.Micros) []byte {
	b = append(b, byte(e.Kind))
	b = binary.AppendVarint(b, int64(e.At-base))
	switch e.Kind {
	case KindRequest:
		return e.Request.append(b)
	case KindIncarnation:
		return e.Incarnation.append(b)
	case KindHeartbeat:
		return e.Heartbeat.append(b)
	case KindSummary:
		return e.Summary.append(b)
	case KindLost:
		return e.Lost.append(b, e.At)
	}
	return e.Note.append(b)
}

func (r *Request) append(b []byte) []byte {
	b = append(b, r.Class, r.Plan, byte(r.Result))
	b = appendString(b, r.Volume)
	b = binary.AppendUvarint(b, uint64(math.Round(max(r.Units, 0)*unitsScale)))
	b = binary.AppendVarint(b, r.Shard)
	b = appendMicros(b, r.Duration)
	b = appendMicros(b, r.RetryAfter)
	b = binary.AppendUvarint(b, uint64(len(r.Attempts)))
	for i := range r.Attempts {
		attempt := &r.Attempts[i]
		b = appendString(b, attempt.Node)
		b = appendMicros(b, attempt.SentAfter)
		b = appendMicros(b, attempt.Duration)
		b = append(b, attempt.Outcome)
	}
	return b
}

func (i *Incarnation) append(b []byte) []byte {
	b = appendString(b, i.Name)
	b = appendString(b, i.ID)
	b = binary.AppendVarint(b, int64(i.StartedAt))
	b = binary.AppendVarint(b, int64(i.WallClock))
	b = binary.AppendVarint(b, int64(i.HeartbeatInterval))
	b = appendFloat(b, i.SampleFraction)
	b = binary.AppendUvarint(b, uint64(len(i.Classes)))
	for _, class := range i.Classes {
		b = appendString(b, class.Name)
		b = binary.AppendVarint(b, int64(class.LatencyObjective))
		b = binary.AppendVarint(b, int64(class.Deadline))
		b = appendFloat(b, class.PriorityWeight)
	}
	b = binary.AppendUvarint(b, uint64(len(i.Plans)))
	for _, plan := range i.Plans {
		b = appendString(b, plan.Name)
		b = appendFloat(b, plan.PriceFactor)
	}
	return b
}

func (h *Heartbeat) append(b []byte) []byte {
	for _, gauge := range []int64{int64(h.WallClock), h.InFlight, int64(h.HeapBytes), h.Goroutines, h.NodeCount, h.ListRevision} {
		b = binary.AppendVarint(b, gauge)
	}
	return b
}

func (s *Summary) append(b []byte) []byte {
	b = binary.AppendVarint(b, int64(s.Span))
	b = binary.AppendUvarint(b, uint64(len(s.Groups)))
	for i := range s.Groups {
		b = s.Groups[i].append(b)
	}
	b = binary.AppendUvarint(b, uint64(len(s.Nodes)))
	for i := range s.Nodes {
		b = s.Nodes[i].append(b)
	}
	b = binary.AppendUvarint(b, uint64(len(s.Volumes)))
	for _, volume := range s.Volumes {
		b = appendString(b, volume.Volume)
		for _, count := range []uint64{volume.Count, volume.CountError, volume.Rejected, volume.Failed, volume.Late} {
			b = binary.AppendUvarint(b, count)
		}
	}
	return b
}

func (g *Group) append(b []byte) []byte {
	b = append(b, g.Class, g.Plan)
	for _, count := range g.Results {
		b = binary.AppendUvarint(b, count)
	}
	b = binary.AppendUvarint(b, g.Late)
	return g.Latency.Append(b)
}

// append encodes only the outcomes whose count is not 0.
func (n *NodeCount) append(b []byte) []byte {
	b = appendString(b, n.Node)
	occurred := 0
	for _, count := range n.Outcomes {
		if count > 0 {
			occurred++
		}
	}
	b = append(b, byte(occurred))
	for outcome, count := range n.Outcomes {
		if count > 0 {
			b = append(b, byte(outcome))
			b = binary.AppendUvarint(b, count)
		}
	}
	return n.Latency.Append(b)
}

func (l *Lost) append(b []byte, at clock.Micros) []byte {
	b = binary.AppendVarint(b, int64(l.From-at))
	b = binary.AppendVarint(b, int64(l.To-at))
	b = binary.AppendUvarint(b, l.Events)
	b = binary.AppendUvarint(b, l.Requests)
	return appendString(b, l.Reason)
}

func (n *Note) append(b []byte) []byte {
	b = appendString(b, n.Subject)
	b = appendString(b, n.Text)
	return binary.AppendVarint(b, n.Value)
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendMicros encodes a duration that is not negative; a negative one is stored as 0.
func appendMicros(b []byte, v clock.Micros) []byte {
	return binary.AppendUvarint(b, uint64(max(v, 0)))
}

func appendFloat(b []byte, v float64) []byte {
	return binary.AppendUvarint(b, math.Float64bits(v))
}
