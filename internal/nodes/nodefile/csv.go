package nodefile

import (
	"encoding/csv"
	"errors"
	"slices"
	"strings"
)

// cell is the text of a cell and the column of its first character, counted from 1.
type cell struct {
	text string
	col  int
}

// csv reads a header line and one line per node. A row cannot span lines, so that an unclosed quote affects only its
// own line.
func (b *builder) csv(path, text string) {
	var header []string
	lineNumber := 0
	for len(text) > 0 {
		line, rest, _ := strings.Cut(text, "\n")
		text = rest
		lineNumber++
		line = strings.TrimSuffix(line, "\r")
		if t := strings.TrimSpace(line); t == "" || t[0] == '#' {
			continue
		}
		at := Pos{path, lineNumber, 0}
		cells, err := splitCells(line)
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
		b.addRow(path, lineNumber, header, cells)
	}
	b.lastHeader = header
	if header == nil {
		b.fault(Fault{Pos: Pos{path, 1, 0}, Text: "no header: empty, or written half way"})
		b.doc.Complete = false
	}
}

// addRow adds the row of one node.
func (b *builder) addRow(path string, lineNumber int, header []string, cells []cell) {
	if len(cells) > len(header) {
		b.fault(Fault{Pos: Pos{path, lineNumber, cells[len(header)].col}, Text: "more cells than columns"})
		return
	}
	r := rawRow{vars: make(map[string]setting, len(cells))}
	for i, c := range cells {
		f := setting{c.text, Pos{path, lineNumber, c.col}}
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
		r.id.pos = Pos{path, lineNumber, 0}
	}
	b.rawRows = append(b.rawRows, r)
}

// header returns the names of the columns, or nil if they are invalid.
func (b *builder) header(at Pos, cells []cell) []string {
	var names []string
	for _, c := range cells {
		pos := Pos{at.File, at.Line, c.col}
		name := columnName(c.text)
		if name != "id" && name != "group" && !slices.Contains(knownKeys, name) {
			b.fault(Fault{Pos: pos, Key: c.text, Text: "unknown column"})
			return nil
		}
		if slices.Contains(names, name) {
			b.fault(Fault{Pos: pos, Key: c.text, Text: "column given twice"})
			return nil
		}
		names = append(names, name)
	}
	if !slices.Contains(names, "id") {
		b.fault(Fault{Pos: at, Key: "id", Text: "column missing"})
		return nil
	}
	return names
}

// columnName returns the name of a column. Synonyms of id are replaced.
func columnName(name string) string {
	switch name {
	case "name", "node", "uid":
		return "id"
	}
	return name
}

// splitCells splits a line into cells.
func splitCells(line string) ([]cell, error) {
	if !strings.ContainsRune(line, '"') { // fast path: most lines have no quotes
		out := make([]cell, 0, 8)
		for start := 0; ; {
			comma := strings.IndexByte(line[start:], ',')
			part := line[start:]
			if comma >= 0 {
				part = line[start : start+comma]
			}
			trimmed := strings.TrimLeft(part, " \t")
			out = append(out, cell{strings.TrimRight(trimmed, " \t"), start + len(part) - len(trimmed) + 1})
			if comma < 0 {
				return out, nil
			}
			start += comma + 1
		}
	}
	r := csv.NewReader(strings.NewReader(line))
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
