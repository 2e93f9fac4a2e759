package state

import (
	"fmt"
	"maps"
	"slices"

	"poppyarch/internal/fleet/spec"
)

func (s *State) applyRevision(r *Record) error {
	if r.Revision != s.rev+1 || r.Strategy == nil {
		return fmt.Errorf("record revision: revision %d after %d", r.Revision, s.rev)
	}
	s.rev = r.Revision
	for d, text := range r.Configs {
		s.configs[d] = text
	}
	if r.WithNodes {
		s.nodes, s.nodesRev, s.nodesEd = r.Nodes, r.Revision, s.edition
		s.retarget()
	}
	v := &Revision{Number: r.Revision, At: r.At, Author: r.Author, Note: r.Note, CommandID: r.CommandID, IsRollback: r.IsRollback, RollbackTo: r.RollbackTo, Nodes: s.nodes}
	for _, c := range r.Changes {
		v.Changes = append(v.Changes, Step{Name: c.Name, Old: s.head[c.Name], New: c.Desired})
		if c.Desired == nil {
			delete(s.head, c.Name)
		} else {
			s.head[c.Name] = c.Desired
		}
	}
	s.remember(v)
	if r.IsRollback { // a way back ends all that was on its way forward
		reason := fmt.Sprintf("superseded by the rollback to revision %d", r.RollbackTo)
		if s.active != nil {
			s.end(Aborted, reason)
		}
		for _, q := range s.queue {
			// Their changes are undone by this revision's own; so that they are weighed against what is released,
			// they count as begun.
			s.advance(q)
			q.phase, q.reason = Aborted, reason
			s.past = append(s.past, q)
		}
		s.queue = nil
	}
	s.queue = append(s.queue, &rollout{rev: r.Revision, strategy: *r.Strategy, steps: v.Changes, phase: Queued, at: r.At,
		members: map[string]*member{}})
	return nil
}

// remember keeps a revision and forgets the oldest, with configuration texts that nothing names any more.
func (s *State) remember(v *Revision) {
	s.revisions = append(s.revisions, v)
	if len(s.revisions) <= s.lim.MaxRevisions {
		return
	}
	s.revisions = slices.Clone(s.revisions[len(s.revisions)-s.lim.MaxRevisions:])
	used := map[string]bool{}
	mark := func(i *spec.Instance) {
		if i != nil {
			used[i.Start.Config] = true
		}
	}
	for _, i := range s.head {
		mark(i)
	}
	for _, i := range s.inst {
		mark(i.want)
		mark(i.prior)
	}
	for _, v := range s.revisions {
		for _, c := range v.Changes {
			mark(c.Old)
			mark(c.New)
		}
	}
	maps.DeleteFunc(s.configs, func(d, _ string) bool { return !used[d] })
}

// FleetAt is the fleet as revision rev wanted it, with the operators' node changes of that time.
func (s *State) FleetAt(rev uint64) (map[string]*spec.Instance, []spec.NodeOverride, error) {
	first := s.rev + 1
	if len(s.revisions) > 0 {
		first = s.revisions[0].Number
	}
	if rev > s.rev || rev+1 < first {
		return nil, nil, fmt.Errorf("revision %d: %w (%d to %d are kept)", rev, ErrNotFound, max(first, 1)-1, s.rev)
	}
	out := maps.Clone(s.head)
	nodes := []spec.NodeOverride(nil)
	for k := len(s.revisions) - 1; k >= 0; k-- {
		v := s.revisions[k]
		if v.Number <= rev {
			nodes = v.Nodes
			break
		}
		for _, c := range v.Changes {
			if c.Old == nil {
				delete(out, c.Name)
			} else {
				out[c.Name] = c.Old
			}
		}
	}
	return out, nodes, nil
}

// ---- agents
