package filewatch

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const patience = 20 * time.Second

// Every way to edit a file is seen, and what is read in the end is what was written, whether the system gives signs or the
// watcher only looks. A writer that never rests is read now and then all the same, but never as settled half way.
func TestEveryWayToEdit(t *testing.T) {
	for _, signs := range []bool{true, false} {
		dir := t.TempDir()
		path := filepath.Join(dir, "list.csv")
		put := func(name, text string) {
			t.Helper()
			if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		put("list.csv", "0")
		w, err := New(DefaultTimes())
		if err != nil {
			t.Log(err)
		}
		if !signs && w.fs != nil {
			_ = w.fs.Close()
			w.fs = nil
		}
		w.Watch([]string{path})
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		for n, edit := range []func(text string){
			func(text string) {
				put("tmp", text)
				if err := os.Rename(filepath.Join(dir, "tmp"), path); err != nil {
					t.Fatal(err)
				}
			},
			func(text string) { put("list.csv", text) },
			func(text string) {
				f, _ := os.OpenFile(path, os.O_WRONLY|os.O_TRUNC, 0)
				if err := f.Sync(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond)
				if _, err := f.WriteString(text); err != nil {
					t.Fatal(err)
				}
				if err := f.Close(); err != nil {
					t.Fatal(err)
				}
			},
			func(text string) {
				if err := os.Remove(path); err != nil {
					t.Fatal(err)
				}
				put("real1", text)
				if err := os.Symlink("real1", path); err != nil {
					t.Fatal(err)
				}
			},
			func(text string) {
				put("real2", text)
				if err := os.Symlink("real2", filepath.Join(dir, "link")); err != nil {
					t.Fatal(err)
				}
				if err := os.Rename(filepath.Join(dir, "link"), path); err != nil {
					t.Fatal(err)
				}
			},
			func(text string) { put("real2", text) }, // behind the link
			func(text string) {
				f, _ := os.OpenFile(path, os.O_WRONLY|os.O_TRUNC, 0)
				for i := range text {
					if _, err := f.WriteString(text[i : i+1]); err != nil {
						t.Fatal(err)
					}
					time.Sleep(10 * time.Millisecond)
				}
				if err := f.Close(); err != nil {
					t.Fatal(err)
				}
			},
			func(text string) {
				if err := os.Remove(path); err != nil {
					t.Fatal(err)
				}
				time.Sleep(30 * time.Millisecond)
				put("list.csv", text)
			},
		} {
			want := fmt.Sprintf("content %d of the list", n)
			go edit(want)
			settled, unsettled := "", false
			for settled != want {
				c, ok := w.Next(ctx, unsettled)
				if !ok {
					t.Fatalf("signs %v, edit %d: never settled on %q, last %q", signs, n, want, settled)
				}
				b, _ := os.ReadFile(path)
				unsettled = !c.Settled || !w.Same()
				if !unsettled {
					settled = string(b)
				}
				w.Watch([]string{path})
			}
		}
		cancel()
		w.Close()
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
