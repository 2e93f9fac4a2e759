package filewatch

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// listEditor changes a list in all the ways in which editors and configuration tools write files.
type listEditor struct{ dir string }

const listName = "list.csv"

func (e listEditor) path(name string) string { return filepath.Join(e.dir, name) }

func (e listEditor) write(name, text string) error {
	return os.WriteFile(e.path(name), []byte(text), 0o600)
}

func (e listEditor) renameOver(text string) error {
	return errors.Join(e.write("tmp", text), os.Rename(e.path("tmp"), e.path(listName)))
}

func (e listEditor) overwrite(text string) error { return e.write(listName, text) }

// truncateAndWrite truncates the list and writes a text in chunks, with a pause before each.
func (e listEditor) truncateAndWrite(text string, chunkSize int, pause time.Duration) error {
	f, err := os.OpenFile(e.path(listName), os.O_WRONLY|os.O_TRUNC, 0)
	if err != nil {
		return err
	}
	err = f.Sync()
	for text != "" && err == nil {
		time.Sleep(pause)
		n := min(len(text), chunkSize)
		_, err = f.WriteString(text[:n])
		text = text[n:]
	}
	return errors.Join(err, f.Close())
}

func (e listEditor) truncateThenWrite(text string) error {
	return e.truncateAndWrite(text, len(text), 20*time.Millisecond)
}

func (e listEditor) writeByteByByte(text string) error {
	return e.truncateAndWrite(text, 1, 10*time.Millisecond)
}

func (e listEditor) replaceByLink(text string) error {
	return errors.Join(os.Remove(e.path(listName)), e.write("real1", text), os.Symlink("real1", e.path(listName)))
}

func (e listEditor) switchLink(text string) error {
	return errors.Join(e.write("real2", text), os.Symlink("real2", e.path("link")), os.Rename(e.path("link"), e.path(listName)))
}

func (e listEditor) overwriteLinkTarget(text string) error { return e.write("real2", text) }

func (e listEditor) removeAndCreate(text string) error {
	if err := os.Remove(e.path(listName)); err != nil {
		return err
	}
	time.Sleep(30 * time.Millisecond)
	return e.write(listName, text)
}

// awaitSettled waits until the watcher reports the expected content as settled. It returns the last settled content.
func awaitSettled(ctx context.Context, w *Watcher, path, want string) (settled string, ok bool) {
	unsettled := false
	for settled != want {
		change, ok := w.Next(ctx, unsettled)
		if !ok {
			return settled, false
		}
		content, _ := os.ReadFile(path) // a file that does not exist at the moment counts as empty
		unsettled = !change.Settled || !w.Unchanged()
		if !unsettled {
			settled = string(content)
		}
		w.Watch([]string{path})
	}
	return settled, true
}

// Changes made in any way are detected, with and without notifications from the system. A file may be reported while it
// is being written, but it does not count as settled before it is complete.
func TestEveryWayToEditIsDetected(t *testing.T) {
	for _, notifications := range []bool{true, false} {
		t.Run(fmt.Sprintf("notifications %v", notifications), func(t *testing.T) {
			editor := listEditor{dir: t.TempDir()}
			if err := editor.overwrite("0"); err != nil {
				t.Fatal(err)
			}
			w, err := New(DefaultConfig())
			if err != nil {
				t.Log(err)
			}
			defer w.Close()
			if !notifications && w.notifier != nil {
				_ = w.notifier.Close()
				w.notifier = nil
			}
			path := editor.path(listName)
			w.Watch([]string{path})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			// Each edit starts from the files that the previous one left.
			for n, edit := range []func(string) error{
				editor.renameOver, editor.overwrite, editor.truncateThenWrite, editor.replaceByLink, editor.switchLink,
				editor.overwriteLinkTarget, editor.writeByteByByte, editor.removeAndCreate,
			} {
				want := fmt.Sprintf("content %d of the list", n)
				written := make(chan error, 1)
				go func() { written <- edit(want) }()
				if settled, ok := awaitSettled(ctx, w, path, want); !ok {
					t.Fatalf("edit %d: content %q never settled, last settled content %q", n, want, settled)
				}
				if err := <-written; err != nil {
					t.Fatalf("edit %d: %v", n, err)
				}
			}
		})
	}
}

// A file that is written in small steps is reported as settled once, with its complete content: the steps are much
// shorter than SettleTime.
func TestSlowWriterSettlesOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.csv")
	if err := os.WriteFile(path, []byte("old"), 0o600); err != nil {
		t.Fatal(err)
	}
	w, _ := New(Config{PollInterval: 20 * time.Millisecond, SettleTime: 2 * time.Second, MaxDelay: testTimeout})
	defer w.Close()
	w.Watch([]string{path})
	const want = "a list of some length"
	go func() {
		f, _ := os.OpenFile(path, os.O_WRONLY|os.O_TRUNC, 0)
		for i := range want {
			if _, err := f.WriteString(want[i : i+1]); err != nil {
				t.Error(err)
			}
			time.Sleep(5 * time.Millisecond)
		}
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	c, ok := w.Next(ctx, false)
	b, _ := os.ReadFile(path)
	if !ok || !c.Settled || string(b) != want {
		t.Errorf("Next returned %+v, %v; content %q, want %q and settled", c, ok, b, want)
	}
}
