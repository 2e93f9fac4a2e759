// Package config is the one place where the broker's configuration is read, checked and given defaults. Every
// error names the faulty key.
package config

import (
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

	"poppyarch/internal/broker/control"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/broker/settings"
	"poppyarch/internal/nodes/discovery"
	"poppyarch/policy"
)

// Config is a checked configuration.
type Config struct {
	Name          string
	Listen        string // of the platform's protocol; empty: that front is off
	DiscoveryAddr string
	Seed          uint64
	InitialList   discovery.List
	Policy        decision.Config
	Zones         []string
	Shards        int // 0: not told
	Limits        limits.Limits
	Object        *Object    // nil: the object front is off
	Control       *Control   // nil: there is no control endpoint
	Record        *Record    // nil: nothing is recorded
	Nodes         *NodeFiles // nil: the node list is discovery's alone
	LogLevel      string

	fileDiscovery string            // as the file has it, whatever LB_DISCOVERY says
	keys          map[string]string // the file's text by key
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
	Nodes    *NodeFiles      `json:"nodes"`
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
	c := &Config{Name: in.Name, Listen: in.Listen, DiscoveryAddr: in.Discovery, InitialList: discovery.List{Revision: discovery.NoRevision}, Object: in.Object, Control: in.Control, Record: in.Record, Nodes: in.Nodes,
		LogLevel: in.Log, fileDiscovery: fileDiscovery}
	var err error
	if c.keys, err = keys(text); err != nil {
		return nil, err
	}
	if c.Name == "" {
		c.Name = "broker"
	}
	if in.Known != nil {
		c.InitialList = *in.Known
	}
	if c.Listen == "" && c.Object == nil {
		return nil, errors.New("listen: missing (and no object front is set up)")
	}
	for key, v := range map[string]string{"listen": c.Listen, "discovery": c.DiscoveryAddr} {
		if v == "" && key == "listen" {
			continue
		}
		if err := CheckAddress(v); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
	}
	if v := c.fileDiscovery; v != "" { // a reload may turn to it, whatever LB_DISCOVERY said at the start
		if err := CheckAddress(v); err != nil {
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
	c.Policy.SendsRetryAfter = true
	if c.Policy.MaxRetryAfter == 0 {
		c.Policy.MaxRetryAfter = 2 * time.Second
	}
	// Over sockets lists come on a watch that the broker has opened, also where the settings say that they are pushed: then
	// an agent of this broker's own has them, and what it has counts as told whether or not a watch is open.
	if !c.Policy.PollsEndpoints {
		c.Policy.PollsEndpoints, c.Policy.LocalDiscoveryAgent = true, true
	}
	if _, err := policy.New(c.Policy); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var ex extra
	if err := json.Unmarshal(in.Settings, &ex); err != nil {
		return nil, fmt.Errorf("settings: %w", named(err))
	}
	c.Zones, c.Shards = ex.Zones, ex.Specifics.Shards
	if _, err := c.InitialList.Nodes(c.Zones); err != nil {
		return nil, fmt.Errorf("known.%w", err)
	}
	if err := c.fillLimits(&in, &ex); err != nil {
		return nil, err
	}
	if c.Control != nil {
		if _, _, err := control.ParseAddress(c.Control.Listen); err != nil {
			return nil, fmt.Errorf("control.listen: %w", err)
		}
	}
	if n := c.Nodes; n != nil {
		if err := n.check(); err != nil {
			return nil, fmt.Errorf("nodes.%w", err)
		}
		if n.LocalZone != "" {
			if c.Policy.LocalZone = slices.Index(c.Zones, n.LocalZone) + 1; c.Policy.LocalZone == 0 {
				return nil, fmt.Errorf("nodes.zone: %q is none of settings.zones", n.LocalZone)
			}
			c.Policy.RemoteZonePenalty = time.Duration(cmp.Or(n.RemoteZonePenaltyMS, 50)) * time.Millisecond
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

// ClassIndex is the number of a class, or -1.
func (c *Config) ClassIndex(name string) int {
	for i, k := range c.Policy.Classes {
		if k.Name == name {
			return i
		}
	}
	return -1
}

// PlanIndex is the number of a plan, or -1.
func (c *Config) PlanIndex(name string) int {
	for i, p := range c.Policy.Plans {
		if p.Name == name {
			return i
		}
	}
	return -1
}

// CheckAddress checks HOST:PORT.
func CheckAddress(s string) error {
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
