package state

import (
	"fmt"
	"maps"
	"slices"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// Revision is one numbered version of the desired state.
type Revision struct {
	Number     uint64              `json:"rev"`
	At         clock.Micros        `json:"at"` // Unix time
	Author     string              `json:"by,omitempty"`
	Note       string              `json:"note,omitempty"`
	CommandID  string              `json:"command,omitempty"`
	IsRollback bool                `json:"back,omitempty"`
	RollbackTo uint64              `json:"from,omitempty"` // revision that a rollback goes back to
	Changes    []RevisionChange    `json:"changes,omitempty"`
	Nodes      []spec.NodeOverride `json:"nodes,omitempty"` // all node overrides in force from this revision on
}

// RevisionChange is the change that a revision makes to one instance.
type RevisionChange struct {
	Name string         `json:"name"`
	Old  *spec.Instance `json:"old"` // nil if the instance was added
	New  *spec.Instance `json:"new"` // nil if the instance was removed
}

// newRevision returns the revision that a record creates, without its changes.
func newRevision(r *Record, nodes []spec.NodeOverride) *Revision {
	return &Revision{
		Number:     r.Revision,
		At:         r.At,
		Author:     r.Author,
		Note:       r.Note,
		CommandID:  r.CommandID,
		IsRollback: r.IsRollback,
		RollbackTo: r.RollbackTo,
		Nodes:      nodes,
	}
}

// checkNextRevision returns an error if a record's revision is not the one after the newest.
func (s *State) checkNextRevision(r *Record) error {
	if r.Revision != s.desired.revision+1 {
		return recordErrorf(r, "revision %d after %d", r.Revision, s.desired.revision)
	}
	return nil
}

func (s *State) applyRevisionCreated(r *Record) error {
	if err := s.checkNextRevision(r); err != nil {
		return err
	}
	if r.Strategy == nil {
		return recordErrorf(r, "revision %d has no strategy", r.Revision)
	}
	s.desired.revision = r.Revision
	maps.Copy(s.desired.configs, r.Configs)
	if r.WithNodes {
		s.setNodeOverrides(r)
	}
	revision := newRevision(r, s.desired.nodes.list)
	for _, c := range r.Changes {
		revision.Changes = append(revision.Changes, RevisionChange{Name: c.Name, Old: s.desired.instances[c.Name], New: c.Desired})
		setOrDelete(s.desired.instances, c.Name, c.Desired)
	}
	s.addRevision(revision)
	if r.IsRollback {
		s.abortAllRollouts(fmt.Sprintf("superseded by the rollback to revision %d", r.RollbackTo))
	}
	s.rollouts.queued = append(s.rollouts.queued, &rollout{
		revision:  r.Revision,
		strategy:  *r.Strategy,
		changes:   revision.Changes,
		phase:     Queued,
		createdAt: r.At,
		members:   map[string]*rolloutMember{},
	})
	return nil
}

// setOrDelete stores an instance under a name, or deletes the name if the instance is nil.
func setOrDelete(instances map[string]*spec.Instance, name string, i *spec.Instance) {
	if i == nil {
		delete(instances, name)
	} else {
		instances[name] = i
	}
}

// addRevision appends a revision to the history. Beyond Limits.MaxRevisions it drops the oldest ones, and the
// configuration texts that are no longer referred to.
func (s *State) addRevision(v *Revision) {
	s.desired.history = append(s.desired.history, v)
	excess := len(s.desired.history) - s.limits.MaxRevisions
	if excess <= 0 {
		return
	}
	s.desired.history = slices.Clone(s.desired.history[excess:])
	used := s.usedConfigs()
	maps.DeleteFunc(s.desired.configs, func(digest, _ string) bool { return !used[digest] })
}

// usedConfigs returns the digests of the configuration texts that instances or kept revisions refer to.
func (s *State) usedConfigs() map[string]bool {
	used := map[string]bool{}
	add := func(i *spec.Instance) {
		if i != nil {
			used[i.Start.Config] = true
		}
	}
	for _, i := range s.desired.instances {
		add(i)
	}
	for _, i := range s.instances {
		add(i.release.desired)
		add(i.release.previous)
	}
	for _, revision := range s.desired.history {
		for _, change := range revision.Changes {
			add(change.Old)
			add(change.New)
		}
	}
	return used
}

// ConfigText returns a configuration text by its digest.
func (s *State) ConfigText(digest string) (string, bool) {
	text, found := s.desired.configs[digest]
	return text, found
}

// NewestRevision returns the number of the newest revision, 0 if there is none.
func (s *State) NewestRevision() uint64 { return s.desired.revision }

// History returns the kept revisions, newest first and at most limit of them.
func (s *State) History(limit int) []Revision {
	list := []Revision{}
	for _, v := range slices.Backward(s.desired.history) {
		if len(list) >= limit {
			break
		}
		list = append(list, *v)
	}
	return list
}

// FleetAt returns the instances and the node overrides as of a revision. The error is ErrNotFound for a revision that
// does not exist or is no longer kept.
func (s *State) FleetAt(revision uint64) (map[string]*spec.Instance, []spec.NodeOverride, error) {
	newest := s.desired.revision
	oldest := newest + 1
	if len(s.desired.history) > 0 {
		oldest = s.desired.history[0].Number
	}
	if revision > newest || revision+1 < oldest {
		return nil, nil, fmt.Errorf("revision %d: %w (%d to %d are kept)", revision, ErrNotFound, max(oldest, 1)-1, newest)
	}
	instances := maps.Clone(s.desired.instances)
	for _, v := range slices.Backward(s.desired.history) {
		if v.Number <= revision {
			return instances, v.Nodes, nil
		}
		for _, c := range v.Changes {
			setOrDelete(instances, c.Name, c.Old)
		}
	}
	return instances, nil, nil
}
