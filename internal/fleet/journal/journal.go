// Package journal stores records on disk so that they survive the end of their process at any point. A record is stored
// once Append has returned. Open returns the stored records in order, and reports what it could not read.
//
// # Files
//
// A generation G consists of the snapshot snap-G and the log log-G with the records after it. Generation 0 has no
// snapshot. Compact writes a new log beside the current one and then renames the new snapshot into place, which makes its
// generation the current one. The generation before is kept, so that a damaged snapshot can be replaced by the one
// before and both logs. Files that Open could not read are kept as damaged-NAME where it was asked to accept the damage.
//
// A file begins with a header: a magic value of 8 bytes, a sequence number of 8 bytes, and a checksum of 4 bytes. The
// sequence number is that of the last record in a snapshot, and that of the first record in a log. The header of a
// snapshot is followed by its content. That of a log is followed by records: the length of 4 bytes, a checksum of 4
// bytes, the sequence number of 8 bytes, and the content. Numbers are little-endian, checksums are CRC-32C and cover the
// sequence number and the content.
//
// # Recovery
//
// An incomplete last record of the newest log is the trace of a process that ended while it wrote: it was not stored, and
// Open cuts it off. Anything else that cannot be read is damage, and Open refuses it unless Options.AcceptDamage is set.
package journal

import (
	"fmt"
	"io"
)

// File is a file that is appended to.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FS is the folder of a journal. Names are plain file names.
type FS interface {
	Create(name string) (File, error) // an empty file
	Append(name string) (File, error) // an existing file, written at its end
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	SyncDir() error // stores created names and renames on disk
}

// Options sets a journal up.
type Options struct {
	MaxRecordBytes int  // size of one record; 0: 64 MiB
	AcceptDamage   bool // open although records are lost
}

// Journal is an open journal. It is not safe for concurrent use.
type Journal struct {
	fs         FS
	options    Options
	generation uint64
	log        File
	logSize    int64  // up to the end of the last stored record
	sequence   uint64 // of the last stored record
	broken     error  // why nothing more can be written; nil: it can
	buffer     []byte // of Append, kept to save allocations
}

// Append writes records and returns when they are stored on disk. After an error none of them is stored. IsRetryable
// tells whether a later Append may succeed; otherwise all later writes return an error that matches ErrBroken.
func (j *Journal) Append(records ...[]byte) error {
	if j.broken != nil {
		return j.broken
	}
	j.buffer = j.buffer[:0]
	for k, record := range records {
		if len(record) == 0 || len(record) > j.options.MaxRecordBytes {
			return fmt.Errorf("%w: %d bytes", ErrRecordSize, len(record))
		}
		j.buffer = appendRecord(j.buffer, j.sequence+uint64(k)+1, record)
	}
	n, err := j.log.Write(j.buffer)
	if err == nil && n < len(j.buffer) {
		err = io.ErrShortWrite
	}
	if err != nil {
		// Nothing of it may stay: later records would follow an incomplete one.
		if truncateErr := j.log.Truncate(j.logSize); truncateErr != nil {
			j.broken = fmt.Errorf("%w: %w, and then: %w", ErrBroken, err, truncateErr)
		}
		return fmt.Errorf("journal: %w", err)
	}
	if err := j.log.Sync(); err != nil {
		// What is on disk is unknown, and another Sync would not show it: the kernel may have dropped the pages.
		j.broken = fmt.Errorf("%w: %w", ErrBroken, err)
		return fmt.Errorf("journal: %w", err)
	}
	j.logSize += int64(len(j.buffer))
	j.sequence += uint64(len(records))
	return nil
}

// Size returns the size of the current log in bytes. Compaction makes it small.
func (j *Journal) Size() int64 { return j.logSize }

// Err returns why nothing more can be written, or nil. The error matches ErrBroken.
func (j *Journal) Err() error { return j.broken }

// Close closes the log. All stored records are on disk already.
func (j *Journal) Close() error { return j.log.Close() }
