package journal

import (
	"bytes"
	"fmt"
)

// Contents is what a journal contained when it was opened.
type Contents struct {
	Snapshot []byte   // nil if there is none
	Records  [][]byte // after the snapshot, in order
	Report   RecoveryReport
}

// RecoveryReport describes what Open found.
type RecoveryReport struct {
	Generation uint64   `json:"generation"`
	Records    int      `json:"records"`        // number of records after the snapshot
	TornBytes  int      `json:"torn,omitempty"` // size of the incomplete last record that was cut off
	Damaged    []Damage `json:"damaged,omitempty"`
}

// Open reads a journal and prepares it for appending. If there is damage that is not accepted, the error matches
// ErrDamaged, and the readable contents are returned with it.
func Open(fs FS, options Options) (*Journal, *Contents, error) {
	if options.MaxRecordBytes == 0 {
		options.MaxRecordBytes = defaultMaxRecordSize
	}
	names, err := fs.List()
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	r := &recovery{
		journal:   &Journal{fs: fs, options: options},
		snapshots: generations(names, snapshotPrefix),
		logs:      generations(names, logPrefix),
		contents:  &Contents{},
	}
	if err := r.run(); err != nil {
		if r.journal.log != nil {
			_ = r.journal.log.Close() // the earlier error is returned
		}
		return nil, r.contents, err
	}
	return r.journal, r.contents, nil
}

// recovery is the state of a call of Open.
type recovery struct {
	journal            *Journal
	snapshots          []uint64 // generations, ascending
	logs               []uint64 // generations, ascending
	contents           *Contents
	snapshotGeneration uint64 // generation of the snapshot that was read; 0 if there is none
	logDamaged         bool   // a log could not be read to its end; logs after it are not read
}

func (r *recovery) run() error {
	if err := r.readSnapshot(); err != nil {
		return err
	}
	newest := r.newestGeneration()
	if err := r.readLogs(newest); err != nil {
		return err
	}
	report := &r.contents.Report
	report.Records = len(r.contents.Records)
	if r.logDamaged && !r.journal.options.AcceptDamage {
		return &DamageError{Damaged: report.Damaged}
	}
	if len(report.Damaged) > 0 {
		if err := r.rewrite(newest + 1); err != nil {
			return err
		}
	} else {
		r.journal.generation = newest
		if r.journal.log == nil {
			if err := r.journal.createLog(newest); err != nil {
				return err
			}
		}
	}
	report.Generation = r.journal.generation
	return nil
}

// newestGeneration returns the generation of the newest snapshot, readable or not.
func (r *recovery) newestGeneration() uint64 {
	if n := len(r.snapshots); n > 0 {
		return r.snapshots[n-1]
	}
	return r.snapshotGeneration
}

// readSnapshot reads the newest readable snapshot. If there is none, the logs must start with generation 0.
func (r *recovery) readSnapshot() error {
	for k := len(r.snapshots) - 1; k >= 0; k-- {
		name := snapshotName(r.snapshots[k])
		snapshot, sequence, err := r.readSnapshotFile(name)
		if err == nil {
			r.snapshotGeneration = r.snapshots[k]
			r.journal.sequence = sequence
			if len(snapshot) > 0 {
				r.contents.Snapshot = snapshot
			}
			return nil
		}
		r.addDamage(Damage{File: name, Reason: err.Error()})
		if k == 0 && len(r.logs) > 0 && r.logs[0] > 0 {
			return fmt.Errorf("%w: no snapshot can be read: %w", ErrDamaged, err)
		}
	}
	return nil
}

func (r *recovery) readSnapshotFile(name string) ([]byte, uint64, error) {
	b, err := r.journal.fs.ReadFile(name)
	if err != nil {
		return nil, 0, err
	}
	return decodeSnapshot(b)
}

func (r *recovery) addDamage(d Damage) {
	r.contents.Report.Damaged = append(r.contents.Report.Damaged, d)
}

// readLogs reads the logs from the snapshot's generation to the newest one.
func (r *recovery) readLogs(newest uint64) error {
	for _, generation := range r.logs {
		switch {
		case generation < r.snapshotGeneration:
		case generation > newest: // left by an incomplete compaction
			if err := r.journal.fs.Remove(logName(generation)); err != nil {
				return fmt.Errorf("journal: %w", err)
			}
		case r.logDamaged:
			r.addDamage(Damage{File: logName(generation), Reason: "not read, follows a damaged log"})
		default:
			if err := r.readLog(generation, generation == newest); err != nil {
				return err
			}
		}
	}
	return nil
}

// readLog reads one log. The newest one becomes the current log unless it is damaged.
func (r *recovery) readLog(generation uint64, isNewest bool) error {
	j := r.journal
	name := logName(generation)
	b, err := j.fs.ReadFile(name)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	log := decodeLog(b, j.sequence, j.options.MaxRecordBytes)
	for _, record := range log.records {
		r.contents.Records = append(r.contents.Records, bytes.Clone(record))
	}
	j.sequence = log.lastSequence
	rest := b[log.size:]
	torn := isNewest && r.isTorn(&log, b)
	if log.err != nil && !torn {
		r.addDamage(Damage{
			File:   name,
			Offset: log.size,
			Bytes:  int64(len(rest)),
			Reason: log.err.Error(),
		})
		r.logDamaged = true
		return nil
	}
	if !isNewest {
		return nil
	}
	r.contents.Report.TornBytes = len(rest)
	if log.size == 0 { // the header was not written completely
		return j.createLog(generation)
	}
	return r.openLog(name, log.size, len(rest) > 0)
}

// isTorn reports whether the unreadable end of the newest log results from an incomplete write.
func (r *recovery) isTorn(log *decodedLog, b []byte) bool {
	if log.err == nil {
		return false
	}
	completeHeader := len(b) >= fileHeaderSize
	if log.size == 0 && completeHeader {
		return false
	}
	return !containsLaterRecord(b[log.size:], log.lastSequence, r.journal.options.MaxRecordBytes)
}

// openLog makes a log the current one and cuts off what follows its last record.
func (r *recovery) openLog(name string, size int64, torn bool) error {
	j := r.journal
	log, err := j.fs.Append(name)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	j.log = log
	j.logSize = size
	if !torn {
		return nil
	}
	if err := log.Truncate(size); err != nil {
		return fmt.Errorf("journal: truncate %s to %d bytes: %w", name, size, err)
	}
	if err := log.Sync(); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// rewrite renames the damaged files and writes the readable contents as a new generation, so that nothing is appended
// to files that may be damaged.
func (r *recovery) rewrite(generation uint64) error {
	j := r.journal
	for k := range r.contents.Report.Damaged {
		d := &r.contents.Report.Damaged[k]
		d.RenamedTo = damagedPrefix + d.File
		if err := j.fs.Rename(d.File, d.RenamedTo); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	last := j.sequence
	base := last - uint64(len(r.contents.Records)) // sequence number of the snapshot
	j.sequence = base
	if err := j.createLog(generation); err != nil {
		return err
	}
	if len(r.contents.Records) > 0 {
		if err := j.Append(r.contents.Records...); err != nil {
			return err
		}
	}
	if j.sequence != last {
		return fmt.Errorf("journal: rewritten log ends with record %d, expected record %d", j.sequence, last)
	}
	// An empty snapshot is installed too: Open takes a log without one for a leftover of an incomplete compaction.
	return j.installSnapshot(generation, r.contents.Snapshot, base)
}
