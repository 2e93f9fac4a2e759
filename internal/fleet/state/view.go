package state

import (
	"fmt"
	"maps"
	"slices"

	"poppyarch/internal/fleet/spec"
)

// InstanceStatus is an instance for people. Age says how old what is seen is, in microseconds; -1: nothing is known.
type InstanceStatus struct {
	Name          string `json:"name"`
	Agent         string `json:"agent"`
	Domain        string `json:"domain"`
	Enabled       bool   `json:"enabled"`
	Revision      uint64 `json:"rev"`     // revision that it was released with
	TargetEdition uint64 `json:"target"`  // edition that it should hold
	Current       bool   `json:"current"` // it is known to hold it
	Available     bool   `json:"available"`
	Reason        string `json:"why,omitempty"` // it is not current
	Age           int64  `json:"age_us"`
	Report        Report `json:"seen"`
}

// ProcessText words what the process does.
func (s *InstanceStatus) ProcessText() string {
	if s.Report.Process == Unknown {
		return "unknown"
	}
	return string(s.Report.Process)
}

// ConfigurationText words whether the broker holds what is wanted: current, old, or unknown.
func (s *InstanceStatus) ConfigurationText() string {
	switch {
	case s.Current:
		return "current"
	case s.Report.Incarnation == "":
		return "unknown"
	}
	return "old"
}

// why says in words why an instance is not as it should be.
func (s *State) why(i *instance) string {
	switch {
	case i == nil:
		return "not released yet"
	case i.agent.token == 0:
		return "agent " + i.agent.name + " has never registered"
	case i.agent.silent:
		return "agent " + i.agent.name + " is silent"
	case !i.known:
		return "its agent has not reported it"
	case i.agent.changed[i.name] > 0:
		return "its agent has not been told yet"
	case i.want == nil:
		return "to end, is " + string(i.seen.Process)
	case i.want.Agent != i.agent.name:
		return "to move to agent " + i.want.Agent + ", is " + string(i.seen.Process) + " at " + i.agent.name
	case !i.want.Enabled && i.seen.Process != Stopped:
		return "to stop, is " + string(i.seen.Process)
	case !i.want.Enabled:
		return ""
	case i.seen.RejectedEdition != 0 && i.seen.RejectedEdition == s.target(i):
		return "turned revision down: " + i.seen.Error
	case i.seen.Process != Running:
		text := "is " + string(i.seen.Process)
		if i.seen.Error != "" {
			text += ": " + i.seen.Error
		}
		return text
	case i.seen.Incarnation == "":
		return "its broker does not answer"
	case i.seen.StartDigest != i.digest:
		return "runs with other start settings"
	case i.seen.AppliedEdition != s.target(i):
		return fmt.Sprintf("holds edition %d, not %d", i.seen.AppliedEdition, s.target(i))
	case !i.seen.Healthy:
		return "its fronts do not answer"
	}
	return ""
}

func (s *State) status(i *instance) InstanceStatus {
	st := InstanceStatus{Name: i.name, Agent: i.agent.name, Revision: i.rev, TargetEdition: s.target(i), Current: s.current(i), Available: i.available(),
		Reason: s.why(i), Age: -1, Report: i.seen}
	if i.want != nil {
		st.Domain, st.Enabled = i.want.FailureDomain(), i.want.Enabled
	}
	if i.known {
		st.Age = s.now - i.at
		if i.agent.synced { // what its agent did not mention again has not changed
			st.Age = s.now - i.agent.at
		}
	}
	return st
}

// Instances lists those that a selector picks, by name.
func (s *State) Instances(sel spec.Selector) []InstanceStatus {
	out := []InstanceStatus{}
	for _, name := range slices.Sorted(maps.Keys(s.inst)) {
		i := s.inst[name]
		w := i.want
		if w == nil {
			w = &spec.Instance{Name: name, Agent: i.agent.name}
		}
		if sel.Matches(w) {
			out = append(out, s.status(i))
		}
	}
	return out
}

// NotCurrent counts the instances that are not as they should be. It costs one look at each agent.
func (s *State) NotCurrent() (n int) {
	for _, a := range s.agents {
		if a.silent {
			n += len(a.insts)
		} else {
			n += len(a.differ)
		}
	}
	return n
}

// AgentStatus is an agent for people.
type AgentStatus struct {
	Name       string `json:"name"`
	Token      uint64 `json:"token"`
	Silent     bool   `json:"silent"`
	Age        int64  `json:"age_us"` // since its last call; -1: never
	Instances  int    `json:"instances"`
	NotCurrent int    `json:"differing"`
}

// Agents lists them by name.
func (s *State) Agents() []AgentStatus {
	out := []AgentStatus{}
	for _, name := range slices.Sorted(maps.Keys(s.agents)) {
		a := s.agents[name]
		st := AgentStatus{Name: name, Token: a.token, Silent: a.silent, Age: -1, Instances: len(a.insts), NotCurrent: len(a.differ)}
		if a.at > 0 {
			st.Age = s.now - a.at
		}
		out = append(out, st)
	}
	return out
}

// RolloutStatus is a rollout for people.
type RolloutStatus struct {
	Revision  uint64            `json:"rev"`
	Phase     Phase             `json:"phase"`
	Reason    string            `json:"reason,omitempty"`
	Blocked   string            `json:"blocked,omitempty"` // why nothing is released at the moment
	StartedAt int64             `json:"at"`
	Wave      int               `json:"wave"` // the one under way, from 0
	Waves     int               `json:"waves"`
	Size      int               `json:"size"`     // instances in all
	Released  int               `json:"released"` // told to change
	Current   int               `json:"fine"`     // of these, as they should be
	Failed    map[string]string `json:"failed,omitempty"`
	Waiting   []string          `json:"waiting,omitempty"` // released and not yet current, the first few
	Soaking   int64             `json:"soaking_us,omitempty"`
}

func (s *State) rolloutStatus(r *rollout) RolloutStatus {
	st := RolloutStatus{Revision: r.rev, Phase: r.phase, Reason: r.reason, Blocked: r.blocked, StartedAt: r.at, Wave: r.wave,
		Waves: len(r.waves), Size: len(r.members)}
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[name]
		if m.released {
			st.Released++
		}
		if m.released && m.ok {
			st.Current++
		}
		if m.failed != "" {
			if st.Failed == nil {
				st.Failed = map[string]string{}
			}
			st.Failed[name] = m.failed
		} else if m.released && !m.ok && len(st.Waiting) < 8 {
			st.Waiting = append(st.Waiting, name)
		}
	}
	if r.okSince >= 0 && r.phase == Active {
		st.Soaking = s.now - r.okSince
	}
	return st
}

// Rollouts lists the active one, those that wait, and the last ones that have ended, newest first.
func (s *State) Rollouts(past int) []RolloutStatus {
	out := []RolloutStatus{}
	if s.active != nil {
		out = append(out, s.rolloutStatus(s.active))
	}
	for _, q := range s.queue {
		out = append(out, s.rolloutStatus(q))
	}
	for k := len(s.past) - 1; k >= 0 && past > 0; k, past = k-1, past-1 {
		out = append(out, s.rolloutStatus(s.past[k]))
	}
	return out
}

// Settled reports whether nothing is under way and everything is known to be as it should be.
func (s *State) Settled() bool {
	return s.active == nil && len(s.queue) == 0 && len(s.behind) == 0 && s.NotCurrent() == 0
}

// NewestRevision is the newest revision.
func (s *State) NewestRevision() uint64 { return s.rev }

// History lists the kept revisions, newest first.
func (s *State) History(most int) []Revision {
	out := []Revision{}
	for k := len(s.revisions) - 1; k >= 0 && len(out) < most; k-- {
		out = append(out, *s.revisions[k])
	}
	return out
}

// DesiredInstances is the fleet as the newest revision wants it.
func (s *State) DesiredInstances() map[string]*spec.Instance { return maps.Clone(s.head) }
