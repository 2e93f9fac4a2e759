package state

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"poppyarch/internal/fleet/spec"
)

// Command is what all commands have.
type Command struct {
	ID               string `json:"id"` // the caller's; a repeated one is carried out once
	Author           string `json:"by,omitempty"`
	Note             string `json:"note,omitempty"`
	ExpectedRevision uint64 `json:"expect,omitempty"` // refuse unless this is the newest revision; 0: whatever it is
	DryRun           bool   `json:"dry_run,omitempty"`
}

func (s *State) open(c *Command) error {
	if c.ExpectedRevision > 0 && c.ExpectedRevision != s.rev {
		return fmt.Errorf("revision %d expected, %d is the newest: %w", c.ExpectedRevision, s.rev, ErrConflict)
	}
	return nil
}

func (s *State) fill(r *Record, c *Command, at int64) *Record {
	r.CommandID, r.Author, r.At = c.ID, c.Author, at
	if r.Note == "" {
		r.Note = c.Note
	}
	return r
}

// Plan is what an apply or a rollback would do.
type Plan struct {
	Revision uint64        `json:"rev"`
	Changes  []spec.Change `json:"changes"`
	Waves    [][]string    `json:"waves"`
	WaitsFor []uint64      `json:"waits_for,omitempty"` // rollouts that come first
}

// Propose is the record of a new revision, with its plan. Without changes there is no record.
func (s *State) Propose(c *Command, want *spec.Spec, st Strategy, at int64) (*Record, *Plan, error) {
	if err := s.open(c); err != nil {
		return nil, nil, err
	}
	if err := st.Validate(); err != nil {
		return nil, nil, err
	}
	if err := want.Validate(); err != nil {
		return nil, nil, err
	}
	r := &Record{Kind: RecordRevisionCreated, Revision: s.rev + 1, Strategy: &st, Configs: map[string]string{}}
	for _, ch := range spec.Diff(s.head, want.Instances) {
		r.Changes = append(r.Changes, InstanceChange{ch.Name, ch.New})
		if ch.New == nil {
			continue
		}
		d := ch.New.Start.Config
		if _, have := s.configs[d]; have {
			continue
		}
		text, ok := want.Configs[d]
		if !ok || spec.ConfigDigest([]byte(text)) != d {
			return nil, nil, fmt.Errorf("%s.config: the text of %s is not there", ch.Name, d)
		}
		r.Configs[d] = text
	}
	plan := s.plan(r)
	if len(r.Changes) == 0 && len(plan.Changes) == 0 {
		return nil, plan, nil
	}
	if st.Overlap == "refuse" && len(plan.WaitsFor) > 0 && !c.DryRun {
		return nil, plan, fmt.Errorf("rollout %d: %w", plan.WaitsFor[0], ErrRolloutActive)
	}
	return s.fill(r, c, at), plan, nil
}

// plan works out what a revision record leads to, as things stand.
func (s *State) plan(r *Record) *Plan {
	q := &rollout{rev: r.Revision, strategy: *r.Strategy}
	for _, c := range r.Changes {
		q.steps = append(q.steps, Step{Name: c.Name, Old: s.head[c.Name], New: c.Desired})
	}
	p := &Plan{Revision: r.Revision}
	if !r.IsRollback {
		if s.active != nil {
			p.WaitsFor = append(p.WaitsFor, s.active.rev)
		}
		for _, o := range s.queue {
			p.WaitsFor = append(p.WaitsFor, o.rev)
		}
	}
	if len(p.WaitsFor) > 0 { // as it will be when those have gone through
		for _, st := range q.steps {
			if c := spec.Compare(st.Old, st.New); c != nil {
				p.Changes = append(p.Changes, *c)
			}
		}
	} else {
		was := maps.Clone(s.behind)
		for _, o := range s.queue { // superseded: their steps are undone by r's own
			for _, st := range o.steps {
				s.behind[st.Name] = true
			}
		}
		p.Changes = s.changesFor(q)
		s.behind = was
	}
	p.Waves = Waves(p.Changes, r.Strategy)
	return p
}

// Rollback is the record that goes back to revision to; what is under way ends with it.
func (s *State) Rollback(c *Command, to uint64, st Strategy, withNodes bool, at int64) (*Record, *Plan, error) {
	if err := s.open(c); err != nil {
		return nil, nil, err
	}
	if err := st.Validate(); err != nil {
		return nil, nil, err
	}
	r, err := s.rollback(to, st, withNodes)
	if err != nil || r == nil {
		return nil, &Plan{Revision: s.rev}, err
	}
	return s.fill(r, c, at), s.plan(r), nil
}

// SetRolloutPhase is the record that pauses, resumes or aborts a rollout; rev 0 means the active one.
func (s *State) SetRolloutPhase(c *Command, rev uint64, to Phase, at int64) (*Record, error) {
	if rev == 0 {
		if s.active == nil {
			return nil, fmt.Errorf("%w: no rollout is under way", ErrInvalidState)
		}
		rev = s.active.rev
	}
	r := s.fill(&Record{Kind: RecordPhaseChanged, Revision: rev, Phase: to, Reason: c.Note}, c, at)
	if s.active == nil || s.active.rev != rev {
		for _, q := range s.queue {
			if q.rev == rev && to == Aborted {
				return r, nil
			}
		}
		return nil, fmt.Errorf("%w: rollout %d is not under way", ErrInvalidState, rev)
	}
	now := s.active.phase
	switch {
	case to == Paused && now != Active, to == Active && now != Paused:
		return nil, fmt.Errorf("%w: rollout %d is %s", ErrInvalidState, rev, now)
	}
	return r, nil
}

// NodeChange is an operators' command on storage nodes. A nil Node takes the operators' word on it back.
type NodeChange struct {
	ID       string             `json:"id"`
	Override *spec.NodeOverride `json:"to"`
}

// SetNodes is the record that changes the operators' word on storage nodes. Without changes there is no record.
func (s *State) SetNodes(c *Command, changes []NodeChange, at int64) (*Record, error) {
	if err := s.open(c); err != nil {
		return nil, err
	}
	byID := map[string]spec.NodeOverride{}
	for _, n := range s.nodes {
		byID[n.ID] = n
	}
	for _, ch := range changes {
		if ch.Override == nil {
			if _, ok := byID[ch.ID]; !ok {
				return nil, fmt.Errorf("node %s: %w: no node command is in force on it", ch.ID, ErrNotFound)
			}
			delete(byID, ch.ID)
			continue
		}
		n := *ch.Override
		if n.ID != ch.ID {
			return nil, fmt.Errorf("node %s: id: %q does not match", ch.ID, n.ID)
		}
		if was, ok := byID[ch.ID]; ok && n.State != spec.NodeAdded && n.Addr == "" {
			// Draining or taking out a node that was added keeps where it is.
			n.Addr, n.ObjectAddr, n.Shard, n.Zone = was.Addr, was.ObjectAddr, was.Shard, was.Zone
		}
		if err := n.Validate(); err != nil {
			return nil, err
		}
		byID[ch.ID] = n
	}
	var list []spec.NodeOverride
	for _, n := range byID {
		list = append(list, n)
	}
	sort.Slice(list, func(x, y int) bool { return list[x].ID < list[y].ID })
	if slices.Equal(list, s.nodes) {
		return nil, nil
	}
	return s.fill(&Record{Kind: RecordNodeOverridesSet, Revision: s.rev + 1, Nodes: list}, c, at), nil
}
