// Package experiment runs the designs of a plan over a grid of scenario values, seed by seed, until the confidence
// intervals are narrow enough. Results are written to a file as they arrive, and an interrupted run continues from
// that file.
package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"poppyarch/internal/lab/model"
	"poppyarch/internal/lab/statistics"
	"poppyarch/internal/tomlerror"
)

// Plan is an experiment, read from TOML; see docs/LAB.md.
type Plan struct {
	Scenario  string   `toml:"scenario"` // path of the scenario file, relative to the plan
	Designs   []string `toml:"designs"`  // the first is the baseline that the others are compared with
	Measure   string   `toml:"measure"`
	Precision float64  `toml:"precision"` // target half-width of the confidence interval; 0 adds no seeds
	Runs      int      `toml:"runs"`      // seeds added at a time, and the minimum per design and point
	MaxRuns   int      `toml:"most"`      // maximum number of seeds per design and point
	Seed      uint64   `toml:"seed"`
	Vary      []Axis   `toml:"vary"`

	base *model.Scenario
}

// Axis is a set of scenario keys that change together. Each row of Values holds a value for every key.
type Axis struct {
	Keys   []string `toml:"keys"`
	Values [][]any  `toml:"values"`
}

// Point is one point of the grid.
type Point struct {
	Values   []string // text of the values, in the order of Plan.Keys
	Scenario *model.Scenario
}

// Measures maps the name of each measure to the function that reads it from the result of a run.
var Measures = map[string]func(*model.Result) float64{
	"service":     func(r *model.Result) float64 { return r.ServedValueRatio },
	"reserved":    func(r *model.Result) float64 { return r.ReservedValueRatio },
	"served":      func(r *model.Result) float64 { return r.ServedRate.Mean },
	"time_ms":     func(r *model.Result) float64 { return 1000 * r.ResponseTime.Mean },
	"p99_ms":      func(r *model.Result) float64 { return 1000 * r.P99ResponseTime },
	"refused":     func(r *model.Result) float64 { return float64(r.Rejected) },
	"failed":      func(r *model.Result) float64 { return float64(r.Failed) },
	"late":        func(r *model.Result) float64 { return float64(r.Late) },
	"attempts":    func(r *model.Result) float64 { return float64(r.Attempts) },
	"connections": func(r *model.Result) float64 { return float64(r.Handshakes) },
	"calls":       func(r *model.Result) float64 { return float64(r.DiscoveryPolls) },
	"fell":        func(r *model.Result) float64 { return float64(r.Overloads) },
	"cold_peak":   func(r *model.Result) float64 { return r.SlowStartPeak },
	"broken": func(r *model.Result) float64 {
		n := 0
		for _, count := range r.ViolationCounts {
			n += count
		}
		return float64(n)
	},
}

// MeasureValues returns a measure of each run.
func MeasureValues(rs []*model.Result, measure func(*model.Result) float64) []float64 {
	out := make([]float64, len(rs))
	for i, r := range rs {
		out[i] = measure(r)
	}
	return out
}

// Mean returns the mean of a measure over several runs, with its confidence interval.
func Mean(rs []*model.Result, measure func(*model.Result) float64) statistics.Estimate {
	return statistics.EstimateMean(MeasureValues(rs, measure))
}

// measureNames returns the names of the measures, sorted. This is the order of their columns in a results file.
func measureNames() []string {
	names := make([]string, 0, len(Measures))
	for k := range Measures {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// ReadScenario reads and checks a scenario. Errors name the file, and the line and key if they are known.
func ReadScenario(path string) (*model.Scenario, error) {
	s := &model.Scenario{}
	if err := decode(path, s); err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// decode reads a TOML file into a struct and rejects unknown keys.
func decode(path string, into any) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := toml.NewDecoder(file).DisallowUnknownFields().Decode(into); err != nil {
		return tomlerror.Wrap(path, err)
	}
	return nil
}

// ReadPlan reads a plan and its scenario, and checks the scenario of every point of the grid.
func ReadPlan(path string) (*Plan, error) {
	p := &Plan{Measure: "service", Runs: 8, MaxRuns: 64, Seed: 1}
	if err := decode(path, p); err != nil {
		return nil, err
	}
	fail := func(err error) (*Plan, error) { return nil, fmt.Errorf("%s: %w", path, err) }
	var err error
	if p.base, err = ReadScenario(filepath.Join(filepath.Dir(path), p.Scenario)); err != nil {
		return fail(fmt.Errorf("scenario: %w", err))
	}
	if len(p.Designs) == 0 {
		return fail(fmt.Errorf("designs: at least one is needed"))
	}
	for i, d := range p.Designs {
		if err := model.CheckDesign(d); err != nil {
			return fail(fmt.Errorf("designs[%d]: %w", i, err))
		}
		if slices.Contains(p.Designs[:i], d) {
			return fail(fmt.Errorf("designs[%d]: %q is listed twice", i, d))
		}
	}
	if Measures[p.Measure] == nil {
		return fail(fmt.Errorf("measure: unknown measure %q, want one of %v", p.Measure, measureNames()))
	}
	switch {
	case p.Runs < 2:
		return fail(fmt.Errorf("runs: %d, a confidence interval needs at least 2", p.Runs))
	case p.MaxRuns < p.Runs:
		return fail(fmt.Errorf("most: %d is less than runs (%d)", p.MaxRuns, p.Runs))
	case !(p.Precision >= 0):
		return fail(fmt.Errorf("precision: %v, want 0 or more", p.Precision))
	}
	if _, err := p.Points(); err != nil {
		return fail(err)
	}
	return p, nil
}

// Keys returns the keys that vary, in the order of the axes.
func (p *Plan) Keys() (keys []string) {
	for _, a := range p.Vary {
		keys = append(keys, a.Keys...)
	}
	return keys
}

// Points returns the points of the grid; the last axis changes fastest.
func (p *Plan) Points() ([]Point, error) {
	points := []Point{{}}
	for i, a := range p.Vary {
		axis := fmt.Sprintf("vary[%d]", i)
		if len(a.Keys) == 0 || len(a.Values) == 0 {
			return nil, fmt.Errorf("%s: keys and values must not be empty", axis)
		}
		var next []Point
		for _, q := range points {
			for k, row := range a.Values {
				if len(row) != len(a.Keys) {
					return nil, fmt.Errorf("%s.values[%d]: %d values for %d keys", axis, k, len(row), len(a.Keys))
				}
				x := Point{Values: slices.Clone(q.Values)}
				for _, v := range row {
					x.Values = append(x.Values, fmt.Sprint(v))
				}
				next = append(next, x)
			}
		}
		points = next
	}
	keys := p.Keys()
	for i := range points {
		s, err := p.base.Copy()
		if err != nil {
			return nil, err
		}
		for k, key := range keys {
			if err := setKey(s, key, points[i].Values[k]); err != nil {
				return nil, fmt.Errorf("vary: %w", err)
			}
		}
		if err := s.Check(); err != nil {
			return nil, fmt.Errorf("vary: %v = %v: %w", keys, points[i].Values, err)
		}
		points[i].Scenario = s
	}
	return points, nil
}

// setKey sets the value of a scenario key, given as in the file, such as load.rate or trouble[0].share.
func setKey(s *model.Scenario, key, text string) error {
	v := reflect.ValueOf(s).Elem()
	for _, part := range strings.Split(key, ".") {
		name, index, indexed := strings.Cut(part, "[")
		field := reflect.Value{}
		if v.Kind() == reflect.Struct {
			for i := range v.NumField() {
				if v.Type().Field(i).Tag.Get("toml") == name {
					field = v.Field(i)
				}
			}
		}
		if !field.IsValid() {
			return fmt.Errorf("%s: unknown key", key)
		}
		v = field
		if indexed {
			i, err := strconv.Atoi(strings.TrimSuffix(index, "]"))
			if err != nil || v.Kind() != reflect.Slice && v.Kind() != reflect.Array || i < 0 || i >= v.Len() {
				return fmt.Errorf("%s: index out of range, or not a list", key)
			}
			v = v.Index(i)
		}
	}
	var err error
	switch x := v.Addr().Interface().(type) {
	case *model.Duration:
		err = x.UnmarshalText([]byte(text))
	case *string:
		*x = text
	case *bool:
		*x, err = strconv.ParseBool(text)
	case *int:
		*x, err = strconv.Atoi(text)
	case *float64:
		*x, err = strconv.ParseFloat(text, 64)
	default:
		return fmt.Errorf("%s: cannot be varied, it is not a single value", key)
	}
	if err != nil {
		return fmt.Errorf("%s: %q: %w", key, text, err)
	}
	return nil
}
