// Package nodefile reads and writes lists of storage nodes in CSV and YAML, as configuration tools keep them. A faulty
// row is reported with its file, line and column, and the other rows are used.
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

// Pos is a position in a file. Line and Col count from 1; 0 means unknown.
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

// Fault is an error or a warning about a position in a list.
type Fault struct {
	Pos       Pos    `json:"pos"`
	Key       string `json:"key,omitempty"`
	Text      string `json:"text"`
	Node      string `json:"node,omitempty"` // ID of the node whose row it is, if known
	IsWarning bool   `json:"warn,omitempty"` // the fault is a warning: the row is still used
}

func (f Fault) Error() string {
	s := f.Pos.String()
	if f.Key != "" {
		s += ": " + f.Key
	}
	return s + ": " + f.Text
}

// Row holds the settings of one node.
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

	StateMissing bool `json:"-"` // the row ends before its state, which is up only by default
}

// Kind holds the settings shared by all nodes of a kind.
type Kind struct {
	Cores, Speed float64
}

// Doc is the content of one or more lists.
type Doc struct {
	Rows     []Row   `json:"Rows"`
	Faults   []Fault `json:"Faults"`
	Complete bool    `json:"Whole"` // false if a file could not be read, so rows may be missing that still exist
}

// setting is the text of a setting and its position.
type setting struct {
	text string
	pos  Pos
}

// rawRow holds the settings of a node before they are validated.
type rawRow struct {
	id        setting
	vars      map[string]setting
	groups    []string
	nets      *netipx.IPSet // addresses that the node may have; nil if any
	netsGroup string        // group that sets nets

	stateMissing bool // the row ends before the column of its state
}

// knownKeys are the keys that a row may have.
var knownKeys = []string{"addr", "objects", "shard", "zone", "state", "kind", "cores", "speed", "labels"}

// FileSystem provides access to files, so that the package itself does no I/O.
type FileSystem struct {
	Read func(path string) ([]byte, error)  // returns the content of a file
	List func(dir string) ([]string, error) // sorted .csv, .yaml and .yml files of a directory; nil if unsupported
}

// Load reads a file, or all files of a directory in the order of their names. If two rows contradict each other, the
// first one is used.
func Load(path string, f FileSystem) *Doc { return LoadAll([]string{path}, f) }

// LoadAll reads several files or directories as a single list.
func LoadAll(paths []string, f FileSystem) *Doc {
	d := &Doc{Complete: true}
	b := &builder{doc: d, files: f, kinds: map[string]Kind{}, loaded: map[string]bool{}}
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

// Parse reads a list from a text. Includes are reported as faults.
func Parse(path string, text []byte) *Doc {
	return Load(path, FileSystem{Read: func(p string) ([]byte, error) {
		if p == path {
			return text, nil
		}
		return nil, fmt.Errorf("%s: not read, includes are not supported here", p)
	}})
}

// builder collects the rows of one or more files.
type builder struct {
	doc        *Doc
	files      FileSystem
	kinds      map[string]Kind
	rawRows    []rawRow
	loaded     map[string]bool // files that have been read, to detect include cycles
	lastHeader []string        // column names of the last CSV file
}

func (b *builder) fault(f Fault) { b.doc.Faults = append(b.doc.Faults, f) }

func (b *builder) load(path string, from Pos) {
	cleanPath := filepath.Clean(path)
	if b.loaded[cleanPath] {
		b.fault(Fault{Pos: from, Text: path + " is already included"})
		return
	}
	b.loaded[cleanPath] = true
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
		b.fault(Fault{Pos: from, Text: path + ": not a directory and does not end in .csv, .yaml or .yml"})
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

// check validates the raw rows and resolves contradictions between them: the first row is used.
func (b *builder) check() {
	ids, folded, addrs, shards := map[string]Pos{}, map[string]string{}, map[string]string{}, map[int]string{}
	rows := make([]Row, 0, len(b.rawRows))
	for i := range b.rawRows {
		r := &b.rawRows[i]
		row, ok := b.row(r)
		if !ok {
			continue
		}
		if at, twice := ids[row.ID]; twice {
			b.fault(Fault{Pos: r.id.pos, Key: row.ID, Text: "given twice, first at " + at.String()}) // may be another node's row
			continue
		}
		foldedID := strings.ToLower(row.ID)
		if other, twice := folded[foldedID]; twice {
			b.fault(Fault{Pos: r.id.pos, Key: row.ID, Text: "differs from " + other + " in case only"}) // may be another node's row
			continue
		}
		if other, twice := addrs[row.Addr]; twice && row.Addr != "" && row.State != "out" {
			b.fault(Fault{Pos: r.vars["addr"].pos, Key: row.ID + ".addr", Text: row.Addr + " is already used by " + other, Node: row.ID})
			continue
		}
		if row.State != "out" && row.Addr != "" {
			if other, twice := shards[row.Shard]; twice {
				b.fault(Fault{Pos: cmp.Or(r.vars["shard"].pos, r.id.pos), Key: row.ID + ".shard", IsWarning: true, Node: row.ID,
					Text: fmt.Sprintf("%d is also %s's: both are used", row.Shard, other)})
			} else {
				shards[row.Shard] = row.ID
			}
			addrs[row.Addr] = row.ID
		}
		ids[row.ID], folded[foldedID] = r.id.pos, row.ID
		rows = append(rows, row)
	}
	b.doc.Rows = rows
}
