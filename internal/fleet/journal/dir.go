package journal

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

var errNoSpace = syscall.ENOSPC

// Dir is a folder on disk, locked for one process.
type Dir struct {
	path string
	lock *os.File
}

// OpenDir makes and locks a folder. The lock ends with the process, however it ends.
func OpenDir(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%w: %s", ErrLocked, path)
	}
	return &Dir{path: path, lock: f}, nil
}

// Close gives the lock back.
func (d *Dir) Close() error { return d.lock.Close() }

func (d *Dir) at(name string) string { return filepath.Join(d.path, name) }

// Create makes an empty file.
func (d *Dir) Create(name string) (File, error) {
	return os.OpenFile(d.at(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Append opens a file for writing at its end.
func (d *Dir) Append(name string) (File, error) {
	return os.OpenFile(d.at(name), os.O_WRONLY|os.O_APPEND, 0o600)
}

// ReadFile reads a file whole.
func (d *Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.at(name)) }

// Rename puts a file in another's place.
func (d *Dir) Rename(from, to string) error { return os.Rename(d.at(from), d.at(to)) }

// Remove deletes a file.
func (d *Dir) Remove(name string) error { return os.Remove(d.at(name)) }

// List names the files.
func (d *Dir) List() (out []string, err error) {
	entries, err := os.ReadDir(d.path)
	for _, e := range entries {
		out = append(out, e.Name())
	}
	return out, err
}

// SyncDir has names and renames on disk.
func (d *Dir) SyncDir() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
