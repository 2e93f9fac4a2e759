// Package faultfs has a folder in memory that replaces the disk in tests. A test chooses the call at which a sync
// fails, the space runs out or the machine crashes. At a crash, data that was not synced is lost, all or half of it.
package faultfs

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"syscall"

	"poppyarch/internal/fleet/journal"
)

// ErrCrashed is returned by every call from a crash until Reboot, and by files opened before the crash.
var ErrCrashed = errors.New("faultfs: crashed")

// FS is a folder in memory. It implements journal.FS.
type FS struct {
	mu        sync.Mutex
	names     map[string]*inode // the files as the process sees them
	durable   map[string]*inode // the files that exist after a crash
	calls     int               // counted by beginCall
	crashAt   int               // number of the call in which the machine crashes; 0 if none
	partial   bool              // see CrashAt
	crashed   bool
	spaceLeft int // bytes that can still be written; negative if unlimited
	syncErr   error
	boot      int // number of reboots
}

type inode struct {
	data   []byte
	synced int // length of the data that survives a crash
}

// New returns an empty folder.
func New() *FS {
	return &FS{names: map[string]*inode{}, durable: map[string]*inode{}, spaceLeft: -1}
}

// CrashAt makes the machine crash in the n-th modifying call from now on, counted from 1. That call has no durable
// effect unless partial is set: then half of the data of a Write or Sync is durable, and a Rename or SyncDir is carried
// out.
func (f *FS) CrashAt(n int, partial bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashAt, f.partial = f.calls+n, partial
}

// SetFreeSpace sets the number of bytes that can still be written before writes fail with ENOSPC. A negative number
// means no limit.
func (f *FS) SetFreeSpace(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spaceLeft = n
}

// FailSync makes every Sync of a file fail with err. nil ends this.
func (f *FS) FailSync(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncErr = err
}

// ModifyingCalls returns the number of modifying calls so far.
func (f *FS) ModifyingCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// Crashed reports whether the machine has crashed and was not rebooted.
func (f *FS) Crashed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

// Reboot restarts the machine with the files and data that were durable. Files opened before stay unusable.
func (f *FS) Reboot() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.boot++
	f.crashed, f.crashAt, f.names = false, 0, map[string]*inode{}
	for name, n := range f.durable {
		n.data = n.data[:min(n.synced, len(n.data))]
		f.names[name] = n
	}
}

// Corrupt replaces a file's content in place, like a failing disk that corrupts data.
func (f *FS) Corrupt(name string, edit func([]byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[name]
	n.data = edit(n.data)
	n.synced = len(n.data)
}

// beginCall counts a modifying call and reports whether the machine crashes in it. It returns ErrCrashed if the machine
// has crashed before.
func (f *FS) beginCall() (crashing bool, err error) {
	if f.crashed {
		return false, ErrCrashed
	}
	f.calls++
	if f.crashAt > 0 && f.calls >= f.crashAt {
		f.crashed = true
		return true, nil
	}
	return false, nil
}

// file is an open file. It is unusable after a crash.
type file struct {
	fs    *FS
	inode *inode
	boot  int
}

func (x *file) beginCall() (crashing bool, err error) {
	if x.boot != x.fs.boot {
		return false, ErrCrashed
	}
	return x.fs.beginCall()
}

// Write appends p to the file.
func (x *file) Write(p []byte) (int, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	crashing, err := x.beginCall()
	if err != nil {
		return 0, err
	}
	if crashing {
		if x.fs.partial { // the kernel has written back its cached data just before the crash
			x.inode.data = append(x.inode.data, p[:len(p)/2]...)
			x.inode.synced = len(x.inode.data)
		}
		return 0, ErrCrashed
	}
	n := len(p)
	if x.fs.spaceLeft >= 0 {
		n = min(n, x.fs.spaceLeft)
		x.fs.spaceLeft -= n
	}
	x.inode.data = append(x.inode.data, p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Sync makes the written data durable.
func (x *file) Sync() error {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	crashing, err := x.beginCall()
	switch {
	case err != nil:
		return err
	case crashing:
		if x.fs.partial {
			x.inode.synced += (len(x.inode.data) - x.inode.synced) / 2
		}
		return ErrCrashed
	case x.fs.syncErr != nil:
		return x.fs.syncErr
	}
	x.inode.synced = len(x.inode.data)
	return nil
}

// Truncate shortens the file to size bytes.
func (x *file) Truncate(size int64) error {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	crashing, err := x.beginCall()
	if err != nil {
		return err
	}
	if crashing {
		return ErrCrashed
	}
	x.inode.data = x.inode.data[:size]
	x.inode.synced = min(x.inode.synced, int(size))
	return nil
}

// Close closes the file. It never fails.
func (x *file) Close() error { return nil }

// Create creates an empty file. The file survives a crash only after SyncDir.
func (f *FS) Create(name string) (journal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashing, err := f.beginCall()
	if err != nil {
		return nil, err
	}
	if crashing {
		return nil, ErrCrashed
	}
	f.names[name] = &inode{}
	return &file{f, f.names[name], f.boot}, nil
}

// Append opens an existing file for appending.
func (f *FS) Append(name string) (journal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return nil, ErrCrashed
	}
	n := f.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &file{f, n, f.boot}, nil
}

// ReadFile returns a file's content.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return nil, ErrCrashed
	}
	n := f.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Rename renames a file and replaces an existing one of the new name. The change survives a crash only after SyncDir.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashing, err := f.beginCall()
	if err != nil {
		return err
	}
	if crashing && !f.partial {
		return ErrCrashed
	}
	n := f.names[from]
	if n == nil {
		return fs.ErrNotExist
	}
	f.names[to] = n
	delete(f.names, from)
	if crashing { // the change reached the disk just before the crash
		f.durable = maps.Clone(f.names)
		return ErrCrashed
	}
	return nil
}

// Remove deletes a file. The change survives a crash only after SyncDir.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashing, err := f.beginCall()
	if err != nil {
		return err
	}
	if crashing {
		return ErrCrashed
	}
	if f.names[name] == nil {
		return fs.ErrNotExist
	}
	delete(f.names, name)
	return nil
}

// List returns the names of all files in order.
func (f *FS) List() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(f.names)), nil
}

// SyncDir makes created, renamed and removed files durable.
func (f *FS) SyncDir() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashing, err := f.beginCall()
	if err != nil {
		return err
	}
	if crashing && !f.partial {
		return ErrCrashed
	}
	f.durable = maps.Clone(f.names)
	if crashing {
		return ErrCrashed
	}
	return nil
}
