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

const patience = 20 * time.Second

// listEditor changes a list in every way in which editors and configuration tools write files.
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

// truncateAndWrite writes a text in pieces, with pauses between them and after the truncation.
func (e listEditor) truncateAndWrite(text string, pieceSize int, pause time.Duration) error {
	f, err := os.OpenFile(e.path(listName), os.O_WRONLY|os.O_TRUNC, 0)
	if err != nil {
		return err
	}
	err = f.Sync()
	for text != "" && err == nil {
		time.Sleep(pause)
		n := min(len(text), pieceSize)
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

// awaitSettled waits until the watcher has settled on a content, and returns the last one that it settled on.
func awaitSettled(ctx context.Context, w *Watcher, path, want string) (settled string, ok bool) {
	unsettled := false
	for settled != want {
		change, ok := w.Next(ctx, unsettled)
		if !ok {
			return settled, false
		}
		content, _ := os.ReadFile(path) // a file that is gone at the moment has no content
		unsettled = !change.Settled || !w.Same()
		if !unsettled {
			settled = string(content)
		}
		w.Watch([]string{path})
	}
	return settled, true
}

// TestEveryWayToEditIsNoticed holds with notifications from the system and without. A file that is being written is read now
// and then, but never counts as settled half way.
func TestEveryWayToEditIsNoticed(t *testing.T) {
	for _, notifications := range []bool{true, false} {
		t.Run(fmt.Sprintf("notifications %v", notifications), func(t *testing.T) {
			editor := listEditor{dir: t.TempDir()}
			if err := editor.overwrite("0"); err != nil {
				t.Fatal(err)
			}
			w, err := New(DefaultTimes())
			if err != nil {
				t.Log(err)
			}
			defer w.Close()
			if !notifications && w.fs != nil {
				_ = w.fs.Close()
				w.fs = nil
			}
			path := editor.path(listName)
			w.Watch([]string{path})
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			// Each edit begins with what the one before it left.
			for n, edit := range []func(string) error{
				editor.renameOver, editor.overwrite, editor.truncateThenWrite, editor.replaceByLink, editor.switchLink,
				editor.overwriteLinkTarget, editor.writeByteByByte, editor.removeAndCreate,
			} {
				want := fmt.Sprintf("content %d of the list", n)
				written := make(chan error, 1)
				go func() { written <- edit(want) }()
				if settled, ok := awaitSettled(ctx, w, path, want); !ok {
					t.Fatalf("edit %d: never settled on %q, last %q", n, want, settled)
				}
				if err := <-written; err != nil {
					t.Fatalf("edit %d: %v", n, err)
				}
			}
		})
	}
}

// A file that a writer adds to step by step is told as settled once, with all of it: the steps are far closer together than what
// counts as standing still.
func TestSlowWriterSettlesOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.csv")
	if err := os.WriteFile(path, []byte("old"), 0o600); err != nil {
		t.Fatal(err)
	}
	w, _ := New(Times{Poll: 20 * time.Millisecond, Settle: 2 * time.Second, Most: patience})
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
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	c, ok := w.Next(ctx, false)
	b, _ := os.ReadFile(path)
	if !ok || !c.Settled || string(b) != want {
		t.Errorf("%v %+v %q", ok, c, b)
	}
}
