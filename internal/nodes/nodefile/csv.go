package nodefile

import (
	"encoding/csv"
	"errors"
	"slices"
	"strings"
)

// cell is a value with its column.
type cell struct {
	text string
	col  int
}

// csv reads a header and a row for each node. A row is one line: so a quote without its end spoils no other.
func (b *builder) csv(path, text string) {
	var header []string
	line := 0
	for len(text) > 0 {
		l, rest, _ := strings.Cut(text, "\n")
		text = rest
		line++
		l = strings.TrimSuffix(l, "\r")
		if t := strings.TrimSpace(l); t == "" || t[0] == '#' {
			continue
		}
		at := Pos{path, line, 0}
		cells, err := split(l)
		if err != nil {
			var pe *csv.ParseError
			if errors.As(err, &pe) {
				at.Col, err = pe.Column, pe.Err
			}
			b.fault(Fault{Pos: at, Text: err.Error()})
			if header == nil {
				b.doc.Complete = false
				return
			}
			continue
		}
		if header == nil {
			if header = b.header(at, cells); header == nil {
				b.doc.Complete = false
				return
			}
			continue
		}
		b.line(path, line, header, cells)
	}
	b.header0 = header
	if header == nil {
		b.fault(Fault{Pos: Pos{path, 1, 0}, Text: "no header: empty, or written half way"})
		b.doc.Complete = false
	}
}

// line takes in the cells of one node.
func (b *builder) line(path string, line int, header []string, cells []cell) {
	if len(cells) > len(header) {
		b.fault(Fault{Pos: Pos{path, line, cells[len(header)].col}, Text: "more cells than columns"})
		return
	}
	r := raw{vars: make(map[string]field, len(cells))}
	for i, c := range cells {
		f := field{c.text, Pos{path, line, c.col}}
		switch {
		case header[i] == "id":
			r.id = f
		case header[i] == "group":
			if c.text != "" {
				r.groups = append(r.groups, c.text)
			}
		case c.text != "":
			r.vars[header[i]] = f
		}
	}
	if r.id.pos.Line == 0 {
		r.id.pos = Pos{path, line, 0}
	}
	b.raws = append(b.raws, r)
}

// header checks the names of the columns.
func (b *builder) header(at Pos, cells []cell) []string {
	var out []string
	for _, c := range cells {
		pos := Pos{at.File, at.Line, c.col}
		name := columnName(c.text)
		if name != "id" && name != "group" && !slices.Contains(known, name) {
			b.fault(Fault{Pos: pos, Key: c.text, Text: "unknown column"})
			return nil
		}
		if slices.Contains(out, name) {
			b.fault(Fault{Pos: pos, Key: c.text, Text: "column given twice"})
			return nil
		}
		out = append(out, name)
	}
	if !slices.Contains(out, "id") {
		b.fault(Fault{Pos: at, Key: "id", Text: "column missing"})
		return nil
	}
	return out
}

// columnName returns the name of a column, with synonyms replaced.
func columnName(name string) string {
	switch name {
	case "name", "node", "uid":
		return "id"
	}
	return name
}

// split cuts a line into cells.
func split(l string) ([]cell, error) {
	if !strings.ContainsRune(l, '"') { // as nearly all are
		out := make([]cell, 0, 8)
		for at := 0; ; {
			k := strings.IndexByte(l[at:], ',')
			part := l[at:]
			if k >= 0 {
				part = l[at : at+k]
			}
			t := strings.TrimLeft(part, " \t")
			out = append(out, cell{strings.TrimRight(t, " \t"), at + len(part) - len(t) + 1})
			if k < 0 {
				return out, nil
			}
			at += k + 1
		}
	}
	r := csv.NewReader(strings.NewReader(l))
	r.TrimLeadingSpace = true
	row, err := r.Read()
	if err != nil {
		return nil, err
	}
	out := make([]cell, len(row))
	for i, c := range row {
		_, col := r.FieldPos(i)
		out[i] = cell{strings.TrimSpace(c), col}
	}
	return out, nil
}
