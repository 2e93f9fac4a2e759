package spec

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
)

// Lengths of digests, in bytes before the hexadecimal encoding.
const (
	startDigestBytes  = 8
	configDigestBytes = 16
)

// StartSettings are the settings that an instance's process is started with. Changing them requires a restart.
type StartSettings struct {
	Config       string  `json:"config"` // digest of the text that the instance's configuration is composed from
	Listen       string  `json:"listen,omitempty"`
	ObjectListen string  `json:"object_listen,omitempty"`
	Cores        float64 `json:"cores,omitempty"`
	MemoryMB     int     `json:"memory_mb,omitempty"`
	Sockets      int     `json:"sockets,omitempty"`
}

// Digest identifies the start settings, so that a process can report which ones it was started with.
func (s StartSettings) Digest() string {
	b, _ := json.Marshal(s) // cannot fail for a struct of finite numbers and strings
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:startDigestBytes])
}

// ConfigDigest identifies a configuration text.
func ConfigDigest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:configDigestBytes])
}

// LiveSettings are the settings that a running instance applies without a restart. For a zero value the value in the
// configuration applies.
type LiveSettings struct {
	LogLevel    string `json:"log,omitempty"`
	Discovery   string `json:"discovery,omitempty"`
	MaxInFlight int    `json:"max_open,omitempty"`
}

// Instance is the desired state of one broker. Once it is part of a Spec it may be shared and must not be modified.
type Instance struct {
	Name    string            `json:"name"`
	Agent   string            `json:"agent"`            // name of the agent that runs it
	Domain  string            `json:"domain,omitempty"` // failure domain; if empty, its agent is the failure domain
	Groups  []string          `json:"groups,omitempty"`
	Labels  map[string]string `json:"labels,omitempty"`
	Enabled bool              `json:"enabled"`
	Start   StartSettings     `json:"start"`
	Live    LiveSettings      `json:"live"`
}

// FailureDomain returns the name of the instance's failure domain: instances with the same name may fail together.
func (i *Instance) FailureDomain() string {
	if i.Domain != "" {
		return i.Domain
	}
	return i.Agent
}

// Equal reports whether two desired states are the same. A nil instance is not desired, and equals only nil.
func (i *Instance) Equal(o *Instance) bool {
	if i == nil || o == nil {
		return i == o
	}
	if i == o {
		return true
	}
	return i.Name == o.Name &&
		i.Agent == o.Agent &&
		i.Domain == o.Domain &&
		i.Enabled == o.Enabled &&
		i.Start == o.Start &&
		i.Live == o.Live &&
		slices.Equal(i.Groups, o.Groups) &&
		maps.Equal(i.Labels, o.Labels)
}

// NeedsRestart reports whether the change from old to i starts, stops or restarts the process.
func (i *Instance) NeedsRestart(old *Instance) bool {
	if i == nil || old == nil {
		return i != old
	}
	return i.Agent != old.Agent || i.Enabled != old.Enabled || i.Enabled && i.Start != old.Start
}
