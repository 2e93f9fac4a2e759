// Package console is a live view of a fleet in a terminal. What it shows comes from the manager, which has it from the
// agents; every figure has its age. It needs 80 columns and no colour.
package console

import (
	"fmt"

	"poppyarch/internal/timing/clock"
)

// table is what one view shows.
type table struct {
	columns []column
	rows    []row
	empty   string // shown if there are no rows
}

// column is a column's title and alignment.
type column struct {
	title  string
	number bool // aligned to the right
}

// row is a row with what is known in full of its subject.
type row struct {
	name   string // identifies the subject: rows come and go
	cells  []string
	detail []string
}

func textColumn(title string) column   { return column{title: title} }
func numberColumn(title string) column { return column{title: title, number: true} }

// staleAge is the age from which a figure is marked, since it may be wrong.
const staleAge clock.Micros = 5_000_000

// formatAge formats an age; a negative one means that there is no figure yet.
func formatAge(age clock.Micros) string {
	switch {
	case age < 0:
		return "never"
	case age >= staleAge:
		return fmt.Sprintf("%.0fs!", seconds(age))
	}
	return fmt.Sprintf("%.1fs", seconds(age))
}

func seconds(m clock.Micros) float64 { return clock.Duration(m).Seconds() }

func formatMillis(m clock.Micros) string { return fmt.Sprintf("%.0f", float64(m)/1000) }

// perSecond returns the rate of a count over a span.
func perSecond(count uint64, span clock.Micros) float64 {
	return float64(count) / seconds(max(span, 1))
}

// formatRate formats a rate; small ones get a decimal.
func formatRate(rate float64) string {
	if rate > 0 && rate < 10 {
		return fmt.Sprintf("%.1f", rate)
	}
	return fmt.Sprintf("%.0f", rate)
}

// formatCount formats the rate of a count over a span.
func formatCount(count uint64, span clock.Micros) string { return formatRate(perSecond(count, span)) }

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// brokerLines describes what each broker reports of one subject, with the age of the oldest report.
type brokerLines struct {
	oldest clock.Micros
	lines  []string
}

func (b *brokerLines) add(age clock.Micros, format string, args ...any) {
	b.oldest = max(b.oldest, age)
	b.lines = append(b.lines, fmt.Sprintf(format, args...)+", "+formatAge(age)+" old")
}

// worstQuantilesNote explains the quantiles of a row over several brokers.
var worstQuantilesNote = []string{"p50 and p99 above are the worst broker's", ""}
