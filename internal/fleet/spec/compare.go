package spec

import (
	"maps"
	"slices"
	"strings"
)

// ChangeKind is the effect of a change on the instance's process.
type ChangeKind string

// The kinds of changes.
const (
	Added        ChangeKind = "added"
	Removed      ChangeKind = "removed"
	Moved        ChangeKind = "moved" // to another agent
	Restarted    ChangeKind = "restarted"
	LiveOnly     ChangeKind = "live"   // applied by the running process
	MetadataOnly ChangeKind = "marked" // groups, labels or domain: no effect on the process
)

// severity ranks the kinds of changes. A change of several fields has the kind with the highest rank.
var severity = map[ChangeKind]int{
	MetadataOnly: 1,
	LiveOnly:     2,
	Restarted:    3,
	Moved:        4,
}

// Change is the difference between two desired states of one instance.
type Change struct {
	Name   string     `json:"name"`
	Old    *Instance  `json:"-"`                // nil if the instance is added
	New    *Instance  `json:"-"`                // nil if the instance is removed
	Fields []string   `json:"fields,omitempty"` // names of the fields that differ
	Kind   ChangeKind `json:"kind"`
}

// Compare returns the change between two desired states of one instance, or nil if they are the same.
func Compare(from, to *Instance) *Change {
	switch {
	case from.Equal(to):
		return nil
	case from == nil:
		return &Change{Name: to.Name, New: to, Kind: Added}
	case to == nil:
		return &Change{Name: from.Name, Old: from, Kind: Removed}
	}
	c := &Change{Name: to.Name, Old: from, New: to}
	c.compareStart(&from.Start, &to.Start)
	c.compareLive(&from.Live, &to.Live)
	c.addField("domain", MetadataOnly, from.Domain != to.Domain)
	c.addField("groups", MetadataOnly, !slices.Equal(from.Groups, to.Groups))
	c.addField("labels", MetadataOnly, !maps.Equal(from.Labels, to.Labels))
	return c
}

func (c *Change) compareStart(from, to *StartSettings) {
	c.addField("agent", Moved, c.Old.Agent != c.New.Agent)
	c.addField("enabled", Restarted, c.Old.Enabled != c.New.Enabled)
	c.addField("config", Restarted, from.Config != to.Config)
	c.addField("listen", Restarted, from.Listen != to.Listen)
	c.addField("object_listen", Restarted, from.ObjectListen != to.ObjectListen)
	c.addField("cores", Restarted, from.Cores != to.Cores)
	c.addField("memory_mb", Restarted, from.MemoryMB != to.MemoryMB)
	c.addField("sockets", Restarted, from.Sockets != to.Sockets)
}

func (c *Change) compareLive(from, to *LiveSettings) {
	c.addField("log", LiveOnly, from.LogLevel != to.LogLevel)
	c.addField("discovery", LiveOnly, from.Discovery != to.Discovery)
	c.addField("max_open", LiveOnly, from.MaxInFlight != to.MaxInFlight)
}

func (c *Change) addField(name string, kind ChangeKind, differs bool) {
	if !differs {
		return
	}
	c.Fields = append(c.Fields, name)
	if severity[kind] > severity[c.Kind] {
		c.Kind = kind
	}
}

// Diff returns the changes between two sets of instances, sorted by name.
func Diff(from, to map[string]*Instance) []Change {
	var changes []Change
	for name, i := range to {
		if c := Compare(from[name], i); c != nil {
			changes = append(changes, *c)
		}
	}
	for name, i := range from {
		if to[name] == nil {
			changes = append(changes, *Compare(i, nil))
		}
	}
	SortChanges(changes)
	return changes
}

// SortChanges sorts changes by the names of their instances.
func SortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Name, b.Name) })
}
