// Package textoutput prints text for people. Printers keep the first error, so that a command can report output that was
// cut off, by a full disk for example, without a check at each line.
package textoutput

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Printer writes lines. After an error it writes nothing more.
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

// Section has a function print a part of the output.
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

// Table prints aligned columns, which are separated by tabs in what is printed.
type Table struct {
	Printer
	columns *tabwriter.Writer
}

// NewTable starts a table with the titles of its columns, if there are any.
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
