package state

import (
	"maps"
	"slices"

	"poppyarch/internal/timing/clock"
)

// maxWaitingNames is the maximum length of RolloutStatus.Waiting.
const maxWaitingNames = 8

// AgentStatus is the status of one agent for operators.
type AgentStatus struct {
	Name       string       `json:"name"`
	Token      uint64       `json:"token"`
	Silent     bool         `json:"silent"`
	Age        clock.Micros `json:"age_us"` // time since its last call; AgeUnknown if none since the manager's start
	Instances  int          `json:"instances"`
	NotCurrent int          `json:"differing"` // instances that do not conform
}

// Agents returns the status of all agents, sorted by name.
func (s *State) Agents() []AgentStatus {
	list := []AgentStatus{}
	for _, name := range slices.Sorted(maps.Keys(s.agents.byName)) {
		a := s.agents.byName[name]
		status := AgentStatus{
			Name:       name,
			Token:      a.token,
			Silent:     a.session.silent,
			Age:        AgeUnknown,
			Instances:  len(a.instances),
			NotCurrent: len(a.nonconforming),
		}
		if a.session.called {
			status.Age = s.now - a.session.lastCall
		}
		list = append(list, status)
	}
	return list
}

// NotCurrent counts the instances that are not known to conform to their desired state. It visits each agent once.
func (s *State) NotCurrent() int {
	n := 0
	for _, a := range s.agents.byName {
		if a.session.silent {
			n += len(a.instances)
		} else {
			n += len(a.nonconforming)
		}
	}
	return n
}

// Settled reports whether no rollout is active or queued and every instance is known to conform to its desired
// state.
func (s *State) Settled() bool {
	return len(s.rollouts.unfinished()) == 0 && len(s.target.unreleased) == 0 && s.NotCurrent() == 0
}

// RolloutStatus is the status of one rollout for operators.
type RolloutStatus struct {
	Revision  uint64            `json:"rev"`
	Phase     Phase             `json:"phase"`
	Reason    string            `json:"reason,omitempty"`  // why the rollout is in this phase
	Blocked   string            `json:"blocked,omitempty"` // why no instance is released at the moment
	StartedAt clock.Micros      `json:"at"`                // time at which the revision was created, Unix time
	Wave      int               `json:"wave"`              // index of the current wave
	Waves     int               `json:"waves"`
	Size      int               `json:"size"`                 // number of instances in all waves
	Released  int               `json:"released"`             // number of instances released so far
	Current   int               `json:"fine"`                 // released instances that conform
	Failed    map[string]string `json:"failed,omitempty"`     // reason by instance
	Waiting   []string          `json:"waiting,omitempty"`    // first few released, neither conforming nor failed
	Soaking   clock.Micros      `json:"soaking_us,omitempty"` // time for which the current wave has been soaking
}

// Rollouts returns the active rollout, then the queued ones, then the most recent finished ones, newest first and at
// most finishedLimit of them.
func (s *State) Rollouts(finishedLimit int) []RolloutStatus {
	list := []RolloutStatus{}
	if s.rollouts.active != nil {
		list = append(list, s.rolloutStatus(s.rollouts.active))
	}
	for _, q := range s.rollouts.queued {
		list = append(list, s.rolloutStatus(q))
	}
	finished := s.rollouts.finished
	for k := len(finished) - 1; k >= max(len(finished)-finishedLimit, 0); k-- {
		list = append(list, s.rolloutStatus(finished[k]))
	}
	return list
}

func (s *State) rolloutStatus(r *rollout) RolloutStatus {
	status := RolloutStatus{
		Revision:  r.revision,
		Phase:     r.phase,
		Reason:    r.reason,
		Blocked:   r.blocked,
		StartedAt: r.createdAt,
		Wave:      r.wave.index,
		Waves:     len(r.waves),
		Size:      len(r.members),
	}
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		status.addMember(r.members[name])
	}
	if r.wave.soak.running && r.phase == Active {
		status.Soaking = s.now - r.wave.soak.since
	}
	return status
}

func (s *RolloutStatus) addMember(m *rolloutMember) {
	if m.released {
		s.Released++
	}
	if m.released && m.conforming {
		s.Current++
	}
	switch {
	case m.failure != "":
		if s.Failed == nil {
			s.Failed = map[string]string{}
		}
		s.Failed[m.name] = m.failure
	case m.released && !m.conforming && len(s.Waiting) < maxWaitingNames:
		s.Waiting = append(s.Waiting, m.name)
	}
}
