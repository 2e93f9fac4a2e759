package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// printer writes a command's output for people. It keeps the first error, which the command returns: output that was
// cut off, by a full disk for example, is not reported as a success.
type printer struct {
	out io.Writer
	err error
}

func newPrinter(out io.Writer) *printer { return &printer{out: out} }

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

func (p *printer) println(args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintln(p.out, args...)
	}
}

// section prints a part of the output with a function that returns its own error.
func (p *printer) section(print func(io.Writer) error) {
	if p.err == nil {
		p.err = print(p.out)
	}
}

// Columns of a table are at least tableMinWidth wide and tablePadding apart.
const (
	tableMinWidth = 0
	tableTabWidth = 4
	tablePadding  = 2
)

// table prints aligned columns.
type table struct {
	printer
	columns *tabwriter.Writer
}

// newTable starts a table with its column titles, if there are any.
func newTable(out io.Writer, titles ...string) *table {
	columns := tabwriter.NewWriter(out, tableMinWidth, tableTabWidth, tablePadding, ' ', 0)
	t := &table{printer: printer{out: columns}, columns: columns}
	if len(titles) > 0 {
		t.println(strings.Join(titles, "\t"))
	}
	return t
}

// flush writes the table and returns the first error.
func (t *table) flush() error {
	if t.err != nil {
		return t.err
	}
	return t.columns.Flush()
}

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
func formatAge(micros int64) string {
	if micros < 0 {
		return "never"
	}
	return (time.Duration(micros) * time.Microsecond).Round(100 * time.Millisecond).String()
}
