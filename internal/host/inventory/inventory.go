// Package inventory reads the list of broker instances that an agent runs, in CSV or YAML. Faults in an inventory are
// reported as Error.
package inventory

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// value is the text of a setting and its line in the file.
type value struct {
	text string
	line int
}

// host is an instance whose settings have not been checked yet.
type host struct {
	name     string
	line     int
	settings map[string]value
	groups   []string
}

// Load reads an inventory file. The file's extension selects the format. The instances are sorted by name.
func Load(path string) ([]Instance, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads the text of an inventory. Relative paths in it are relative to the directory of path.
func Parse(path string, text []byte) ([]Instance, error) {
	hosts, err := parseHosts(path, text)
	if err != nil {
		return nil, err
	}
	if len(hosts) == 0 {
		return nil, &Error{File: path, Err: ErrNoInstances}
	}
	slices.SortFunc(hosts, func(a, b host) int { return cmp.Compare(a.name, b.name) })
	owners := addressOwners{}
	out := make([]Instance, 0, len(hosts))
	for _, h := range hosts {
		instance, err := h.instance(path)
		if err != nil {
			return nil, err
		}
		if err := owners.claim(path, &h, instance.Agent); err != nil {
			return nil, err
		}
		out = append(out, instance)
	}
	return out, nil
}

func parseHosts(path string, text []byte) ([]host, error) {
	switch strings.ToLower(filepath.Ext(path)) {
	case ".csv":
		return parseCSV(path, text)
	case ".yaml", ".yml":
		return parseYAML(path, text)
	default:
		return nil, &Error{File: path, Err: ErrUnknownFormat}
	}
}

// instance checks a host's settings and returns the instance that they describe.
func (h *host) instance(path string) (Instance, error) {
	in := Instance{Name: h.name, Enabled: true, Groups: strings.Join(h.groups, ",")}
	if !validName(h.name) {
		return in, &Error{File: path, Line: h.line, Key: h.name, Err: ErrInvalidName}
	}
	for _, key := range sortedKeys(h.settings) {
		v := h.settings[key]
		if err := setters[key](&in, v.text); err != nil {
			return in, &Error{File: path, Line: v.line, Key: h.name + "." + key, Err: err}
		}
	}
	if in.Config == "" {
		return in, &Error{File: path, Line: h.line, Key: h.name + ".config", Err: ErrMissing}
	}
	if in.Listen == "" && in.ObjectListen == "" {
		err := fmt.Errorf("%w (and so is object_listen)", ErrMissing)
		return in, &Error{File: path, Line: h.line, Key: h.name + ".listen", Err: err}
	}
	if !filepath.IsAbs(in.Config) {
		in.Config = filepath.Join(filepath.Dir(path), in.Config)
	}
	return in, nil
}

// listenAddress is an address on the machine of an agent. The agent is part of it, since instances on different
// machines may listen on the same loopback address.
type listenAddress struct {
	agent string
	addr  string
}

// addressOwners maps each address to the name of the instance that listens on it.
type addressOwners map[listenAddress]string

// claim records a host's addresses. It returns an error if an address is already recorded.
func (o addressOwners) claim(path string, h *host, agent string) error {
	for _, key := range []string{"listen", "object_listen"} {
		v := h.settings[key]
		if v.text == "" {
			continue
		}
		addr := listenAddress{agent: agent, addr: v.text}
		if owner, taken := o[addr]; taken {
			err := fmt.Errorf("address %s is already used by %s", v.text, owner)
			return &Error{File: path, Line: v.line, Key: h.name + "." + key, Err: err}
		}
		o[addr] = h.name
	}
	return nil
}
