// Package faultfs is a folder in memory that fails, fills up or dies at a call of the test's choosing. What was not
// synced is lost at a crash, or half of it is. Tests use it in place of the disk.
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

// ErrCrashed is what every call gives once the machine is down.
var ErrCrashed = errors.New("faultfs: crashed")

// FS is the folder.
type FS struct {
	mu      sync.Mutex
	names   map[string]*node // as the process sees them
	durable map[string]*node // as they are after a crash
	calls   int
	crashAt int // the call that does not come to its end; 0: none
	half    bool
	down    bool
	room    int // bytes that may still be written; negative: no bound
	syncErr error
	life    int
}

type node struct {
	data   []byte
	synced int // bytes that survive a crash
}

// New returns an empty folder.
func New() *FS {
	return &FS{names: map[string]*node{}, durable: map[string]*node{}, room: -1}
}

// CrashAt has the machine go down within the n-th call from now on, counted from 1. With half, a write or sync in
// which it goes down has got half way.
func (f *FS) CrashAt(n int, half bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashAt, f.half = f.calls+n, half
}

// SetRoom bounds the bytes that may still be written; negative lifts the bound.
func (f *FS) SetRoom(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.room = n
}

// FailSync has every sync fail with err, until nil.
func (f *FS) FailSync(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncErr = err
}

// Calls counts the calls that change something.
func (f *FS) Calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// Down reports whether the machine is down.
func (f *FS) Down() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

// Reboot brings the machine up again with what survived.
func (f *FS) Reboot() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.life++
	f.down, f.crashAt, f.names = false, 0, map[string]*node{}
	for name, n := range f.durable {
		n.data = n.data[:min(n.synced, len(n.data))]
		f.names[name] = n
	}
}

// Edit changes a file's bytes in place, as a failing disk would.
func (f *FS) Edit(name string, edit func([]byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[name]
	n.data = edit(n.data)
	n.synced = len(n.data)
}

// enter counts a call and reports whether it is the one in which the machine goes down.
func (f *FS) enter() (last bool, err error) {
	if f.down {
		return false, ErrCrashed
	}
	f.calls++
	if f.crashAt > 0 && f.calls >= f.crashAt {
		f.down = true
		return true, nil
	}
	return false, nil
}

// file is an open one. It does not outlive a crash.
type file struct {
	fs   *FS
	node *node
	life int
}

func (x *file) enter() (bool, error) {
	if x.life != x.fs.life {
		return false, ErrCrashed
	}
	return x.fs.enter()
}

// Write appends.
func (x *file) Write(p []byte) (int, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	last, err := x.enter()
	if err != nil {
		return 0, err
	}
	if last {
		if x.fs.half { // and what the kernel held had just been written out
			x.node.data = append(x.node.data, p[:len(p)/2]...)
			x.node.synced = len(x.node.data)
		}
		return 0, ErrCrashed
	}
	n := len(p)
	if x.fs.room >= 0 {
		n = min(n, x.fs.room)
		x.fs.room -= n
	}
	x.node.data = append(x.node.data, p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Sync makes what was written durable.
func (x *file) Sync() error {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	last, err := x.enter()
	switch {
	case err != nil:
		return err
	case last:
		if x.fs.half {
			x.node.synced += (len(x.node.data) - x.node.synced) / 2
		}
		return ErrCrashed
	case x.fs.syncErr != nil:
		return x.fs.syncErr
	}
	x.node.synced = len(x.node.data)
	return nil
}

// Truncate cuts.
func (x *file) Truncate(size int64) error {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	last, err := x.enter()
	if err != nil {
		return err
	}
	if last {
		return ErrCrashed
	}
	x.node.data = x.node.data[:size]
	x.node.synced = min(x.node.synced, int(size))
	return nil
}

// Close does nothing that could fail.
func (x *file) Close() error { return nil }

// Create makes an empty file. Its name survives a crash only after SyncDir.
func (f *FS) Create(name string) (journal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, err := f.enter()
	if err != nil {
		return nil, err
	}
	if last {
		return nil, ErrCrashed
	}
	f.names[name] = &node{}
	return &file{f, f.names[name], f.life}, nil
}

// Append opens a file.
func (f *FS) Append(name string) (journal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, ErrCrashed
	}
	n := f.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &file{f, n, f.life}, nil
}

// ReadFile reads one.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, ErrCrashed
	}
	n := f.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Rename puts one in another's place.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, err := f.enter()
	if err != nil {
		return err
	}
	if last && !f.half {
		return ErrCrashed
	}
	n := f.names[from]
	if n == nil {
		return fs.ErrNotExist
	}
	f.names[to] = n
	delete(f.names, from)
	if last { // it got through to the disk just before
		f.durable = maps.Clone(f.names)
		return ErrCrashed
	}
	return nil
}

// Remove deletes one.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, err := f.enter()
	if err != nil {
		return err
	}
	if last {
		return ErrCrashed
	}
	if f.names[name] == nil {
		return fs.ErrNotExist
	}
	delete(f.names, name)
	return nil
}

// List names the files.
func (f *FS) List() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(f.names)), nil
}

// SyncDir makes names durable.
func (f *FS) SyncDir() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, err := f.enter()
	if err != nil {
		return err
	}
	if last && !f.half {
		return ErrCrashed
	}
	f.durable = maps.Clone(f.names)
	if last {
		return ErrCrashed
	}
	return nil
}
