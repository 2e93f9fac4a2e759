package state

import (
	"encoding/json"
	"maps"
	"slices"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// snapshot is the stored form of a State. Table holds the desired states of instances; other fields refer to them by
// their index, counted from 1, with 0 for nil. The observed state is not stored, because agents report it again.
type snapshot struct {
	Revision      uint64              `json:"rev"`
	FleetID       string              `json:"fleet"`
	Edition       uint64              `json:"edition"`
	NodesRevision uint64              `json:"nodes_rev"`
	NodesEdition  uint64              `json:"nodes_edition"`
	Token         uint64              `json:"token"`
	Nodes         []spec.NodeOverride `json:"nodes"`
	Configs       map[string]string   `json:"configs"`
	Table         []*spec.Instance    `json:"table"`
	Desired       map[string]int      `json:"head"`
	Target        map[string]int      `json:"base"`
	Unreleased    []string            `json:"behind"`
	History       []storedRevision    `json:"revisions"`
	AgentTokens   map[string]uint64   `json:"agents"`
	Instances     []storedInstance    `json:"inst"`
	Active        *storedRollout      `json:"active"`
	Queued        []storedRollout     `json:"queue"`
	Finished      []storedRollout     `json:"past"`
	Commands      []storedCommand     `json:"commands"`
}

// storedRevision is a Revision whose changes refer to the table. Revision.Changes is nil.
type storedRevision struct {
	Revision
	Changes []storedChange `json:"steps"`
}

type storedChange struct {
	Name string `json:"name"`
	Old  int    `json:"old"`
	New  int    `json:"new"`
}

type storedInstance struct {
	Name       string `json:"name"`
	Desired    int    `json:"want"`
	Previous   int    `json:"prior"`
	Revision   uint64 `json:"rev"`
	Edition    uint64 `json:"edition"`
	Agent      string `json:"agent"`
	HasServed  bool   `json:"joined"`
	Restarting bool   `json:"disturbed"`
}

type storedRollout struct {
	Revision   uint64            `json:"rev"`
	Strategy   Strategy          `json:"strategy"`
	Changes    []storedChange    `json:"steps"`
	Phase      Phase             `json:"phase"`
	Reason     string            `json:"reason"`
	CreatedAt  clock.Micros      `json:"at"`
	Waves      [][]string        `json:"waves"`
	Wave       int               `json:"wave"`
	Released   []string          `json:"released"`
	Conforming []string          `json:"fine"` // only of a finished rollout
	Failed     map[string]string `json:"failed"`
	Failures   int               `json:"failures"`
}

type storedCommand struct {
	ID     string `json:"id"`
	Result Result `json:"result"`
}

// Snapshot returns the stored form of the state, which Restore reads.
func (s *State) Snapshot() ([]byte, error) {
	t := &tableWriter{index: map[*spec.Instance]int{}}
	stored := snapshot{
		Revision:      s.desired.revision,
		FleetID:       s.fleetID,
		Edition:       s.edition,
		NodesRevision: s.desired.nodes.revision,
		NodesEdition:  s.desired.nodes.edition,
		Token:         s.agents.lastToken,
		Nodes:         s.desired.nodes.list,
		Configs:       s.desired.configs,
		Desired:       t.instanceMap(s.desired.instances),
		Target:        t.instanceMap(s.target.instances),
		Unreleased:    slices.Sorted(maps.Keys(s.target.unreleased)),
		History:       t.revisions(s.desired.history),
		AgentTokens:   map[string]uint64{},
		Instances:     t.releasedInstances(s.instances),
	}
	for name, a := range s.agents.byName {
		stored.AgentTokens[name] = a.token
	}
	if s.rollouts.active != nil {
		active := t.rollout(s.rollouts.active)
		stored.Active = &active
	}
	stored.Queued = t.rollouts(s.rollouts.queued)
	stored.Finished = t.rollouts(s.rollouts.finished)
	for _, id := range s.commands.order {
		stored.Commands = append(stored.Commands, storedCommand{ID: id, Result: s.commands.byID[id]})
	}
	stored.Table = t.table
	return json.Marshal(&stored)
}

// tableWriter collects desired states in a table and converts values to stored forms that refer to it.
type tableWriter struct {
	table []*spec.Instance
	index map[*spec.Instance]int
}

// instance returns the index of a desired state in the table, to which it adds the state if it is new.
func (t *tableWriter) instance(i *spec.Instance) int {
	if i == nil {
		return 0
	}
	if t.index[i] == 0 {
		t.table = append(t.table, i)
		t.index[i] = len(t.table)
	}
	return t.index[i]
}

func (t *tableWriter) instanceMap(instances map[string]*spec.Instance) map[string]int {
	indexes := make(map[string]int, len(instances))
	for _, name := range slices.Sorted(maps.Keys(instances)) {
		indexes[name] = t.instance(instances[name])
	}
	return indexes
}

func (t *tableWriter) changes(list []RevisionChange) []storedChange {
	var stored []storedChange
	for _, change := range list {
		stored = append(stored, storedChange{
			Name: change.Name,
			Old:  t.instance(change.Old),
			New:  t.instance(change.New),
		})
	}
	return stored
}

func (t *tableWriter) revisions(list []*Revision) []storedRevision {
	var stored []storedRevision
	for _, revision := range list {
		v := storedRevision{Revision: *revision, Changes: t.changes(revision.Changes)}
		v.Revision.Changes = nil
		stored = append(stored, v)
	}
	return stored
}

func (t *tableWriter) releasedInstances(instances map[string]*instance) []storedInstance {
	var stored []storedInstance
	for _, name := range slices.Sorted(maps.Keys(instances)) {
		i := instances[name]
		stored = append(stored, storedInstance{
			Name:       name,
			Desired:    t.instance(i.release.desired),
			Previous:   t.instance(i.release.previous),
			Revision:   i.release.revision,
			Edition:    i.release.edition,
			Agent:      i.agent.name,
			HasServed:  i.availability.hasServed,
			Restarting: i.availability.restarting,
		})
	}
	return stored
}

func (t *tableWriter) rollouts(list []*rollout) []storedRollout {
	var stored []storedRollout
	for _, r := range list {
		stored = append(stored, t.rollout(r))
	}
	return stored
}

func (t *tableWriter) rollout(r *rollout) storedRollout {
	stored := storedRollout{
		Revision:  r.revision,
		Strategy:  r.strategy,
		Changes:   t.changes(r.changes),
		Phase:     r.phase,
		Reason:    r.reason,
		CreatedAt: r.createdAt,
		Waves:     r.waves,
		Wave:      r.wave.index,
		Failures:  r.failures,
		Failed:    map[string]string{},
	}
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[name]
		if m.released {
			stored.Released = append(stored.Released, name)
		}
		if m.conforming && r.phase.final() {
			stored.Conforming = append(stored.Conforming, name)
		}
		if m.failure != "" {
			stored.Failed[name] = m.failure
		}
	}
	return stored
}
