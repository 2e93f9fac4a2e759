// Package console shows the state of a fleet live in a terminal. The data comes from the manager, which receives it
// from the agents; every value is shown with its age. The console is usable at 80 columns and without colour.
package console

import (
	"fmt"

	"poppyarch/internal/timing/clock"
)

// table is the content of one view.
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

// row is a row of a table, with the lines of its detail view.
type row struct {
	name   string // identifies the row when rows are added or removed
	cells  []string
	detail []string
}

func textColumn(title string) column   { return column{title: title} }
func numberColumn(title string) column { return column{title: title, number: true} }

// staleAge is the age from which a value is marked with "!", since it may be wrong.
const staleAge clock.Micros = 5_000_000

// formatAge formats an age; a negative age means that there is no value yet.
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

// perSecond returns the rate per second of a count over a span.
func perSecond(count uint64, span clock.Micros) float64 {
	return float64(count) / seconds(max(span, 1))
}

// formatRate formats a rate, with a decimal if it is below 10.
func formatRate(rate float64) string {
	if rate > 0 && rate < 10 {
		return fmt.Sprintf("%.1f", rate)
	}
	return fmt.Sprintf("%.0f", rate)
}

// formatCount formats a count over a span as a rate per second.
func formatCount(count uint64, span clock.Micros) string { return formatRate(perSecond(count, span)) }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// brokerLines describes the reports of several brokers on the same node, volume or class, one line per broker.
type brokerLines struct {
	oldestAge clock.Micros // age of the oldest report; negative if there is none
	lines     []string
}

func (b *brokerLines) add(age clock.Micros, format string, args ...any) {
	b.oldestAge = max(b.oldestAge, age)
	b.lines = append(b.lines, fmt.Sprintf(format, args...)+", "+formatAge(age)+" old")
}

// worstQuantilesNote explains the quantiles in a row that combines several brokers.
var worstQuantilesNote = []string{"p50 and p99 in the table are those of the worst broker", ""}
