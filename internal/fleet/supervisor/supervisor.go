// Package supervisor runs a fleet's agent, which keeps one machine's instances in the state that the manager assigns.
// Package reconcile decides on the actions; this package journals them, carries them out and reports to the manager. An
// agent may crash at any point: its brokers keep serving, and the next agent on the same journal continues from what
// was written.
//
// All state is owned by Run's goroutine. Other goroutines wait for processes, brokers and the manager, and pass their
// results to it as events.
package supervisor

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/journal"
	"poppyarch/internal/fleet/reconcile"
	"poppyarch/internal/fleet/retry"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/host/process"
	"poppyarch/internal/timing/clock"
)

// Process is the process of a broker, started by this agent or by an earlier one.
type Process interface {
	Identity() process.Identity
	// Wait waits for the process to end and returns its result, nil for exit code 0, or the error of ctx once ctx is
	// done. It is called once.
	Wait(ctx context.Context) error
	Terminate() error // asks the process to drain
	Kill() error
}

// ProcessRunner starts and finds processes.
type ProcessRunner interface {
	// Start starts a broker with the start settings of an instance and the text of its configuration.
	Start(instance *spec.Instance, config, launchID string) (Process, error)
	// Adopt returns a process that an earlier agent started, or process.ErrExited.
	Adopt(id process.Identity) (Process, error)
	// Find looks for the process of a launch.
	Find(launchID string) (process.Identity, bool)
}

// BrokerClient calls running brokers.
type BrokerClient interface {
	// Probe returns the state of a broker and whether its front ends answer.
	Probe(ctx context.Context, instance *spec.Instance) (state *control.State, healthy bool, err error)
	// SendChange sends a change to a broker. After an error it is unknown whether the broker has applied the change.
	SendChange(ctx context.Context, instance *spec.Instance, change *control.Change) (*control.Outcome, error)
}

// Manager is the part of the manager's API that an agent uses.
type Manager interface {
	Register(ctx context.Context, agent string, seenEdition uint64) (api.Registration, error)
	Report(ctx context.Context, request *api.ReportRequest) error
	Assignments(ctx context.Context, request *api.AssignmentsRequest) (api.Assignments, error)
	Config(ctx context.Context, digest string) (string, error)
}

const (
	defaultReportInterval = time.Second
	defaultLongPollWait   = 20 * time.Second
	defaultBrokerTimeout  = 2 * time.Second
	defaultCompactBytes   = 1 << 20

	retryBudgetCapacity = 20  // retries of calls to brokers, over all instances
	retryBudgetPerCall  = 0.1 // retries earned by each call

	eventQueueLength = 64

	maxIdle           = time.Minute // longest time between checks for due actions
	journalRetryDelay = time.Second // delay before an action whose record could not be written is tried again
)

// Options configures an agent.
type Options struct {
	Name           string
	Reconcile      reconcile.Config // zero value means reconcile.DefaultConfig
	ReportInterval time.Duration    // time between reports when nothing has changed; 0 means 1 s
	LongPollWait   time.Duration    // how long one call waits for new assignments; 0 means 20 s
	BrokerTimeout  time.Duration    // of one call to a broker; 0 means 2 s
	CompactBytes   int64            // size of the journal's log above which it is compacted; 0 means 1 MiB
	AcceptNewFleet bool             // accept a manager of another fleet, or one that has lost history
}

func (o Options) withDefaults() Options {
	if o.Reconcile == (reconcile.Config{}) {
		o.Reconcile = reconcile.DefaultConfig()
	}
	if o.ReportInterval == 0 {
		o.ReportInterval = defaultReportInterval
	}
	if o.LongPollWait == 0 {
		o.LongPollWait = defaultLongPollWait
	}
	if o.BrokerTimeout == 0 {
		o.BrokerTimeout = defaultBrokerTimeout
	}
	if o.CompactBytes == 0 {
		o.CompactBytes = defaultCompactBytes
	}
	return o
}

// Supervisor is an agent. Open, Run, Drain and Close are called in this order.
type Supervisor struct {
	options Options
	runner  ProcessRunner
	brokers BrokerClient
	manager Manager
	clock   *clock.Clock
	log     *slog.Logger

	events       chan event
	reportNow    chan struct{}  // requests a report before the report interval has passed
	calls        sync.WaitGroup // calls to brokers and the manager; Run waits for them
	watchers     sync.WaitGroup // goroutines that wait for processes; Close waits for them
	watchCtx     context.Context
	stopWatching context.CancelFunc // called by Close

	// Owned by Run's goroutine.
	journal        *journal.Journal
	journalFailing bool // the last record could not be written
	state          *journalState
	instances      map[string]*managedInstance
	retryBudget    *retry.Budget // for calls to brokers
	session        session
}

// session is the state of the session with the manager.
type session struct {
	registration       api.Registration // zero while the agent is not registered
	token              uint64           // fencing token of the last registration
	assignmentsVersion uint64           // version that the state follows, 0 if it is from an earlier session
}

// Open reads the journal in fs and returns an agent, which Run starts.
func Open(fs journal.FS, options Options, runner ProcessRunner, brokers BrokerClient, manager Manager, log *slog.Logger) (*Supervisor, error) {
	j, contents, err := journal.Open(fs, journal.Options{})
	if err != nil {
		return nil, err
	}
	if torn := contents.Report.TornBytes; torn > 0 {
		log.Warn("agent: cut off an incomplete last record of the journal", "bytes", torn)
	}
	state, err := replay(contents.Snapshot, contents.Records)
	if err != nil {
		return nil, err
	}
	// Drain needs the exits of processes after Run has returned, so they are not watched with the context of Run.
	watchCtx, stopWatching := context.WithCancel(context.Background())
	return &Supervisor{
		options:      options.withDefaults(),
		runner:       runner,
		brokers:      brokers,
		manager:      manager,
		clock:        clock.New(),
		log:          log,
		events:       make(chan event, eventQueueLength),
		reportNow:    make(chan struct{}, 1),
		watchCtx:     watchCtx,
		stopWatching: stopWatching,
		journal:      j,
		state:        state,
		instances:    map[string]*managedInstance{},
		retryBudget:  retry.NewBudget(retryBudgetCapacity, retryBudgetPerCall),
	}, nil
}

// Close closes the journal, after Run and Drain have returned. Processes keep running.
func (s *Supervisor) Close() error {
	s.stopWatching()
	s.watchers.Wait()
	return s.journal.Close()
}

// Run keeps the instances in their desired state until ctx is done, and then returns nil. It returns state.ErrFenced if
// a newer agent has registered, and the journal's error if the journal can no longer be written. The brokers keep
// running in any case; Drain ends them.
func (s *Supervisor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.calls.Wait()
	defer cancel()
	for _, name := range slices.Sorted(maps.Keys(s.state.Instances)) {
		if err := s.restoreInstance(name); err != nil {
			return err
		}
	}
	ended := make(chan error, 2)
	s.calls.Go(func() { ended <- s.sendReports(ctx) })
	s.calls.Go(func() { ended <- s.followManager(ctx) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if err := s.takeDueActions(ctx); err != nil {
			return err
		}
		if err := s.journal.Err(); err != nil {
			return err // what is on disk is unknown, and the next agent reads the journal again
		}
		if err := s.compactIfDue(); err != nil {
			return err
		}
		timer.Reset(s.untilNextAction())
		select {
		case <-ctx.Done():
			return nil
		case e := <-s.events:
			if err := s.handleEvents(e); err != nil {
				return err
			}
		case <-timer.C:
		case err := <-ended:
			return err
		}
	}
}

// Drain asks all processes to drain, and returns when they have ended or ctx is done. It is called after Run has
// returned.
func (s *Supervisor) Drain(ctx context.Context) {
	for _, instance := range s.instances {
		if instance.handle != nil {
			_ = instance.handle.Terminate() // fails only if the process has ended, which arrives as an event
		}
	}
	for s.anyProcess() {
		select {
		case e := <-s.events:
			_ = e.handle(s) // the next agent detects an exit that could not be written to the journal
		case <-ctx.Done():
			return
		}
	}
}

func (s *Supervisor) anyProcess() bool {
	for _, instance := range s.instances {
		if instance.handle != nil {
			return true
		}
	}
	return false
}
