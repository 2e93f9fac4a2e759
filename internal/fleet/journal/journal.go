// Package journal stores records on disk so that they survive a crash at any point. A record is stored once Append has
// returned without an error. Open returns the stored records in order, and reports what it could not read.
//
// # Files
//
// Generation G consists of the snapshot snap-G and the log log-G, which holds the records after the snapshot.
// Generation 0 has no snapshot. Compact writes a new log next to the current one and then renames the new snapshot into
// place, which makes its generation the current one. The previous generation is kept, so that a damaged snapshot can be
// replaced by the previous snapshot and both logs. If Open is told to accept damage, it renames unreadable files to
// damaged-NAME.
//
// A file starts with a header: a magic value of 8 bytes, a sequence number of 8 bytes, and a checksum of 4 bytes. The
// sequence number is that of the last record covered by a snapshot, or of the first record in a log. In a snapshot the
// header is followed by the content. In a log it is followed by records, each consisting of its length (4 bytes), a
// checksum (4 bytes), its sequence number (8 bytes) and its content. Numbers are little-endian. Checksums are CRC-32C
// and cover the sequence number and the content.
//
// # Recovery
//
// An incomplete last record of the newest log results from a crash during a write. Append had not returned, so the
// record was not stored, and Open cuts it off. Anything else that cannot be read is damage, for which Open returns an
// error unless Options.AcceptDamage is set.
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

// FS is the folder of a journal. Names are file names without a path.
type FS interface {
	Create(name string) (File, error) // creates an empty file
	Append(name string) (File, error) // opens an existing file for writing at its end
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	SyncDir() error // makes created and renamed files survive a crash
}

// Options configures a journal.
type Options struct {
	MaxRecordBytes int  // maximum size of one record; 0 means 64 MiB
	AcceptDamage   bool // open the journal although records are lost
}

// Journal is an open journal. It is not safe for concurrent use.
type Journal struct {
	fs         FS
	options    Options
	generation uint64
	log        File
	logSize    int64  // in bytes, up to the end of the last stored record
	sequence   uint64 // of the last stored record
	broken     error  // why the journal rejects writes; nil if it accepts them
	buffer     []byte // encoded records in Append, kept to save allocations
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
			return fmt.Errorf("%w: got %d bytes, expected 1 to %d", ErrRecordSize, len(record), j.options.MaxRecordBytes)
		}
		j.buffer = appendRecord(j.buffer, j.sequence+uint64(k)+1, record)
	}
	n, err := j.log.Write(j.buffer)
	if err == nil && n < len(j.buffer) {
		err = io.ErrShortWrite
	}
	if err != nil {
		// Remove what was written: later records must not follow an incomplete one.
		if truncateErr := j.log.Truncate(j.logSize); truncateErr != nil {
			j.broken = fmt.Errorf("%w: write: %w; truncate: %w", ErrBroken, err, truncateErr)
		}
		return fmt.Errorf("journal: %w", err)
	}
	if err := j.log.Sync(); err != nil {
		// It is unknown what is on disk, and a second Sync would not tell: the kernel may have dropped the written
		// pages.
		j.broken = fmt.Errorf("%w: %w", ErrBroken, err)
		return fmt.Errorf("journal: %w", err)
	}
	j.logSize += int64(len(j.buffer))
	j.sequence += uint64(len(records))
	return nil
}

// Size returns the size of the current log in bytes. Compact replaces the log with an empty one.
func (j *Journal) Size() int64 { return j.logSize }

// Err returns why the journal rejects writes, or nil if it accepts them. The error matches ErrBroken.
func (j *Journal) Err() error { return j.broken }

// Close closes the log. All stored records are already on disk.
func (j *Journal) Close() error { return j.log.Close() }
