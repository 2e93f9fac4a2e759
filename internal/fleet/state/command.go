package state

import (
	"fmt"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// Command holds the fields common to all commands.
type Command struct {
	ID               string `json:"id"` // idempotency key: a repeated command is carried out only once
	Author           string `json:"by,omitempty"`
	Note             string `json:"note,omitempty"`
	ExpectedRevision uint64 `json:"expect,omitempty"` // rejected unless this is the newest revision; 0 accepts any
	DryRun           bool   `json:"dry_run,omitempty"`
}

// Result is the outcome of a command. A repeated command gets the result of its first execution.
type Result struct {
	Revision uint64        `json:"rev,omitempty"`
	Rollout  uint64        `json:"rollout,omitempty"` // a rollout is identified by its revision
	Changes  []spec.Change `json:"changes,omitempty"`
	Repeated bool          `json:"repeated,omitempty"`
	Text     string        `json:"text,omitempty"`
}

// resultOf returns the result of the command that caused record r.
func resultOf(r *Record) Result {
	result := Result{Revision: r.Revision}
	if r.Kind != RecordNodeOverridesSet {
		result.Rollout = r.Revision
	}
	return result
}

// checkExpectedRevision returns ErrConflict if the command expects another revision than the newest.
func (s *State) checkExpectedRevision(c *Command) error {
	if c.ExpectedRevision > 0 && c.ExpectedRevision != s.desired.revision {
		return fmt.Errorf("revision %d expected, %d is the newest: %w", c.ExpectedRevision, s.desired.revision, ErrConflict)
	}
	return nil
}

// attribute stores in r which command caused it, and returns r.
func (c *Command) attribute(r *Record, at clock.Micros) *Record {
	r.CommandID = c.ID
	r.Author = c.Author
	r.At = at
	if r.Note == "" {
		r.Note = c.Note
	}
	return r
}

// CommandResult returns the result of a command that has been carried out.
func (s *State) CommandResult(commandID string) (Result, bool) {
	result, found := s.commands.byID[commandID]
	result.Repeated = found
	return result, found && commandID != ""
}

// commandResults keeps the results of the most recent commands.
type commandResults struct {
	byID  map[string]Result
	order []string // IDs, oldest first
}

// add stores the result of a command, and drops the oldest result if there are more than limit.
func (c *commandResults) add(id string, result Result, limit int) {
	if _, known := c.byID[id]; known {
		return
	}
	c.byID[id] = result
	c.order = append(c.order, id)
	if len(c.order) > limit {
		delete(c.byID, c.order[0])
		c.order = c.order[1:]
	}
}
