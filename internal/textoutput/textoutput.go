// Package textoutput writes human-readable command output. A printer keeps its first write error, so that a command can
// report truncated output (on a full disk, for example) without checking every line.
package textoutput

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Printer writes text. After an error it writes nothing more.
type Printer struct {
	out io.Writer
	err error
}

// NewPrinter returns a printer that writes to out.
func NewPrinter(out io.Writer) *Printer { return &Printer{out: out} }

// Printf writes formatted text.
func (p *Printer) Printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

// Println writes its arguments as a line.
func (p *Printer) Println(args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintln(p.out, args...)
	}
}

// Section calls print to write a part of the output.
func (p *Printer) Section(print func(io.Writer) error) {
	if p.err == nil {
		p.err = print(p.out)
	}
}

// Err returns the first error.
func (p *Printer) Err() error { return p.err }

const (
	tabWidth      = 4 // characters
	columnPadding = 2 // characters between columns
)

// Table prints aligned columns. In the text that is printed to it, tabs separate the columns.
type Table struct {
	Printer
	columns *tabwriter.Writer
}

// NewTable starts a table, with a row of column titles if any are given.
func NewTable(out io.Writer, titles ...string) *Table {
	columns := tabwriter.NewWriter(out, 0, tabWidth, columnPadding, ' ', 0)
	t := &Table{Printer: Printer{out: columns}, columns: columns}
	if len(titles) > 0 {
		t.Println(strings.Join(titles, "\t"))
	}
	return t
}

// Flush writes the table and returns the first error.
func (t *Table) Flush() error {
	if t.err != nil {
		return t.err
	}
	return t.columns.Flush()
}
