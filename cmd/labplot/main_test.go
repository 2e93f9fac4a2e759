package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func execute(args ...string) (string, error) {
	c := root()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

// A scenario becomes a page. Invalid arguments and files give an error and leave no page behind.
func TestReportAndPlot(t *testing.T) {
	dir := t.TempDir()
	s := filepath.Join(dir, "small.toml")
	if err := os.WriteFile(s, []byte("name = \"small\"\nbrokers = 2\nlast = \"2s\"\n[[nodes]]\ncount = 3\ncores = 1\nspeed = 1.0\n[load]\nrate = 60.0\nwork = \"20ms\"\nspread = \"constant\"\npatience = \"500ms\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	page := filepath.Join(dir, "p.html")
	if out, err := execute("report", s, "-d", "two,random", "--runs", "2", "-o", page); err != nil || !strings.Contains(out, "1 sections") {
		t.Fatalf("%s %v", out, err)
	}
	b, err := os.ReadFile(page)
	if err != nil || !bytes.Contains(b, []byte("small")) || bytes.Count(b, []byte("<svg")) != 2 {
		t.Errorf("%v, %d bytes", err, len(b))
	}
	for _, args := range [][]string{{"report", s, "-d", "unknown", "-o", page + "2"}, {"report", s, "--runs", "0", "-o", page + "2"},
		{"report", filepath.Join(dir, "none.csv"), "-o", page + "2"}, {"plot", s, "-o", page + "2"}, {"plot", s}} {
		if out, err := execute(args...); err == nil {
			t.Errorf("%v: want an error, got %s", args, out)
		}
	}
	if _, err := os.Stat(page + "2"); err == nil {
		t.Error("a failed report left a page")
	}
}
