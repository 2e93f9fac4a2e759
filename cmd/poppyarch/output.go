package main

import (
	"encoding/json"
	"io"
	"time"

	"poppyarch/internal/timing/clock"
)

// printJSON writes a value for scripts.
func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// dash stands for an empty cell.
func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// formatAge returns the age of a figure; a negative one means that there is no figure yet.
func formatAge(age clock.Micros) string {
	if age < 0 {
		return "never"
	}
	return clock.Duration(age).Round(100 * time.Millisecond).String()
}
