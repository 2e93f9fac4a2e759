// Package report presents an analysis: as text, as JSON, and as one HTML page that needs nothing else. Gaps are drawn as
// gaps: no line runs through a time about which nothing is known.
package report
