// Package spec says what a fleet should be: its instances, what each starts with, what each takes up live, and the
// operators' changes to the list of storage nodes. It is values and comparisons only.
package spec

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
)

// StartSettings is what an instance's process is started with: a change of it takes a restart.
type StartSettings struct {
	Config       string  `json:"config"` // digest of the configuration text that the instance's own is made from
	Listen       string  `json:"listen,omitempty"`
	ObjectListen string  `json:"object_listen,omitempty"`
	Cores        float64 `json:"cores,omitempty"`
	MemoryMB     int     `json:"memory_mb,omitempty"`
	Sockets      int     `json:"sockets,omitempty"`
}

// LiveSettings is what a running instance takes up without a restart. Zero values leave the configuration's own.
type LiveSettings struct {
	LogLevel    string `json:"log,omitempty"`
	Discovery   string `json:"discovery,omitempty"`
	MaxInFlight int    `json:"max_open,omitempty"`
}

// Instance is one broker as it is wanted. It is never changed once it is in a Spec, so it may be shared.
type Instance struct {
	Name    string            `json:"name"`
	Agent   string            `json:"agent"`            // who runs it
	Domain  string            `json:"domain,omitempty"` // what fails together; the agent where it is empty
	Groups  []string          `json:"groups,omitempty"`
	Labels  map[string]string `json:"labels,omitempty"`
	Enabled bool              `json:"enabled"`
	Start   StartSettings     `json:"start"`
	Live    LiveSettings      `json:"live"`
}

// FailureDomain is what fails together with the instance.
func (i *Instance) FailureDomain() string {
	if i.Domain != "" {
		return i.Domain
	}
	return i.Agent
}

// Equal reports whether two instances are wanted alike; nil is an instance that is not wanted at all.
func (i *Instance) Equal(o *Instance) bool {
	if i == nil || o == nil {
		return i == o
	}
	return i == o || i.Name == o.Name && i.Agent == o.Agent && i.Domain == o.Domain && i.Enabled == o.Enabled &&
		i.Start == o.Start && i.Live == o.Live && slices.Equal(i.Groups, o.Groups) && maps.Equal(i.Labels, o.Labels)
}

// NeedsRestart reports whether going from old to i starts, stops or restarts its process.
func (i *Instance) NeedsRestart(old *Instance) bool {
	if i == nil || old == nil {
		return i != old
	}
	return i.Agent != old.Agent || i.Enabled != old.Enabled || i.Enabled && i.Start != old.Start
}

// Digest names start settings, so that a process says what it was started with.
func (s StartSettings) Digest() string {
	b, _ := json.Marshal(s) // a struct of plain values always marshals
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

// ConfigDigest names a configuration text.
func ConfigDigest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:16])
}

// NodeOverrideState is what operators want of a storage node, over what discovery says.
type NodeOverrideState string

// The states. A node without one stands as discovery has it.
const (
	NodeAdded    NodeOverrideState = "added" // discovery does not know it; it has an address and a shard
	NodeDraining NodeOverrideState = "drain" // nothing new, what is open goes on
	NodeRemoved  NodeOverrideState = "out"   // as if discovery had removed it
)

// NodeOverride is an operator's word on one storage node.
type NodeOverride struct {
	ID         string            `json:"id"`
	State      NodeOverrideState `json:"state"`
	Addr       string            `json:"addr,omitempty"`
	ObjectAddr string            `json:"objects,omitempty"`
	Shard      int               `json:"shard,omitempty"`
	Zone       string            `json:"zone,omitempty"`
}

// Validate reports what is wrong with it, naming the field.
func (n NodeOverride) Validate() error {
	switch {
	case n.ID == "":
		return errors.New("node.id: missing")
	case n.State != NodeAdded && n.State != NodeDraining && n.State != NodeRemoved:
		return fmt.Errorf("node.state: %q is none of added, drain, out", n.State)
	case n.State == NodeAdded && n.Addr == "":
		return fmt.Errorf("node %s: addr: missing for a node that discovery does not know", n.ID)
	case n.Shard < 0:
		return fmt.Errorf("node %s: shard: %d is negative", n.ID, n.Shard)
	}
	return nil
}

// Spec is a fleet as it is wanted.
type Spec struct {
	Instances map[string]*Instance `json:"instances"`
	Configs   map[string]string    `json:"configs,omitempty"` // texts by their digests
}

// Validate reports the first thing that cannot be, naming instance and field.
func (s *Spec) Validate() error {
	at := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(s.Instances)) {
		i := s.Instances[name]
		switch {
		case i == nil || i.Name != name:
			return fmt.Errorf("%s.name: does not match its key", name)
		case i.Agent == "":
			return fmt.Errorf("%s.agent: missing", name)
		case i.Start.Listen == "" && i.Start.ObjectListen == "":
			return fmt.Errorf("%s.listen: missing (and so is object_listen)", name)
		case i.Start.Config == "":
			return fmt.Errorf("%s.config: missing", name)
		case i.Live.MaxInFlight < 0:
			return fmt.Errorf("%s.max_open: %d is negative", name, i.Live.MaxInFlight)
		}
		for key, addr := range map[string]string{"listen": i.Start.Listen, "object_listen": i.Start.ObjectListen} {
			if addr == "" {
				continue
			}
			where := i.Agent + " " + addr // machines may share loopback addresses, and do in tests
			if other, ok := at[where]; ok {
				return fmt.Errorf("%s.%s: %s is also %s's", name, key, addr, other)
			}
			at[where] = name
		}
	}
	return nil
}

// Change is one instance before and after.
type Change struct {
	Name     string     `json:"name"`
	Old, New *Instance  `json:"-"`
	Fields   []string   `json:"fields,omitempty"` // what differs
	Kind     ChangeKind `json:"kind"`
}

// ChangeKind is what a change does to the instance's process.
type ChangeKind string

// The kinds.
const (
	Added        ChangeKind = "added"
	Removed      ChangeKind = "removed"
	Moved        ChangeKind = "moved" // to another agent
	Restarted    ChangeKind = "restarted"
	LiveOnly     ChangeKind = "live"
	MetadataOnly ChangeKind = "marked" // groups, labels or domain: nothing happens to the process
)

// Compare describes the way from old to new, or returns nil where they are the same.
func Compare(old, new *Instance) *Change {
	if old.Equal(new) {
		return nil
	}
	c := &Change{Old: old, New: new}
	switch {
	case old == nil:
		c.Name, c.Kind = new.Name, Added
		return c
	case new == nil:
		c.Name, c.Kind = old.Name, Removed
		return c
	}
	c.Name = new.Name
	note := func(differs bool, field string, kind ChangeKind) {
		if !differs {
			return
		}
		c.Fields = append(c.Fields, field)
		if rank[kind] > rank[c.Kind] {
			c.Kind = kind
		}
	}
	a, b := old.Start, new.Start
	note(old.Agent != new.Agent, "agent", Moved)
	note(old.Enabled != new.Enabled, "enabled", Restarted)
	note(a.Config != b.Config, "config", Restarted)
	note(a.Listen != b.Listen, "listen", Restarted)
	note(a.ObjectListen != b.ObjectListen, "object_listen", Restarted)
	note(a.Cores != b.Cores, "cores", Restarted)
	note(a.MemoryMB != b.MemoryMB, "memory_mb", Restarted)
	note(a.Sockets != b.Sockets, "sockets", Restarted)
	note(old.Live.LogLevel != new.Live.LogLevel, "log", LiveOnly)
	note(old.Live.Discovery != new.Live.Discovery, "discovery", LiveOnly)
	note(old.Live.MaxInFlight != new.Live.MaxInFlight, "max_open", LiveOnly)
	note(old.Domain != new.Domain, "domain", MetadataOnly)
	note(!slices.Equal(old.Groups, new.Groups), "groups", MetadataOnly)
	note(!maps.Equal(old.Labels, new.Labels), "labels", MetadataOnly)
	return c
}

var rank = map[ChangeKind]int{"": 0, MetadataOnly: 1, LiveOnly: 2, Restarted: 3, Moved: 4}

// Diff lists what differs from old to new, by name.
func Diff(old, new map[string]*Instance) (out []Change) {
	for name, i := range new {
		if c := Compare(old[name], i); c != nil {
			out = append(out, *c)
		}
	}
	for name, i := range old {
		if new[name] == nil {
			out = append(out, *Compare(i, nil))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Selector picks instances: by names, and by terms that must all hold. A term is group=G, agent=A, domain=D, or
// label.KEY=VALUE. Without names and terms it picks all.
type Selector struct {
	Names []string
	Terms []string
}

// Validate reports the first term that cannot be.
func (s Selector) Validate() error {
	for _, t := range s.Terms {
		key, _, ok := strings.Cut(t, "=")
		known := key == "group" || key == "agent" || key == "domain" ||
			strings.HasPrefix(key, "label.") && len(key) > len("label.")
		if !ok || !known {
			return fmt.Errorf("selector %q: want group=G, agent=A, domain=D or label.KEY=VALUE", t)
		}
	}
	return nil
}

// Matches reports whether it picks the instance.
func (s Selector) Matches(i *Instance) bool {
	if len(s.Names) > 0 && !slices.Contains(s.Names, i.Name) {
		return false
	}
	for _, t := range s.Terms {
		key, want, _ := strings.Cut(t, "=")
		ok := false
		switch key {
		case "group":
			ok = slices.Contains(i.Groups, want)
		case "agent":
			ok = i.Agent == want
		case "domain":
			ok = i.FailureDomain() == want
		default:
			var got string
			got, ok = i.Labels[strings.TrimPrefix(key, "label.")]
			ok = ok && got == want
		}
		if !ok {
			return false
		}
	}
	return true
}
