// Package settings reads a fleet's configuration file in TOML: how its manager and agents are set up, where the
// command line finds the manager, and how revisions roll out. Errors name file, line and key.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"poppyarch/internal/fleet/state"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/tomlerror"
)

// Duration is a time in TOML, such as "5s" or "100ms".
type Duration time.Duration

// UnmarshalText reads one; it may not be negative.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is no duration such as \"5s\"", b)
	}
	if v < 0 {
		return fmt.Errorf("%q is negative", b)
	}
	*d = Duration(v)
	return nil
}

// Micros is the duration in microseconds.
func (d Duration) Micros() clock.Micros { return clock.FromDuration(time.Duration(d)) }

// File is the whole of it. All parts have defaults; each command uses its own.
type File struct {
	Manager  Manager  `toml:"manager"`
	Agent    Agent    `toml:"agent"`
	Fleet    Fleet    `toml:"fleet"`
	Strategy Strategy `toml:"strategy"`
}

// Manager sets the manager up.
type Manager struct {
	Listen       string   `toml:"listen"`        // unix:PATH or HOST:PORT
	JournalDir   string   `toml:"journal"`       // its folder
	AgentTimeout Duration `toml:"silence"`       // an agent not heard of for so long is silent
	MaxRevisions int      `toml:"revisions"`     // kept for rollback
	AcceptDamage bool     `toml:"accept_damage"` // start though records of the journal are lost
}

// Agent sets an agent up.
type Agent struct {
	Name           string   `toml:"name"`
	Manager        string   `toml:"manager"`   // where the manager listens
	JournalDir     string   `toml:"journal"`   // its folder
	RunDir         string   `toml:"run_dir"`   // the brokers' configurations, sockets and logs
	DrainTimeout   Duration `toml:"drain"`     // from SIGTERM to SIGKILL
	PollInterval   Duration `toml:"look"`      // between two looks at a broker
	AcceptNewFleet bool     `toml:"new_fleet"` // follow another manager than before, or one that has lost history
}

// Fleet is for the command line.
type Fleet struct {
	Manager      string `toml:"manager"`
	Inventory    string `toml:"inventory"`
	DefaultAgent string `toml:"agent"` // of instances whose inventory names none
}

// Strategy is how revisions roll out.
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

// RolloutStrategy turns it into the planner's form.
func (s Strategy) RolloutStrategy() state.Strategy {
	return state.Strategy{Canary: s.Canary, Batch: s.Batch, MaxUnavailable: s.MaxUnavailable, OneDomainPerWave: s.OneDomainPerWave,
		SoakTime: s.SoakTime.Micros(), ProgressDeadline: s.ProgressDeadline.Micros(), FailureBudget: s.FailureBudget, OnFailure: s.OnFailure, Overlap: s.Overlap}
}

// Default is what holds without a file. dir is where journals and sockets go.
func Default(dir string) File {
	d := state.DefaultStrategy()
	listen := "127.0.0.1:7700"
	us := func(v clock.Micros) Duration { return Duration(clock.Duration(v)) }
	return File{
		Manager: Manager{Listen: listen, JournalDir: filepath.Join(dir, "manager"), AgentTimeout: us(state.DefaultLimits().AgentTimeout),
			MaxRevisions: state.DefaultLimits().MaxRevisions},
		Agent: Agent{Name: "local", Manager: listen, JournalDir: filepath.Join(dir, "agent"), RunDir: dir, DrainTimeout: Duration(15 * time.Second),
			PollInterval: Duration(time.Second)},
		Fleet: Fleet{Manager: listen, DefaultAgent: "local"},
		Strategy: Strategy{Canary: d.Canary, Batch: d.Batch, MaxUnavailable: d.MaxUnavailable, OneDomainPerWave: d.OneDomainPerWave, SoakTime: us(d.SoakTime),
			ProgressDeadline: us(d.ProgressDeadline), FailureBudget: d.FailureBudget, OnFailure: d.OnFailure, Overlap: d.Overlap},
	}
}

// Load reads a file over the defaults. Relative paths in it count from its folder.
func Load(path, dir string) (File, error) {
	f := Default(dir)
	if path == "" {
		return f, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return f, tomlerror.Error(path, err)
	}
	base := filepath.Dir(path)
	for _, p := range []*string{&f.Manager.JournalDir, &f.Agent.JournalDir, &f.Agent.RunDir, &f.Fleet.Inventory} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(base, *p)
		}
	}
	if err := f.check(); err != nil {
		return f, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

func (f *File) check() error {
	for key, addr := range map[string]string{"manager.listen": f.Manager.Listen, "agent.manager": f.Agent.Manager, "fleet.manager": f.Fleet.Manager} {
		if p, ok := strings.CutPrefix(addr, "unix:"); ok && p != "" {
			continue
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("%s: %q is neither unix:PATH nor HOST:PORT", key, addr)
		}
	}
	if f.Manager.AgentTimeout <= 0 {
		return errors.New("manager.silence: must be above 0")
	}
	if f.Manager.MaxRevisions < 2 {
		return fmt.Errorf("manager.revisions: %d is under 2", f.Manager.MaxRevisions)
	}
	if f.Agent.Name == "" {
		return errors.New("agent.name: missing")
	}
	if f.Agent.DrainTimeout <= 0 || f.Agent.PollInterval <= 0 {
		return errors.New("agent.drain and agent.look: must be above 0")
	}
	st := f.Strategy.RolloutStrategy()
	if err := st.Validate(); err != nil {
		return fmt.Errorf("strategy.%w", err)
	}
	return nil
}
