package state

import (
	"sort"

	"poppyarch/internal/fleet/spec"
)

// Assignment is what an agent shall make of one instance.
type Assignment struct {
	Name          string         `json:"name"`
	Desired       *spec.Instance `json:"want"`           // nil: end it
	TargetEdition uint64         `json:"target"`         // edition that its broker shall hold
	Revision      uint64         `json:"rev"`            // revision that it is of
	Release       bool           `json:"drop,omitempty"` // it is another's: forget it once it has ended
	Unreleased    bool           `json:"keep,omitempty"` // it will be this agent's, in its turn: leave it as it is
}

// Assignments lists what has changed for an agent since the version that it holds, and the version that this brings it
// to. With have 0 the list is all there is: what is not in it is the agent's no longer.
func (s *State) Assignments(name string, have uint64) (out []Assignment, version uint64) {
	a := s.agents[name]
	if a == nil {
		return nil, 0
	}
	if have == 0 {
		for _, i := range a.insts {
			out = append(out, s.assignment(i))
		}
		// An agent that comes from another fleet, or whose manager has lost history, may run what this one wants but has not
		// released yet. It is not to end that.
		for n, i := range s.head {
			if i.Agent == name && s.inst[n] == nil {
				out = append(out, Assignment{Name: n, Unreleased: true})
			}
		}
	} else {
		for n, v := range a.changed {
			if v <= have {
				continue
			}
			as := Assignment{Name: n, Release: true}
			if i := a.insts[n]; i != nil {
				as = s.assignment(i)
			}
			out = append(out, as)
		}
	}
	sort.Slice(out, func(x, y int) bool { return out[x].Name < out[y].Name })
	return out, a.version
}

func (s *State) assignment(i *instance) Assignment {
	if i.want == nil || i.want.Agent != i.agent.name {
		return Assignment{Name: i.name, Release: true}
	}
	return Assignment{Name: i.name, Desired: i.want, TargetEdition: s.target(i), Revision: i.rev}
}

// NodeOverrides are the operators' changes to the node list, and the revision they are of.
func (s *State) NodeOverrides() ([]spec.NodeOverride, uint64) { return s.nodes, s.nodesRev }

// ConfigText returns a configuration text by its digest.
func (s *State) ConfigText(digest string) (string, bool) {
	t, ok := s.configs[digest]
	return t, ok
}
