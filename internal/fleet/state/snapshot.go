package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"poppyarch/internal/fleet/spec"
)

// snapshot is all that must survive, in one value. Instances stand once in a table and are named by their place in it,
// counted from 1; 0 is none. What agents have seen is not in it: they tell it again.
type snapshot struct {
	Rev       uint64              `json:"rev"`
	Fleet     string              `json:"fleet"`
	Edition   uint64              `json:"edition"`
	NodesRev  uint64              `json:"nodes_rev"`
	NodesEd   uint64              `json:"nodes_edition"`
	Token     uint64              `json:"token"`
	Nodes     []spec.NodeOverride `json:"nodes"`
	Configs   map[string]string   `json:"configs"`
	Table     []*spec.Instance    `json:"table"`
	Head      map[string]int      `json:"head"`
	Base      map[string]int      `json:"base"`
	Behind    []string            `json:"behind"`
	Revisions []snapRevision      `json:"revisions"`
	Agents    map[string]uint64   `json:"agents"` // tokens
	Inst      []snapInstance      `json:"inst"`
	Active    *snapRollout        `json:"active"`
	Queue     []snapRollout       `json:"queue"`
	Past      []snapRollout       `json:"past"`
	Commands  []snapCommand       `json:"commands"`
}

type snapRevision struct {
	Revision
	Steps []snapStep `json:"steps"`
}

type snapStep struct {
	Name string `json:"name"`
	Old  int    `json:"old"`
	New  int    `json:"new"`
}

type snapInstance struct {
	Name      string `json:"name"`
	Want      int    `json:"want"`
	Prior     int    `json:"prior"`
	Rev       uint64 `json:"rev"`
	Ed        uint64 `json:"edition"`
	Agent     string `json:"agent"`
	Joined    bool   `json:"joined"`
	Disturbed bool   `json:"disturbed"`
}

type snapRollout struct {
	Rev      uint64            `json:"rev"`
	Strategy Strategy          `json:"strategy"`
	Steps    []snapStep        `json:"steps"`
	Phase    Phase             `json:"phase"`
	Reason   string            `json:"reason"`
	At       int64             `json:"at"`
	Waves    [][]string        `json:"waves"`
	Wave     int               `json:"wave"`
	Released []string          `json:"released"`
	Fine     []string          `json:"fine"` // of an ended one
	Failed   map[string]string `json:"failed"`
	Failures int               `json:"failures"`
}

type snapCommand struct {
	ID     string `json:"id"`
	Result Result `json:"result"`
}

// table gives instances their places.
type table struct {
	list  []*spec.Instance
	place map[*spec.Instance]int
}

func (t *table) put(i *spec.Instance) int {
	if i == nil {
		return 0
	}
	if t.place[i] == 0 {
		t.list = append(t.list, i)
		t.place[i] = len(t.list)
	}
	return t.place[i]
}

func (t *table) all(m map[string]*spec.Instance) map[string]int {
	out := make(map[string]int, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out[name] = t.put(m[name])
	}
	return out
}

func (t *table) steps(list []Step) (out []snapStep) {
	for _, c := range list {
		out = append(out, snapStep{c.Name, t.put(c.Old), t.put(c.New)})
	}
	return out
}

func (t *table) rollout(r *rollout) snapRollout {
	o := snapRollout{Rev: r.rev, Strategy: r.strategy, Steps: t.steps(r.steps), Phase: r.phase, Reason: r.reason, At: r.at,
		Waves: r.waves, Wave: r.wave, Failures: r.failures, Failed: map[string]string{}}
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[name]
		if m.released {
			o.Released = append(o.Released, name)
		}
		if m.ok && (r.phase == Done || r.phase == Aborted) {
			o.Fine = append(o.Fine, name)
		}
		if m.failed != "" {
			o.Failed[name] = m.failed
		}
	}
	return o
}

// Snapshot is what Restore reads.
func (s *State) Snapshot() ([]byte, error) {
	t := &table{place: map[*spec.Instance]int{}}
	o := snapshot{Fleet: s.fleet, Rev: s.rev, Edition: s.edition, NodesEd: s.nodesEd, NodesRev: s.nodesRev, Token: s.token, Nodes: s.nodes, Configs: s.configs, Head: t.all(s.head),
		Base: t.all(s.base), Behind: slices.Sorted(maps.Keys(s.behind)), Agents: map[string]uint64{}}
	for _, v := range s.revisions {
		c := *v
		c.Changes = nil
		o.Revisions = append(o.Revisions, snapRevision{c, t.steps(v.Changes)})
	}
	for name, a := range s.agents {
		o.Agents[name] = a.token
	}
	for _, name := range slices.Sorted(maps.Keys(s.inst)) {
		i := s.inst[name]
		o.Inst = append(o.Inst, snapInstance{Name: name, Want: t.put(i.want), Prior: t.put(i.prior), Rev: i.rev, Ed: i.ed,
			Agent: i.agent.name, Joined: i.joined, Disturbed: i.disturbed})
	}
	if s.active != nil {
		r := t.rollout(s.active)
		o.Active = &r
	}
	for _, q := range s.queue {
		o.Queue = append(o.Queue, t.rollout(q))
	}
	for _, q := range s.past {
		o.Past = append(o.Past, t.rollout(q))
	}
	for _, id := range s.order {
		o.Commands = append(o.Commands, snapCommand{id, s.commands[id]})
	}
	o.Table = t.list
	return json.Marshal(&o)
}

// Restore returns the state that a snapshot is of.
func Restore(text []byte, lim Limits) (*State, error) {
	var o snapshot
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	var bad error
	get := func(k int) *spec.Instance {
		switch {
		case k == 0:
			return nil
		case k < 0 || k > len(o.Table):
			bad = fmt.Errorf("snapshot: no instance %d of %d", k, len(o.Table))
			return nil
		}
		return o.Table[k-1]
	}
	steps := func(list []snapStep) (out []Step) {
		for _, c := range list {
			out = append(out, Step{c.Name, get(c.Old), get(c.New)})
		}
		return out
	}
	roll := func(o *snapRollout) *rollout {
		r := &rollout{rev: o.Rev, strategy: o.Strategy, steps: steps(o.Steps), phase: o.Phase, reason: o.Reason, at: o.At,
			waves: o.Waves, members: map[string]*member{}, failures: o.Failures}
		for w, list := range o.Waves {
			for _, name := range list {
				r.members[name] = &member{r: r, name: name, wave: w, at: -1, failed: o.Failed[name]}
			}
		}
		for _, name := range o.Released {
			if m := r.members[name]; m != nil {
				m.released = true
			}
		}
		for _, name := range o.Fine {
			if m := r.members[name]; m != nil && (o.Phase == Done || o.Phase == Aborted) {
				m.ok = true
			}
		}
		r.wave = o.Wave
		return r
	}
	s := New(lim)
	s.rev, s.nodesRev, s.token, s.nodes = o.Rev, o.NodesRev, o.Token, o.Nodes
	s.fleet = o.Fleet
	s.edition, s.nodesEd = o.Edition, o.NodesEd
	if o.Configs != nil {
		s.configs = o.Configs
	}
	for name, k := range o.Head {
		s.head[name] = get(k)
	}
	for name, k := range o.Base {
		s.base[name] = get(k)
	}
	for _, name := range o.Behind {
		s.behind[name] = true
	}
	for _, v := range o.Revisions {
		c := v.Revision
		c.Changes = steps(v.Steps)
		s.revisions = append(s.revisions, &c)
	}
	for name, token := range o.Agents {
		s.agent(name).token = token
	}
	for _, v := range o.Inst {
		i := &instance{name: v.Name, want: get(v.Want), prior: get(v.Prior), rev: v.Rev, ed: v.Ed, joined: v.Joined, disturbed: v.Disturbed}
		if i.want != nil {
			i.digest = i.want.Start.Digest()
		}
		s.inst[v.Name] = i
		s.join(i, v.Agent)
	}
	if o.Active != nil {
		s.active = roll(o.Active)
	}
	for k := range o.Queue {
		s.queue = append(s.queue, roll(&o.Queue[k]))
	}
	for k := range o.Past {
		s.past = append(s.past, roll(&o.Past[k]))
	}
	for _, c := range o.Commands {
		s.recall(c.ID, c.Result)
	}
	if bad != nil {
		return nil, bad
	}
	if a := s.active; a != nil {
		for name, m := range a.members {
			if i := s.inst[name]; i != nil {
				i.member = m
			} else if m.released && m.failed == "" { // it has gone
				m.ok = true
			}
		}
		s.findUrgent()
		s.startWave(a.wave)
		for _, m := range a.wanting {
			m.at = -1
		}
	}
	for _, i := range s.inst {
		s.weigh(i)
	}
	return s, nil
}

// FinishReplay ends a replay. Nobody has been heard yet, so whatever there is counts, and counts as out of service,
// until its agent says otherwise: what served before the manager's end must not be taken for new, even where it has been
// told to end since.
func (s *State) FinishReplay() {
	for _, i := range s.inst {
		i.joined = true
		s.weigh(i)
	}
}
