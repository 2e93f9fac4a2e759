// Package inventory reads the list of broker instances that an agent runs, in CSV or YAML.
package inventory

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
)

// Instance is one broker as the inventory wants it.
type Instance struct {
	Name         string  `json:"name"`
	Config       string  `json:"config"` // the configuration that the instance's own is made from
	Listen       string  `json:"listen,omitempty"`
	ObjectListen string  `json:"object_listen,omitempty"`
	Discovery    string  `json:"discovery,omitempty"`
	Log          string  `json:"log,omitempty"`
	Cores        float64 `json:"cores,omitempty"`
	MemoryMB     int     `json:"memory_mb,omitempty"`
	Sockets      int     `json:"sockets,omitempty"`
	Enabled      bool    `json:"enabled"`

	// For a fleet; a single agent does without.
	Agent         string `json:"agent,omitempty"`    // who runs it
	FailureDomain string `json:"domain,omitempty"`   // what fails together
	Labels        string `json:"labels,omitempty"`   // KEY=VALUE, separated by commas
	Groups        string `json:"groups,omitempty"`   // of a YAML inventory, separated by commas
	MaxInFlight   int    `json:"max_open,omitempty"` // requests taken and not answered
}

// WithoutFleetFields is the instance without what only a fleet's manager looks at.
func (i Instance) WithoutFleetFields() Instance {
	i.Agent, i.FailureDomain, i.Labels, i.Groups, i.MaxInFlight = "", "", "", "", 0
	return i
}

// value is a setting with the line that set it.
type value struct {
	text string
	line int
}

// host is an instance before its settings are checked.
type host struct {
	name   string
	line   int
	vars   map[string]value
	groups []string
}

// Error names the file, line and key of what is wrong.
type Error struct {
	File   string
	Line   int
	Key    string
	Reason string
}

func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		at += ": " + e.Key
	}
	return at + ": " + e.Reason
}

// Load reads an inventory; the file's ending tells its form. The instances come sorted by name.
func Load(path string) ([]Instance, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads the text of an inventory. Relative paths in it count from its folder.
func Parse(path string, text []byte) ([]Instance, error) {
	var hosts []host
	var err error
	switch strings.ToLower(filepath.Ext(path)) {
	case ".csv":
		hosts, err = parseCSV(path, text)
	case ".yaml", ".yml":
		hosts, err = parseYAML(path, text)
	default:
		return nil, &Error{File: path, Reason: "an inventory ends in .csv, .yaml or .yml"}
	}
	if err != nil {
		return nil, err
	}
	if len(hosts) == 0 {
		return nil, &Error{File: path, Reason: "no instances"}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].name < hosts[j].name })
	listens := map[string]string{}
	var out []Instance
	for _, h := range hosts {
		in, err := h.instance(path)
		if err != nil {
			return nil, err
		}
		for _, key := range []string{"listen", "object_listen"} {
			v, ok := h.vars[key]
			if !ok || v.text == "" {
				continue
			}
			where := in.Agent + " " + v.text // machines may each have the same loopback addresses
			if other := listens[where]; other != "" {
				return nil, &Error{path, v.line, h.name + "." + key, "address " + v.text + " is also " + other + "'s"}
			}
			listens[where] = h.name
		}
		out = append(out, in)
	}
	return out, nil
}

// setters take one setting each; a key that is not here is unknown.
var setters = map[string]func(*Instance, string) error{
	"config":        func(i *Instance, s string) error { i.Config = s; return nil },
	"listen":        func(i *Instance, s string) error { i.Listen = s; return address(s) },
	"object_listen": func(i *Instance, s string) error { i.ObjectListen = s; return address(s) },
	"discovery":     func(i *Instance, s string) error { i.Discovery = s; return address(s) },
	"log": func(i *Instance, s string) error {
		i.Log = s
		switch s {
		case "debug", "info", "warn", "error":
			return nil
		}
		return fmt.Errorf("%q is none of debug, info, warn, error", s)
	},
	"cores": func(i *Instance, s string) (err error) {
		if i.Cores, err = strconv.ParseFloat(s, 64); err != nil || i.Cores <= 0 || i.Cores > 1024 {
			return fmt.Errorf("%q is not a number above 0", s)
		}
		return nil
	},
	"agent":     func(i *Instance, s string) error { i.Agent = s; return plainName(s) },
	"domain":    func(i *Instance, s string) error { i.FailureDomain = s; return plainName(s) },
	"labels":    func(i *Instance, s string) error { i.Labels = s; _, err := ParseLabels(s); return err },
	"max_open":  func(i *Instance, s string) error { return whole(s, &i.MaxInFlight) },
	"memory_mb": func(i *Instance, s string) error { return whole(s, &i.MemoryMB) },
	"sockets":   func(i *Instance, s string) error { return whole(s, &i.Sockets) },
	"enabled": func(i *Instance, s string) (err error) {
		if i.Enabled, err = strconv.ParseBool(s); err != nil {
			return fmt.Errorf("%q is neither true nor false", s)
		}
		return nil
	},
}

func plainName(s string) error {
	if !validName(s) {
		return fmt.Errorf("%q is not a name of up to 64 letters, digits, '-', '_' and '.'", s)
	}
	return nil
}

// ParseLabels reads KEY=VALUE, separated by commas.
func ParseLabels(s string) (map[string]string, error) {
	out := map[string]string{}
	for _, part := range strings.Split(s, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		key, v, ok := strings.Cut(part, "=")
		if !ok || !validName(key) {
			return nil, fmt.Errorf("%q is not KEY=VALUE", part)
		}
		if _, twice := out[key]; twice {
			return nil, fmt.Errorf("label %s is given twice", key)
		}
		out[key] = v
	}
	return out, nil
}

func whole(s string, to *int) (err error) {
	if *to, err = strconv.Atoi(s); err != nil || *to <= 0 {
		return fmt.Errorf("%q is not a whole number above 0", s)
	}
	return nil
}

func address(s string) error {
	if _, port, err := net.SplitHostPort(s); err != nil {
		return fmt.Errorf("%q is not HOST:PORT", s)
	} else if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q has no numeric port", s)
	}
	return nil
}

// known reports an unknown key where it stands.
func known(path string, line int, at, key string) error {
	if _, ok := setters[key]; !ok {
		return &Error{path, line, at + key, "unknown key"}
	}
	return nil
}

// validName keeps names fit for file names and commands.
func validName(s string) bool {
	for i, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && (i == 0 || !strings.ContainsRune("-_.", r)) {
			return false
		}
	}
	return s != "" && len(s) <= 64
}

// instance checks a host's settings.
func (h *host) instance(path string) (Instance, error) {
	in := Instance{Name: h.name, Enabled: true, Groups: strings.Join(h.groups, ",")}
	if !validName(h.name) {
		return in, &Error{path, h.line, h.name, "a name is up to 64 letters, digits, '-', '_' and '.'"}
	}
	keys := make([]string, 0, len(h.vars))
	for key := range h.vars {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		v := h.vars[key]
		if err := setters[key](&in, v.text); err != nil {
			return in, &Error{path, v.line, h.name + "." + key, err.Error()}
		}
	}
	if in.Config == "" {
		return in, &Error{path, h.line, h.name + ".config", "missing"}
	}
	if in.Listen == "" && in.ObjectListen == "" {
		return in, &Error{path, h.line, h.name + ".listen", "missing (and so is object_listen)"}
	}
	if !filepath.IsAbs(in.Config) {
		in.Config = filepath.Join(filepath.Dir(path), in.Config)
	}
	return in, nil
}
