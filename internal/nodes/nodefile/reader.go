package nodefile

import (
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
	b := &builder{doc: &Doc{Whole: true}, kinds: map[string]Kind{}, seen: map[string]bool{}}
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

// patch takes in a text of as many lines as the last one, if it differs from it in rows only. Otherwise, and where anything
// is wrong with it, it leaves all as it was.
func (r *Reader) patch(text string) ([]Row, bool) {
	old := r.text
	if len(r.doc.Rows) == 0 {
		return nil, false
	}
	// What is the same at the beginning and at the end, in whole lines.
	p := 0
	for n := min(len(old), len(text)); p < n && old[p] == text[p]; {
		if p+64 <= n && old[p:p+64] == text[p:p+64] {
			p += 64
			continue
		}
		p++
	}
	p = strings.LastIndexByte(text[:p], '\n') + 1
	if p < r.first {
		return nil, false
	}
	s := 0
	for n := min(len(old), len(text)) - p; s < n && old[len(old)-1-s] == text[len(text)-1-s]; {
		if s+64 <= n && old[len(old)-s-64:len(old)-s] == text[len(text)-s-64:len(text)-s] {
			s += 64
			continue
		}
		s++
	}
	if s > 0 { // up to where a line ends in both
		k := strings.IndexByte(text[len(text)-s:], '\n')
		if k < 0 {
			s = 0
		} else {
			s -= k
		}
	}
	was, now := old[p:len(old)-s], text[p:len(text)-s]
	if was == now {
		return nil, old == text
	}
	if strings.Count(was, "\n") != strings.Count(now, "\n") {
		return nil, false // lines came or went: places move
	}
	line := 1 + strings.Count(text[:p], "\n")
	b := &builder{doc: &Doc{Whole: true}, kinds: map[string]Kind{}, seen: map[string]bool{}}
	for k, l := range strings.Split(now, "\n") {
		l = strings.TrimSuffix(l, "\r")
		if t := strings.TrimSpace(l); t == "" || t[0] == '#' {
			continue
		}
		cells, err := split(l)
		if err != nil {
			return nil, false
		}
		b.line(r.path, line+k, r.header, cells)
	}
	b.check()
	if len(b.doc.Faults) > 0 {
		return nil, false
	}
	// The rows that stood in those lines: as many, of the same ids, in the same lines.
	last := line + strings.Count(now, "\n")
	lo := lowest(r.doc.Rows, line)
	hi := lowest(r.doc.Rows, last+1)
	fresh := b.doc.Rows
	if hi-lo != len(fresh) {
		return nil, false
	}
	for i := range fresh {
		if fresh[i].ID != r.doc.Rows[lo+i].ID {
			return nil, false
		}
	}
	for i := lo; i < hi; i++ {
		r.drop(&r.doc.Rows[i])
	}
	for i := range fresh {
		if !r.claim(&fresh[i]) {
			r.doc = nil // its claims are half taken back: read anew
			return nil, false
		}
	}
	copy(r.doc.Rows[lo:hi], fresh)
	return fresh, true
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
