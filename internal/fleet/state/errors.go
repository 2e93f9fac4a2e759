package state

import (
	"errors"
	"fmt"
)

// The reasons for which a command or an agent's call is refused.
var (
	ErrConflict      = errors.New("the fleet has moved on")       // the expected revision is not the newest
	ErrRolloutActive = errors.New("a rollout is under way")       // and the caller asked not to be queued behind it
	ErrNotFound      = errors.New("unknown")                      // a name, revision or rollout that does not exist
	ErrFenced        = errors.New("a newer agent has taken over") // the token is not the newest one
	ErrInvalidState  = errors.New("not possible now")
)

// RecordError reports a record that does not fit the state that it is applied to.
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
