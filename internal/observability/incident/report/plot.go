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

// plot is lines over the seconds, each in pieces: a piece ends where nothing is known.
type plot struct {
	Title string
	Lines []line
	Max   string
	Blind []bar // seconds in which something is missing
	H     int
}

// line is one line of a plot.
type line struct {
	Name   string
	Class  string
	Pieces []string // points of an SVG polyline
}

func latencyPlot(a *incident.Analysis, axis timeAxis) plot {
	return newPlot(a, axis, "Latency of what was served, ms", []string{"p50", "p99"}, func(s incident.Second) []float64 {
		if s.Served == 0 {
			return nil
		}
		return []float64{milliseconds(s.P50), milliseconds(s.P99)}
	})
}

func answerPlot(a *incident.Analysis, axis timeAxis) plot {
	return newPlot(a, axis, "Answers a second", []string{"served", "late", "refused", "failed"}, func(s incident.Second) []float64 {
		return []float64{float64(s.Served), float64(s.Late), float64(s.Rejected), float64(s.Failed)}
	})
}

// newPlot draws a line for each name. values are a second's figures, in the order of the names; nil if there are none. A
// second of which no broker knows anything breaks every line; one that some know nothing of is shaded.
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
				l.endPiece()
				continue
			}
			y := float64(plotHeight) - v[k]/highest*float64(plotHeight-plotTopMargin)
			l.addPoint(axis.position(s.Begin+secondMicros/2), y)
		}
		l.endPiece()
		p.Lines = append(p.Lines, l.line)
	}
	for _, s := range a.Seconds {
		if s.UnknownBrokers > 0 {
			p.Blind = append(p.Blind, blindBar(a, axis, s))
		}
	}
	return p
}

// blindBar shades a second in which nothing is known of some brokers.
func blindBar(a *incident.Analysis, axis timeAxis, s incident.Second) bar {
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

// lineBuilder collects the points of a line's pieces.
type lineBuilder struct {
	line
	piece strings.Builder
}

func (l *lineBuilder) addPoint(x, y float64) { fmt.Fprintf(&l.piece, "%.1f,%.1f ", x, y) }

func (l *lineBuilder) endPiece() {
	if l.piece.Len() > 0 {
		l.Pieces = append(l.Pieces, strings.TrimSpace(l.piece.String()))
		l.piece.Reset()
	}
}
