// Package experiment plays a scenario over a grid of figures with several designs, seed by seed, until what is asked is known well enough. Results
// go to a file as they come, and a run that was ended goes on from there.
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

// Plan is an experiment. Its form is TOML; see docs/LAB.md.
type Plan struct {
	Scenario  string   `toml:"scenario"` // a file beside this one
	Designs   []string `toml:"designs"`  // the first is what the others are held against
	Measure   string   `toml:"measure"`
	Precision float64  `toml:"precision"` // half of the interval that is wanted
	Runs      int      `toml:"runs"`      // seeds at a time, and at least
	Most      int      `toml:"most"`      // seeds
	Seed      uint64   `toml:"seed"`
	Vary      []Axis   `toml:"vary"`

	base *model.Scenario
}

// Axis is keys of the scenario that change together, and a row of their values for each step.
type Axis struct {
	Keys   []string `toml:"keys"`
	Values [][]any  `toml:"values"`
}

// Point is one place of the grid.
type Point struct {
	Values   []string // as they are written, by key in the order of the axes
	Scenario *model.Scenario
}

// Measures are what can be asked of a run.
var Measures = map[string]func(*model.Result) float64{
	"service":     func(r *model.Result) float64 { return r.Service },
	"reserved":    func(r *model.Result) float64 { return r.Reserved },
	"served":      func(r *model.Result) float64 { return r.Served.Mean },
	"time_ms":     func(r *model.Result) float64 { return 1000 * r.Time.Mean },
	"p99_ms":      func(r *model.Result) float64 { return 1000 * r.P99 },
	"refused":     func(r *model.Result) float64 { return float64(r.Refused) },
	"failed":      func(r *model.Result) float64 { return float64(r.Failed) },
	"late":        func(r *model.Result) float64 { return float64(r.Late) },
	"attempts":    func(r *model.Result) float64 { return float64(r.Attempts) },
	"connections": func(r *model.Result) float64 { return float64(r.Handshakes) },
	"calls":       func(r *model.Result) float64 { return float64(r.Calls) },
	"fell":        func(r *model.Result) float64 { return float64(r.Fell) },
	"cold_peak":   func(r *model.Result) float64 { return r.ColdPeak },
	"broken": func(r *model.Result) float64 {
		n := 0
		for _, k := range r.Broken {
			n += k
		}
		return float64(n)
	},
}

// Values are a measure of several runs.
func Values(rs []*model.Result, of func(*model.Result) float64) []float64 {
	out := make([]float64, len(rs))
	for i, r := range rs {
		out[i] = of(r)
	}
	return out
}

// Over is a measure over several runs, with its interval.
func Over(rs []*model.Result, of func(*model.Result) float64) statistics.Figure {
	return statistics.Of(Values(rs, of))
}

// measureNames are the columns of results, in order.
func measureNames() []string {
	names := make([]string, 0, len(Measures))
	for k := range Measures {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// ReadScenario reads a file and names it, the line and the key of what is wrong.
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

func decode(path string, into any) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := toml.NewDecoder(file).DisallowUnknownFields().Decode(into); err != nil {
		return tomlerror.Error(path, err)
	}
	return nil
}

// Read reads a plan and its scenario, and tries every point of the grid for figures that cannot be.
func Read(path string) (*Plan, error) {
	p := &Plan{Measure: "service", Runs: 8, Most: 64, Seed: 1}
	if err := decode(path, p); err != nil {
		return nil, err
	}
	at := func(err error) (*Plan, error) { return nil, fmt.Errorf("%s: %w", path, err) }
	var err error
	if p.base, err = ReadScenario(filepath.Join(filepath.Dir(path), p.Scenario)); err != nil {
		return at(fmt.Errorf("scenario: %w", err))
	}
	if len(p.Designs) == 0 {
		return at(fmt.Errorf("designs: none given"))
	}
	for i, d := range p.Designs {
		if err := model.CheckDesign(d); err != nil {
			return at(fmt.Errorf("designs[%d]: %w", i, err))
		}
		if slices.Contains(p.Designs[:i], d) {
			return at(fmt.Errorf("designs[%d]: %q stands twice", i, d))
		}
	}
	if Measures[p.Measure] == nil {
		return at(fmt.Errorf("measure: %q is unknown; there are %v", p.Measure, measureNames()))
	}
	switch {
	case p.Runs < 2:
		return at(fmt.Errorf("runs: %d cannot be, an interval takes two", p.Runs))
	case p.Most < p.Runs:
		return at(fmt.Errorf("most: %d is less than runs, %d", p.Most, p.Runs))
	case !(p.Precision >= 0):
		return at(fmt.Errorf("precision: %v cannot be", p.Precision))
	}
	if _, err := p.Points(); err != nil {
		return at(err)
	}
	return p, nil
}

// Keys are the keys that vary, in order.
func (p *Plan) Keys() (keys []string) {
	for _, a := range p.Vary {
		keys = append(keys, a.Keys...)
	}
	return keys
}

// Points is the grid, the last axis changing fastest.
func (p *Plan) Points() ([]Point, error) {
	points := []Point{{}}
	for i, a := range p.Vary {
		at := fmt.Sprintf("vary[%d]", i)
		if len(a.Keys) == 0 || len(a.Values) == 0 {
			return nil, fmt.Errorf("%s: keys and values are needed", at)
		}
		var next []Point
		for _, q := range points {
			for k, row := range a.Values {
				if len(row) != len(a.Keys) {
					return nil, fmt.Errorf("%s.values[%d]: %d values for %d keys", at, k, len(row), len(a.Keys))
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
			if err := set(s, key, points[i].Values[k]); err != nil {
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

// set writes a figure of a scenario by its key as the file has it, such as load.rate or trouble[0].share.
func set(s *model.Scenario, key, text string) error {
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
				return fmt.Errorf("%s: the scenario has no such entry", key)
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
		return fmt.Errorf("%s: is no single figure", key)
	}
	if err != nil {
		return fmt.Errorf("%s: %q: %w", key, text, err)
	}
	return nil
}
