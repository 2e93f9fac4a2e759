// Package report writes an analysis as text, as JSON or as a self-contained HTML page. In plots, lines are interrupted
// where no broker has records.
package report
