package membership

import "fmt"

// Phase is a node's place in its life cycle.
type Phase string

// The phases.
const (
	PhaseCold     Phase = "cold"
	PhaseWarming  Phase = "warming"
	PhaseWarm     Phase = "warm"
	PhaseDraining Phase = "draining"
	PhaseOut      Phase = "out"  // known, and not in use
	PhaseGone     Phase = "gone" // unknown, or never in use
)

// coldFraction is the inverse of the part of a slow start in which a node is cold.
const coldFraction = 5

// Fact is what one source states about a node.
type Fact struct {
	Source    string `json:"source"`
	Statement string `json:"says"`
	Origin    string `json:"where,omitempty"`
	HeldBack  bool   `json:"held,omitempty"` // the source omits the node; its last statement holds while the removal is held back
}

// Explanation says why a node is used as it is.
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
	x := Explanation{ID: id, Phase: PhaseGone, State: m.State.String(), Facts: []Fact{}}
	if !known {
		x.State = "unknown"
	}
	for i := range s.sources {
		source := &s.sources[i]
		e := source.entry(id)
		if e == nil {
			continue
		}
		held := source.entries[id] == nil
		x.Facts = append(x.Facts, Fact{
			Source:    Source(i).String(),
			Statement: e.statement(),
			Origin:    e.Origin,
			HeldBack:  held,
		})
		if held {
			x.Notes = append(x.Notes, source.removal.reason)
		}
	}
	if known && s.excludedByFiles(id) {
		x.Notes = append(x.Notes, "no file has it, and only what a file has is used")
	}
	if n := s.nodes[id]; n != nil {
		if n.note != "" {
			x.Notes = append(x.Notes, n.note)
		}
		x.Phase = s.phase(n, known)
	}
	return x
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
	case age < s.options.SlowStart/coldFraction:
		return PhaseCold
	default:
		return PhaseWarming
	}
}
