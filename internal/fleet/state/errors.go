package state

import (
	"errors"
	"fmt"
)

// Reasons for rejecting a command or an agent's call.
var (
	ErrConflict      = errors.New("the fleet has moved on")       // the expected revision is not the newest
	ErrRolloutActive = errors.New("a rollout is under way")       // the strategy refuses to queue behind it
	ErrNotFound      = errors.New("unknown")                      // there is no such name, revision or rollout
	ErrFenced        = errors.New("a newer agent has taken over") // the token is not the newest one
	ErrInvalidState  = errors.New("not possible now")             // the operation does not fit the current state
)

// RecordError reports a record that is inconsistent with the state to which it is applied.
type RecordError struct {
	Kind    RecordKind
	Problem string
}

func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %s", e.Kind, e.Problem) }

// recordErrorf returns a RecordError for r.
func recordErrorf(r *Record, format string, args ...any) error {
	return &RecordError{Kind: r.Kind, Problem: fmt.Sprintf(format, args...)}
}

// SnapshotError reports a snapshot that cannot be restored.
type SnapshotError struct {
	Err error
}

func (e *SnapshotError) Error() string { return "snapshot: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }
