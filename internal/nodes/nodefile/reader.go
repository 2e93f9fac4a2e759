package nodefile

import (
	"slices"
	"strings"
)

// Reader reads one CSV list again and again. Where only some lines have changed since the last reading, and nothing is
// wrong in either, it looks at those alone; everything else is read as Parse does.
type Reader struct {
	path   string
	text   string
	doc    *Doc
	header []string
	first  int               // bytes up to the end of the header's line
	ids    map[string]string // by their folded form
	addrs  map[string]string
	shards map[int]string
}

// Read returns the list, which is good until the next Read. changed has the rows that differ from the last reading, where
// that is all that differs: then some is true, no row has gone, and nothing is wrong.
func (r *Reader) Read(path, text string) (d *Doc, changed []Row, some bool) {
	if r.doc != nil && r.path == path {
		if changed, ok := r.patch(text); ok {
			r.text = text
			return r.doc, changed, true
		}
	}
	b := &builder{doc: &Doc{Complete: true}, kinds: map[string]Kind{}, seen: map[string]bool{}}
	b.csv(path, text)
	b.check()
	*r = Reader{path: path, text: text}
	if len(b.doc.Faults) == 0 && b.header0 != nil {
		r.doc, r.header = b.doc, b.header0
		r.ids, r.addrs, r.shards = map[string]string{}, map[string]string{}, map[int]string{}
		for i := range r.doc.Rows {
			r.claim(&r.doc.Rows[i])
		}
		if len(r.doc.Rows) > 0 { // the header stands before the first row
			r.first = lineStart(text, r.doc.Rows[0].Pos.Line)
		}
	}
	return b.doc, nil, false
}

// lineStart is where a line begins, counted from 1.
func lineStart(text string, line int) int {
	at := 0
	for ; line > 1; line-- {
		at += strings.IndexByte(text[at:], '\n') + 1
	}
	return at
}

// claim notes what a row holds, or reports that it is another's.
func (r *Reader) claim(x *Row) bool {
	low := strings.ToLower(x.ID)
	if r.ids[low] != "" {
		return false
	}
	if x.State != "out" && x.Addr != "" {
		if r.addrs[x.Addr] != "" || r.shards[x.Shard] != "" {
			return false
		}
		r.addrs[x.Addr], r.shards[x.Shard] = x.ID, x.ID
	}
	r.ids[low] = x.ID
	return true
}

// drop takes a row's claims back.
func (r *Reader) drop(x *Row) {
	delete(r.ids, strings.ToLower(x.ID))
	if x.State != "out" && x.Addr != "" {
		delete(r.addrs, x.Addr)
		delete(r.shards, x.Shard)
	}
}

// patch applies a text that differs from the last one in the content of some rows only. Otherwise, or if anything is wrong
// with it, it reports false; then the text has to be read from the start.
func (r *Reader) patch(text string) ([]Row, bool) {
	if len(r.doc.Rows) == 0 {
		return nil, false
	}
	prefix, suffix := commonLines(r.text, text)
	if prefix < r.first {
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
	first := lowest(r.doc.Rows, firstLine)
	last := lowest(r.doc.Rows, firstLine+strings.Count(after, "\n")+1)
	if !sameIDs(r.doc.Rows[first:last], rows) {
		return nil, false
	}
	if !r.replaceClaims(r.doc.Rows[first:last], rows) {
		return nil, false
	}
	copy(r.doc.Rows[first:last], rows)
	return rows, true
}

// parseLines parses complete lines of rows. Anything wrong with them is reported as false.
func (r *Reader) parseLines(lines string, firstLine int) ([]Row, bool) {
	b := &builder{doc: &Doc{Complete: true}, kinds: map[string]Kind{}, seen: map[string]bool{}}
	for i, line := range strings.Split(lines, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if trimmed := strings.TrimSpace(line); trimmed == "" || trimmed[0] == '#' {
			continue
		}
		cells, err := split(line)
		if err != nil {
			return nil, false
		}
		b.line(r.path, firstLine+i, r.header, cells)
	}
	b.check()
	return b.doc.Rows, len(b.doc.Faults) == 0
}

// replaceClaims replaces the claims of rows by those of others. If one contradicts another row, the reader has to start
// anew.
func (r *Reader) replaceClaims(before, after []Row) bool {
	for i := range before {
		r.drop(&before[i])
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

// commonLines returns how many bytes two texts have in common at their beginnings and at their ends, in complete lines.
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

// compareBlock is how many bytes are compared at once.
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

// lowest is the first row at or behind a line.
func lowest(rows []Row, line int) int {
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
