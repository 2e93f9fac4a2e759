package journal

import "fmt"

// Compact replaces all stored records with a snapshot of the state that they result in. After an error the journal
// remains usable as before, unless Err returns an error.
func (j *Journal) Compact(snapshot []byte) error {
	if j.broken != nil {
		return j.broken
	}
	previous := *j
	generation := j.generation + 1
	if err := j.createLog(generation); err != nil {
		j.generation = previous.generation
		j.log = previous.log
		j.logSize = previous.logSize
		_ = j.fs.Remove(logName(generation)) // if it cannot be removed now, the next Open removes it
		return err
	}
	if err := j.installSnapshot(generation, snapshot, j.sequence); err != nil {
		// It is unknown whether the rename took effect, and thus whether further records belong to the new or the old
		// log.
		j.broken = fmt.Errorf("%w: %w", ErrBroken, err)
		return err
	}
	_ = previous.log.Close() // all records in it are already stored
	j.removeOldGenerations()
	return nil
}

// removeOldGenerations removes all generations except the current and the previous one. The next compaction retries
// what cannot be removed.
func (j *Journal) removeOldGenerations() {
	names, err := j.fs.List()
	if err != nil {
		return
	}
	for _, generation := range generations(names, snapshotPrefix) {
		if generation+1 < j.generation {
			_ = j.fs.Remove(snapshotName(generation)) // the next compaction retries
		}
	}
	for _, generation := range generations(names, logPrefix) {
		if generation+1 < j.generation {
			_ = j.fs.Remove(logName(generation)) // the next compaction retries
		}
	}
}

// createLog creates the log of a generation and makes it the current one.
func (j *Journal) createLog(generation uint64) error {
	log, err := j.fs.Create(logName(generation))
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	header := encodeFile(logMagic, j.sequence+1, nil)
	_, err = log.Write(header)
	if err == nil {
		err = log.Sync()
	}
	if err == nil {
		err = j.fs.SyncDir()
	}
	if err != nil {
		_ = log.Close() // the earlier error is returned
		return fmt.Errorf("journal: %w", err)
	}
	j.generation = generation
	j.log = log
	j.logSize = int64(len(header))
	return nil
}

// installSnapshot writes the snapshot of a generation to a temporary file and renames it into place.
func (j *Journal) installSnapshot(generation uint64, snapshot []byte, sequence uint64) error {
	file, err := j.fs.Create(temporarySnapshot)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	_, err = file.Write(encodeFile(snapshotMagic, sequence, snapshot))
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = j.fs.Rename(temporarySnapshot, snapshotName(generation))
	}
	if err == nil {
		err = j.fs.SyncDir()
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}
