package inventory

import (
	"errors"
	"strconv"
)

// Errors that an Error may wrap.
var (
	ErrUnknownKey    = errors.New("unknown key")
	ErrMissing       = errors.New("missing")
	ErrInvalidName   = errors.New("a name is up to 64 letters, digits, '-', '_' and '.'")
	ErrGroupCycle    = errors.New("the group contains itself")
	ErrNoInstances   = errors.New("no instances")
	ErrUnknownFormat = errors.New("an inventory ends in .csv, .yaml or .yml")
)

// Error is a fault in an inventory, with its position.
type Error struct {
	File string
	Line int    // 0 if the error concerns the whole file
	Key  string // empty if the error does not concern a single key
	Err  error
}

func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		position += ": " + e.Key
	}
	return position + ": " + e.Err.Error()
}

// Unwrap returns the error without its position.
func (e *Error) Unwrap() error { return e.Err }
