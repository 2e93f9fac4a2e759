package journal

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
)

// The errors beyond those of the file system.
var (
	// ErrBroken says that an earlier write failed in a way that leaves the content of the disk unknown. Nothing more is
	// written until the journal is opened again.
	ErrBroken = errors.New("journal: broken by an earlier failure, to be opened anew")
	// ErrDamaged says that records before the end cannot be read. The error is a *DamageError.
	ErrDamaged = errors.New("journal: damaged")
	// ErrLocked says that another process has the folder open.
	ErrLocked = errors.New("journal: in use by another process")
	// ErrRecordSize says that a record is empty or longer than Options.MaxRecordBytes.
	ErrRecordSize = errors.New("journal: record too long")
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
	File   string `json:"file"`
	Offset int64  `json:"offset"`         // of the first byte that cannot be read
	Bytes  int64  `json:"bytes"`          // from there to the end of the file
	KeptAs string `json:"kept,omitempty"` // name that the file was given; empty: it has its own
	Reason string `json:"text"`
}

func (d Damage) String() string {
	return fmt.Sprintf("%s: %d bytes at offset %d: %s", d.File, d.Bytes, d.Offset, d.Reason)
}

// IsRetryable reports whether a write failed because the disk is full or the file may not be written, so that the journal
// is as before and a later write may succeed.
func IsRetryable(err error) bool {
	return !errors.Is(err, ErrBroken) && (errors.Is(err, syscall.ENOSPC) || errors.Is(err, os.ErrPermission))
}
