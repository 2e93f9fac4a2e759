// Package report renders results of experiments as an HTML page: charts with confidence intervals, differences paired
// by seed, and which differences are not significant. The page is a single file without external resources.
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

// Page is an HTML report.
type Page struct {
	Title    string
	Date     string // date of the report; left out if empty
	Sections []Section
}

// Section presents one results file or one scenario.
type Section struct {
	Title    string
	Lead     string   // summary of what was run
	Findings []string // sentences
	Charts   []Picture
	Tables   []Table
}

// Picture is a drawn chart.
type Picture struct {
	SVG     template.HTML
	AltText string // text alternative for readers who cannot see the chart
}

// Table is a table of measures.
type Table struct {
	Title  string
	Header []string
	Rows   [][]Cell
}

// Cell is a value and its difference from the first design.
type Cell struct {
	Text, Difference string
	Class            string // "more", "less" or "same"; empty if there is nothing to compare
}

//go:embed page.html
var page string

var tmpl = template.Must(template.New("page").Parse(page))

// Write renders the page as HTML.
func (p *Page) Write(w io.Writer) error {
	if err := tmpl.Execute(w, p); err != nil {
		return fmt.Errorf("render report: %w", err)
	}
	return nil
}

// measureLabels are the labels of the measures on axes and in tables.
var measureLabels = map[string]string{
	"service": "service (value served over value offered)", "reserved": "service within reserves", "served": "served per second", "time_ms": "mean response time, ms",
	"p99_ms": "99th percentile of the response time, ms", "refused": "refused", "failed": "failed", "late": "served after the latency objective", "attempts": "attempts",
	"connections": "new connections", "calls": "list calls", "fell": "nodes overloaded in slow start", "cold_peak": "peak load of a node in slow start, relative to its configured capacity",
	"broken": "rules broken",
}

// Label returns the label of a measure.
func Label(name string) string {
	if l := measureLabels[name]; l != "" {
		return l
	}
	return name
}

// View selects what is shown of a results file.
type View struct {
	XKey     string   // key on the x axis; if empty, the key with the most values
	Measures []string // measures to draw, in order
	Width    float64  // of a chart, in points of 1/72 inch
	Height   float64
}

func (v *View) setDefaults(t *experiment.Table) error {
	if v.XKey == "" {
		v.XKey = t.LongestAxis()
	}
	if v.XKey == "" {
		return fmt.Errorf("the results have no varied key for the x axis")
	}
	if len(v.Measures) == 0 {
		v.Measures = []string{"service"}
	}
	for _, m := range v.Measures {
		if experiment.Measures[m] == nil {
			return fmt.Errorf("unknown measure %q, want one of %s", m, strings.Join(experiment.MeasureNames(), ", "))
		}
	}
	if v.Width == 0 {
		v.Width, v.Height = 560, 300
	}
	return nil
}

// Charts draws a measure along the view's key, one chart for each combination of values of the other keys.
func Charts(t *experiment.Table, v View, name string) ([]*chart.Chart, error) {
	if err := v.setDefaults(t); err != nil {
		return nil, err
	}
	column, values, numbers, err := t.AxisValues(v.XKey)
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
		c := &chart.Chart{X: v.XKey, Y: Label(name), Title: describePoint(t.Keys, p, column), YFromZero: name != "service" && name != "reserved"}
		if c.Title == "" {
			c.Title = Label(name)
		}
		if numbers == nil {
			c.Categories = values
		} else if lowest, highest := slices.Min(numbers), slices.Max(numbers); lowest > 0 && highest >= 8*lowest {
			c.LogX = true
		}
		for _, d := range t.Designs {
			s := chart.Series{Name: d}
			for k, value := range values {
				point := slices.Clone(p)
				point[column] = value
				x := float64(k)
				if numbers != nil {
					x = numbers[k]
				}
				s.Points = append(s.Points, chart.Point{X: x, Y: t.Mean(point, d, name)})
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

// describePoint lists a point's keys and values, except for the key at index skip.
func describePoint(keys, values []string, skip int) string {
	var parts []string
	for i, k := range keys {
		if i != skip {
			parts = append(parts, k+" = "+values[i])
		}
	}
	return strings.Join(parts, ", ")
}

// SweepSection returns the section of a results file.
func SweepSection(title string, t *experiment.Table, v View) (*Section, error) {
	if err := v.setDefaults(t); err != nil {
		return nil, err
	}
	base := t.Designs[0]
	sec := &Section{Title: title, Lead: fmt.Sprintf("%d points of %s; %s, compared with %s seed by seed. Error bars and ± are 95%% confidence intervals.",
		len(t.Points), strings.Join(t.Keys, ", "), strings.Join(t.Designs, ", "), base)}
	for _, name := range v.Measures {
		charts, err := Charts(t, v, name)
		if err != nil {
			return nil, err
		}
		for _, c := range charts {
			if c.Check() != nil {
				continue // nothing was measured at these points; the table shows that
			}
			pic, err := render(c, v)
			if err != nil {
				return nil, err
			}
			sec.Charts = append(sec.Charts, pic)
		}
		sec.Tables = append(sec.Tables, measureTable(t, name, base))
		sec.Findings = append(sec.Findings, findings(t, name, base)...)
	}
	return sec, nil
}

func render(c *chart.Chart, v View) (Picture, error) {
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
	start := strings.Index(string(svg), "<svg") // skips the XML declaration, which is not allowed within HTML
	if start < 0 {
		return Picture{}, fmt.Errorf("chart %q: the drawing has no <svg> element", c.Title)
	}
	return Picture{SVG: template.HTML(svg[start:]), AltText: text}, nil
}

// compare describes a difference and returns the class of its cell.
func compare(difference statistics.Estimate) (text, class string) {
	switch {
	case difference.N == 0 || math.IsInf(difference.HalfWidth, 1):
		return "too few seeds to compare", "same"
	case difference.Contains(0):
		return difference.Signed() + ", not significant", "same"
	case difference.Mean > 0:
		return difference.Signed(), "more"
	}
	return difference.Signed(), "less"
}

// measureTable returns a table of a measure with a row for each point and a column for each design.
func measureTable(t *experiment.Table, name, base string) Table {
	out := Table{Title: Label(name), Header: append(slices.Clone(t.Keys), t.Designs...)}
	for _, p := range t.Points {
		var row []Cell
		for _, v := range p {
			row = append(row, Cell{Text: v})
		}
		for _, d := range t.Designs {
			f := t.Mean(p, d, name)
			c := Cell{Text: f.String()}
			if f.N == 0 {
				c.Text = "not played"
			} else if d != base {
				c.Difference, c.Class = compare(t.Difference(p, d, base, name))
			}
			row = append(row, c)
		}
		out.Rows = append(out.Rows, row)
	}
	return out
}

// findings states for each design at how many points it differs from the baseline, and where the difference is
// largest.
func findings(t *experiment.Table, name, base string) (out []string) {
	for _, d := range t.Designs {
		if d == base {
			continue
		}
		more, less, same, largest, where := 0, 0, 0, statistics.Estimate{}, ""
		for _, p := range t.Points {
			f := t.Difference(p, d, base, name)
			switch _, class := compare(f); class {
			case "more":
				more++
			case "less":
				less++
			default:
				same++
				continue
			}
			if math.Abs(f.Mean) > math.Abs(largest.Mean) {
				largest, where = f, describePoint(t.Keys, p, -1)
			}
		}
		text := fmt.Sprintf("%s, %s: higher than %s at %d, lower at %d, no significant difference at %d of %d points", Label(name), d, base, more, less, same, len(t.Points))
		if where != "" {
			text += fmt.Sprintf("; largest difference %s, at %s", largest.Signed(), where)
		}
		out = append(out, text+".")
	}
	return out
}

// ScenarioSection returns the section of a scenario that several designs ran with the same seeds.
func ScenarioSection(s *model.Scenario, all [][]*model.Result, v View) (*Section, error) {
	if v.Width == 0 {
		v.Width, v.Height = 560, 300
	}
	if len(all) == 0 || len(all[0]) == 0 {
		return nil, fmt.Errorf("scenario %s: no results", s.Name)
	}
	sec := &Section{Title: s.Name, Lead: fmt.Sprintf("%d brokers, %d nodes, %v, offered load %.3g of all cores; %d seeds of each design. Shaded areas are 95%% confidence intervals.",
		s.Brokers, s.NodeCount(), time.Duration(s.Duration), s.OfferedLoad(), len(all[0]))}
	serviceChart := &chart.Chart{Title: "service over the run", X: "seconds", Y: "service", Curve: true, YFromZero: true, Bands: faultBands(s)}
	latencyChart := &chart.Chart{Title: "time from a client's first attempt to its response", X: "fraction of the served requests", Y: "ms", Curve: true, YFromZero: true}
	part := time.Duration(s.Duration).Seconds() / model.SeriesParts
	for _, rs := range all {
		service, latency := chart.Series{Name: rs[0].Design}, chart.Series{Name: rs[0].Design}
		for k := range model.SeriesParts {
			service.Points = append(service.Points, chart.Point{X: (float64(k) + 0.5) * part, Y: experiment.Mean(rs, func(r *model.Result) float64 { return r.ServedValueSeries[k] })})
		}
		for k, at := range model.QuantileProbabilities {
			latency.Points = append(latency.Points, chart.Point{X: at, Y: experiment.Mean(rs, func(r *model.Result) float64 { return 1000 * r.ResponseTimeQuantiles[k] })})
		}
		serviceChart.Series, latencyChart.Series = append(serviceChart.Series, service), append(latencyChart.Series, latency)
	}
	for _, c := range []*chart.Chart{serviceChart, latencyChart} {
		pic, err := render(c, v)
		if err != nil {
			return nil, err
		}
		sec.Charts = append(sec.Charts, pic)
	}
	t := Table{Title: "Measures", Header: []string{""}}
	for _, rs := range all {
		t.Header = append(t.Header, rs[0].Design)
	}
	for _, name := range []string{"service", "reserved", "served", "time_ms", "p99_ms", "refused", "failed", "late", "attempts", "connections", "calls", "fell", "cold_peak", "broken"} {
		row := []Cell{{Text: Label(name)}}
		for i, rs := range all {
			c := Cell{Text: experiment.Mean(rs, experiment.Measures[name]).String()}
			if i > 0 {
				difference, err := statistics.PairedDifference(experiment.MeasureValues(rs, experiment.Measures[name]), experiment.MeasureValues(all[0], experiment.Measures[name]))
				if err != nil {
					return nil, err
				}
				c.Difference, c.Class = compare(difference)
			}
			row = append(row, c)
		}
		t.Rows = append(t.Rows, row)
	}
	sec.Tables = append(sec.Tables, t)
	for _, rs := range all {
		for _, r := range rs {
			if b := r.ViolationSummary(); b != "" {
				sec.Findings = append(sec.Findings, fmt.Sprintf("%s, seed %d, broke rules: %s", r.Design, r.Seed, strings.TrimSpace(b)))
			}
		}
	}
	if len(sec.Findings) == 0 {
		sec.Findings = []string{"No rule was broken in any run."}
	}
	return sec, nil
}

// faultBands returns a band for each fault that occurs once.
func faultBands(s *model.Scenario) (out []chart.Band) {
	for _, fault := range s.Faults {
		if fault.StartsAt == 0 {
			continue
		}
		from := time.Duration(fault.StartsAt).Seconds()
		out = append(out, chart.Band{From: from, To: min(from+time.Duration(fault.StartSpread+fault.Duration).Seconds(), time.Duration(s.Duration).Seconds()),
			Name: fmt.Sprintf("%s %.3g", fault.Kind, fault.Probability)})
	}
	return out
}
