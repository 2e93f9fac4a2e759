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

// results writes a file in the form of a sweep. value gives a run's service.
func results(t *testing.T, keys string, points, designs []string, seeds int, value func(point, design string, seed int) float64) *experiment.Table {
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
	b.WriteString("40,400,module,9,0.5") // cut by the end of a run
	path := filepath.Join(t.TempDir(), "r.csv")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	table, err := experiment.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// Differences are told seed by seed: here seeds differ by far more than designs do, and the difference shows all the same. Where it has another
// sign from seed to seed, none is shown.
func TestPairedDifferencesAreTold(t *testing.T) {
	points := []string{"2,240", "10,240", "40,240", "2,400", "10,400", "40,400"}
	table := results(t, "brokers,load.rate", points, []string{"module", "two", "same"}, 4, func(p, d string, seed int) float64 {
		v := 0.1 * float64(seed)
		switch {
		case d == "two" && strings.HasSuffix(p, "400"):
			v -= 0.02 + 0.0001*float64(seed)
		case d == "same":
			v += 0.01 * float64(seed%2*2-1)
		}
		return v
	})
	sec, err := Sweep("depth", table, View{})
	if err != nil {
		t.Fatal(err)
	}
	all := strings.Join(sec.Found, "\n")
	for _, want := range []string{"two: more than module at 0, less at 3, no difference shown at 3 of 6 places; by most, -0.02025 ± 0.00021, where brokers = 2, load.rate = 400.", "same: more than module at 0, less at 0, no difference shown at 6 of 6 places."} {
		if !strings.Contains(all, want) {
			t.Errorf("not found: %s\n%s", want, all)
		}
	}
	if len(sec.Charts) != 2 { // along brokers, a picture for each rate
		t.Errorf("%d charts", len(sec.Charts))
	}
	row := sec.Tables[0].Rows[3]
	if row[0].Text != "2" || row[1].Text != "400" || row[3].Class != "less" || row[4].Class != "same" || row[2].Less != "" {
		t.Errorf("%+v", row)
	}
	var b strings.Builder
	if err := (&Page{Title: "x < y", Sections: []Section{*sec}}).Write(&b); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, want := range []string{"x &lt; y", "<svg", `class="less">-0.02025`, "none shown"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page has no %q", want)
		}
	}
	for _, not := range []string{"http://", "https://", "<script", "<?xml"} { // it needs nothing else
		if strings.Contains(strings.ReplaceAll(strings.ReplaceAll(page, "http://www.w3.org", ""), "https://www.w3.org", ""), not) {
			t.Errorf("the page has %q", not)
		}
	}
}

func TestViewsThatCannotBe(t *testing.T) {
	table := results(t, "kind", []string{"a", "b"}, []string{"module"}, 2, func(string, string, int) float64 { return 1 })
	if _, err := Sweep("", table, View{Along: "brokers"}); err == nil || !strings.Contains(err.Error(), "kind") {
		t.Errorf("another key: %v", err)
	}
	if _, err := Sweep("", table, View{Measures: []string{"speed"}}); err == nil || !strings.Contains(err.Error(), "service") {
		t.Errorf("another measure: %v", err)
	}
	charts, err := Charts(table, View{}, "service") // an axis of names
	if err != nil || len(charts) != 1 || len(charts[0].Names) != 2 {
		t.Errorf("%v %v", charts, err)
	}
	path := filepath.Join(t.TempDir(), "r.csv")
	if err := os.WriteFile(path, []byte("a,b\n1,2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := experiment.Load(path); err == nil || !strings.Contains(err.Error(), path+": line 1") {
		t.Errorf("no results: %v", err)
	}
}

// A scenario that was played: service over the run with its troubles, figures against the first design, rules that broke.
func TestPlays(t *testing.T) {
	s, err := experiment.ReadScenario("../../../examples/lab/replace.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Brokers, s.Load.Rate, s.Duration, s.Faults[1].At = 4, 60, model.Duration(6e9), model.Duration(1e9)
	var all [][]*model.Result
	for _, d := range []string{"module", "two"} {
		var rs []*model.Result
		for seed := range uint64(2) {
			r, err := model.Play(s, d, seed+1)
			if err != nil {
				t.Fatal(err)
			}
			rs = append(rs, r)
		}
		all = append(all, rs)
	}
	all[1][0].Broken = map[string]int{"cold": 2}
	sec, err := Plays(s, all, View{})
	if err != nil {
		t.Fatal(err)
	}
	if len(sec.Charts) != 2 || !strings.Contains(string(sec.Charts[0].SVG), "replace 0.5") {
		t.Errorf("%d charts", len(sec.Charts))
	}
	if len(sec.Found) != 1 || sec.Found[0] != "two, seed 1, broke rules: cold 2" {
		t.Errorf("%q", sec.Found)
	}
	if q := all[0][0].Quantiles; len(q) != len(model.Quantiles) || q[0] <= 0 || q[len(q)-1] < q[0] {
		t.Errorf("quantiles %v", q)
	}
}
