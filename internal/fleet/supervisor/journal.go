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

// errJournal is the error of an action that was not taken, as its record could not be written.
var errJournal = errors.New("agent: journal not written")

// record is one entry of an agent's journal. An intent is written before its action, a result after it.
type record struct {
	Kind        recordKind          `json:"kind"`
	Name        string              `json:"name,omitempty"` // of the instance
	FleetID     string              `json:"fleet,omitempty"`
	Edition     uint64              `json:"edition,omitempty"`
	Full        bool                `json:"full,omitempty"` // Assignments has every instance, and not only those that have changed
	Assignments []state.Assignment  `json:"list,omitempty"`
	Nodes       []spec.NodeOverride `json:"nodes,omitempty"`
	Configs     map[string]string   `json:"configs,omitempty"` // text by digest
	LaunchID    string              `json:"mark,omitempty"`
	StartDigest string              `json:"digest,omitempty"`
	Process     *process.Identity   `json:"id,omitempty"`
	Command     *reconcile.Command  `json:"command,omitempty"`
}

type recordKind string

const (
	recordAssignments     recordKind = "assign"   // the desired state has changed
	recordStarting        recordKind = "starting" // a process is about to be started with LaunchID and StartDigest
	recordStarted         recordKind = "started"  // it runs as Process
	recordEnded           recordKind = "ended"    // no process runs any more
	recordCommandSent     recordKind = "command"  // Command is about to be sent
	recordCommandFinished recordKind = "result"   // its outcome is known, or its incarnation has ended
	recordForgotten       recordKind = "forget"   // the instance is no longer this agent's
)

// journalState is what all records of the journal amount to. It is also the journal's snapshot.
type journalState struct {
	FleetID   string                    `json:"fleet"`
	Edition   uint64                    `json:"edition"` // the highest that the manager has shown
	Nodes     []spec.NodeOverride       `json:"nodes"`
	Configs   map[string]string         `json:"configs"` // text by digest
	Instances map[string]*instanceState `json:"cases"`
}

// instanceState is the part of one instance. Its process fields are empty where none was started.
type instanceState struct {
	Assignment  state.Assignment   `json:"assignment"`
	LaunchID    string             `json:"mark,omitempty"`
	StartDigest string             `json:"digest,omitempty"`
	Process     *process.Identity  `json:"id,omitempty"` // nil: not known whether the start succeeded
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

// replay builds the state from a journal's snapshot, nil for none, and the records after it.
func replay(snapshot []byte, records [][]byte) (*journalState, error) {
	s := newJournalState()
	if snapshot != nil {
		if err := json.Unmarshal(snapshot, s); err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
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
			continue // it keeps its present assignment until its rollout wave
		}
		if instance := s.Instances[assignment.Name]; instance != nil {
			instance.Assignment = assignment
		} else if !assignment.Release {
			s.Instances[assignment.Name] = &instanceState{Assignment: assignment}
		}
	}
	s.dropUnusedConfigs()
}

// releaseUnlisted releases the instances that a full list of assignments does not leave to this agent. The others follow
// from their entries.
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

// commit appends a record to the journal and, only once that is on disk, applies it. The error is errJournal where nothing
// has changed.
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

// commitResult commits a record that may be missing from the journal, as the next agent learns the same from the process
// or the broker. Only a journal that cannot be used any more is an error.
func (s *Supervisor) commitResult(r *record) error {
	if err := s.commit(r); err != nil && s.journal.Err() != nil {
		return err
	}
	return nil
}

// compactIfDue replaces the journal's log by a snapshot once the log is long enough. Only a journal that cannot be used any
// more is an error.
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
