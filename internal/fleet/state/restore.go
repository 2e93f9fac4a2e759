package state

import (
	"encoding/json"
	"fmt"

	"poppyarch/internal/fleet/spec"
)

// Restore returns the state that Snapshot stored. The error is a *SnapshotError.
func Restore(encoded []byte, limits Limits) (*State, error) {
	var stored snapshot
	if err := json.Unmarshal(encoded, &stored); err != nil {
		return nil, &SnapshotError{Err: err}
	}
	t := &tableReader{table: stored.Table}
	s := New(limits)
	s.fleetID = stored.FleetID
	s.edition = stored.Edition
	s.restoreDesired(&stored, t)
	s.restoreTarget(&stored, t)
	s.restoreAgents(&stored)
	s.restoreInstances(&stored, t)
	if stored.Active != nil {
		s.rollouts.active = t.rollout(stored.Active)
	}
	s.rollouts.queued = t.rollouts(stored.Queued)
	s.rollouts.finished = t.rollouts(stored.Finished)
	for _, c := range stored.Commands {
		s.commands.add(c.ID, c.Result, limits.MaxCommands)
	}
	if t.err != nil {
		return nil, &SnapshotError{Err: t.err}
	}
	if s.rollouts.active != nil {
		s.resumeRollout(s.rollouts.active)
	}
	for _, i := range s.instances {
		s.reindex(i)
	}
	return s, nil
}

func (s *State) restoreDesired(stored *snapshot, t *tableReader) {
	s.desired.revision = stored.Revision
	s.desired.nodes = nodeOverrides{
		list:     stored.Nodes,
		revision: stored.NodesRevision,
		edition:  stored.NodesEdition,
	}
	if stored.Configs != nil {
		s.desired.configs = stored.Configs
	}
	for name, index := range stored.Desired {
		s.desired.instances[name] = t.instance(index)
	}
	for _, v := range stored.History {
		revision := v.Revision
		revision.Changes = t.changes(v.Changes)
		s.desired.history = append(s.desired.history, &revision)
	}
}

func (s *State) restoreTarget(stored *snapshot, t *tableReader) {
	for name, index := range stored.Target {
		s.target.instances[name] = t.instance(index)
	}
	for _, name := range stored.Unreleased {
		s.target.unreleased[name] = true
	}
}

func (s *State) restoreAgents(stored *snapshot) {
	s.agents.lastToken = stored.Token
	for name, token := range stored.AgentTokens {
		s.agent(name).token = token
	}
}

func (s *State) restoreInstances(stored *snapshot, t *tableReader) {
	for _, v := range stored.Instances {
		i := &instance{
			name: v.Name,
			release: release{
				desired:  t.instance(v.Desired),
				previous: t.instance(v.Previous),
				revision: v.Revision,
				edition:  v.Edition,
			},
			availability: availability{
				hasServed:  v.HasServed,
				restarting: v.Restarting,
			},
		}
		if i.release.desired != nil {
			i.release.startDigest = i.release.desired.Start.Digest()
		}
		s.instances[v.Name] = i
		s.attach(i, v.Agent)
	}
}

// resumeRollout rebuilds the parts of the active rollout that a snapshot does not contain. The timers of its members
// start with the first Step.
func (s *State) resumeRollout(r *rollout) {
	for name, m := range r.members {
		if i := s.instances[name]; i != nil {
			i.member = m
		} else if m.released && m.failure == "" { // it has been removed
			m.conforming = true
		}
	}
	s.indexOutOfService(r)
	s.startWave(r, r.wave.index)
	for _, m := range r.wave.nonconforming {
		m.progress = timer{}
	}
}

// tableReader looks up desired states in a snapshot's table by their index, counted from 1; 0 stands for nil. It keeps
// the first error.
type tableReader struct {
	table []*spec.Instance
	err   error
}

func (t *tableReader) instance(index int) *spec.Instance {
	if index == 0 {
		return nil
	}
	if index < 0 || index > len(t.table) {
		if t.err == nil {
			t.err = fmt.Errorf("no instance %d of %d", index, len(t.table))
		}
		return nil
	}
	return t.table[index-1]
}

func (t *tableReader) changes(stored []storedChange) []RevisionChange {
	var list []RevisionChange
	for _, v := range stored {
		list = append(list, RevisionChange{
			Name: v.Name,
			Old:  t.instance(v.Old),
			New:  t.instance(v.New),
		})
	}
	return list
}

func (t *tableReader) rollouts(stored []storedRollout) []*rollout {
	var list []*rollout
	for k := range stored {
		list = append(list, t.rollout(&stored[k]))
	}
	return list
}

func (t *tableReader) rollout(stored *storedRollout) *rollout {
	r := &rollout{
		revision:  stored.Revision,
		strategy:  stored.Strategy,
		changes:   t.changes(stored.Changes),
		createdAt: stored.CreatedAt,
		phase:     stored.Phase,
		reason:    stored.Reason,
		waves:     stored.Waves,
		wave:      waveProgress{index: stored.Wave},
		members:   map[string]*rolloutMember{},
		failures:  stored.Failures,
	}
	for wave, names := range stored.Waves {
		for _, name := range names {
			r.members[name] = &rolloutMember{
				rollout: r,
				name:    name,
				wave:    wave,
				failure: stored.Failed[name],
			}
		}
	}
	for _, name := range stored.Released {
		if m := r.members[name]; m != nil {
			m.released = true
		}
	}
	if stored.Phase.final() {
		for _, name := range stored.Conforming {
			if m := r.members[name]; m != nil {
				m.conforming = true
			}
		}
	}
	return r
}
