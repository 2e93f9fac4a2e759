// Package manager runs a fleet's manager: it keeps the fleet's state in a journal, commits the records that the state
// says are due, and serves agents and the command line. Every decision is made in package state; this package does the
// I/O, the waiting and the logging.
package manager

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/journal"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/timing/clock"
)

const (
	defaultCompactBytes = 8 << 20
	defaultStepInterval = 50 * time.Millisecond
)

// Options configures a manager.
type Options struct {
	Limits       state.Limits  // zero value means state.DefaultLimits
	CompactBytes int64         // size of the journal's log above which it is compacted; 0 means 8 MiB
	StepInterval time.Duration // time between checks for due records; 0 means 50 ms
	AcceptDamage bool          // start even if records of the journal have been lost
}

func (o Options) withDefaults() Options {
	if o.CompactBytes == 0 {
		o.CompactBytes = defaultCompactBytes
	}
	if o.StepInterval == 0 {
		o.StepInterval = defaultStepInterval
	}
	if o.Limits == (state.Limits{}) {
		o.Limits = state.DefaultLimits()
	}
	return o
}

// Manager is a fleet's manager. It is safe for concurrent use.
type Manager struct {
	options Options
	log     *slog.Logger
	clock   *clock.Clock
	epoch   string        // identifies this incarnation of the manager
	stepNow chan struct{} // makes Run step without waiting for the interval
	failed  chan struct{} // closed once failure is set

	mu           sync.Mutex // guards the fields below
	state        *state.State
	journal      *journal.Journal
	journalFault string        // fault of the journal to show to operators, empty if there is none
	failure      error         // why the manager has to end, such as a journal that can no longer be written
	changed      chan struct{} // closed, and replaced, when the state has changed
	stats        map[string]brokerStats
}

// brokerStats holds the latest statistics of an instance.
type brokerStats struct {
	api.BrokerStats
	measuredAt clock.Micros
}

// Open reads the journal in fs and returns a manager, which Run or Serve starts.
func Open(fs journal.FS, options Options, log *slog.Logger) (*Manager, error) {
	options = options.withDefaults()
	j, opened, err := journal.Open(fs, journal.Options{AcceptDamage: options.AcceptDamage})
	if err != nil {
		return nil, err
	}
	m := &Manager{
		options: options,
		log:     log,
		clock:   clock.New(),
		epoch:   randomID(),
		stepNow: make(chan struct{}, 1),
		failed:  make(chan struct{}),
		journal: j,
		changed: make(chan struct{}),
		stats:   map[string]brokerStats{},
	}
	m.logRecovery(&opened.Report)
	if m.state, err = replay(opened, options.Limits); err != nil {
		return nil, err
	}
	if m.state.FleetID() == "" {
		if err := m.commit(&state.Record{Kind: state.RecordFleetCreated, FleetID: randomID()}); err != nil {
			return nil, err
		}
	}
	log.Info("manager: journal read", "fleet", m.state.FleetID(), "revision", m.state.NewestRevision(),
		"edition", m.state.Edition(), "records", opened.Report.Records, "generation", opened.Report.Generation)
	return m, nil
}

// replay builds the state from a journal's snapshot and records.
func replay(opened *journal.Contents, limits state.Limits) (*state.State, error) {
	s := state.New(limits)
	if opened.Snapshot != nil {
		var err error
		if s, err = state.Restore(opened.Snapshot, limits); err != nil {
			return nil, err
		}
	}
	for i, encoded := range opened.Records {
		r, err := state.DecodeRecord(encoded)
		if err == nil {
			err = s.Apply(r)
		}
		if err != nil {
			return nil, fmt.Errorf("record %d after the snapshot: %w", i+1, err)
		}
	}
	s.FinishReplay()
	return s, nil
}

// randomID returns 16 random hexadecimal digits.
func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return hex.EncodeToString(b[:])
}

// Close closes the journal, after Run or Serve has returned.
func (m *Manager) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.journal.Close()
}
