package experiment

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"poppyarch/internal/lab/model"
	"poppyarch/internal/lab/statistics"
)

const scenario = "name = \"small\"\nbrokers = 2\nlast = \"1s\"\n[[nodes]]\ncount = 3\ncores = 1\nspeed = 1.0\n[load]\nrate = 100.0\nwork = \"20ms\"\nspread = \"exponential\"\npatience = \"500ms\"\n"

const plan = "scenario = \"s.toml\"\ndesigns = [\"two\", \"random\"]\nmeasure = \"time_ms\"\nruns = 3\nmost = 9\n[[vary]]\nkeys = [\"brokers\", \"load.rate\"]\nvalues = [[1, 60.0], [3, 90.0]]\n[[vary]]\nkeys = [\"nodes[0].speed\"]\nvalues = [[1.0], [0.9]]\n"

func files(t *testing.T, plan string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"s.toml": scenario, "p.toml": plan} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "p.toml")
}

// sweep plays a plan into a file; after so many lines it is ended.
func sweep(t *testing.T, path, out string, lines int) (said []Line) {
	t.Helper()
	p, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Open(out, p.Keys())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	err = p.Run(ctx, r, func(l Line) {
		if said = append(said, l); len(said) == lines {
			cancel()
		}
	})
	if err != nil && lines == 0 {
		t.Fatal(err)
	}
	return said
}

// A run that was ended in the middle, its last line cut, goes on and ends with the very results of one that was not; a further one plays nothing.
func TestGoesOnWhereItWasEnded(t *testing.T) {
	path := files(t, plan)
	whole, cut := filepath.Join(t.TempDir(), "a.csv"), filepath.Join(t.TempDir(), "b.csv")
	want := sweep(t, path, whole, 0)
	if len(want) != 8 || want[0].Mean.N != 3 || want[1].Less.N != 3 {
		t.Fatalf("%+v", want)
	}
	sweep(t, path, cut, 3)
	text, _ := os.ReadFile(cut)
	if err := os.WriteFile(cut, text[:len(text)-7], 0o600); err != nil {
		t.Fatal(err)
	}
	got := sweep(t, path, cut, 0)
	a, _ := os.ReadFile(whole)
	b, _ := os.ReadFile(cut)
	if len(a) == 0 || string(a) != string(b) {
		t.Errorf("%d bytes of results, %d after a break", len(a), len(b))
	}
	for i := range got {
		if got[i].Design != want[i].Design || got[i].Mean != want[i].Mean || !reflect.DeepEqual(got[i].Values, want[i].Values) {
			t.Errorf("%+v, want %+v", got[i], want[i])
		}
	}
	sweep(t, path, whole, 0)
	if again, _ := os.ReadFile(whole); string(again) != string(a) {
		t.Error("a further run has changed the results")
	}
}

// Seeds are added until the interval is as narrow as wanted, and no further than told.
func TestPrecision(t *testing.T) {
	wide := strings.Replace(plan, "runs = 3", "runs = 3\nprecision = 1000.0", 1)
	narrow := strings.Replace(plan, "runs = 3", "runs = 3\nprecision = 0.00001", 1)
	for text, n := range map[string]int{wide: 3, narrow: 9} {
		for _, l := range sweep(t, files(t, text), filepath.Join(t.TempDir(), "r.csv"), 0) {
			if l.Mean.N != n {
				t.Errorf("%d seeds, want %d", l.Mean.N, n)
			}
		}
	}
}

// What cannot be is named.
func TestNamesWhatIsWrong(t *testing.T) {
	for want, x := range map[string][2]string{
		"p.toml:3: colour: unknown key":            {"measure =", "colour ="},
		"measure: \"joy\" is unknown":              {"time_ms", "joy"},
		"designs[1]: design \"best\" is unknown":   {"\"random\"", "\"best\""},
		"designs[1]: \"two\" stands twice":         {"\"random\"", "\"two\""},
		"load.colour: unknown key":                 {"load.rate", "load.colour"},
		"nodes[4].speed: the scenario has no such": {"nodes[0]", "nodes[4]"},
		"nodes: is no single figure":               {"nodes[0].speed", "nodes"},
		"vary[0].values[0]: 1 values for 2 keys":   {"[[1, 60.0]", "[[1]"},
		"nodes[0].speed: 0 cannot be":              {"[[1.0]", "[[0.0]"},
		"runs: 1 cannot be":                        {"runs = 3", "runs = 1"},
		"most: 2 is less than runs, 3":             {"most = 9", "most = 2"},
		"invalid syntax":                           {"[[1, 60.0]", "[[1.5, 60.0]"},
	} {
		if _, err := Read(files(t, strings.Replace(plan, x[0], x[1], 1))); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "p.toml") {
			t.Errorf("%v, want %s", err, want)
		}
	}
	out := filepath.Join(t.TempDir(), "r.csv")
	for text, want := range map[string]string{"a,b\n1,2\n": "not results of this plan", "a file of something else": "not results of a plan", "a,b\n1,2": "not results of this plan", strings.Join((&Results{keys: []string{"x"}}).header(), ",") + "\n": "results of another plan"} {
		if err := os.WriteFile(out, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(out, []string{"brokers"}); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "r.csv") {
			t.Errorf("%v, want %s", err, want)
		}
		if left, _ := os.ReadFile(out); string(left) != text {
			t.Errorf("%q has become %q", text, left)
		}
	}
}

// The measures are those of the run.
func TestMeasures(t *testing.T) {
	r := &model.Result{Service: 0.5, P99: 0.25, Broken: map[string]int{"cold": 2, "drain": 1}, Time: statistics.Figure{Mean: 0.125}}
	for name, want := range map[string]float64{"service": 0.5, "p99_ms": 250, "broken": 3, "time_ms": 125} {
		if got := Measures[name](r); math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
}

// The load at which a queue's time crosses a bound is where theory has it: M/M/1 with work w takes w / (1 - rate w).
func TestBisectMeetsTheory(t *testing.T) {
	s, err := ReadScenario(filepath.Join(filepath.Dir(files(t, plan)), "s.toml"))
	if err != nil {
		t.Fatal(err)
	}
	s.Brokers, s.Nodes[0].Count, s.Load.Deadline, s.Duration = 1, 1, 0, model.Duration(200e9)
	b := &Bisection{Scenario: s, Key: "load.rate", From: 5, To: 45, Design: "random", Measure: "time_ms", Bound: 50, Runs: 4, Most: 8, Seed: 1, Steps: 5}
	steps := 0
	f, err := b.Run(context.Background(), func(Step) { steps++ })
	if want := 30.0; err != nil || steps != 7 || f.Near.Above || !f.Far.Above || f.Near.At > want+1.5 || f.Far.At < want-1.5 || f.Far.At-f.Near.At > 1.26 {
		t.Errorf("%v, %d steps, between %v and %v, want %v", err, steps, f.Near.At, f.Far.At, want)
	}
	b.To = 6
	if _, err := b.Run(context.Background(), func(Step) {}); err == nil || !strings.Contains(err.Error(), "under 50 at both ends, 5 and 6") {
		t.Error(err)
	}
	b.Key, b.From, b.To, b.Bound = "nodes[0].count", 1, 4, 30
	b.Scenario.Load.Rate = 40
	if f, err := b.Run(context.Background(), func(s Step) {
		if s.At != float64(int(s.At)) {
			t.Errorf("%v nodes", s.At)
		}
	}); err != nil || f.Far.At-f.Near.At != 1 {
		t.Errorf("%v %+v", err, f)
	}
	for want, spoil := range map[string]func(b *Bisection){"load.joy: unknown key": func(b *Bisection) { b.Key = "load.joy" }, "steps: 0": func(b *Bisection) { b.Steps = 0 },
		"both are 1": func(b *Bisection) { b.To = 1 }, "runs: 1": func(b *Bisection) { b.Runs = 1 }, "design \"x\"": func(b *Bisection) { b.Design = "x" }} {
		c := *b
		spoil(&c)
		if _, err := c.Run(context.Background(), func(Step) {}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}
