// Package settings reads a fleet's configuration file in TOML: the settings of its manager and agents, those of the
// command line, and the strategy of rollouts. Errors name file, line and key.
package settings

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/tomlerror"
)

// Duration is a duration in TOML, such as "5s" or "100ms".
type Duration time.Duration

// fromMicros converts microseconds to a duration.
func fromMicros(m clock.Micros) Duration { return Duration(clock.Duration(m)) }

// UnmarshalText parses a duration, which must not be negative.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"5s\"", b)
	}
	if v < 0 {
		return fmt.Errorf("%q is negative", b)
	}
	*d = Duration(v)
	return nil
}

// Micros returns the duration in microseconds.
func (d Duration) Micros() clock.Micros { return clock.FromDuration(time.Duration(d)) }

// File is the content of a settings file. Every setting has a default, and each command uses only some of the sections.
type File struct {
	Manager  Manager  `toml:"manager"`
	Agent    Agent    `toml:"agent"`
	Fleet    Fleet    `toml:"fleet"`
	Strategy Strategy `toml:"strategy"`
}

// Manager has the settings of the manager.
type Manager struct {
	Listen       string   `toml:"listen"`        // unix:PATH or HOST:PORT
	JournalDir   string   `toml:"journal"`       // folder of the manager's journal
	AgentTimeout Duration `toml:"silence"`       // time without a call after which an agent counts as silent
	MaxRevisions int      `toml:"revisions"`     // number of revisions kept for rollback
	AcceptDamage bool     `toml:"accept_damage"` // start even if records of the journal have been lost
}

// Agent has the settings of an agent.
type Agent struct {
	Name           string   `toml:"name"`
	Manager        string   `toml:"manager"`   // address that the manager listens on
	JournalDir     string   `toml:"journal"`   // folder of the agent's journal
	RunDir         string   `toml:"run_dir"`   // folder of the brokers' configurations, sockets and logs
	DrainTimeout   Duration `toml:"drain"`     // time between SIGTERM and SIGKILL
	PollInterval   Duration `toml:"look"`      // time between polls of a broker
	AcceptNewFleet bool     `toml:"new_fleet"` // accept a manager of another fleet, or one that has lost history
}

// Fleet has the settings of the command line.
type Fleet struct {
	Manager      string `toml:"manager"`
	Inventory    string `toml:"inventory"`
	DefaultAgent string `toml:"agent"` // agent of instances for which the inventory names none
}

// Strategy has the settings of rollouts; see state.Strategy.
type Strategy struct {
	Canary           int                  `toml:"canary"`
	Batch            state.CountOrPercent `toml:"batch"`
	MaxUnavailable   state.CountOrPercent `toml:"max_unavailable"`
	OneDomainPerWave bool                 `toml:"by_domain"`
	SoakTime         Duration             `toml:"soak"`
	ProgressDeadline Duration             `toml:"deadline"`
	FailureBudget    state.CountOrPercent `toml:"failure_budget"`
	OnFailure        string               `toml:"on_failure"`
	Overlap          string               `toml:"overlap"`
}

// RolloutStrategy converts the settings to the strategy that package state uses.
func (s Strategy) RolloutStrategy() state.Strategy {
	return state.Strategy{
		Canary:           s.Canary,
		Batch:            s.Batch,
		MaxUnavailable:   s.MaxUnavailable,
		OneDomainPerWave: s.OneDomainPerWave,
		SoakTime:         s.SoakTime.Micros(),
		ProgressDeadline: s.ProgressDeadline.Micros(),
		FailureBudget:    s.FailureBudget,
		OnFailure:        s.OnFailure,
		Overlap:          s.Overlap,
	}
}

// Defaults for addresses, names and times.
const (
	defaultListen       = "127.0.0.1:7700"
	defaultAgent        = "local"
	defaultDrainTimeout = 15 * time.Second
	defaultPollInterval = time.Second
)

// Default returns the default settings. Journals and sockets are in dir.
func Default(dir string) File {
	limits := state.DefaultLimits()
	return File{
		Manager: Manager{
			Listen:       defaultListen,
			JournalDir:   filepath.Join(dir, "manager"),
			AgentTimeout: fromMicros(limits.AgentTimeout),
			MaxRevisions: limits.MaxRevisions,
		},
		Agent: Agent{
			Name:         defaultAgent,
			Manager:      defaultListen,
			JournalDir:   filepath.Join(dir, "agent"),
			RunDir:       dir,
			DrainTimeout: Duration(defaultDrainTimeout),
			PollInterval: Duration(defaultPollInterval),
		},
		Fleet: Fleet{
			Manager:      defaultListen,
			DefaultAgent: defaultAgent,
		},
		Strategy: defaultStrategy(),
	}
}

func defaultStrategy() Strategy {
	d := state.DefaultStrategy()
	return Strategy{
		Canary:           d.Canary,
		Batch:            d.Batch,
		MaxUnavailable:   d.MaxUnavailable,
		OneDomainPerWave: d.OneDomainPerWave,
		SoakTime:         fromMicros(d.SoakTime),
		ProgressDeadline: fromMicros(d.ProgressDeadline),
		FailureBudget:    d.FailureBudget,
		OnFailure:        d.OnFailure,
		Overlap:          d.Overlap,
	}
}

// Load reads a settings file. Settings that it does not contain have their defaults, and relative paths in it are
// relative to its folder. If path is empty, Load returns the defaults. The error for an invalid value is or wraps a
// *spec.FieldError.
func Load(path, dir string) (File, error) {
	f := Default(dir)
	if path == "" {
		return f, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return f, tomlerror.Wrap(path, err)
	}
	base := filepath.Dir(path)
	for _, p := range []*string{&f.Manager.JournalDir, &f.Agent.JournalDir, &f.Agent.RunDir, &f.Fleet.Inventory} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(base, *p)
		}
	}
	if err := f.validate(); err != nil {
		return f, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

func (f *File) validate() error {
	for _, address := range []struct{ key, value string }{
		{"manager.listen", f.Manager.Listen},
		{"agent.manager", f.Agent.Manager},
		{"fleet.manager", f.Fleet.Manager},
	} {
		if !validAddress(address.value) {
			return fieldErrorf(address.key, "%q is neither unix:PATH nor HOST:PORT", address.value)
		}
	}
	switch {
	case f.Manager.AgentTimeout <= 0:
		return fieldErrorf("manager.silence", "%v is not above 0", time.Duration(f.Manager.AgentTimeout))
	case f.Manager.MaxRevisions < 2:
		return fieldErrorf("manager.revisions", "%d is less than 2", f.Manager.MaxRevisions)
	case f.Agent.Name == "":
		return fieldErrorf("agent.name", "missing")
	case f.Agent.DrainTimeout <= 0 || f.Agent.PollInterval <= 0:
		return fieldErrorf("agent.drain and agent.look", "%v and %v must both be above 0",
			time.Duration(f.Agent.DrainTimeout), time.Duration(f.Agent.PollInterval))
	}
	strategy := f.Strategy.RolloutStrategy()
	if err := strategy.Validate(); err != nil {
		return fmt.Errorf("strategy.%w", err)
	}
	return nil
}

// validAddress reports whether an address has the form unix:PATH or HOST:PORT.
func validAddress(address string) bool {
	if path, isUnix := strings.CutPrefix(address, "unix:"); isUnix && path != "" {
		return true
	}
	_, _, err := net.SplitHostPort(address)
	return err == nil
}

func fieldErrorf(field, format string, args ...any) error {
	return &spec.FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}
