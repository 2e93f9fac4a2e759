package state

import (
	"slices"
	"strings"

	"poppyarch/internal/fleet/spec"
)

// Assignment tells an agent what to do with one instance.
type Assignment struct {
	Name          string         `json:"name"`
	Desired       *spec.Instance `json:"want"`           // nil if the instance has to end
	TargetEdition uint64         `json:"target"`         // edition that the instance's broker should hold
	Revision      uint64         `json:"rev"`            // revision whose rollout released the instance
	Release       bool           `json:"drop,omitempty"` // no longer desired on this agent, which ends and forgets it
	Unreleased    bool           `json:"keep,omitempty"` // not released to this agent yet: the agent leaves it as it is
}

// Assignments returns the assignments of an agent that have changed since a version, sorted by instance name, and the
// newest version. For version 0 the list is complete: the agent has to end every instance that is not in it.
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
	// An agent that comes from another fleet, or whose manager has lost history, may be running instances that this
	// fleet desires but has not released yet. The agent must not end them.
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
