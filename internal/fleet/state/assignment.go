package state

import (
	"slices"
	"strings"

	"poppyarch/internal/fleet/spec"
)

// Assignment is what an agent has to do with one instance.
type Assignment struct {
	Name          string         `json:"name"`
	Desired       *spec.Instance `json:"want"`           // nil: end it
	TargetEdition uint64         `json:"target"`         // that its broker should hold
	Revision      uint64         `json:"rev"`            // that it was released with
	Release       bool           `json:"drop,omitempty"` // it belongs to another agent or is not desired: end it and forget it
	Unreleased    bool           `json:"keep,omitempty"` // it will belong to this agent once a rollout releases it: leave it as it is
}

// Assignments lists the assignments that have changed for an agent since a version, by name, and returns the version that
// they lead to. For version 0 the list is complete: the agent has to end every instance that is not in it.
func (s *State) Assignments(agentName string, since uint64) ([]Assignment, uint64) {
	a := s.agents.byName[agentName]
	if a == nil {
		return nil, 0
	}
	var list []Assignment
	if since == 0 {
		list = s.allAssignments(a)
	} else {
		list = s.changedAssignments(a, since)
	}
	slices.SortFunc(list, func(x, y Assignment) int { return strings.Compare(x.Name, y.Name) })
	return list, a.assignments.newest
}

func (s *State) allAssignments(a *agent) []Assignment {
	var list []Assignment
	for _, i := range a.instances {
		list = append(list, s.assignment(i))
	}
	// An agent that comes from another fleet, or whose manager has lost history, may run instances that this fleet desires
	// but has not released yet. It must not end those.
	for name, i := range s.desired.instances {
		if i.Agent == a.name && s.instances[name] == nil {
			list = append(list, Assignment{Name: name, Unreleased: true})
		}
	}
	return list
}

func (s *State) changedAssignments(a *agent, since uint64) []Assignment {
	var list []Assignment
	for name, changedIn := range a.assignments.unacknowledged {
		if changedIn <= since {
			continue
		}
		if i := a.instances[name]; i != nil {
			list = append(list, s.assignment(i))
		} else {
			list = append(list, Assignment{Name: name, Release: true})
		}
	}
	return list
}

func (s *State) assignment(i *instance) Assignment {
	if i.belongsElsewhere() {
		return Assignment{Name: i.name, Release: true}
	}
	return Assignment{
		Name:          i.name,
		Desired:       i.release.desired,
		TargetEdition: s.targetEdition(i),
		Revision:      i.release.revision,
	}
}
