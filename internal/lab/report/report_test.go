package report

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"poppyarch/internal/lab/experiment"
	"poppyarch/internal/lab/model"
)

// writeResults writes a results file with an incomplete last line and reads it back. value gives the service of each
// run; all other measures are 0.
func writeResults(t *testing.T, keys string, points, designs []string, seeds int, value func(point, design string, seed int) float64) *experiment.Table {
	t.Helper()
	names := experiment.MeasureNames()
	var b strings.Builder
	fmt.Fprintf(&b, "%s,design,seed,%s\n", keys, strings.Join(names, ","))
	for _, p := range points {
		for _, d := range designs {
			for seed := 1; seed <= seeds; seed++ {
				fmt.Fprintf(&b, "%s,%s,%d", p, d, seed)
				for _, n := range names {
					v := 0.0
					if n == "service" {
						v = value(p, d, seed)
					}
					fmt.Fprintf(&b, ",%v", v)
				}
				b.WriteString("\n")
			}
		}
	}
	b.WriteString("40,400,module,9,0.5") // incomplete, as an interrupted run leaves it
	path := filepath.Join(t.TempDir(), "r.csv")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	table, err := experiment.ReadTable(path)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// Differences are paired by seed: here the seeds differ by far more than the designs do, but the difference is
// still significant. If its sign changes from seed to seed, it is not significant.
func TestDifferencesArePairedBySeed(t *testing.T) {
	points := []string{"2,240", "10,240", "40,240", "2,400", "10,400", "40,400"}
	table := writeResults(t, "brokers,load.rate", points, []string{"module", "two", "same"}, 4, func(p, d string, seed int) float64 {
		v := 0.1 * float64(seed)
		switch {
		case d == "two" && strings.HasSuffix(p, "400"):
			v -= 0.02 + 0.0001*float64(seed)
		case d == "same":
			v += 0.01 * float64(seed%2*2-1)
		}
		return v
	})
	sec, err := SweepSection("depth", table, View{})
	if err != nil {
		t.Fatal(err)
	}
	all := strings.Join(sec.Findings, "\n")
	for _, want := range []string{"two: higher than module at 0, lower at 3, no significant difference at 3 of 6 points; largest difference -0.02025 ± 0.00021, at brokers = 2, load.rate = 400.", "same: higher than module at 0, lower at 0, no significant difference at 6 of 6 points."} {
		if !strings.Contains(all, want) {
			t.Errorf("the findings lack %q:\n%s", want, all)
		}
	}
	if len(sec.Charts) != 2 { // along brokers, one chart for each rate
		t.Errorf("%d charts, want 2", len(sec.Charts))
	}
	row := sec.Tables[0].Rows[3]
	if row[0].Text != "2" || row[1].Text != "400" || row[3].Class != "less" || row[4].Class != "same" || row[2].Difference != "" {
		t.Errorf("unexpected row %+v", row)
	}
	var b strings.Builder
	if err := (&Page{Title: "x < y", Sections: []Section{*sec}}).Write(&b); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, want := range []string{"x &lt; y", "<svg", `class="less">-0.02025`, ", not significant"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, forbidden := range []string{"http://", "https://", "<script", "<?xml"} { // the page needs no external resources
		if strings.Contains(strings.ReplaceAll(strings.ReplaceAll(page, "http://www.w3.org", ""), "https://www.w3.org", ""), forbidden) {
			t.Errorf("the page contains %q", forbidden)
		}
	}
}

func TestInvalidViewsAreRejected(t *testing.T) {
	table := writeResults(t, "kind", []string{"a", "b"}, []string{"module"}, 2, func(string, string, int) float64 { return 1 })
	if _, err := SweepSection("", table, View{XKey: "brokers"}); err == nil || !strings.Contains(err.Error(), "kind") {
		t.Errorf("key that was not varied: error %v", err)
	}
	if _, err := SweepSection("", table, View{Measures: []string{"speed"}}); err == nil || !strings.Contains(err.Error(), "service") {
		t.Errorf("unknown measure: error %v", err)
	}
	charts, err := Charts(table, View{}, "service") // an axis without numbers
	if err != nil || len(charts) != 1 || len(charts[0].Categories) != 2 {
		t.Errorf("charts %v, error %v, want one chart with 2 categories", charts, err)
	}
	path := filepath.Join(t.TempDir(), "r.csv")
	if err := os.WriteFile(path, []byte("a,b\n1,2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := experiment.ReadTable(path); err == nil || !strings.Contains(err.Error(), path+": line 1") {
		t.Errorf("not a results file: error %v", err)
	}
}

// The section of a scenario shows service over the run with its faults, measures compared with the first design, and
// broken rules.
func TestScenarioSection(t *testing.T) {
	s, err := experiment.ReadScenario("../../../examples/lab/replace.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Brokers, s.Load.Rate, s.Duration, s.Faults[1].StartsAt = 4, 60, model.Duration(6e9), model.Duration(1e9)
	var all [][]*model.Result
	for _, d := range []string{"module", "two"} {
		var rs []*model.Result
		for seed := range uint64(2) {
			r, err := model.Run(s, d, seed+1)
			if err != nil {
				t.Fatal(err)
			}
			rs = append(rs, r)
		}
		all = append(all, rs)
	}
	all[1][0].ViolationCounts = map[string]int{"cold": 2}
	sec, err := ScenarioSection(s, all, View{})
	if err != nil {
		t.Fatal(err)
	}
	if len(sec.Charts) != 2 || !strings.Contains(string(sec.Charts[0].SVG), "replace 0.5") {
		t.Errorf("%d charts, want 2 of which the first names the fault", len(sec.Charts))
	}
	if len(sec.Findings) != 1 || sec.Findings[0] != "two, seed 1, broke rules: cold 2" {
		t.Errorf("unexpected findings %q", sec.Findings)
	}
	if q := all[0][0].ResponseTimeQuantiles; len(q) != len(model.QuantileProbabilities) || q[0] <= 0 || q[len(q)-1] < q[0] {
		t.Errorf("quantiles %v", q)
	}
}
