package journal

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
)

// Errors other than those of the file system.
var (
	// ErrBroken means that an earlier write failed in a way that leaves the content of the disk unknown. The journal
	// rejects writes until it is opened again.
	ErrBroken = errors.New("journal: unusable after a failed write, must be reopened")
	// ErrDamaged means that records before the end of the journal cannot be read. The error is a *DamageError.
	ErrDamaged = errors.New("journal: damaged")
	// ErrLocked means that another process has the folder open.
	ErrLocked = errors.New("journal: in use by another process")
	// ErrRecordSize means that a record is empty or longer than Options.MaxRecordBytes.
	ErrRecordSize = errors.New("journal: invalid record size")
)

// DamageError reports the parts of a journal that cannot be read. It matches ErrDamaged.
type DamageError struct {
	Damaged []Damage
}

func (e *DamageError) Error() string {
	parts := make([]string, len(e.Damaged))
	for k, d := range e.Damaged {
		parts[k] = d.String()
	}
	return ErrDamaged.Error() + ": " + strings.Join(parts, "; ")
}

// Is reports whether target is ErrDamaged.
func (e *DamageError) Is(target error) bool { return target == ErrDamaged }

// Damage is one part of a file that cannot be read.
type Damage struct {
	File      string `json:"file"`
	Offset    int64  `json:"offset"`         // of the first byte that cannot be read
	Bytes     int64  `json:"bytes"`          // from Offset to the end of the file
	RenamedTo string `json:"kept,omitempty"` // new name of the file; empty if it has not been renamed
	Reason    string `json:"text"`
}

func (d Damage) String() string {
	return fmt.Sprintf("%s: %d bytes at offset %d: %s", d.File, d.Bytes, d.Offset, d.Reason)
}

// IsRetryable reports whether a write failed because the disk is full or permission was denied, and left the journal
// unchanged, so that a later write may succeed.
func IsRetryable(err error) bool {
	return !errors.Is(err, ErrBroken) && (errors.Is(err, syscall.ENOSPC) || errors.Is(err, os.ErrPermission))
}
