package state

import (
	"container/list"
	"fmt"

	"poppyarch/internal/fleet/spec"
)

// State is the whole of it. Not safe for use by several goroutines.
type State struct {
	lim Limits
	now int64 // the last time that came in

	// What is wanted.
	fleet     string
	edition   uint64                    // records applied so far
	rev       uint64                    // newest revision
	head      map[string]*spec.Instance // as the newest revision wants it
	base      map[string]*spec.Instance // as the rollout begun last wants it
	behind    map[string]bool           // where what is released differs from base
	configs   map[string]string
	revisions []*Revision
	nodes     []spec.NodeOverride // operators' changes, by id
	nodesRev  uint64
	nodesEd   uint64 // edition of the last node change

	// Who carries it out.
	token  uint64
	agents map[string]*agent
	heard  *list.List // of *agent, the longest silent first
	inst   map[string]*instance
	gone   map[string]*instance // that their agents have let go, and that are not theirs any more

	// How it gets there.
	active *rollout
	queue  []*rollout
	past   []*rollout

	commands map[string]Result
	order    []string // of commands, oldest first
}

// Revision is one step of what is wanted.
type Revision struct {
	Number     uint64              `json:"rev"`
	At         int64               `json:"at"`
	Author     string              `json:"by,omitempty"`
	Note       string              `json:"note,omitempty"`
	CommandID  string              `json:"command,omitempty"`
	IsRollback bool                `json:"back,omitempty"` // a rollback to revision From
	RollbackTo uint64              `json:"from,omitempty"`
	Changes    []Step              `json:"changes,omitempty"`
	Nodes      []spec.NodeOverride `json:"nodes,omitempty"` // as they are from this revision on
}

// Step is one instance's part in a revision.
type Step struct {
	Name string         `json:"name"`
	Old  *spec.Instance `json:"old"`
	New  *spec.Instance `json:"new"`
}

// New returns an empty fleet.
func New(lim Limits) *State {
	return &State{lim: lim, head: map[string]*spec.Instance{}, base: map[string]*spec.Instance{}, behind: map[string]bool{},
		configs: map[string]string{}, agents: map[string]*agent{}, heard: list.New(), inst: map[string]*instance{}, gone: map[string]*instance{},
		commands: map[string]Result{}}
}

// Apply takes in a record that is on disk. Records of one journal come in their order; one that does not fit is an
// error, and then the state is not to be used further.
func (s *State) Apply(r *Record) error {
	s.edition++
	switch r.Kind {
	case RecordFleetCreated:
		s.fleet = r.FleetID
	case RecordAgentRegistered:
		s.applyAgent(r)
	case RecordRevisionCreated:
		if err := s.applyRevision(r); err != nil {
			return err
		}
	case RecordNodeOverridesSet:
		if r.Revision != s.rev+1 {
			return fmt.Errorf("record nodes: revision %d after %d", r.Revision, s.rev)
		}
		s.rev, s.nodes, s.nodesRev, s.nodesEd = r.Revision, r.Nodes, r.Revision, s.edition
		s.remember(&Revision{Number: r.Revision, At: r.At, Author: r.Author, Note: r.Note, CommandID: r.CommandID, Nodes: r.Nodes})
		s.retarget()
	case RecordAgentRetired:
		if err := s.applyRetire(r); err != nil {
			return err
		}
	case RecordInstanceHandedOver, RecordInstanceRemoved:
		if len(r.Instances) != 1 || s.inst[r.Instances[0]] == nil {
			return fmt.Errorf("record %s: no such instance %q", r.Kind, r.Instances)
		}
		i := s.inst[r.Instances[0]]
		s.leave(i)
		if r.Kind == RecordInstanceRemoved {
			if m := i.member; m != nil {
				s.note(m, true)
			}
			delete(s.inst, i.name)
		} else {
			s.join(i, i.want.Agent)
			s.weigh(i)
		}
	default:
		if err := s.applyRollout(r); err != nil {
			return err
		}
	}
	if r.CommandID != "" {
		s.recall(r.CommandID, Result{Revision: r.Revision, Rollout: s.rolloutOf(r)})
	}
	return nil
}

func (s *State) rolloutOf(r *Record) uint64 {
	if r.Kind == RecordNodeOverridesSet {
		return 0
	}
	return r.Revision
}

// recall remembers a command's result.
func (s *State) recall(id string, res Result) {
	if _, ok := s.commands[id]; ok {
		return
	}
	s.commands[id] = res
	if s.order = append(s.order, id); len(s.order) > s.lim.MaxCommands {
		delete(s.commands, s.order[0])
		s.order = s.order[1:]
	}
}

// CommandResult returns the result of a command that has been carried out.
func (s *State) CommandResult(command string) (Result, bool) {
	r, ok := s.commands[command]
	r.Repeated = ok
	return r, ok && command != ""
}
