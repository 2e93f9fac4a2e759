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

// Table is what a results file holds, without its plan: which keys were varied, which designs played, and each run's measures.
type Table struct {
	Keys    []string
	Designs []string   // in the order of the file; the first is what the others are held against
	Points  [][]string // values of the keys, in the order of the file
	rows    map[string]map[uint64]*Row
}

// Load reads a results file. A line that was cut by the end of a run is left out; the file stays as it is.
func Load(path string) (*Table, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	whole := text[:strings.LastIndexByte(string(text), '\n')+1]
	head, err := csv.NewReader(strings.NewReader(string(whole))).Read()
	if err != nil {
		return nil, fmt.Errorf("%s: line 1: no results: %w", path, err)
	}
	tail := append([]string{"design", "seed"}, measureNames()...)
	at := len(head) - len(tail)
	if at < 0 || !slices.Equal(head[at:], tail) {
		return nil, fmt.Errorf("%s: line 1: not results of a sweep: the columns must end with %s", path, strings.Join(tail, ","))
	}
	r := &Results{keys: head[:at], rows: map[string]*Row{}}
	if err := r.parse(whole); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	t := &Table{Keys: r.keys, rows: map[string]map[uint64]*Row{}}
	seen := map[string]bool{}
	for _, row := range r.order {
		if place := strings.Join(row.Values, "\x00"); !seen[place] {
			seen[place] = true
			t.Points = append(t.Points, row.Values)
		}
		if !slices.Contains(t.Designs, row.Design) {
			t.Designs = append(t.Designs, row.Design)
		}
		k := tableKey(row.Values, row.Design)
		if t.rows[k] == nil {
			t.rows[k] = map[uint64]*Row{}
		}
		t.rows[k][row.Seed] = row
	}
	if len(t.Points) == 0 {
		return nil, fmt.Errorf("%s: no run in it", path)
	}
	return t, nil
}

func tableKey(values []string, design string) string {
	return strings.Join(values, "\x00") + "\x01" + design
}

// Of is a design's measure at a point over all its seeds.
func (t *Table) Of(values []string, design, name string) statistics.Figure {
	var all []float64
	for _, row := range t.rows[tableKey(values, design)] {
		all = append(all, row.Measures[name])
	}
	slices.Sort(all) // a sum depends on its order, and that of a map on chance
	return statistics.Of(all)
}

// Less is by how much a design differs from another, over the seeds that both have played.
func (t *Table) Less(values []string, design, base, name string) statistics.Figure {
	var seeds []uint64
	a, b := t.rows[tableKey(values, design)], t.rows[tableKey(values, base)]
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
	return statistics.Of(diff)
}

// Axis is the column of a key and its values in order; numbers are nil where some value is none.
func (t *Table) Axis(key string) (column int, values []string, numbers []float64, err error) {
	column = slices.Index(t.Keys, key)
	if column < 0 {
		return 0, nil, nil, fmt.Errorf("key %q was not varied; there are %s", key, strings.Join(t.Keys, ", "))
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

// Widest is the key with the most values, the first of several: the best one to draw along.
func (t *Table) Widest() (key string) {
	most := 0
	for _, k := range t.Keys {
		if _, values, _, err := t.Axis(k); err == nil && len(values) > most {
			key, most = k, len(values)
		}
	}
	return key
}

// MeasureNames are the names of all measures, in order.
func MeasureNames() []string { return measureNames() }
