package record

import (
	"encoding/binary"
	"math"
)

// unitsScale is the fixed-point scale of a request's units.
const unitsScale = 16

// Append encodes an event, with its time as the difference from base, and appends it to b.
func (e *Event) Append(b []byte, base int64) []byte {
	b = append(b, byte(e.Kind))
	b = binary.AppendVarint(b, e.At-base)
	switch e.Kind {
	case KindRequest:
		return e.Request.append(b)
	case KindBoot:
		return e.Boot.append(b)
	case KindBeat:
		return e.Beat.append(b)
	case KindSummary:
		return e.Summary.append(b)
	case KindLost:
		return e.Lost.append(b, e.At)
	}
	return e.Note.append(b)
}

func (r *Request) append(b []byte) []byte {
	b = append(b, r.Class, r.Plan, byte(r.Answer))
	b = appendString(b, r.Volume)
	b = binary.AppendUvarint(b, uint64(math.Round(max(r.Units, 0)*unitsScale)))
	b = binary.AppendVarint(b, r.Shard)
	b = appendNonNegative(b, r.Took)
	b = appendNonNegative(b, r.Hint)
	b = binary.AppendUvarint(b, uint64(len(r.Tries)))
	for i := range r.Tries {
		attempt := &r.Tries[i]
		b = appendString(b, attempt.Node)
		b = appendNonNegative(b, attempt.Sent)
		b = appendNonNegative(b, attempt.Took)
		b = append(b, attempt.Outcome)
	}
	return b
}

func (o *Boot) append(b []byte) []byte {
	b = appendString(b, o.Name)
	b = appendString(b, o.ID)
	b = binary.AppendVarint(b, o.Began)
	b = binary.AppendVarint(b, o.Wall)
	b = binary.AppendVarint(b, o.Beat)
	b = appendFloat(b, o.Sample)
	b = binary.AppendUvarint(b, uint64(len(o.Classes)))
	for _, class := range o.Classes {
		b = appendString(b, class.Name)
		b = binary.AppendVarint(b, class.Aim)
		b = binary.AppendVarint(b, class.Due)
		b = appendFloat(b, class.Worth)
	}
	b = binary.AppendUvarint(b, uint64(len(o.Plans)))
	for _, plan := range o.Plans {
		b = appendString(b, plan.Name)
		b = appendFloat(b, plan.Price)
	}
	return b
}

func (o *Beat) append(b []byte) []byte {
	for _, level := range []int64{o.Wall, o.Open, int64(o.Heap), o.Threads, o.Nodes, o.List} {
		b = binary.AppendVarint(b, level)
	}
	return b
}

func (o *Summary) append(b []byte) []byte {
	b = binary.AppendVarint(b, o.Span)
	b = binary.AppendUvarint(b, uint64(len(o.Groups)))
	for i := range o.Groups {
		b = o.Groups[i].append(b)
	}
	b = binary.AppendUvarint(b, uint64(len(o.Nodes)))
	for i := range o.Nodes {
		b = o.Nodes[i].append(b)
	}
	b = binary.AppendUvarint(b, uint64(len(o.Volumes)))
	for _, volume := range o.Volumes {
		b = appendString(b, volume.Volume)
		for _, count := range []uint64{volume.Count, volume.Error, volume.Refused, volume.Failed, volume.Late} {
			b = binary.AppendUvarint(b, count)
		}
	}
	return b
}

func (g *Group) append(b []byte) []byte {
	b = append(b, g.Class, g.Plan)
	for _, count := range g.Count {
		b = binary.AppendUvarint(b, count)
	}
	b = binary.AppendUvarint(b, g.Late)
	return g.Latency.Append(b)
}

// append encodes only the outcomes that occurred.
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

func (o *Lost) append(b []byte, at int64) []byte {
	b = binary.AppendVarint(b, o.From-at)
	b = binary.AppendVarint(b, o.To-at)
	b = binary.AppendUvarint(b, o.Events)
	b = binary.AppendUvarint(b, o.Requests)
	return appendString(b, o.Why)
}

func (o *Note) append(b []byte) []byte {
	b = appendString(b, o.Subject)
	b = appendString(b, o.Text)
	return binary.AppendVarint(b, o.Value)
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendNonNegative(b []byte, v int64) []byte {
	return binary.AppendUvarint(b, uint64(max(v, 0)))
}

func appendFloat(b []byte, v float64) []byte {
	return binary.AppendUvarint(b, math.Float64bits(v))
}
