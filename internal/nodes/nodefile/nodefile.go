// Package nodefile reads lists of storage nodes in CSV and YAML as configuration tools keep them, and writes them back. A
// faulty row is named by file, line and column, and the rest is used.
package nodefile

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"

	"go4.org/netipx"
)

// Pos is a place in a file. Line and Col count from 1; 0: not known.
type Pos struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Col  int    `json:"col,omitempty"`
}

func (p Pos) String() string {
	s := p.File
	if p.Line > 0 {
		s += ":" + strconv.Itoa(p.Line)
	}
	if p.Col > 0 {
		s += ":" + strconv.Itoa(p.Col)
	}
	return s
}

// Fault is what is wrong at a place.
type Fault struct {
	Pos  Pos    `json:"pos"`
	Key  string `json:"key,omitempty"`
	Text string `json:"text"`
	Node string `json:"node,omitempty"` // whose row it is, where that can be told
	Warn bool   `json:"warn,omitempty"` // the row is used all the same
}

func (f Fault) Error() string {
	s := f.Pos.String()
	if f.Key != "" {
		s += ": " + f.Key
	}
	return s + ": " + f.Text
}

// Row is one node.
type Row struct {
	ID       string            `json:"id"`
	Addr     string            `json:"addr,omitempty"`
	Objects  string            `json:"objects,omitempty"`
	Shard    int               `json:"shard"`
	Zone     string            `json:"zone,omitempty"`
	State    string            `json:"state"` // up, draining or out
	Kind     string            `json:"kind,omitempty"`
	Cores    float64           `json:"cores,omitempty"`
	Speed    float64           `json:"speed,omitempty"`
	Labels   map[string]string `json:"labels,omitempty"`
	Groups   []string          `json:"groups,omitempty"`
	Pos      Pos               `json:"pos"`
	Capacity float64           `json:"capacity,omitempty"` // cores times speed
}

// Kind is what all nodes of a kind have.
type Kind struct {
	Cores, Speed float64
}

// Doc is what a list says.
type Doc struct {
	Rows   []Row
	Faults []Fault
	Whole  bool // false: a file could not be read at all, and what is missing may well still be there
}

// field is a setting with its place.
type field struct {
	text string
	pos  Pos
}

// raw is a node before its settings are checked.
type raw struct {
	id     field
	vars   map[string]field
	groups []string
	nets   *netipx.IPSet // addresses that its groups may hold; nil: any
	netsOf string
}

// Keys that a row may have.
var known = []string{"addr", "objects", "shard", "zone", "state", "kind", "cores", "speed", "labels"}

// Files hands out what lists are made of, so that the package does no I/O of its own.
type Files struct {
	Read func(path string) ([]byte, error)  // a file's text
	List func(dir string) ([]string, error) // files ending in .csv, .yaml or .yml, sorted; nil: folders cannot be read
}

// Load reads a file, or all of a folder in the order of their names. The first claim counts where two contradict each
// other.
func Load(path string, f Files) *Doc { return LoadAll([]string{path}, f) }

// LoadAll reads several as if they were one.
func LoadAll(paths []string, f Files) *Doc {
	d := &Doc{Whole: true}
	b := &builder{doc: d, files: f, kinds: map[string]Kind{}, seen: map[string]bool{}}
	for _, path := range paths {
		b.load(path, Pos{File: path})
	}
	b.check()
	sort.SliceStable(d.Faults, func(x, y int) bool {
		a, c := d.Faults[x], d.Faults[y]
		return cmp.Or(cmp.Compare(a.Pos.File, c.Pos.File), cmp.Compare(a.Pos.Line, c.Pos.Line), cmp.Compare(a.Pos.Col, c.Pos.Col)) < 0
	})
	return d
}

// Parse reads one text; includes cannot be followed.
func Parse(path string, text []byte) *Doc {
	return Load(path, Files{Read: func(p string) ([]byte, error) {
		if p == path {
			return text, nil
		}
		return nil, fmt.Errorf("%s: not at hand", p)
	}})
}

// builder collects rows of several files.
type builder struct {
	doc     *Doc
	files   Files
	kinds   map[string]Kind
	raws    []raw
	seen    map[string]bool // files, against circles
	header0 []string        // of the last CSV
}

func (b *builder) fault(f Fault) { b.doc.Faults = append(b.doc.Faults, f) }

func (b *builder) load(path string, from Pos) {
	clean := filepath.Clean(path)
	if b.seen[clean] {
		b.fault(Fault{Pos: from, Text: path + " is included already"})
		return
	}
	b.seen[clean] = true
	ext := strings.ToLower(filepath.Ext(path))
	if ext != ".csv" && ext != ".yaml" && ext != ".yml" {
		if b.files.List != nil {
			if names, err := b.files.List(path); err == nil {
				for _, n := range names {
					b.load(n, from)
				}
				return
			}
		}
		b.fault(Fault{Pos: from, Text: path + ": an inventory ends in .csv, .yaml or .yml, or is a folder of such"})
		b.doc.Whole = false
		return
	}
	text, err := b.files.Read(path)
	if err != nil {
		b.fault(Fault{Pos: from, Text: err.Error()})
		b.doc.Whole = false
		return
	}
	if ext == ".csv" {
		b.csv(path, string(text))
	} else {
		b.yaml(path, text)
	}
}

// check turns what was read into rows, and settles contradictions: the first claim counts.
func (b *builder) check() {
	ids, folded, addrs, shards := map[string]Pos{}, map[string]string{}, map[string]string{}, map[int]string{}
	rows := make([]Row, 0, len(b.raws))
	for i := range b.raws {
		r := &b.raws[i]
		row, ok := b.row(r)
		if !ok {
			continue
		}
		if at, twice := ids[row.ID]; twice {
			b.fault(Fault{Pos: r.id.pos, Key: row.ID, Text: "given twice, first at " + at.String(), Warn: false})
			continue
		}
		low := strings.ToLower(row.ID)
		if other, twice := folded[low]; twice {
			b.fault(Fault{Pos: r.id.pos, Key: row.ID, Text: "differs from " + other + " in case only", Node: row.ID})
			continue
		}
		if other, twice := addrs[row.Addr]; twice && row.Addr != "" && row.State != "out" {
			b.fault(Fault{Pos: r.vars["addr"].pos, Key: row.ID + ".addr", Text: row.Addr + " is " + other + "'s", Node: row.ID})
			continue
		}
		if row.State != "out" && row.Addr != "" {
			if other, twice := shards[row.Shard]; twice {
				b.fault(Fault{Pos: cmp.Or(r.vars["shard"].pos, r.id.pos), Key: row.ID + ".shard", Warn: true, Node: row.ID,
					Text: fmt.Sprintf("%d is also %s's: both are used", row.Shard, other)})
			} else {
				shards[row.Shard] = row.ID
			}
			addrs[row.Addr] = row.ID
		}
		ids[row.ID], folded[low] = r.id.pos, row.ID
		rows = append(rows, row)
	}
	b.doc.Rows = rows
}

// row checks one node's settings.
func (b *builder) row(r *raw) (Row, bool) {
	row := Row{ID: strings.TrimSpace(r.id.text), State: "up", Groups: r.groups, Pos: r.id.pos}
	bad := false
	fault := func(pos Pos, key, format string, args ...any) {
		bad = true
		b.fault(Fault{Pos: pos, Key: row.ID + "." + key, Text: fmt.Sprintf(format, args...), Node: row.ID})
	}
	if !validID(row.ID) {
		b.fault(Fault{Pos: r.id.pos, Key: "id", Text: fmt.Sprintf("%q is no id: 1 to 64 letters, digits, '-', '_', '.' and ':'", r.id.text)})
		return row, false
	}
	number := func(key string, f field, least float64) float64 {
		v, err := strconv.ParseFloat(f.text, 64)
		if err != nil || !(v > least) || v > 1e6 {
			fault(f.pos, key, "%q is not a number above %v", f.text, least)
		}
		return v
	}
	for _, key := range known {
		f, ok := r.vars[key]
		if !ok || strings.TrimSpace(f.text) == "" {
			continue
		}
		f.text = strings.TrimSpace(f.text)
		switch key {
		case "addr", "objects":
			host, port, err := net.SplitHostPort(f.text)
			if n, perr := strconv.ParseUint(port, 10, 16); err != nil || perr != nil || host == "" || n == 0 {
				fault(f.pos, key, "%q is not HOST:PORT", f.text)
				continue
			}
			if r.nets != nil {
				if ip, err := netip.ParseAddr(host); err != nil || !r.nets.Contains(ip) {
					fault(f.pos, key, "%s is not among the addresses that group %s may hold", host, r.netsOf)
					continue
				}
			}
			if key == "addr" {
				row.Addr = f.text
			} else {
				row.Objects = f.text
			}
		case "shard":
			n, err := strconv.Atoi(f.text)
			if err != nil || n < 0 {
				fault(f.pos, key, "%q is not a whole number from 0", f.text)
			}
			row.Shard = n
		case "zone":
			row.Zone = f.text
		case "state":
			if !slices.Contains([]string{"up", "draining", "out"}, f.text) {
				fault(f.pos, key, "%q is none of up, draining, out", f.text)
			}
			row.State = f.text
		case "kind":
			row.Kind = f.text
			k, ok := b.kinds[f.text]
			if !ok && len(b.kinds) > 0 {
				fault(f.pos, key, "no kind %q is described", f.text)
			}
			row.Cores, row.Speed = k.Cores, k.Speed
		case "cores":
			row.Cores = number(key, f, 0)
		case "speed":
			row.Speed = number(key, f, 0)
		case "labels":
			row.Labels = map[string]string{}
			for _, part := range strings.Split(f.text, ";") {
				k, v, ok := strings.Cut(strings.TrimSpace(part), "=")
				if !ok || k == "" {
					fault(f.pos, key, "%q is not KEY=VALUE; KEY=VALUE", f.text)
					break
				}
				row.Labels[k] = v
			}
		}
	}
	if row.Addr == "" && row.State == "up" && !bad {
		fault(r.id.pos, "addr", "missing")
	}
	if row.Cores > 0 {
		row.Capacity = row.Cores * cmp.Or(row.Speed, 1)
	}
	return row, !bad
}

func validID(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for _, c := range s {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && !strings.ContainsRune("-_.:", c) {
			return false
		}
	}
	return true
}

// expand spells out a range such as node-[01:20], with the width of its first end. A text without one stands for itself.
func expand(s string) ([]string, error) {
	open := strings.IndexByte(s, '[')
	if open < 0 {
		return []string{s}, nil
	}
	end := strings.IndexByte(s[open:], ']')
	if end < 0 {
		return nil, fmt.Errorf("%q: a range has no end", s)
	}
	end += open
	from, to, ok := strings.Cut(s[open+1:end], ":")
	a, err1 := strconv.Atoi(from)
	z, err2 := strconv.Atoi(to)
	if !ok || err1 != nil || err2 != nil || a < 0 || z < a || z-a >= 100_000 {
		return nil, fmt.Errorf("%q: a range is [FROM:TO], of up to 100000", s)
	}
	rest, err := expand(s[end+1:])
	if err != nil {
		return nil, err
	}
	if len(rest) > 1 {
		return nil, fmt.Errorf("%q: one range at most", s)
	}
	out := make([]string, 0, z-a+1)
	for n := a; n <= z; n++ {
		num := strconv.Itoa(n)
		if from[0] == '0' && len(num) < len(from) {
			num = strings.Repeat("0", len(from)-len(num)) + num
		}
		out = append(out, s[:open]+num+rest[0])
	}
	return out, nil
}

// spread gives the n-th of a range to the n-th node, or one text to all.
func spread(f field, n, of int) (field, error) {
	list, err := expand(f.text)
	if err != nil {
		return f, err
	}
	if len(list) == 1 {
		f.text = list[0]
		return f, nil
	}
	if len(list) != of {
		return f, fmt.Errorf("%q: %d of a range for %d nodes", f.text, len(list), of)
	}
	f.text = list[n]
	return f, nil
}
