package inventory

import (
	"errors"
	"strconv"
)

// Reasons that an Error may wrap.
var (
	ErrUnknownKey    = errors.New("unknown key")
	ErrMissing       = errors.New("missing")
	ErrInvalidName   = errors.New("a name is up to 64 letters, digits, '-', '_' and '.'")
	ErrGroupCycle    = errors.New("the group contains itself")
	ErrNoInstances   = errors.New("no instances")
	ErrUnknownFormat = errors.New("an inventory ends in .csv, .yaml or .yml")
)

// Error names the file, line and key of what is wrong.
type Error struct {
	File string
	Line int    // 0: the file as a whole
	Key  string // empty: not of one key
	Err  error
}

func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		at += ": " + e.Key
	}
	return at + ": " + e.Err.Error()
}

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Err }
