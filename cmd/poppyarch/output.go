package main

import (
	"encoding/json"
	"io"
	"time"

	"poppyarch/internal/timing/clock"
)

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// dash returns the text of a table cell: a dash if s is empty.
func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// formatAge returns an age as text; a negative age means that there is no value yet.
func formatAge(age clock.Micros) string {
	if age < 0 {
		return "never"
	}
	return clock.Duration(age).Round(100 * time.Millisecond).String()
}
