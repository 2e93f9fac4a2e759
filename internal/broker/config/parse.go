package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/broker/settings"
	"poppyarch/internal/nodes/discovery"
	"poppyarch/policy"
)

const (
	maxFileBytes = 16 << 20

	defaultName          = "broker"
	defaultLogLevel      = "info"
	defaultMaxRetryAfter = 2 * time.Second
)

// file is the JSON object of the configuration file.
type file struct {
	Name      string           `json:"name"`
	Listen    string           `json:"listen"`
	Discovery string           `json:"discovery"`
	Seed      string           `json:"seed"` // up to 16 hexadecimal digits
	Limits    machineSize      `json:"limits"`
	Known     *discovery.List  `json:"known"`
	Settings  json.RawMessage  `json:"settings"`
	Object    *ObjectFrontend  `json:"object"`
	Control   *ControlEndpoint `json:"control"`
	Record    *Recording       `json:"record"`
	Nodes     *NodeFiles       `json:"nodes"`
	Log       string           `json:"log"`
	Tuning    json.RawMessage  `json:"tuning"` // overrides of limits.Limits, by JSON name
}

// machineSize is the part of the machine that the broker may use.
type machineSize struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// connectionSettings is the part of the settings that the decision module does not use.
type connectionSettings struct {
	Zones  []string `json:"zones"`
	Limits struct {
		ConnectTimeout   int64 `json:"connect_timeout_ns"`
		KeepAliveTimeout int64 `json:"keepalive_ns"`
		MaxInFlight      int   `json:"max_open"`
	} `json:"limits"`
	Specifics struct {
		Shards int `json:"n_shards"`
	} `json:"specifics"`
}

// Load reads the configuration file that LB_CONFIG names. LB_NAME, LB_LISTEN and LB_DISCOVERY override its keys.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG: not set; it must name the configuration file")
	}
	text, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	cfg, err := Parse(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("%s is over %d bytes", path, maxFileBytes)
	}
	return text, nil
}

// Parse validates the text of a configuration file and fills in defaults. getenv returns the environment variables that
// override its keys.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	var in file
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, jsonError(err)
	}
	keys, err := keys(text)
	if err != nil {
		return nil, err
	}
	c := &Config{
		Name:          cmp.Or(getenv("LB_NAME"), in.Name, defaultName),
		Listen:        cmp.Or(getenv("LB_LISTEN"), in.Listen),
		DiscoveryAddr: cmp.Or(getenv("LB_DISCOVERY"), in.Discovery),
		InitialList:   discovery.List{Revision: discovery.NoRevision},
		Object:        in.Object,
		Control:       in.Control,
		Record:        in.Record,
		Nodes:         in.Nodes,
		LogLevel:      cmp.Or(in.Log, defaultLogLevel),
		source:        source{discoveryAddr: in.Discovery, keys: keys},
	}
	if in.Known != nil {
		c.InitialList = *in.Known
	}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if err := c.checkLogLevel(); err != nil {
		return nil, err
	}
	if err := c.setSeed(in.Seed); err != nil {
		return nil, err
	}
	connections, err := c.setPolicy(in.Settings)
	if err != nil {
		return nil, err
	}
	if _, err := c.InitialList.Nodes(c.Zones); err != nil {
		return nil, fmt.Errorf("known.%w", err)
	}
	if err := c.setLimits(&in, connections); err != nil {
		return nil, err
	}
	if err := c.checkSections(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) checkAddresses() error {
	if c.Listen == "" && c.Object == nil {
		return keyErrorf("listen", "%w (and the object frontend is not configured)", ErrMissing)
	}
	if c.Listen != "" {
		if err := CheckAddress(c.Listen); err != nil {
			return &KeyError{Key: "listen", Err: err}
		}
	}
	if err := CheckAddress(c.DiscoveryAddr); err != nil {
		return &KeyError{Key: "discovery", Err: err}
	}
	if c.source.discoveryAddr != "" { // a reload may switch to it even if LB_DISCOVERY is set
		if err := CheckAddress(c.source.discoveryAddr); err != nil {
			return &KeyError{Key: "discovery", Err: err}
		}
	}
	return nil
}

func (c *Config) checkLogLevel() error {
	switch c.LogLevel {
	case "debug", "info", "warn", "error":
		return nil
	}
	return keyErrorf("log", "%q is none of debug, info, warn, error", c.LogLevel)
}

// setSeed sets the seed of the random decisions. If the file has none, it is taken from the clock at each start.
func (c *Config) setSeed(text string) error {
	if text == "" {
		c.Seed = uint64(time.Now().UnixNano())
		return nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return keyErrorf("seed", "%q is not a number of 1 to 16 hexadecimal digits", text)
	}
	c.Seed = seed
	return nil
}

// setPolicy sets the fields that depend on the settings object alone.
func (c *Config) setPolicy(text json.RawMessage) (*connectionSettings, error) {
	if len(text) == 0 {
		return nil, &KeyError{Key: "settings", Err: ErrMissing}
	}
	var err error
	if c.Policy, err = settings.Parse(string(text), c.Seed); err != nil {
		return nil, err
	}
	// The settings say whether clients in the simulator get a Retry-After. Clients of a broker always may.
	c.Policy.SendsRetryAfter = true
	c.Policy.MaxRetryAfter = cmp.Or(c.Policy.MaxRetryAfter, defaultMaxRetryAfter)
	// A broker always reads its endpoint list with a watch. If the settings say that lists are pushed, a local
	// discovery agent serves the watch, and the list that this agent has counts as known to the broker even while no
	// watch is open.
	if !c.Policy.PollsEndpoints {
		c.Policy.PollsEndpoints = true
		c.Policy.LocalDiscoveryAgent = true
	}
	if _, err := policy.New(c.Policy); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var connections connectionSettings
	if err := json.Unmarshal(text, &connections); err != nil {
		return nil, fmt.Errorf("settings: %w", jsonError(err))
	}
	c.Zones = connections.Zones
	c.Shards = connections.Specifics.Shards
	return &connections, nil
}

// checkSections validates the optional objects of the file and fills in their defaults.
func (c *Config) checkSections() error {
	if c.Control != nil {
		if _, _, err := control.ParseAddress(c.Control.Listen); err != nil {
			return &KeyError{Key: "control.listen", Err: err}
		}
	}
	if c.Nodes != nil {
		if err := c.Nodes.check(); err != nil {
			return prefixKey("nodes", err)
		}
		if err := c.setLocalZone(); err != nil {
			return prefixKey("nodes", err)
		}
	}
	if c.Record != nil {
		if err := c.Record.check(); err != nil {
			return prefixKey("record", err)
		}
	}
	if c.Object != nil {
		if err := c.checkObject(); err != nil {
			return prefixKey("object", err)
		}
	}
	return nil
}

// setLocalZone makes the policy prefer nodes of the broker's own zone.
func (c *Config) setLocalZone() error {
	zone := c.Nodes.LocalZone
	if zone == "" {
		return nil
	}
	i := slices.Index(c.Zones, zone)
	if i < 0 {
		return keyErrorf("zone", "%q is not in settings.zones", zone)
	}
	c.Policy.LocalZone = i + 1
	penalty := cmp.Or(c.Nodes.RemoteZonePenaltyMS, defaultRemoteZonePenaltyMS)
	c.Policy.RemoteZonePenalty = time.Duration(penalty) * time.Millisecond
	return nil
}
