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

// writePlan writes a plan and the scenario that it names, and returns the path of the plan.
func writePlan(t *testing.T, plan string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"s.toml": scenario, "p.toml": plan} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "p.toml")
}

// runSweep runs a plan into a results file. Unless cancelAfter is 0, the run is cancelled after that many lines.
func runSweep(t *testing.T, path, out string, cancelAfter int) (reported []DesignEstimate) {
	t.Helper()
	p, err := ReadPlan(path)
	if err != nil {
		t.Fatal(err)
	}
	r, err := OpenResults(out, p.Keys())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	err = p.Run(ctx, r, func(l DesignEstimate) {
		if reported = append(reported, l); len(reported) == cancelAfter {
			cancel()
		}
	})
	if err != nil && cancelAfter == 0 {
		t.Fatal(err)
	}
	return reported
}

// A sweep that was interrupted, with its last line incomplete, resumes and ends with the same bytes as one that ran
// through. Another run on complete results changes nothing.
func TestInterruptedSweepResumes(t *testing.T) {
	path := writePlan(t, plan)
	uninterrupted, interrupted := filepath.Join(t.TempDir(), "a.csv"), filepath.Join(t.TempDir(), "b.csv")
	want := runSweep(t, path, uninterrupted, 0)
	if len(want) != 8 || want[0].Mean.N != 3 || want[1].Difference.N != 3 {
		t.Fatalf("unexpected lines %+v", want)
	}
	runSweep(t, path, interrupted, 3)
	text, _ := os.ReadFile(interrupted)
	if err := os.WriteFile(interrupted, text[:len(text)-7], 0o600); err != nil {
		t.Fatal(err)
	}
	got := runSweep(t, path, interrupted, 0)
	a, _ := os.ReadFile(uninterrupted)
	b, _ := os.ReadFile(interrupted)
	if len(a) == 0 || string(a) != string(b) {
		t.Errorf("%d bytes of results without and %d with an interruption, want the same", len(a), len(b))
	}
	for i := range got {
		if got[i].Design != want[i].Design || got[i].Mean != want[i].Mean || !reflect.DeepEqual(got[i].Values, want[i].Values) {
			t.Errorf("%+v, want %+v", got[i], want[i])
		}
	}
	runSweep(t, path, uninterrupted, 0)
	if again, _ := os.ReadFile(uninterrupted); string(again) != string(a) {
		t.Error("another run changed the complete results")
	}
}

// Seeds are added until the interval is as narrow as the plan asks, up to the maximum number of seeds.
func TestSeedsAreAddedUntilPrecise(t *testing.T) {
	wide := strings.Replace(plan, "runs = 3", "runs = 3\nprecision = 1000.0", 1)
	narrow := strings.Replace(plan, "runs = 3", "runs = 3\nprecision = 0.00001", 1)
	for text, n := range map[string]int{wide: 3, narrow: 9} {
		for _, l := range runSweep(t, writePlan(t, text), filepath.Join(t.TempDir(), "r.csv"), 0) {
			if l.Mean.N != n {
				t.Errorf("ran %d seeds, want %d", l.Mean.N, n)
			}
		}
	}
}

// Errors about plans and results files name the file and what is wrong. A results file that is rejected is left
// unchanged.
func TestInvalidInputIsNamed(t *testing.T) {
	for want, x := range map[string][2]string{
		"p.toml:3: colour: unknown key":                     {"measure =", "colour ="},
		"measure: unknown measure \"joy\"":                  {"time_ms", "joy"},
		"designs[1]: design \"best\" is unknown":            {"\"random\"", "\"best\""},
		"designs[1]: \"two\" is listed twice":               {"\"random\"", "\"two\""},
		"load.colour: unknown key":                          {"load.rate", "load.colour"},
		"nodes[4].speed: index out of range":                {"nodes[0]", "nodes[4]"},
		"nodes: cannot be varied, it is not a single value": {"nodes[0].speed", "nodes"},
		"vary[0].values[0]: 1 values for 2 keys":            {"[[1, 60.0]", "[[1]"},
		"nodes[0].speed: 0 cannot be":                       {"[[1.0]", "[[0.0]"},
		"runs: 1, a confidence interval needs":              {"runs = 3", "runs = 1"},
		"most: 2 is less than runs (3)":                     {"most = 9", "most = 2"},
		"invalid syntax":                                    {"[[1, 60.0]", "[[1.5, 60.0]"},
	} {
		if _, err := ReadPlan(writePlan(t, strings.Replace(plan, x[0], x[1], 1))); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "p.toml") {
			t.Errorf("error %v, want %s", err, want)
		}
	}
	out := filepath.Join(t.TempDir(), "r.csv")
	for text, want := range map[string]string{"a,b\n1,2\n": "not a results file of this plan", "a file of something else": "not a results file of a plan", "a,b\n1,2": "not a results file of this plan", strings.Join((&Results{keys: []string{"x"}}).header(), ",") + "\n": "results of another plan"} {
		if err := os.WriteFile(out, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := OpenResults(out, []string{"brokers"}); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "r.csv") {
			t.Errorf("error %v, want %s", err, want)
		}
		if left, _ := os.ReadFile(out); string(left) != text {
			t.Errorf("the rejected file was changed from %q to %q", text, left)
		}
	}
}

// Measures are read from the matching fields of a result, in their units.
func TestMeasuresReadResult(t *testing.T) {
	r := &model.Result{ServedValueRatio: 0.5, P99ResponseTime: 0.25, ViolationCounts: map[string]int{"cold": 2, "drain": 1}, ResponseTime: statistics.Estimate{Mean: 0.125}}
	for name, want := range map[string]float64{"service": 0.5, "p99_ms": 250, "broken": 3, "time_ms": 125} {
		if got := Measures[name](r); math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
}

// The load at which the mean response time crosses a bound agrees with theory: an M/M/1 queue with mean service time w
// has a response time of w / (1 - rate w). A key that takes integers is bisected over integers only.
func TestBisectionMatchesQueueingTheory(t *testing.T) {
	s, err := ReadScenario(filepath.Join(filepath.Dir(writePlan(t, plan)), "s.toml"))
	if err != nil {
		t.Fatal(err)
	}
	s.Brokers, s.Nodes[0].Count, s.Load.Deadline, s.Duration = 1, 1, 0, model.Duration(200e9)
	b := &Bisection{Scenario: s, Key: "load.rate", From: 5, To: 45, Design: "random", Measure: "time_ms", Bound: 50, Runs: 4, MaxRuns: 8, Seed: 1, Steps: 5}
	steps := 0
	f, err := b.Run(context.Background(), func(Step) { steps++ })
	if want := 30.0; err != nil || steps != 7 || f.Near.Above || !f.Far.Above || f.Near.Value > want+1.5 || f.Far.Value < want-1.5 || f.Far.Value-f.Near.Value > 1.26 {
		t.Errorf("error %v, %d steps, crossing between %v and %v, want %v", err, steps, f.Near.Value, f.Far.Value, want)
	}
	b.To = 6
	if _, err := b.Run(context.Background(), func(Step) {}); err == nil || !strings.Contains(err.Error(), "under 50 at both ends, 5 and 6") {
		t.Error(err)
	}
	b.Key, b.From, b.To, b.Bound = "nodes[0].count", 1, 4, 30
	b.Scenario.Load.Rate = 40
	if f, err := b.Run(context.Background(), func(s Step) {
		if s.Value != float64(int(s.Value)) {
			t.Errorf("evaluated %v nodes, want an integer", s.Value)
		}
	}); err != nil || f.Far.Value-f.Near.Value != 1 {
		t.Errorf("error %v, found %+v, want adjacent integers", err, f)
	}
	for want, invalidate := range map[string]func(b *Bisection){"load.joy: unknown key": func(b *Bisection) { b.Key = "load.joy" }, "steps: 0": func(b *Bisection) { b.Steps = 0 },
		"both are 1": func(b *Bisection) { b.To = 1 }, "runs: 1": func(b *Bisection) { b.Runs = 1 }, "design \"x\"": func(b *Bisection) { b.Design = "x" }} {
		c := *b
		invalidate(&c)
		if _, err := c.Run(context.Background(), func(Step) {}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %s", err, want)
		}
	}
}
