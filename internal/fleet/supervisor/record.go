package supervisor

import (
	"encoding/json"
	"fmt"

	"poppyarch/internal/fleet/reconcile"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/host/process"
)

// record is one fact in an agent's journal. Intents stand before what they announce, results after.
type record struct {
	Kind    string              `json:"kind"`
	Name    string              `json:"name,omitempty"`
	Fleet   string              `json:"fleet,omitempty"`
	Edition uint64              `json:"edition,omitempty"`
	Full    bool                `json:"full,omitempty"`
	List    []state.Assignment  `json:"list,omitempty"`
	Nodes   []spec.NodeOverride `json:"nodes,omitempty"`
	Configs map[string]string   `json:"configs,omitempty"`
	Mark    string              `json:"mark,omitempty"`
	Digest  string              `json:"digest,omitempty"`
	ID      *process.Identity   `json:"id,omitempty"`
	Command *reconcile.Command  `json:"command,omitempty"`
}

const (
	recAssign   = "assign"   // what is wanted has changed
	recStarting = "starting" // a process is about to be started with Mark and Digest
	recStarted  = "started"  // it is ID
	recEnded    = "ended"    // there is none any more
	recCommand  = "command"  // Command is about to be sent
	recResult   = "result"   // it has been answered, or its boot is gone
	recForget   = "forget"   // the instance is not this agent's any more
)

// memory is what an agent's journal says, in one value; it is also the form of a snapshot.
type memory struct {
	Fleet   string               `json:"fleet"`
	Edition uint64               `json:"edition"` // the highest that the manager has shown
	Nodes   []spec.NodeOverride  `json:"nodes"`
	Configs map[string]string    `json:"configs"`
	Cases   map[string]*caseFile `json:"cases"`
}

// caseFile is one instance in it.
type caseFile struct {
	Assignment state.Assignment   `json:"assignment"`
	Mark       string             `json:"mark,omitempty"` // of a process that was started, or was about to be
	Digest     string             `json:"digest,omitempty"`
	ID         *process.Identity  `json:"id,omitempty"`
	Command    *reconcile.Command `json:"command,omitempty"`
}

func newMemory() *memory {
	return &memory{Configs: map[string]string{}, Cases: map[string]*caseFile{}}
}

// apply takes in a record that is on disk.
func (m *memory) apply(r *record) error {
	c := m.Cases[r.Name]
	if c == nil && r.Kind != recAssign {
		return fmt.Errorf("record %s: no instance %q", r.Kind, r.Name)
	}
	switch r.Kind {
	case recAssign:
		m.Fleet, m.Nodes = r.Fleet, r.Nodes
		m.Edition = max(m.Edition, r.Edition)
		for d, text := range r.Configs {
			m.Configs[d] = text
		}
		if r.Full { // what is not in the list is not this agent's
			keep := map[string]bool{}
			for _, a := range r.List {
				keep[a.Name] = a.Unreleased
			}
			for name, c := range m.Cases {
				if !keep[name] {
					c.Assignment = state.Assignment{Name: name, Release: true}
				}
			}
		}
		for _, a := range r.List {
			if a.Unreleased {
				continue
			}
			if c := m.Cases[a.Name]; c != nil {
				c.Assignment = a
			} else if !a.Release {
				m.Cases[a.Name] = &caseFile{Assignment: a}
			}
		}
		m.prune()
	case recStarting:
		c.Mark, c.Digest, c.ID, c.Command = r.Mark, r.Digest, nil, nil
	case recStarted:
		c.ID = r.ID
	case recEnded:
		c.Mark, c.Digest, c.ID, c.Command = "", "", nil, nil
	case recCommand:
		c.Command = r.Command
	case recResult:
		c.Command = nil
	case recForget:
		delete(m.Cases, r.Name)
	default:
		return fmt.Errorf("record %q: unknown kind", r.Kind)
	}
	return nil
}

// prune drops configuration texts that nothing wants any more.
func (m *memory) prune() {
	used := map[string]bool{}
	for _, c := range m.Cases {
		if c.Assignment.Desired != nil {
			used[c.Assignment.Desired.Start.Config] = true
		}
	}
	for d := range m.Configs {
		if !used[d] {
			delete(m.Configs, d)
		}
	}
}

func decode(snapshot []byte, records [][]byte) (*memory, error) {
	m := newMemory()
	if snapshot != nil {
		if err := json.Unmarshal(snapshot, m); err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
	}
	for n, b := range records {
		var r record
		err := json.Unmarshal(b, &r)
		if err == nil {
			err = m.apply(&r)
		}
		if err != nil {
			return nil, fmt.Errorf("record %d after the snapshot: %w", n+1, err)
		}
	}
	return m, nil
}
