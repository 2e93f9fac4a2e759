package nodefile

import (
	"slices"
	"strings"
)

// Reader reads successive versions of a CSV list. If only some lines have changed since the last version, and both
// versions are free of faults, it parses only these lines. Otherwise it parses the whole list, as Parse does.
type Reader struct {
	path      string
	text      string
	doc       *Doc
	header    []string
	headerEnd int               // size of the text before the line of the first row
	ids       map[string]string // node IDs by lower-case ID
	addrs     map[string]string // node IDs by address
	shards    map[int]string    // node IDs by shard
}

// Read returns the list, which is valid until the next call of Read. patched is true if the list has no faults and only
// the content of some rows differs from the last version; changed then holds these rows.
func (r *Reader) Read(path, text string) (d *Doc, changed []Row, patched bool) {
	if r.doc != nil && r.path == path {
		if changed, ok := r.patch(text); ok {
			r.text = text
			return r.doc, changed, true
		}
	}
	b := &builder{doc: &Doc{Complete: true}, kinds: map[string]Kind{}, loaded: map[string]bool{}}
	b.csv(path, text)
	b.check()
	*r = Reader{path: path, text: text}
	if len(b.doc.Faults) == 0 && b.lastHeader != nil {
		r.doc, r.header = b.doc, b.lastHeader
		r.ids, r.addrs, r.shards = map[string]string{}, map[string]string{}, map[int]string{}
		for i := range r.doc.Rows {
			r.claim(&r.doc.Rows[i])
		}
		if len(r.doc.Rows) > 0 { // the header precedes the first row
			r.headerEnd = lineStart(text, r.doc.Rows[0].Pos.Line)
		}
	}
	return b.doc, nil, false
}

// lineStart returns the offset of a line. Lines count from 1.
func lineStart(text string, line int) int {
	offset := 0
	for ; line > 1; line-- {
		offset += strings.IndexByte(text[offset:], '\n') + 1
	}
	return offset
}

// claim registers the ID, address and shard of a row. It returns false if another row has one of them already.
func (r *Reader) claim(x *Row) bool {
	foldedID := strings.ToLower(x.ID)
	if r.ids[foldedID] != "" {
		return false
	}
	if x.State != "out" && x.Addr != "" {
		if r.addrs[x.Addr] != "" || r.shards[x.Shard] != "" {
			return false
		}
		r.addrs[x.Addr], r.shards[x.Shard] = x.ID, x.ID
	}
	r.ids[foldedID] = x.ID
	return true
}

// release deletes the claims of a row.
func (r *Reader) release(x *Row) {
	delete(r.ids, strings.ToLower(x.ID))
	if x.State != "out" && x.Addr != "" {
		delete(r.addrs, x.Addr)
		delete(r.shards, x.Shard)
	}
}

// patch applies a text that differs from the last one only in the content of some rows. It returns false if there are
// other differences or any faults; the whole text must then be parsed.
func (r *Reader) patch(text string) ([]Row, bool) {
	if len(r.doc.Rows) == 0 {
		return nil, false
	}
	prefix, suffix := commonLines(r.text, text)
	if prefix < r.headerEnd {
		return nil, false
	}
	before := r.text[prefix : len(r.text)-suffix]
	after := text[prefix : len(text)-suffix]
	if before == after {
		return nil, r.text == text
	}
	if strings.Count(before, "\n") != strings.Count(after, "\n") {
		return nil, false // lines were added or deleted, so later rows have moved
	}
	firstLine := 1 + strings.Count(text[:prefix], "\n")
	rows, ok := r.parseLines(after, firstLine)
	if !ok {
		return nil, false
	}
	first := firstRowFrom(r.doc.Rows, firstLine)
	last := firstRowFrom(r.doc.Rows, firstLine+strings.Count(after, "\n")+1)
	if !sameIDs(r.doc.Rows[first:last], rows) {
		return nil, false
	}
	if !r.replaceClaims(r.doc.Rows[first:last], rows) {
		return nil, false
	}
	copy(r.doc.Rows[first:last], rows)
	return rows, true
}

// parseLines parses complete lines of rows. It returns false if there is any fault.
func (r *Reader) parseLines(lines string, firstLine int) ([]Row, bool) {
	b := &builder{doc: &Doc{Complete: true}, kinds: map[string]Kind{}, loaded: map[string]bool{}}
	for i, line := range strings.Split(lines, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if trimmed := strings.TrimSpace(line); trimmed == "" || trimmed[0] == '#' {
			continue
		}
		cells, err := splitCells(line)
		if err != nil {
			return nil, false
		}
		if !b.addRow(r.path, firstLine+i, r.header, cells) {
			return nil, false
		}
	}
	b.check()
	return b.doc.Rows, len(b.doc.Faults) == 0
}

// replaceClaims replaces the claims of some rows. If a new claim contradicts another row it returns false, and the
// reader must parse the whole list again.
func (r *Reader) replaceClaims(before, after []Row) bool {
	for i := range before {
		r.release(&before[i])
	}
	for i := range after {
		if !r.claim(&after[i]) {
			r.doc = nil // some claims are already dropped
			return false
		}
	}
	return true
}

func sameIDs(a, b []Row) bool {
	return slices.EqualFunc(a, b, func(x, y Row) bool { return x.ID == y.ID })
}

// commonLines returns the sizes of the longest common prefix and suffix of two texts that consist of complete lines.
func commonLines(a, b string) (prefix, suffix int) {
	prefix = commonPrefix(a, b)
	prefix = strings.LastIndexByte(b[:prefix], '\n') + 1
	suffix = commonSuffix(a[prefix:], b[prefix:])
	if suffix == 0 {
		return prefix, 0
	}
	lineEnd := strings.IndexByte(b[len(b)-suffix:], '\n')
	if lineEnd < 0 {
		return prefix, 0
	}
	return prefix, suffix - lineEnd
}

// compareBlock is the number of bytes that are compared in one step.
const compareBlock = 64

func commonPrefix(a, b string) int {
	limit := min(len(a), len(b))
	n := 0
	for n < limit && a[n] == b[n] {
		if n+compareBlock <= limit && a[n:n+compareBlock] == b[n:n+compareBlock] {
			n += compareBlock
		} else {
			n++
		}
	}
	return n
}

func commonSuffix(a, b string) int {
	limit := min(len(a), len(b))
	n := 0
	for n < limit && a[len(a)-1-n] == b[len(b)-1-n] {
		if n+compareBlock <= limit && a[len(a)-n-compareBlock:len(a)-n] == b[len(b)-n-compareBlock:len(b)-n] {
			n += compareBlock
		} else {
			n++
		}
	}
	return n
}

// firstRowFrom returns the index of the first row at or after a line.
func firstRowFrom(rows []Row, line int) int {
	lo, hi := 0, len(rows)
	for lo < hi {
		m := (lo + hi) / 2
		if rows[m].Pos.Line < line {
			lo = m + 1
		} else {
			hi = m
		}
	}
	return lo
}
