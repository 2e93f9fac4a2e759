package report

import (
	"fmt"
	"strings"

	"poppyarch/internal/observability/incident"
)

// Heights of a plot, in pixels.
const (
	plotHeight    = 120
	plotTopMargin = 8
)

// plot is a plot of figures by second. The page template refers to its fields by name.
type plot struct {
	Title   string
	Lines   []line
	Max     string // highest figure
	Unknown []bar  // seconds of which some broker has no records
	H       int
}

// line is one line of a plot. It is interrupted where no broker has records.
type line struct {
	Name     string
	Class    string
	Sections []string // points of the SVG polyline of each uninterrupted section
}

func latencyPlot(a *incident.Analysis, axis timeAxis) plot {
	return newPlot(a, axis, "Latency of what was served, ms", []string{"p50", "p99"}, func(s incident.Second) []float64 {
		if s.Served == 0 {
			return nil
		}
		return []float64{milliseconds(s.P50), milliseconds(s.P99)}
	})
}

func responsePlot(a *incident.Analysis, axis timeAxis) plot {
	return newPlot(a, axis, "Answers a second", []string{"served", "late", "refused", "failed"}, func(s incident.Second) []float64 {
		return []float64{float64(s.Served), float64(s.Late), float64(s.Rejected), float64(s.Failed)}
	})
}

// newPlot returns a plot with a line for each name. values returns the figures of a second in the order of the names,
// or nil if there are none. All lines are interrupted at a second without figures or of which no broker has records; a
// second of which some broker has no records is shaded.
func newPlot(a *incident.Analysis, axis timeAxis, title string, names []string, values func(incident.Second) []float64) plot {
	highest := 1.0
	for _, s := range a.Seconds {
		for _, v := range values(s) {
			highest = max(highest, v)
		}
	}
	p := plot{Title: title, H: plotHeight, Max: fmt.Sprintf("%.0f", highest)}
	for k, name := range names {
		l := lineBuilder{line: line{Name: name, Class: "l-" + name}}
		for _, s := range a.Seconds {
			v := values(s)
			if v == nil || s.UnknownBrokers == len(a.Brokers) {
				l.endSection()
				continue
			}
			y := float64(plotHeight) - v[k]/highest*float64(plotHeight-plotTopMargin)
			l.addPoint(axis.position(s.Begin+secondMicros/2), y)
		}
		l.endSection()
		p.Lines = append(p.Lines, l.line)
	}
	for _, s := range a.Seconds {
		if s.UnknownBrokers > 0 {
			p.Unknown = append(p.Unknown, unknownBar(a, axis, s))
		}
	}
	return p
}

// unknownBar returns the shading of a second of which some brokers have no records.
func unknownBar(a *incident.Analysis, axis timeAxis, s incident.Second) bar {
	class := "blind-some"
	if s.UnknownBrokers == len(a.Brokers) {
		class = "blind-all"
	}
	return bar{
		X:     axis.position(s.Begin),
		W:     max(axis.position(s.Begin+secondMicros)-axis.position(s.Begin), minSpanWidth),
		H:     plotHeight,
		Class: class,
		Title: fmt.Sprintf("%s: nothing is known of %d of %d brokers", incident.FormatTime(s.Begin), s.UnknownBrokers, len(a.Brokers)),
	}
}

// lineBuilder builds the sections of a line.
type lineBuilder struct {
	line
	section strings.Builder
}

func (l *lineBuilder) addPoint(x, y float64) { fmt.Fprintf(&l.section, "%.1f,%.1f ", x, y) }

func (l *lineBuilder) endSection() {
	if l.section.Len() > 0 {
		l.Sections = append(l.Sections, strings.TrimSpace(l.section.String()))
		l.section.Reset()
	}
}
