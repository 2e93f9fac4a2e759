// Package filewatch tells when the content of files has changed, however they are edited: renamed into place, written in
// place, cut off and written anew, behind a symbolic link that is turned, by a slow writer, or removed. It says whether
// what it read stands still, so that a file that is being written is not taken for one that has lost its rows.
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

// Lists names the lists in a folder, sorted: files ending in .csv, .yaml or .yml, but hidden ones, which editors and
// tools write beside them.
func Lists(dir string) (out []string, err error) {
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

// Times are a watcher's waits.
type Times struct {
	Poll   time.Duration // between two looks without any sign: where the system gives none
	Settle time.Duration // a file that has not changed for so long stands still
	Most   time.Duration // one that never does is read all the same, so long after its first change
}

// DefaultTimes keep well within half a second from a write to its effect.
func DefaultTimes() Times {
	return Times{Poll: 150 * time.Millisecond, Settle: 40 * time.Millisecond, Most: 160 * time.Millisecond}
}

// mark is what a file looks like from outside.
type mark struct {
	dev, ino uint64
	size     int64
	at       int64
	there    bool
}

func look(path string) mark {
	info, err := os.Stat(path) // follows links: what they point at counts
	if err != nil {
		return mark{}
	}
	m := mark{size: info.Size(), at: info.ModTime().UnixNano(), there: true}
	if st, ok := info.Sys().(*syscall.Stat_t); ok {
		m.dev, m.ino = st.Dev, st.Ino
	}
	return m
}

// Change is a content to be read.
type Change struct {
	Since   time.Time // when the first sign of it came
	Settled bool      // nothing has changed lately: what is missing is missing
}

// Watcher watches the files that it was told of.
type Watcher struct {
	times Times
	paths map[string]mark
	fs    *fsnotify.Watcher // nil: only looks
	dirs  map[string]bool
}

// New returns a watcher of nothing. Where the system gives no signs it only looks, which is said by the error; the
// watcher is good all the same.
func New(t Times) (*Watcher, error) {
	w := &Watcher{times: t, paths: map[string]mark{}, dirs: map[string]bool{}}
	fs, err := fsnotify.NewWatcher()
	if err == nil {
		w.fs = fs
	}
	return w, err
}

// Watch sets the files. It is called before the first Next, and again whenever a reading has found others.
func (w *Watcher) Watch(paths []string) {
	next := make(map[string]mark, len(paths))
	dirs := map[string]bool{}
	for _, p := range paths {
		if m, ok := w.paths[p]; ok {
			next[p] = m
		} else {
			next[p] = look(p)
		}
		// A rename is a sign of the folder and not of the file; and so are those of a link's target.
		dirs[filepath.Dir(p)] = true
		if real, err := filepath.EvalSymlinks(p); err == nil {
			dirs[filepath.Dir(real)] = true
		}
		if info, err := os.Stat(p); err == nil && info.IsDir() {
			dirs[p] = true
		}
	}
	w.paths = next
	if w.fs == nil {
		return
	}
	for d := range dirs {
		if !w.dirs[d] {
			_ = w.fs.Add(d) // one that cannot be watched is looked at
		}
	}
	for d := range w.dirs {
		if !dirs[d] {
			_ = w.fs.Remove(d)
		}
	}
	w.dirs = dirs
}

// Close gives the system's watch back.
func (w *Watcher) Close() {
	if w.fs != nil {
		_ = w.fs.Close()
	}
}

// refresh looks at all files and reports whether any is another than before.
func (w *Watcher) refresh() bool {
	changed := false
	for p, old := range w.paths {
		if m := look(p); m != old {
			w.paths[p] = m
			changed = true
		}
	}
	return changed
}

// Next waits for a change that is to be read, or for ctx. A change that was read before it stood still comes again once it
// does.
func (w *Watcher) Next(ctx context.Context, unsettled bool) (Change, bool) {
	var events chan fsnotify.Event
	var errs chan error
	if w.fs != nil {
		events, errs = w.fs.Events, w.fs.Errors
	}
	var since, last time.Time
	if unsettled {
		since, last = time.Now(), time.Now()
	}
	for {
		wait := w.times.Poll
		if !last.IsZero() {
			wait = min(w.times.Settle-time.Since(last), w.times.Poll)
			if !unsettled {
				wait = min(wait, w.times.Most-time.Since(since))
			}
		}
		t := time.NewTimer(max(wait, time.Millisecond))
		select {
		case <-ctx.Done():
			t.Stop()
			return Change{}, false
		case <-events:
		case err := <-errs:
			_ = err // notifications were lost: the files are looked at
		case <-t.C:
		}
		t.Stop()
		if w.refresh() {
			last = time.Now()
			if since.IsZero() {
				since = last
			}
			if unsettled { // news: to be read within the bound again
				since, unsettled = last, false
			}
		}
		switch {
		case last.IsZero():
		case time.Since(last) >= w.times.Settle:
			return Change{since, true}, true
		case !unsettled && time.Since(since) >= w.times.Most:
			return Change{since, false}, true
		}
	}
}

// Same reports whether the files still look as when the last change was told: a reading in between has seen one content.
func (w *Watcher) Same() bool {
	for p, old := range w.paths {
		if look(p) != old {
			return false
		}
	}
	return true
}
