// Package filewatch reports when the content of files has changed, however they are edited: replaced by a rename,
// overwritten in place, truncated and rewritten, switched behind a symbolic link, written slowly, or removed. It
// reports whether the files have settled, so that a file that is still being written is not mistaken for one that has
// lost rows.
package filewatch

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/fsnotify/fsnotify"
)

// ListFiles returns the paths of the node lists in a directory, sorted: files ending in .csv, .yaml or .yml. Hidden
// files, such as editors and tools create next to the lists, are ignored.
func ListFiles(dir string) (out []string, err error) {
	entries, err := os.ReadDir(dir) // sorted by name
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		switch strings.ToLower(filepath.Ext(e.Name())) {
		case ".csv", ".yaml", ".yml":
			if e.Name()[0] != '.' {
				out = append(out, filepath.Join(dir, e.Name()))
			}
		}
	}
	return out, nil
}

// Config holds the delays of a Watcher.
type Config struct {
	PollInterval time.Duration // time between checks of the files if the system sends no notification
	SettleTime   time.Duration // the files count as settled after this time without a change
	MaxDelay     time.Duration // a change is reported this long after it is first seen, even if unsettled
}

// DefaultConfig returns delays with which a write takes effect well within half a second.
func DefaultConfig() Config {
	return Config{PollInterval: 150 * time.Millisecond, SettleTime: 40 * time.Millisecond, MaxDelay: 160 * time.Millisecond}
}

// fileState identifies the content of a file by its metadata.
type fileState struct {
	dev, ino uint64
	size     int64
	modTime  int64
	exists   bool
}

func stat(path string) fileState {
	info, err := os.Stat(path) // follows symbolic links, so that a change of the target is detected
	if err != nil {
		return fileState{}
	}
	m := fileState{size: info.Size(), modTime: info.ModTime().UnixNano(), exists: true}
	if st, ok := info.Sys().(*syscall.Stat_t); ok {
		m.dev, m.ino = st.Dev, st.Ino
	}
	return m
}

// Change reports that files have changed and should be read.
type Change struct {
	DetectedAt time.Time // when the change was first seen
	Settled    bool      // the files are no longer being written, so rows that are missing have been removed
}

// Watcher watches the files set by Watch.
type Watcher struct {
	config      Config
	states      map[string]fileState
	notifier    *fsnotify.Watcher // nil if the files are only polled
	watchedDirs map[string]bool
}

// New returns a watcher without files. If the system provides no file change notifications, New returns an error
// together with a usable watcher that only polls.
func New(config Config) (*Watcher, error) {
	w := &Watcher{config: config, states: map[string]fileState{}, watchedDirs: map[string]bool{}}
	notifier, err := fsnotify.NewWatcher()
	if err == nil {
		w.notifier = notifier
	}
	return w, err
}

// Watch sets the files to watch. It must be called before the first Next, and again when the set of files has changed.
func (w *Watcher) Watch(paths []string) {
	next := make(map[string]fileState, len(paths))
	dirs := map[string]bool{}
	for _, p := range paths {
		if m, ok := w.states[p]; ok {
			next[p] = m
		} else {
			next[p] = stat(p)
		}
		// A rename causes a notification for the directory and not for the file, also for the target of a symbolic
		// link.
		dirs[filepath.Dir(p)] = true
		if target, err := filepath.EvalSymlinks(p); err == nil {
			dirs[filepath.Dir(target)] = true
		}
		if info, err := os.Stat(p); err == nil && info.IsDir() {
			dirs[p] = true
		}
	}
	w.states = next
	if w.notifier == nil {
		return
	}
	for d := range dirs {
		if !w.watchedDirs[d] {
			_ = w.notifier.Add(d) // a directory that cannot be watched is still polled
		}
	}
	for d := range w.watchedDirs {
		if !dirs[d] {
			_ = w.notifier.Remove(d)
		}
	}
	w.watchedDirs = dirs
}

// Close stops the file change notifications and frees their resources.
func (w *Watcher) Close() {
	if w.notifier != nil {
		_ = w.notifier.Close()
	}
}

// refresh updates the states of all files and reports whether any file has changed.
func (w *Watcher) refresh() bool {
	changed := false
	for p, old := range w.states {
		if m := stat(p); m != old {
			w.states[p] = m
			changed = true
		}
	}
	return changed
}

// Next waits for a change that should be read; ok is false if ctx is done first. If the caller read the last change
// before the files had settled, it sets unsettled, and Next reports the change again once they have.
func (w *Watcher) Next(ctx context.Context, unsettled bool) (change Change, ok bool) {
	var events chan fsnotify.Event
	var errs chan error
	if w.notifier != nil {
		events, errs = w.notifier.Events, w.notifier.Errors
	}
	var firstChange, lastChange time.Time
	if unsettled {
		firstChange, lastChange = time.Now(), time.Now()
	}
	for {
		wait := w.config.PollInterval
		if !lastChange.IsZero() {
			wait = min(w.config.SettleTime-time.Since(lastChange), w.config.PollInterval)
			if !unsettled {
				wait = min(wait, w.config.MaxDelay-time.Since(firstChange))
			}
		}
		t := time.NewTimer(max(wait, time.Millisecond))
		select {
		case <-ctx.Done():
			t.Stop()
			return Change{}, false
		case <-events:
		case err := <-errs:
			_ = err // notifications were lost; the files are checked below
		case <-t.C:
		}
		t.Stop()
		if w.refresh() {
			lastChange = time.Now()
			if firstChange.IsZero() {
				firstChange = lastChange
			}
			if unsettled { // a new change: MaxDelay applies again
				firstChange, unsettled = lastChange, false
			}
		}
		switch {
		case lastChange.IsZero():
		case time.Since(lastChange) >= w.config.SettleTime:
			return Change{firstChange, true}, true
		case !unsettled && time.Since(firstChange) >= w.config.MaxDelay:
			return Change{firstChange, false}, true
		}
	}
}

// Unchanged reports whether the files are unchanged since Next reported the last change. If so, the caller has read a
// consistent content in between.
func (w *Watcher) Unchanged() bool {
	for p, old := range w.states {
		if stat(p) != old {
			return false
		}
	}
	return true
}
