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
		line, rest, terminated := strings.Cut(text, "\n")
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
			b.fault(Fault{Pos: at, Text: err.Error(), Node: idOfBrokenLine(line, header)})
			if header == nil {
				b.doc.Complete = false
				return
			}
			b.doc.Complete = b.doc.Complete && terminated // otherwise the file may be written half way
			continue
		}
		if header == nil {
			if header = b.header(at, cells); header == nil {
				b.doc.Complete = false
				return
			}
			continue
		}
		if !b.addRow(path, lineNumber, header, cells) && !terminated {
			b.doc.Complete = false // the file may be written half way
		}
	}
	b.lastHeader = header
	if header == nil {
		b.fault(Fault{Pos: Pos{path, 1, 0}, Text: "no header: empty, or written half way"})
		b.doc.Complete = false
	}
}

// addRow adds the row of one node. It returns false if its cells do not match the columns.
func (b *builder) addRow(path string, lineNumber int, header []string, cells []cell) bool {
	if len(cells) > len(header) {
		b.surplusCell(Pos{path, lineNumber, cells[len(header)].col}, header, cells)
		return false
	}
	r := rawRow{
		vars:         make(map[string]setting, len(cells)),
		stateMissing: slices.Index(header, "state") >= len(cells),
	}
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
	return true
}

// surplusCell reports a row that has more cells than there are columns.
func (b *builder) surplusCell(at Pos, header []string, cells []cell) {
	f := Fault{Pos: at, Text: "more cells than columns"}
	if id := cells[slices.Index(header, "id")].text; validID(id) {
		f.Node = id
	}
	b.fault(f)
}

// idOfBrokenLine returns the node ID of a line whose quotes do not match, or "" if it cannot be told.
func idOfBrokenLine(line string, header []string) string {
	column := slices.Index(header, "id")
	cells := strings.Split(line, ",")
	if column < 0 || column >= len(cells) || strings.Contains(strings.Join(cells[:column], ""), `"`) {
		return ""
	}
	id := strings.Trim(cells[column], " \t\"")
	if !validID(id) {
		return ""
	}
	return id
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
