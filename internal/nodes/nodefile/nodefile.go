// Package nodefile reads lists of storage nodes in CSV and YAML as configuration tools keep them, and writes them back. A
// faulty row is named by file, line and column, and the rest is used.
package nodefile

import (
	"cmp"
	"fmt"
	"path/filepath"
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
	Rows     []Row   `json:"Rows"`
	Faults   []Fault `json:"Faults"`
	Complete bool    `json:"Whole"` // false: a file could not be read at all, and what is missing may well still be there
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
	d := &Doc{Complete: true}
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
		b.doc.Complete = false
		return
	}
	text, err := b.files.Read(path)
	if err != nil {
		b.fault(Fault{Pos: from, Text: err.Error()})
		b.doc.Complete = false
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
