package config

import (
	"encoding/json"
	"slices"
)

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
		now.DiscoveryAddr, now.fileDiscovery = f, f
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
