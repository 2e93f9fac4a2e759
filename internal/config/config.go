// Package config is the one place where the broker's configuration is read, checked and given defaults. Every
// error names the faulty key.
package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"poppyarch/internal/control"
	"poppyarch/internal/decision"
	"poppyarch/internal/discovery"
	"poppyarch/internal/limits"
	"poppyarch/internal/membership"
	"poppyarch/internal/settings"
	"poppyarch/policy"
)

// Config is a checked configuration.
type Config struct {
	Name      string
	Listen    string // of the platform's protocol; empty: that front is off
	Discovery string
	Seed      uint64
	Known     discovery.List
	Policy    decision.Config
	Zones     []string
	Shards    int // 0: not told
	Limits    limits.Limits
	Object    *Object  // nil: the object front is off
	Control   *Control // nil: there is no control endpoint
	Record    *Record  // nil: nothing is recorded
	Nodes     *Nodes   // nil: the node list is discovery's alone
	LogLevel  string

	fileDiscovery string            // as the file has it, whatever LB_DISCOVERY says
	keys          map[string]string // the file's text by key
}

// Object sets up the object front.
type Object struct {
	Listen    string            `json:"listen"`
	Shards    int               `json:"shards"`     // nodes that objects are spread over, by their names
	UnitBytes int64             `json:"unit_bytes"` // one unit of a request's size
	Read      string            `json:"read_class"`
	Write     string            `json:"write_class"`
	Complete  string            `json:"complete_class"` // must never run twice
	Plan      string            `json:"default_plan"`
	Buckets   map[string]string `json:"buckets"` // plans by bucket
}

// Control sets up the control endpoint.
type Control struct {
	Listen  string `json:"listen"`            // unix:PATH, or HOST:PORT on loopback
	Started string `json:"started,omitempty"` // what whoever starts the broker calls its start settings
}

// Record sets up the recorder.
type Record struct {
	Dir     string  `json:"dir"`           // of the segments; empty: a ring in memory
	Sample  float64 `json:"sample"`        // share of requests recorded one by one; all are counted; default 1
	Segment int64   `json:"segment_bytes"` // default 8 MiB
	Total   int64   `json:"total_bytes"`   // of all segments of this broker, or of the ring; default 256 MiB, ring 8 MiB
	FlushMS int64   `json:"flush_ms"`      // default 50
	BeatMS  int64   `json:"beat_ms"`       // default 500
}

// Nodes sets up lists of storage nodes in files, and how they are merged with discovery's.
type Nodes struct {
	Files    []string `json:"files"`     // .csv, .yaml, .yml, or folders of such
	Mode     string   `json:"mode"`      // "union" (default): files add nodes and restrict them; "limit": only what a file has is used
	Guard    *float64 `json:"guard"`     // omissions of more than this share at once are held back; 0: none; default 0.2
	GuardMin int      `json:"guard_min"` // but never fewer than so many; default 3
	HoldMS   int64    `json:"hold_ms"`   // for so long; default 600000
	Zone     string   `json:"zone"`      // the broker's own; new objects go to nodes there unless others are better by far_ms
	FarMS    int64    `json:"far_ms"`    // default 50
	Subset   int      `json:"subset"`    // of a shard's nodes, only so many are used by this broker; 0: all
	Suppress *float64 `json:"suppress"`  // penalty above which a node that comes back stays out; 0: never; default 3
}

// Options are the membership's.
func (n *Nodes) Options(warm time.Duration) membership.Options {
	o := membership.DefaultOptions()
	if warm > 0 {
		o.Warm = warm.Microseconds()
	}
	if n == nil { // operators' commands only: what they say is meant, and discovery is believed as ever
		o.Suppress = 0
		return o
	}
	o.Limit = n.Mode == "limit"
	if n.Guard != nil {
		o.Guard = *n.Guard
	}
	if n.GuardMin > 0 {
		o.GuardMin = n.GuardMin
	}
	if n.HoldMS > 0 {
		o.Hold = n.HoldMS * 1000
	}
	if n.Suppress != nil {
		o.Suppress = *n.Suppress
	}
	return o
}

func (n *Nodes) check() error {
	switch {
	case len(n.Files) == 0:
		return errors.New("files: missing")
	case n.Mode != "" && n.Mode != "union" && n.Mode != "limit":
		return fmt.Errorf("mode: %q is neither union nor limit", n.Mode)
	case n.Guard != nil && !(*n.Guard >= 0 && *n.Guard <= 1):
		return fmt.Errorf("guard: %v is not 0 to 1", *n.Guard)
	case n.GuardMin < 0:
		return fmt.Errorf("guard_min: %d is negative", n.GuardMin)
	case n.FarMS < 0:
		return fmt.Errorf("far_ms: %d is negative", n.FarMS)
	case n.Subset < 0:
		return fmt.Errorf("subset: %d is negative", n.Subset)
	case n.HoldMS < 0:
		return fmt.Errorf("hold_ms: %d is negative", n.HoldMS)
	case n.Suppress != nil && !(*n.Suppress >= 0):
		return fmt.Errorf("suppress: %v is negative", *n.Suppress)
	}
	return nil
}

func (r *Record) check() error {
	if r.Sample == 0 {
		r.Sample = 1
	}
	for _, x := range []struct {
		v  *int64
		by int64
	}{{&r.Segment, 8 << 20}, {&r.Total, 256 << 20}, {&r.FlushMS, 50}, {&r.BeatMS, 500}} {
		if *x.v == 0 {
			*x.v = x.by
			if x.v == &r.Total && r.Dir == "" {
				*x.v = 8 << 20
			}
		}
	}
	switch {
	case !(r.Sample > 0 && r.Sample <= 1):
		return fmt.Errorf("sample: %v is not above 0 and up to 1", r.Sample)
	case r.Segment < 64<<10:
		return fmt.Errorf("segment_bytes: %d is under 65536", r.Segment)
	case r.Total < 2*r.Segment && r.Dir != "":
		return fmt.Errorf("total_bytes: %d is under two segments", r.Total)
	case r.Total < 64<<10:
		return fmt.Errorf("total_bytes: %d is under 65536", r.Total)
	case r.FlushMS < 1 || r.FlushMS > 10000:
		return fmt.Errorf("flush_ms: %d is not 1 to 10000", r.FlushMS)
	case r.BeatMS < r.FlushMS || r.BeatMS > 60000:
		return fmt.Errorf("beat_ms: %d is not flush_ms to 60000", r.BeatMS)
	}
	return nil
}

// file is the form of the configuration file.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    *discovery.List `json:"known"`
	Settings json.RawMessage `json:"settings"`
	Object   *Object         `json:"object"`
	Control  *Control        `json:"control"`
	Record   *Record         `json:"record"`
	Nodes    *Nodes          `json:"nodes"`
	Log      string          `json:"log"`
	Tuning   json.RawMessage `json:"tuning"` // single figures of limits.Limits, in its words
}

// extra is the part of the settings that concerns connections and not decisions.
type extra struct {
	Zones  []string `json:"zones"`
	Limits struct {
		Connect   int64 `json:"connect_timeout_ns"`
		Keepalive int64 `json:"keepalive_ns"`
		MaxOpen   int   `json:"max_open"`
	} `json:"limits"`
	Specifics struct {
		Shards int `json:"n_shards"`
	} `json:"specifics"`
}

// Load reads the configuration from the environment: LB_CONFIG names the file, the other variables override its
// first keys.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG: not set; it names the configuration file")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	defer f.Close()
	const most = 16 << 20
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	if len(text) > most {
		return nil, fmt.Errorf("LB_CONFIG: %s is over %d bytes", path, most)
	}
	cfg, err := Parse(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// Reload reads the configuration again for a broker that runs with c. A running broker takes up discovery and log:
// the result is c with these two. restart names the other keys that have changed and wait for the next start; seed
// and known are for a start only and never named. A faulty file is an error, and c stays as it is.
//
// LB_DISCOVERY stands over the file at the start. A file that names another address than it did then, or at the last
// reload, is news that the environment cannot know of, so it wins.
func (c *Config) Reload(getenv func(string) string) (next *Config, restart []string, err error) {
	file, err := Load(getenv)
	if err != nil {
		return nil, nil, err
	}
	for _, from := range []map[string]string{c.keys, file.keys} {
		for key := range from {
			switch key {
			case "discovery", "log", "seed", "known":
			default:
				if c.keys[key] != file.keys[key] && !slices.Contains(restart, key) {
					restart = append(restart, key)
				}
			}
		}
	}
	slices.Sort(restart)
	now := *c
	now.LogLevel = file.LogLevel
	if f := file.fileDiscovery; f != "" && f != c.fileDiscovery {
		now.Discovery, now.fileDiscovery = f, f
	}
	return &now, restart, nil
}

// keys is the text of each key of a JSON object, in one form whatever its spaces and the order of its members.
func keys(text []byte) (map[string]string, error) {
	var doc map[string]any
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, named(err)
	}
	out := map[string]string{}
	for key, v := range doc {
		b, err := json.Marshal(v)
		if err != nil {
			return nil, err
		}
		out[key] = string(b)
	}
	return out, nil
}

// Parse checks the text of a configuration file and fills in defaults.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	var in file
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, named(err)
	}
	fileDiscovery := in.Discovery
	for key, to := range map[string]*string{
		"LB_NAME": &in.Name, "LB_LISTEN": &in.Listen, "LB_DISCOVERY": &in.Discovery,
	} {
		if v := getenv(key); v != "" {
			*to = v
		}
	}
	c := &Config{Name: in.Name, Listen: in.Listen, Discovery: in.Discovery, Known: discovery.List{Rev: discovery.NoList}, Object: in.Object, Control: in.Control, Record: in.Record, Nodes: in.Nodes,
		LogLevel: in.Log, fileDiscovery: fileDiscovery}
	var err error
	if c.keys, err = keys(text); err != nil {
		return nil, err
	}
	if c.Name == "" {
		c.Name = "broker"
	}
	if in.Known != nil {
		c.Known = *in.Known
	}
	if c.Listen == "" && c.Object == nil {
		return nil, errors.New("listen: missing (and no object front is set up)")
	}
	for key, v := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if v == "" && key == "listen" {
			continue
		}
		if err := Address(v); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
	}
	if v := c.fileDiscovery; v != "" { // a reload may turn to it, whatever LB_DISCOVERY said at the start
		if err := Address(v); err != nil {
			return nil, fmt.Errorf("discovery: %w", err)
		}
	}
	switch c.LogLevel {
	case "":
		c.LogLevel = "info"
	case "debug", "info", "warn", "error":
	default:
		return nil, fmt.Errorf("log: %q is none of debug, info, warn, error", c.LogLevel)
	}
	c.Seed = uint64(time.Now().UnixNano())
	if in.Seed != "" {
		seed, err := strconv.ParseUint(in.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("seed: %q is not a number of up to 16 hex digits", in.Seed)
		}
		c.Seed = seed
	}
	if len(in.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Policy, err = settings.Parse(string(in.Settings), c.Seed); err != nil {
		return nil, err
	}
	// The settings say whether the simulator's clients get advice; the protocol's always may. A refusal goes out at
	// once, so it should say when coming back is worth while.
	c.Policy.Hints = true
	if c.Policy.MaxHint == 0 {
		c.Policy.MaxHint = 2 * time.Second
	}
	// Over sockets lists come on a watch that the broker has opened, also where the settings say that they are pushed: then
	// an agent of this broker's own has them, and what it has counts as told whether or not a watch is open.
	if !c.Policy.Ask {
		c.Policy.Ask, c.Policy.Pushed = true, true
	}
	if _, err := policy.New(c.Policy); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var ex extra
	if err := json.Unmarshal(in.Settings, &ex); err != nil {
		return nil, fmt.Errorf("settings: %w", named(err))
	}
	c.Zones, c.Shards = ex.Zones, ex.Specifics.Shards
	if _, err := c.Known.Nodes(c.Zones); err != nil {
		return nil, fmt.Errorf("known.%w", err)
	}
	if err := c.fillLimits(&in, &ex); err != nil {
		return nil, err
	}
	if c.Control != nil {
		if _, _, err := control.Network(c.Control.Listen); err != nil {
			return nil, fmt.Errorf("control.listen: %w", err)
		}
	}
	if n := c.Nodes; n != nil {
		if err := n.check(); err != nil {
			return nil, fmt.Errorf("nodes.%w", err)
		}
		if n.Zone != "" {
			if c.Policy.Home = slices.Index(c.Zones, n.Zone) + 1; c.Policy.Home == 0 {
				return nil, fmt.Errorf("nodes.zone: %q is none of settings.zones", n.Zone)
			}
			c.Policy.Far = time.Duration(cmp.Or(n.FarMS, 50)) * time.Millisecond
		}
	}
	if c.Record != nil {
		if err := c.Record.check(); err != nil {
			return nil, fmt.Errorf("record.%w", err)
		}
	}
	if c.Object != nil {
		if err := c.checkObject(&ex); err != nil {
			return nil, fmt.Errorf("object.%w", err)
		}
	}
	return c, nil
}

// fillLimits derives the limits from what the machine and the settings allow; tuning overrides single figures.
func (c *Config) fillLimits(in *file, ex *extra) error {
	m := in.Limits
	if m.Cores < 0 || m.MemoryMB < 0 || m.Sockets < 0 {
		return errors.New("limits: cores, memory_mb and sockets cannot be negative")
	}
	if m.Cores == 0 {
		m.Cores = 1
	}
	if m.MemoryMB == 0 {
		m.MemoryMB = 192
	}
	if m.Sockets == 0 {
		m.Sockets = 1024
	}
	if m.MemoryMB < 32 {
		return fmt.Errorf("limits.memory_mb: %d is under 32", m.MemoryMB)
	}
	if m.Sockets < 64 {
		return fmt.Errorf("limits.sockets: %d is under 64", m.Sockets)
	}
	const ms, s = int64(1000), int64(1000000)
	memory := m.MemoryMB << 20
	free := m.Sockets - 32 // the runtime's own, standard streams, listeners, discovery
	l := limits.Limits{
		Procs: max(int(m.Cores), 1), Memory: memory * 6 / 10, Descriptors: m.Sockets,
		ClientConns: free * 2 / 3, NodeConns: free / 3,
		MaxOpen: 4096, MaxBodies: memory / 6, MaxPipeline: 128, MaxMessage: 72 << 10, MaxArgs: 16, MaxValue: 64 << 10,
		MaxID: 64, MaxParams: 1024, ClientWrite: 5 * s, ClientFirst: 2*s + 500*ms, ClientStall: 1*s + 500*ms,
		ClientKeep: m.Sockets/3 - m.Sockets/24, // clients may hold a third: idle ones must not use that up
		ClientLull: 2 * s, ClientIdle: 10 * s, ClientLinger: 200 * ms, BusyHint: 200 * ms,
		AnswerMargin: 5 * ms, DrainAccept: 500 * ms, DrainTotal: 5*s + 500*ms,
		Connect: 250 * ms, NodeIdle: 10 * s, NodeFresh: 5 * s, NodeRest: 2 * ms, AnswerRest: 150 * ms, IdlePerNode: 16,
		ListWait: 1 * s, ListGrace: 1 * s, ListTold: 6 * s, ListPause: 100 * ms, MaxList: 4 << 20, MaxListRows: 10000,
		MaxObject: 16 << 20, MaxHead: 16 << 10, ObjectBuffer: 64 << 10, MaxParts: 10000, ObjectIdle: 60 * s,
		ObjectStall: 10 * s, MaxCompletion: 1 << 20, ReadBack: 1 * s, ReadBackPause: 100 * ms,
	}
	if v := ex.Limits.Connect; v > 0 {
		l.Connect = v / 1000
	}
	if v := ex.Limits.Keepalive; v > 0 { // well before the nodes close it
		l.NodeIdle = min(l.NodeIdle, v/1000/3)
		l.NodeFresh = min(l.NodeFresh, l.NodeIdle/2)
	}
	c.Policy.Keep = time.Duration(l.NodeFresh) * time.Microsecond
	// One discovery serves all brokers and bears some hundreds of calls a second at best. A longer wait costs no safety:
	// what a call should have told counts as told so long after its wait is over. A list without news has no lines, a
	// whole one has a line for each node, so the move of a fleet is spread further than its watches.
	hosts := int64(c.Policy.Hosts)
	l.ListWait = max(l.ListWait, hosts*s/100)
	if v := c.Policy.AskWithin.Microseconds(); v > 0 {
		l.ListWait = min(l.ListWait, max(1*s, v/2))
	}
	if c.Policy.Pushed {
		l.ListRetry = 150 * ms
	}
	l.ListSpread = min(hosts*5*ms, 1*s+500*ms) // the old address serves on for so long
	if v := ex.Limits.MaxOpen; v > 0 {
		l.MaxOpen = min(l.MaxOpen, v)
	}
	longest := int64(0)
	for _, k := range c.Policy.Classes {
		longest = max(longest, k.Deadline.Microseconds())
		l.AnswerRest = min(l.AnswerRest, k.Aim.Microseconds()/3) // so that what may run twice can go again in time
	}
	l.ClientSend = longest // by then its client has given up
	l.DrainTotal = max(l.DrainTotal, longest+500*ms)
	// The platform kills no sooner than the longest deadline, counted as 3 s where it is longer, and 0.7 s after SIGTERM.
	l.DrainAnswer = min(longest, 3*s) + 700*ms - 150*ms
	l.DrainServe = max(l.DrainAnswer-250*ms, l.DrainAccept)
	if len(in.Tuning) > 0 {
		d := json.NewDecoder(bytes.NewReader(in.Tuning))
		d.DisallowUnknownFields()
		if err := d.Decode(&l); err != nil {
			return fmt.Errorf("tuning: %w", named(err))
		}
	}
	for key, v := range map[string]int64{
		"procs": int64(l.Procs), "client_conns": int64(l.ClientConns), "node_conns": int64(l.NodeConns),
		"max_open": int64(l.MaxOpen), "max_message": int64(l.MaxMessage), "max_pipeline": int64(l.MaxPipeline),
		"max_id": int64(l.MaxID), "max_params": int64(l.MaxParams), "client_first": l.ClientFirst,
		"client_stall": l.ClientStall, "client_send": l.ClientSend, "client_lull": l.ClientLull, "client_idle": l.ClientIdle,
		"max_args": int64(l.MaxArgs), "max_value": int64(l.MaxValue), "connect": l.Connect, "node_idle": l.NodeIdle, "answer_rest": l.AnswerRest,
		"list_wait": l.ListWait, "list_grace": l.ListGrace, "list_told": l.ListTold, "client_write": l.ClientWrite,
		"max_object": l.MaxObject, "object_buffer": int64(l.ObjectBuffer), "object_stall": l.ObjectStall,
	} {
		if v <= 0 {
			return fmt.Errorf("tuning.%s: %d is not above 0", key, v)
		}
	}
	if l.ClientConns+l.NodeConns+16 > l.Descriptors {
		return fmt.Errorf("tuning.client_conns: %d with %d node_conns do not fit %d descriptors",
			l.ClientConns, l.NodeConns, l.Descriptors)
	}
	c.Limits = l
	return nil
}

// checkObject checks the object front's keys and gives defaults.
func (c *Config) checkObject(ex *extra) error {
	o := c.Object
	if err := Address(o.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if o.Shards == 0 {
		o.Shards = ex.Specifics.Shards
	}
	if o.Shards <= 0 {
		return errors.New("shards: must be above 0 (settings.specifics.n_shards is missing too)")
	}
	if o.UnitBytes == 0 {
		o.UnitBytes = 1 << 20
	}
	if o.UnitBytes < 0 {
		return fmt.Errorf("unit_bytes: %d is negative", o.UnitBytes)
	}
	for key, name := range map[string]string{"read_class": o.Read, "write_class": o.Write, "complete_class": o.Complete} {
		i := c.Class(name)
		if i < 0 {
			return fmt.Errorf("%s: settings name no class %q", key, name)
		}
		if safe := c.Policy.Classes[i].Repeat == decision.Safe; key == "read_class" && !safe {
			return fmt.Errorf("%s: class %q may not be repeated, but reads are", key, name)
		}
		if unsafe := c.Policy.Classes[i].Repeat == decision.Unsafe; key == "complete_class" && !unsafe {
			return fmt.Errorf("%s: class %q may run twice, but completions must not", key, name)
		}
	}
	if c.Plan(o.Plan) < 0 {
		return fmt.Errorf("default_plan: settings name no plan %q", o.Plan)
	}
	for bucket, plan := range o.Buckets {
		if c.Plan(plan) < 0 {
			return fmt.Errorf("buckets.%s: settings name no plan %q", bucket, plan)
		}
	}
	return nil
}

// Class is the number of a class, or -1.
func (c *Config) Class(name string) int {
	for i, k := range c.Policy.Classes {
		if k.Name == name {
			return i
		}
	}
	return -1
}

// Plan is the number of a plan, or -1.
func (c *Config) Plan(name string) int {
	for i, p := range c.Policy.Plans {
		if p.Name == name {
			return i
		}
	}
	return -1
}

// Address checks HOST:PORT.
func Address(s string) error {
	if s == "" {
		return errors.New("missing")
	}
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return fmt.Errorf("%q is not HOST:PORT", s)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n > 65535 {
		return fmt.Errorf("%q has no numeric port", s)
	}
	return nil
}

// named makes encoding/json's errors name the key.
func named(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return fmt.Errorf("%s: cannot be a %s", te.Field, te.Value)
	}
	return err
}
