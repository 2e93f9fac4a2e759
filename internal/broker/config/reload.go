package config

import (
	"encoding/json"
	"maps"
	"slices"
)

// Keys that Reload does not name as waiting for a restart.
var (
	reloadedKeys  = []string{"discovery", "log"}
	startOnlyKeys = []string{"seed", "known"} // they describe a start and mean nothing later
)

// Reload reads the configuration again for a broker that runs with c. A running broker applies discovery and log: next is c
// with these two. needRestart names the other keys that have changed. An invalid file is an error, and c stays as it is.
//
// At the start LB_DISCOVERY overrides the file. An address that has changed in the file since the start, or since the last
// reload, is newer than the environment and so overrides it.
func (c *Config) Reload(getenv func(string) string) (next *Config, needRestart []string, err error) {
	loaded, err := Load(getenv)
	if err != nil {
		return nil, nil, err
	}
	reloaded := *c
	reloaded.LogLevel = loaded.LogLevel
	if addr := loaded.source.discoveryAddr; addr != "" && addr != c.source.discoveryAddr {
		reloaded.DiscoveryAddr = addr
		reloaded.source.discoveryAddr = addr
	}
	return &reloaded, c.needRestart(loaded), nil
}

// needRestart returns, sorted, the keys that differ in a newer configuration and only take effect at a start.
func (c *Config) needRestart(newer *Config) []string {
	keys := map[string]bool{}
	for _, m := range []map[string]string{c.source.keys, newer.source.keys} {
		for key := range m {
			ignored := slices.Contains(reloadedKeys, key) || slices.Contains(startOnlyKeys, key)
			if !ignored && c.source.keys[key] != newer.source.keys[key] {
				keys[key] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(keys))
}

// keys returns the text of each key of a JSON object, in a canonical form whatever its spaces and the order of members.
func keys(text []byte) (map[string]string, error) {
	var doc map[string]any
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, jsonError(err)
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
