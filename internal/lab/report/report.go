// Package report makes pages of what the lab has found: pictures with intervals, the differences seed by seed, and what was not shown. One
// HTML page needs nothing else.
package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"poppyarch/internal/lab/chart"
	"poppyarch/internal/lab/experiment"
	"poppyarch/internal/lab/model"
	"poppyarch/internal/lab/statistics"
)

// Page is one report.
type Page struct {
	Title    string
	Made     string // when, for people; left out where empty
	Sections []Section
}

// Section is one experiment or one scenario.
type Section struct {
	Title  string
	Lead   string   // what was played
	Found  []string // in words
	Charts []Picture
	Tables []Table
}

// Picture is a drawn chart.
type Picture struct {
	SVG  template.HTML
	Text string // what it shows, for those who cannot see it
}

// Table is rows of figures.
type Table struct {
	Title string
	Head  []string
	Rows  [][]Cell
}

// Cell is a figure, and what is said of it against the first design.
type Cell struct {
	Text, Less string
	Class      string // "more", "less", "same", "" without a comparison
}

//go:embed page.html
var page string

var tmpl = template.Must(template.New("page").Parse(page))

// Write writes the page.
func (p *Page) Write(w io.Writer) error {
	if err := tmpl.Execute(w, p); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// labels name the measures on an axis.
var labels = map[string]string{
	"service": "service (worth earned over worth due)", "reserved": "service inside reserves", "served": "served a second", "time_ms": "mean time, ms",
	"p99_ms": "99th percentile of the time, ms", "refused": "refused", "failed": "failed", "late": "served after the aim", "attempts": "attempts",
	"connections": "new connections", "calls": "list calls", "fell": "cold nodes that fell", "cold_peak": "most sent to a cold node, against what is told",
	"broken": "rules broken",
}

// Label is what an axis says of a measure.
func Label(name string) string {
	if l := labels[name]; l != "" {
		return l
	}
	return name
}

// View says how a results file is looked at.
type View struct {
	Along    string   // the key on the x axis; "": the one with most values
	Measures []string // drawn, in order
	Width    float64  // of a picture, points
	Height   float64
}

func (v *View) fill(t *experiment.Table) error {
	if v.Along == "" {
		v.Along = t.Widest()
	}
	if v.Along == "" {
		return fmt.Errorf("nothing was varied: there is no axis to draw along")
	}
	if len(v.Measures) == 0 {
		v.Measures = []string{"service"}
	}
	for _, m := range v.Measures {
		if experiment.Measures[m] == nil {
			return fmt.Errorf("measure %q is unknown; there are %s", m, strings.Join(experiment.MeasureNames(), ", "))
		}
	}
	if v.Width == 0 {
		v.Width, v.Height = 560, 300
	}
	return nil
}

// Charts draws a measure along the view's key: a picture for each place of the other keys.
func Charts(t *experiment.Table, v View, name string) ([]*chart.Chart, error) {
	if err := v.fill(t); err != nil {
		return nil, err
	}
	column, values, numbers, err := t.Axis(v.Along)
	if err != nil {
		return nil, err
	}
	var out []*chart.Chart
	var facets []string
	for _, p := range t.Points {
		rest := slices.Delete(slices.Clone(p), column, column+1)
		facet := strings.Join(rest, "\x00")
		if slices.Contains(facets, facet) {
			continue
		}
		facets = append(facets, facet)
		c := &chart.Chart{X: v.Along, Y: Label(name), Title: describe(t.Keys, p, column), Zero: name != "service" && name != "reserved"}
		if c.Title == "" {
			c.Title = Label(name)
		}
		if numbers == nil {
			c.Names = values
		} else if least, most := slices.Min(numbers), slices.Max(numbers); least > 0 && most >= 8*least {
			c.LogX = true
		}
		for _, d := range t.Designs {
			s := chart.Series{Name: d}
			for k, value := range values {
				at := slices.Clone(p)
				at[column] = value
				x := float64(k)
				if numbers != nil {
					x = numbers[k]
				}
				s.Points = append(s.Points, chart.Point{X: x, Y: t.Of(at, d, name)})
			}
			slices.SortFunc(s.Points, func(a, b chart.Point) int {
				switch {
				case a.X < b.X:
					return -1
				case a.X > b.X:
					return 1
				}
				return 0
			})
			c.Series = append(c.Series, s)
		}
		out = append(out, c)
	}
	return out, nil
}

// describe names a point by its keys but one.
func describe(keys, values []string, but int) string {
	var parts []string
	for i, k := range keys {
		if i != but {
			parts = append(parts, k+" = "+values[i])
		}
	}
	return strings.Join(parts, ", ")
}

// Sweep is the section of a results file.
func Sweep(title string, t *experiment.Table, v View) (*Section, error) {
	if err := v.fill(t); err != nil {
		return nil, err
	}
	base := t.Designs[0]
	s := &Section{Title: title, Lead: fmt.Sprintf("%d places of %s; %s, held against %s seed by seed. Bars and ± are intervals at 95 in 100.",
		len(t.Points), strings.Join(t.Keys, ", "), strings.Join(t.Designs, ", "), base)}
	for _, name := range v.Measures {
		charts, err := Charts(t, v, name)
		if err != nil {
			return nil, err
		}
		for _, c := range charts {
			if c.Check() != nil {
				continue // nothing was measured there; the table says so
			}
			pic, err := draw(c, v)
			if err != nil {
				return nil, err
			}
			s.Charts = append(s.Charts, pic)
		}
		s.Tables = append(s.Tables, table(t, name, base))
		s.Found = append(s.Found, found(t, name, base)...)
	}
	return s, nil
}

func draw(c *chart.Chart, v View) (Picture, error) {
	svg, err := c.Draw("svg", v.Width, v.Height)
	if err != nil {
		return Picture{}, err
	}
	names := make([]string, 0, len(c.Series))
	for _, s := range c.Series {
		names = append(names, s.Name)
	}
	text := fmt.Sprintf("%s along %s for %s", c.Y, c.X, strings.Join(names, ", "))
	if c.Title != "" {
		text = c.Title + ": " + text
	}
	at := strings.Index(string(svg), "<svg") // an XML heading has no place within a page
	if at < 0 {
		return Picture{}, fmt.Errorf("chart %q: no picture", c.Title)
	}
	return Picture{SVG: template.HTML(svg[at:]), Text: text}, nil
}

func compare(less statistics.Figure) (text, class string) {
	switch {
	case less.N == 0 || math.IsInf(less.Half, 1):
		return "too few seeds to compare", "same"
	case less.Holds(0):
		return less.Signed() + ", none shown", "same"
	case less.Mean > 0:
		return less.Signed(), "more"
	}
	return less.Signed(), "less"
}

func table(t *experiment.Table, name, base string) Table {
	out := Table{Title: Label(name), Head: append(slices.Clone(t.Keys), t.Designs...)}
	for _, p := range t.Points {
		var row []Cell
		for _, v := range p {
			row = append(row, Cell{Text: v})
		}
		for _, d := range t.Designs {
			f := t.Of(p, d, name)
			c := Cell{Text: f.String()}
			if f.N == 0 {
				c.Text = "not played"
			} else if d != base {
				c.Less, c.Class = compare(t.Less(p, d, base, name))
			}
			row = append(row, c)
		}
		out.Rows = append(out.Rows, row)
	}
	return out
}

// found says in words at how many places a design differs, and where most.
func found(t *experiment.Table, name, base string) (out []string) {
	for _, d := range t.Designs {
		if d == base {
			continue
		}
		more, less, same, most, where := 0, 0, 0, statistics.Figure{}, ""
		for _, p := range t.Points {
			f := t.Less(p, d, base, name)
			switch _, class := compare(f); class {
			case "more":
				more++
			case "less":
				less++
			default:
				same++
				continue
			}
			if math.Abs(f.Mean) > math.Abs(most.Mean) {
				most, where = f, describe(t.Keys, p, -1)
			}
		}
		text := fmt.Sprintf("%s, %s: more than %s at %d, less at %d, no difference shown at %d of %d places", Label(name), d, base, more, less, same, len(t.Points))
		if where != "" {
			text += fmt.Sprintf("; by most, %s, where %s", most.Signed(), where)
		}
		out = append(out, text+".")
	}
	return out
}

// Plays is the section of a scenario that several designs have played, each with the same seeds.
func Plays(s *model.Scenario, all [][]*model.Result, v View) (*Section, error) {
	if v.Width == 0 {
		v.Width, v.Height = 560, 300
	}
	if len(all) == 0 || len(all[0]) == 0 {
		return nil, fmt.Errorf("scenario %s: nothing was played", s.Name)
	}
	sec := &Section{Title: s.Name, Lead: fmt.Sprintf("%d brokers, %d nodes, %v, %.3g of all cores asked for; %d seeds of each design. Shades are intervals at 95 in 100.",
		s.Brokers, s.Count(), time.Duration(s.Duration), s.Offered(), len(all[0]))}
	course := &chart.Chart{Title: "service over the run", X: "seconds", Y: "service", Curve: true, Zero: true, Bands: bands(s)}
	times := &chart.Chart{Title: "time from a client's first try to its answer", X: "of those served, part", Y: "ms", Curve: true, Zero: true}
	part := time.Duration(s.Duration).Seconds() / model.SeriesParts
	for _, rs := range all {
		line, q := chart.Series{Name: rs[0].Design}, chart.Series{Name: rs[0].Design}
		for k := range model.SeriesParts {
			line.Points = append(line.Points, chart.Point{X: (float64(k) + 0.5) * part, Y: experiment.Over(rs, func(r *model.Result) float64 { return r.Series[k] })})
		}
		for k, at := range model.Quantiles {
			q.Points = append(q.Points, chart.Point{X: at, Y: experiment.Over(rs, func(r *model.Result) float64 { return 1000 * r.Quantiles[k] })})
		}
		course.Series, times.Series = append(course.Series, line), append(times.Series, q)
	}
	for _, c := range []*chart.Chart{course, times} {
		pic, err := draw(c, v)
		if err != nil {
			return nil, err
		}
		sec.Charts = append(sec.Charts, pic)
	}
	t := Table{Title: "Figures", Head: []string{""}}
	for _, rs := range all {
		t.Head = append(t.Head, rs[0].Design)
	}
	for _, name := range []string{"service", "reserved", "served", "time_ms", "p99_ms", "refused", "failed", "late", "attempts", "connections", "calls", "fell", "cold_peak", "broken"} {
		row := []Cell{{Text: Label(name)}}
		for i, rs := range all {
			c := Cell{Text: experiment.Over(rs, experiment.Measures[name]).String()}
			if i > 0 {
				less, err := statistics.Paired(experiment.Values(rs, experiment.Measures[name]), experiment.Values(all[0], experiment.Measures[name]))
				if err != nil {
					return nil, err
				}
				c.Less, c.Class = compare(less)
			}
			row = append(row, c)
		}
		t.Rows = append(t.Rows, row)
	}
	sec.Tables = append(sec.Tables, t)
	for _, rs := range all {
		for _, r := range rs {
			if b := r.BrokenRules(); b != "" {
				sec.Found = append(sec.Found, fmt.Sprintf("%s, seed %d, broke rules: %s", r.Design, r.Seed, strings.TrimSpace(b)))
			}
		}
	}
	if len(sec.Found) == 0 {
		sec.Found = []string{"No rule was broken in any play."}
	}
	return sec, nil
}

// bands are the troubles that come once.
func bands(s *model.Scenario) (out []chart.Band) {
	for _, t := range s.Faults {
		if t.At == 0 {
			continue
		}
		from := time.Duration(t.At).Seconds()
		out = append(out, chart.Band{From: from, To: min(from+time.Duration(t.Over+t.Duration).Seconds(), time.Duration(s.Duration).Seconds()),
			Name: fmt.Sprintf("%s %.3g", t.Kind, t.Share)})
	}
	return out
}
