package config

import (
	"encoding/json"
	"maps"
	"slices"
)

// Keys whose changes Reload does not report as needing a restart.
var (
	reloadedKeys  = []string{"discovery", "log"}
	startOnlyKeys = []string{"seed", "known"} // they describe a start and are not used afterwards
)

// Reload reads the configuration again for a broker that runs with c. Only discovery and log can change in a running
// broker: next is c with the new values of these two. needRestart names the other keys that have changed. An invalid
// file is an error, and c is not changed.
//
// At the start LB_DISCOVERY overrides the file. An address that has changed in the file since the start or the last
// reload is newer than the environment variable and therefore overrides it.
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

// needRestart returns, sorted, the keys that differ in a newer configuration and take effect only at a start.
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

// keys returns the JSON of each value of an object in canonical form, independent of white space and the order of
// members.
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
