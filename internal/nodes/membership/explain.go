package membership

import (
	"fmt"
	"time"

	"poppyarch/internal/timing/clock"
)

// Phase is a stage in the life cycle of a node.
type Phase string

// The phases.
const (
	PhaseCold     Phase = "cold"
	PhaseWarming  Phase = "warming"
	PhaseWarm     Phase = "warm"
	PhaseDraining Phase = "draining"
	PhaseOut      Phase = "out"  // known, but not in use
	PhaseGone     Phase = "gone" // unknown, or never in use
)

// coldDivisor sets how long a node is cold: for the first 1/coldDivisor of its slow start.
const coldDivisor = 5

// Fact is what one source states about a node.
type Fact struct {
	Source    string `json:"source"`
	Statement string `json:"says"`
	Origin    string `json:"where,omitempty"`
	HeldBack  bool   `json:"held,omitempty"` // omitted by the source, but its removal is held back
}

// Explanation describes how a node is used, and why.
type Explanation struct {
	ID    string   `json:"id"`
	Phase Phase    `json:"phase"`
	State string   `json:"state"`
	Facts []Fact   `json:"facts"`
	Notes []string `json:"notes,omitempty"`
}

// Explain returns the origin of each fact about a node.
func (s *Set) Explain(id string) Explanation {
	m, known := s.merge(id)
	explanation := Explanation{ID: id, Phase: PhaseGone, State: m.State.String(), Facts: []Fact{}}
	if !known {
		explanation.State = "unknown"
	}
	for i := range s.sources {
		source := &s.sources[i]
		if kept, ok := source.retained[id]; ok {
			explanation.Facts = append(explanation.Facts, Fact{Source: Source(i).String(), Statement: kept.state.String(), Origin: kept.origin})
			explanation.Notes = append(explanation.Notes, fmt.Sprintf("%s no longer names it, since %v: it stays %s until %s names it again",
				Source(i), clock.Duration(s.now-kept.since).Round(time.Second), kept.state, Source(i)))
		}
		e := source.entry(id)
		if e == nil {
			continue
		}
		held := source.entries[id] == nil
		explanation.Facts = append(explanation.Facts, Fact{
			Source:    Source(i).String(),
			Statement: e.statement(),
			Origin:    e.Origin,
			HeldBack:  held,
		})
		if held {
			explanation.Notes = append(explanation.Notes, source.removal.reason)
		}
	}
	if known && s.excludedByFiles(id) {
		explanation.Notes = append(explanation.Notes, "no file has it, and only what a file has is used")
	}
	if n := s.nodes[id]; n != nil {
		if n.note != "" {
			explanation.Notes = append(explanation.Notes, n.note)
		}
		explanation.Phase = s.phase(n, known)
	}
	return explanation
}

func (e *Entry) statement() string {
	text := e.State.String()
	if e.Addr != "" {
		text += fmt.Sprintf(" at %s, shard %d", e.Addr, e.Shard)
	}
	if e.Kind != "" {
		text += ", kind " + e.Kind
	}
	return text
}

func (s *Set) phase(n *node, known bool) Phase {
	age := s.now - n.member.StartedAt
	switch {
	case n.removed && known:
		return PhaseOut
	case !n.inUse:
		return PhaseGone
	case n.member.State == Draining:
		return PhaseDraining
	case n.member.StartedAt == 0 || age >= s.options.SlowStart:
		return PhaseWarm
	case age < s.options.SlowStart/coldDivisor:
		return PhaseCold
	default:
		return PhaseWarming
	}
}
