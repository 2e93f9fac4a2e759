package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An invalid scenario is reported with its file, line and key; two runs with the same seeds print the same.
func TestLab(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := "brokers = 3\nlast = \"5s\"\n[[nodes]]\ncount = 4\ncores = 1\nspeed = 1\n[load]\nrate = 90.0\nwork = \"20ms\"\nspread = \"exponential\"\n"
	for name, x := range map[string]struct{ text, want string }{
		"key.toml":    {good + "colour = 3\n", "key.toml:11: load.colour: unknown key"},
		"figure.toml": {strings.Replace(good, "count = 4", "count = 0", 1), "figure.toml: nodes[0].count: 0 cannot be"},
	} {
		if code, out := run("lab", "run", write(name, x.text)); code != exitUsage || !strings.Contains(out, x.want) {
			t.Errorf("%s: exit %d, want %d and output with %q: %s", name, code, exitUsage, x.want, out)
		}
	}
	path := write("good.toml", good)
	code, first := run("lab", "run", path, "--runs", "2")
	if _, second := run("lab", "run", path, "--runs", "2"); code != 0 || first != second || !strings.Contains(first, "two") {
		t.Errorf("exit %d, want 0 and twice the same output with design two:\n%s\n%s", code, first, second)
	}
	if code, out := run("lab", "compare", path, "two", "random", "--runs", "4"); code != 0 || !strings.Contains(out, "two less random, 4 seeds") ||
		!strings.Contains(out, "service") || strings.Count(out, "\n") != 10 {
		t.Errorf("compare: exit %d, want 0 and 10 lines: %s", code, out)
	}
}

// A sweep that is repeated reads finished runs from its results file and prints the same lines.
func TestLabSweep(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"s.toml": "brokers = 1\nlast = \"1s\"\n[[nodes]]\ncount = 2\ncores = 1\nspeed = 1\n[load]\nrate = 50.0\nwork = \"20ms\"\nspread = \"constant\"\n",
		"p.toml": "scenario = \"s.toml\"\ndesigns = [\"two\", \"round\"]\nruns = 2\n[[vary]]\nkeys = [\"load.rate\"]\nvalues = [[40.0], [60.0]]\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	plan, out := filepath.Join(dir, "p.toml"), filepath.Join(dir, "r.csv")
	code, first := run("lab", "sweep", plan, "-o", out)
	if _, again := run("lab", "sweep", plan, "-o", out); code != 0 || again != first || strings.Count(first, "2 seeds") != 4 {
		t.Errorf("exit %d, want 0 and twice the same 4 lines of 2 seeds:\n%s\n%s", code, first, again)
	}
	if code, text := run("lab", "sweep", plan, "-o", filepath.Join(dir, "s.toml")); code != exitUsage || !strings.Contains(text, "s.toml") {
		t.Errorf("results file of another kind: exit %d, want %d: %s", code, exitUsage, text)
	}
}

func TestLabBisect(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte("brokers = 1\nlast = \"10s\"\n[[nodes]]\ncount = 1\ncores = 1\nspeed = 1\n[load]\nrate = 10.0\nwork = \"20ms\"\nspread = \"constant\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	args := []string{"lab", "bisect", path, "-d", "random", "-m", "time_ms", "--from", "10", "--to", "48", "--bound", "40", "--steps", "3", "--runs", "3"}
	if code, out := run(args...); code != 0 || strings.Count(out, "\n") != 6 || !strings.Contains(out, "time_ms crosses 40 between load.rate=") {
		t.Errorf("exit %d, want 0 and 6 lines with the crossing: %s", code, out)
	}
	if code, out := run(append(args, "--key", "load.joy")...); code != exitUsage || !strings.Contains(out, "load.joy: unknown key") {
		t.Errorf("unknown key: exit %d, want %d: %s", code, exitUsage, out)
	}
}

// Search, under its former name hunt, writes a case that run accepts.
func TestLabSearch(t *testing.T) {
	dir := t.TempDir()
	path, out := filepath.Join(dir, "s.toml"), filepath.Join(dir, "case.toml")
	if err := os.WriteFile(path, []byte("brokers = 2\nlast = \"2s\"\n[[nodes]]\ncount = 2\ncores = 1\nspeed = 1\n[load]\nrate = 40.0\nwork = \"20ms\"\nspread = \"constant\"\npatience = \"300ms\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, text := run("lab", "hunt", path, "-o", out, "-d", "round", "--tries", "4", "--runs", "1"); code != 0 || !strings.Contains(text, "made small: round") {
		t.Errorf("search: exit %d, want 0 and a minimised case: %s", code, text)
	}
	if code, text := run("lab", "run", out, "-d", "round", "--runs", "2"); code != 0 {
		t.Errorf("run of the found case: exit %d, %s", code, text)
	}
}
