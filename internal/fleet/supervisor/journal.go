package supervisor

import (
	"encoding/json"
	"errors"
	"fmt"

	"poppyarch/internal/fleet/reconcile"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/host/process"
)

// errJournal is the error of an action that was not taken because its record could not be written.
var errJournal = errors.New("agent: journal not written")

// record is one entry of an agent's journal. An intent is written before its action, a result after it.
type record struct {
	Kind        recordKind          `json:"kind"`
	Name        string              `json:"name,omitempty"` // name of the instance
	FleetID     string              `json:"fleet,omitempty"`
	Edition     uint64              `json:"edition,omitempty"`
	Full        bool                `json:"full,omitempty"` // Assignments lists every instance, not only those that have changed
	Assignments []state.Assignment  `json:"list,omitempty"`
	Nodes       []spec.NodeOverride `json:"nodes,omitempty"`
	Configs     map[string]string   `json:"configs,omitempty"` // texts by digest
	LaunchID    string              `json:"mark,omitempty"`
	StartDigest string              `json:"digest,omitempty"`
	Process     *process.Identity   `json:"id,omitempty"`
	Command     *reconcile.Command  `json:"command,omitempty"`
}

type recordKind string

const (
	recordAssignments     recordKind = "assign"   // the desired state has changed
	recordStarting        recordKind = "starting" // a process is about to be started with LaunchID and StartDigest
	recordStarted         recordKind = "started"  // the process runs as Process
	recordEnded           recordKind = "ended"    // no process runs any more
	recordCommandSent     recordKind = "command"  // Command is about to be sent
	recordCommandFinished recordKind = "result"   // the outcome of the command is known, or its incarnation has ended
	recordForgotten       recordKind = "forget"   // the instance no longer belongs to this agent
)

// journalState is the state that results from all records of the journal. It is also the content of its snapshots.
type journalState struct {
	FleetID   string                    `json:"fleet"`
	Edition   uint64                    `json:"edition"` // the highest edition that the manager has sent
	Nodes     []spec.NodeOverride       `json:"nodes"`
	Configs   map[string]string         `json:"configs"` // texts by digest
	Instances map[string]*instanceState `json:"cases"`
}

// instanceState is the state of one instance. The fields from LaunchID on are empty if no process was started.
type instanceState struct {
	Assignment  state.Assignment   `json:"assignment"`
	LaunchID    string             `json:"mark,omitempty"`
	StartDigest string             `json:"digest,omitempty"`
	Process     *process.Identity  `json:"id,omitempty"` // nil while it is unknown whether the start succeeded
	Command     *reconcile.Command `json:"command,omitempty"`
}

// desired returns the state that the instance should be in.
func (i *instanceState) desired() reconcile.Desired {
	assigned := i.Assignment.Desired
	if i.Assignment.Release || assigned == nil {
		return reconcile.Desired{Released: true, TargetEdition: i.Assignment.TargetEdition}
	}
	return reconcile.Desired{
		Run:           assigned.Enabled,
		StartDigest:   assigned.Start.Digest(),
		TargetEdition: i.Assignment.TargetEdition,
	}
}

func newJournalState() *journalState {
	return &journalState{Configs: map[string]string{}, Instances: map[string]*instanceState{}}
}

// replay builds the state from a journal's snapshot, which is nil if there is none, and the records after it.
func replay(snapshot []byte, records [][]byte) (*journalState, error) {
	s := newJournalState()
	if snapshot != nil {
		if err := json.Unmarshal(snapshot, s); err != nil {
			return nil, fmt.Errorf("decode snapshot: %w", err)
		}
	}
	for i, encoded := range records {
		var r record
		err := json.Unmarshal(encoded, &r)
		if err == nil {
			err = s.apply(&r)
		}
		if err != nil {
			return nil, fmt.Errorf("record %d after the snapshot: %w", i+1, err)
		}
	}
	return s, nil
}

// apply applies a record that is on disk.
func (s *journalState) apply(r *record) error {
	if r.Kind == recordAssignments {
		s.applyAssignments(r)
		return nil
	}
	instance := s.Instances[r.Name]
	if instance == nil {
		return fmt.Errorf("record %s: no instance %q", r.Kind, r.Name)
	}
	switch r.Kind {
	case recordStarting:
		instance.LaunchID = r.LaunchID
		instance.StartDigest = r.StartDigest
		instance.Process = nil
		instance.Command = nil
	case recordStarted:
		instance.Process = r.Process
	case recordEnded:
		*instance = instanceState{Assignment: instance.Assignment}
	case recordCommandSent:
		instance.Command = r.Command
	case recordCommandFinished:
		instance.Command = nil
	case recordForgotten:
		delete(s.Instances, r.Name)
	default:
		return fmt.Errorf("record %q: unknown kind", r.Kind)
	}
	return nil
}

func (s *journalState) applyAssignments(r *record) {
	s.FleetID = r.FleetID
	s.Nodes = r.Nodes
	s.Edition = max(s.Edition, r.Edition)
	for digest, text := range r.Configs {
		s.Configs[digest] = text
	}
	if r.Full {
		s.releaseUnlisted(r.Assignments)
	}
	for _, assignment := range r.Assignments {
		if assignment.Unreleased {
			continue // the instance keeps its current assignment until its rollout wave
		}
		if instance := s.Instances[assignment.Name]; instance != nil {
			instance.Assignment = assignment
		} else if !assignment.Release {
			s.Instances[assignment.Name] = &instanceState{Assignment: assignment}
		}
	}
	s.dropUnusedConfigs()
}

// releaseUnlisted releases the instances that a full list of assignments does not mark as unreleased. Those on the list
// then get their assignment from it.
func (s *journalState) releaseUnlisted(assignments []state.Assignment) {
	unreleased := map[string]bool{}
	for i := range assignments {
		unreleased[assignments[i].Name] = assignments[i].Unreleased
	}
	for name, instance := range s.Instances {
		if !unreleased[name] {
			instance.Assignment = state.Assignment{Name: name, Release: true}
		}
	}
}

func (s *journalState) dropUnusedConfigs() {
	used := map[string]bool{}
	for _, instance := range s.Instances {
		if instance.Assignment.Desired != nil {
			used[instance.Assignment.Desired.Start.Config] = true
		}
	}
	for digest := range s.Configs {
		if !used[digest] {
			delete(s.Configs, digest)
		}
	}
}

// commit appends a record to the journal and applies it once it is on disk. The error wraps errJournal if nothing has
// changed.
func (s *Supervisor) commit(r *record) error {
	encoded, err := json.Marshal(r)
	if err == nil {
		err = s.journal.Append(encoded)
	}
	if err != nil {
		if !s.journalFailing {
			s.log.Error("agent: journal not written, nothing is done", "record", r.Kind, "instance", r.Name, "err", err)
		}
		s.journalFailing = true
		return fmt.Errorf("%w: %w", errJournal, err)
	}
	s.journalFailing = false
	return s.state.apply(r)
}

// commitResult commits a record that may be missing from the journal, since the next agent learns the same from the
// process or the broker. It returns an error only if the journal can no longer be used.
func (s *Supervisor) commitResult(r *record) error {
	if err := s.commit(r); err != nil && s.journal.Err() != nil {
		return err
	}
	return nil
}

// compactIfDue replaces the journal's log with a snapshot once the log exceeds Options.CompactBytes. It returns an
// error only if the journal can no longer be used.
func (s *Supervisor) compactIfDue() error {
	if s.journal.Size() <= s.options.CompactBytes {
		return nil
	}
	snapshot, err := json.Marshal(s.state)
	if err == nil {
		err = s.journal.Compact(snapshot)
	}
	if fatal := s.journal.Err(); fatal != nil {
		return fatal
	}
	if err != nil {
		s.log.Error("agent: journal not compacted", "err", err)
	}
	return nil
}
