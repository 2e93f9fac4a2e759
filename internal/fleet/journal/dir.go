package journal

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// lockName is the name of the file that is locked while a process uses the folder.
const lockName = "lock"

// Dir is a folder on disk that one process has locked. It implements FS.
type Dir struct {
	path string
	lock *os.File
}

// OpenDir creates a folder if it does not exist, and locks it. The lock is released by Close or when the process ends.
// The error matches ErrLocked if another process holds the lock.
func OpenDir(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // the earlier error is returned
		return nil, fmt.Errorf("%w: %s", ErrLocked, path)
	}
	return &Dir{path: path, lock: f}, nil
}

// Close releases the lock.
func (d *Dir) Close() error { return d.lock.Close() }

func (d *Dir) filePath(name string) string { return filepath.Join(d.path, name) }

// Create creates an empty file and replaces any existing file of that name.
func (d *Dir) Create(name string) (File, error) {
	return os.OpenFile(d.filePath(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Append opens an existing file for writing at its end.
func (d *Dir) Append(name string) (File, error) {
	return os.OpenFile(d.filePath(name), os.O_WRONLY|os.O_APPEND, 0o600)
}

// ReadFile returns the content of a file.
func (d *Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.filePath(name)) }

// Rename renames a file and replaces any existing file of the new name.
func (d *Dir) Rename(from, to string) error { return os.Rename(d.filePath(from), d.filePath(to)) }

// Remove deletes a file.
func (d *Dir) Remove(name string) error { return os.Remove(d.filePath(name)) }

// List returns the names of all entries of the folder.
func (d *Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// SyncDir syncs the folder, so that created and renamed files survive a crash.
func (d *Dir) SyncDir() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // only opened for reading
	return f.Sync()
}
