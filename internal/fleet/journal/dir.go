package journal

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// lockName is the file whose lock marks the folder as used.
const lockName = "lock"

// Dir is a folder on disk that is locked for one process. It implements FS.
type Dir struct {
	path string
	lock *os.File
}

// OpenDir creates a folder where there is none, and locks it. The lock ends with the process at the latest. The error
// matches ErrLocked where another process holds the lock.
func OpenDir(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // the error before it counts
		return nil, fmt.Errorf("%w: %s", ErrLocked, path)
	}
	return &Dir{path: path, lock: f}, nil
}

// Close releases the lock.
func (d *Dir) Close() error { return d.lock.Close() }

func (d *Dir) at(name string) string { return filepath.Join(d.path, name) }

// Create creates an empty file, in place of any of that name.
func (d *Dir) Create(name string) (File, error) {
	return os.OpenFile(d.at(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Append opens a file for writing at its end.
func (d *Dir) Append(name string) (File, error) {
	return os.OpenFile(d.at(name), os.O_WRONLY|os.O_APPEND, 0o600)
}

// ReadFile returns the content of a file.
func (d *Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.at(name)) }

// Rename renames a file, in place of any that has the new name.
func (d *Dir) Rename(from, to string) error { return os.Rename(d.at(from), d.at(to)) }

// Remove deletes a file.
func (d *Dir) Remove(name string) error { return os.Remove(d.at(name)) }

// List returns the names of the files.
func (d *Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// SyncDir stores created names and renames on disk.
func (d *Dir) SyncDir() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // opened for reading
	return f.Sync()
}
