package experiment

import (
	"encoding/csv"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"poppyarch/internal/lab/statistics"
)

// Table is the content of a results file, read without its plan.
type Table struct {
	Keys    []string
	Designs []string                   // in the order of the file; the first is the baseline of comparisons
	Points  [][]string                 // values of the keys at each point, in the order of the file
	rows    map[string]map[uint64]*Row // by point and design, then by seed
}

// ReadTable reads a results file. It ignores an incomplete last line and does not change the file.
func ReadTable(path string) (*Table, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	complete := text[:strings.LastIndexByte(string(text), '\n')+1]
	header, err := csv.NewReader(strings.NewReader(string(complete))).Read()
	if err != nil {
		return nil, fmt.Errorf("%s: line 1: not a results file: %w", path, err)
	}
	fixedColumns := append([]string{"design", "seed"}, measureNames()...)
	keyCount := len(header) - len(fixedColumns)
	if keyCount < 0 || !slices.Equal(header[keyCount:], fixedColumns) {
		return nil, fmt.Errorf("%s: line 1: not results of a sweep: the last columns must be %s", path, strings.Join(fixedColumns, ","))
	}
	r := &Results{keys: header[:keyCount], rows: map[string]*Row{}}
	if err := r.parse(complete); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	t := &Table{Keys: r.keys, rows: map[string]map[uint64]*Row{}}
	seen := map[string]bool{}
	for _, row := range r.order {
		if point := strings.Join(row.Values, "\x00"); !seen[point] {
			seen[point] = true
			t.Points = append(t.Points, row.Values)
		}
		if !slices.Contains(t.Designs, row.Design) {
			t.Designs = append(t.Designs, row.Design)
		}
		k := groupKey(row.Values, row.Design)
		if t.rows[k] == nil {
			t.rows[k] = map[uint64]*Row{}
		}
		t.rows[k][row.Seed] = row
	}
	if len(t.Points) == 0 {
		return nil, fmt.Errorf("%s: the file holds no runs", path)
	}
	return t, nil
}

func groupKey(values []string, design string) string {
	return strings.Join(values, "\x00") + "\x01" + design
}

// Mean returns the mean of a design's measure at a point over all seeds, with its confidence interval.
func (t *Table) Mean(values []string, design, name string) statistics.Estimate {
	var all []float64
	for _, row := range t.rows[groupKey(values, design)] {
		all = append(all, row.Measures[name])
	}
	slices.Sort(all) // map order is random, and a floating-point sum depends on the order of its terms
	return statistics.EstimateMean(all)
}

// Difference returns by how much a design differs from another, paired by the seeds that both have run.
func (t *Table) Difference(values []string, design, base, name string) statistics.Estimate {
	var seeds []uint64
	a, b := t.rows[groupKey(values, design)], t.rows[groupKey(values, base)]
	for seed := range a {
		if b[seed] != nil {
			seeds = append(seeds, seed)
		}
	}
	slices.Sort(seeds)
	diff := make([]float64, len(seeds))
	for i, seed := range seeds {
		diff[i] = a[seed].Measures[name] - b[seed].Measures[name]
	}
	return statistics.EstimateMean(diff)
}

// AxisValues returns the column of a key and its distinct values, in the order of the file. Numbers is nil unless all
// values are numeric.
func (t *Table) AxisValues(key string) (column int, values []string, numbers []float64, err error) {
	column = slices.Index(t.Keys, key)
	if column < 0 {
		return 0, nil, nil, fmt.Errorf("key %q was not varied, want one of %s", key, strings.Join(t.Keys, ", "))
	}
	for _, p := range t.Points {
		if !slices.Contains(values, p[column]) {
			values = append(values, p[column])
		}
	}
	for _, v := range values {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return column, values, nil, nil
		}
		numbers = append(numbers, x)
	}
	return column, values, numbers, nil
}

// LongestAxis returns the key with the most distinct values, the first one on a tie. It is the default x axis of
// charts.
func (t *Table) LongestAxis() (key string) {
	most := 0
	for _, k := range t.Keys {
		if _, values, _, err := t.AxisValues(k); err == nil && len(values) > most {
			key, most = k, len(values)
		}
	}
	return key
}

// MeasureNames returns the names of all measures, sorted.
func MeasureNames() []string { return measureNames() }
