// Package supervisor is an agent: it keeps one machine's instances as the manager wants them. What to do is decided in
// reconcile; this package writes it down, does it and tells the manager. It may die at any point: brokers serve on, and
// the next one on the same journal goes on from what was written.
package supervisor

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	mathrand "math/rand/v2"
	"slices"
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

// Process is a broker's process, started by this agent or by an earlier one.
type Process interface {
	Identity() process.Identity
	Done() <-chan error // gives how it ended, once
	Terminate() error
	Kill() error
}

// ProcessRunner is where processes run.
type ProcessRunner interface {
	Start(in *spec.Instance, config, mark string) (Process, error)
	Adopt(process.Identity) (Process, error)
	Find(mark string) (process.Identity, bool)
}

// BrokerClient reaches running brokers.
type BrokerClient interface {
	Probe(ctx context.Context, in *spec.Instance) (st *control.State, healthy bool, err error)
	SendChange(ctx context.Context, in *spec.Instance, c *control.Change) (*control.Outcome, error)
}

// Manager is what an agent needs of its manager.
type Manager interface {
	Register(ctx context.Context, agent string, seen uint64) (api.Registration, error)
	Report(ctx context.Context, r *api.ReportRequest) error
	Assignments(ctx context.Context, a *api.AssignmentsRequest) (api.Assignments, error)
	Config(ctx context.Context, digest string) (string, error)
}

// Options sets an agent up.
type Options struct {
	Name           string
	Reconcile      reconcile.Config
	ReportInterval time.Duration // between two reports without news; 0: 1 s
	LongPollWait   time.Duration // how long a call for assignments waits; 0: 20 s
	BrokerTimeout  time.Duration // for one answer of a broker; 0: 2 s
	CompactBytes   int64         // bytes of the log after which it is compacted; 0: 1 MiB
	AcceptNewFleet bool          // follow a manager of another fleet, or one that has lost history
}

// Supervisor is a running agent.
type Supervisor struct {
	opt     Options
	machine ProcessRunner
	brokers BrokerClient
	manager Manager
	clock   *clock.Clock
	log     *slog.Logger

	j       *journal.Journal
	mem     *memory
	minds   map[string]*mind
	budget  *retry.Budget
	events  chan func() error // what has happened, for the loop
	token   uint64
	reg     api.Registration
	version uint64 // of the assignments that mem holds; 0: of another life
	full    bool   // the disk is
	dirty   chan struct{}
	quit    chan struct{} // closed by Close
}

// mind is an instance with what is under way for it.
type mind struct {
	*reconcile.Controller
	process Process
	busy    bool // an answer is outstanding
	wake    int64
	turn    int // of the process: news of an earlier one is old
	figures *control.Figures
	open    int64
	figured int64 // when they were said; 0: they have been passed on
}

// Open reads the journal in fs. Run starts the agent.
func Open(fs journal.FS, opt Options, machine ProcessRunner, brokers BrokerClient, manager Manager, log *slog.Logger) (*Supervisor, error) {
	if opt.ReportInterval == 0 {
		opt.ReportInterval = time.Second
	}
	if opt.LongPollWait == 0 {
		opt.LongPollWait = 20 * time.Second
	}
	if opt.BrokerTimeout == 0 {
		opt.BrokerTimeout = 2 * time.Second
	}
	if opt.CompactBytes == 0 {
		opt.CompactBytes = 1 << 20
	}
	if opt.Reconcile == (reconcile.Config{}) {
		opt.Reconcile = reconcile.DefaultConfig()
	}
	j, o, err := journal.Open(fs, journal.Options{})
	if err != nil {
		return nil, err
	}
	if o.Report.TornBytes > 0 {
		log.Warn("agent: the journal's last record was unfinished and is cut off", "bytes", o.Report.TornBytes)
	}
	mem, err := decode(o.Snapshot, o.Records)
	if err != nil {
		return nil, err
	}
	return &Supervisor{opt: opt, machine: machine, brokers: brokers, manager: manager, clock: clock.New(), log: log, j: j,
		mem: mem, minds: map[string]*mind{}, budget: retry.NewBudget(20, 0.1), events: make(chan func() error, 64),
		dirty: make(chan struct{}, 1), quit: make(chan struct{})}, nil
}

// Close ends the journal, after Run has returned.
func (s *Supervisor) Close() error {
	close(s.quit)
	return s.j.Close()
}

// errJournal says that a record could not be written, and that nothing was done.
var errJournal = errors.New("agent: journal not written")

// put writes a record and, only then, takes it in.
func (s *Supervisor) put(r *record) error {
	b, err := json.Marshal(r)
	if err == nil {
		err = s.j.Append(b)
	}
	if err != nil {
		if !s.full {
			s.log.Error("agent: journal not written, nothing is done", "record", r.Kind, "instance", r.Name, "err", err)
		}
		s.full = true
		return fmt.Errorf("%w: %v", errJournal, err)
	}
	s.full = false
	return s.mem.apply(r)
}

// Run keeps the instances until ctx is done, the agent is fenced, or the journal cannot be written any more. The
// brokers are left running in any case: Drain stops them.
func (s *Supervisor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := s.clock.Now()
	for _, name := range slices.Sorted(maps.Keys(s.mem.Cases)) {
		if err := s.adopt(name, now); err != nil {
			return err
		}
	}
	ended := make(chan error, 2)
	go func() { ended <- s.reports(ctx) }()
	go func() { ended <- s.polls(ctx) }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if err := s.turn(ctx); err != nil {
			return err
		}
		if err := s.j.Err(); err != nil {
			return err // what is on disk is unknown: the next agent reads it anew
		}
		if s.j.Size() > s.opt.CompactBytes {
			b, err := json.Marshal(s.mem)
			if err == nil {
				err = s.j.Compact(b)
			}
			if s.j.Err() != nil {
				return s.j.Err()
			} else if err != nil {
				s.log.Error("agent: journal not compacted", "err", err)
			}
		}
		timer.Reset(clock.Duration(max(s.next()-s.clock.Now(), 0)))
		select {
		case <-ctx.Done():
			return nil
		case f := <-s.events:
			if err := s.take(f); err != nil {
				return err
			}
		case <-timer.C:
		case err := <-ended:
			return err
		}
	}
}

// take takes in an event and those that wait behind it.
func (s *Supervisor) take(f func() error) error {
	for {
		if err := f(); err != nil {
			return err
		}
		select {
		case f = <-s.events:
		default:
			return nil
		}
	}
}

// next is when a turn is due at the latest.
func (s *Supervisor) next() int64 {
	at := s.clock.Now() + time.Minute.Microseconds()
	for _, m := range s.minds {
		if !m.busy {
			at = min(at, m.wake)
		}
	}
	return at
}

// later hands an event to the loop, unless the loop has ended.
func (s *Supervisor) later(ctx context.Context, f func() error) {
	select {
	case s.events <- f:
	case <-ctx.Done():
	}
}

// adopt takes an instance up from the journal.
func (s *Supervisor) adopt(name string, now int64) error {
	c := s.mem.Cases[name]
	m := s.mind(name)
	m.SetDesired(s.want(c))
	m.Pending = c.Command
	if c.Mark == "" {
		return nil
	}
	m.RecordStartIntent(c.Mark, c.Digest)
	if c.ID == nil {
		return nil // it will be looked for by its mark
	}
	id := *c.ID
	p, err := s.machine.Adopt(id)
	if err != nil {
		if !errors.Is(err, process.ErrExited) {
			return fmt.Errorf("%s: adopt pid %d: %w", name, id.PID, err)
		}
		s.log.Warn("agent: instance ended while no agent was there", "instance", name, "pid", id.PID)
		if err := s.put(&record{Kind: recEnded, Name: name}); err != nil && s.j.Err() != nil {
			return err
		}
		m.RecordRunning(id, now)
		m.RecordExit(now, "ended while no agent was there")
		return nil
	}
	s.log.Info("agent: instance adopted", "instance", name, "pid", id.PID)
	m.RecordRunning(id, now)
	s.watch(m, p)
	return nil
}

func (s *Supervisor) mind(name string) *mind {
	m := s.minds[name]
	if m == nil {
		m = &mind{Controller: reconcile.New(name, s.opt.Reconcile, s.budget, mathrand.Float64)}
		s.minds[name] = m
	}
	return m
}

func (s *Supervisor) want(c *caseFile) reconcile.Desired {
	a := c.Assignment
	w := reconcile.Desired{Released: a.Release || a.Desired == nil, TargetEdition: a.TargetEdition}
	if !w.Released {
		w.Run, w.StartDigest = a.Desired.Enabled, a.Desired.Start.Digest()
	}
	return w
}

// watch waits for the end of a process.
func (s *Supervisor) watch(m *mind, p Process) {
	m.process = p
	m.turn++
	turn := m.turn
	go func() {
		var err error
		select {
		case err = <-p.Done():
		case <-s.quit:
			return
		}
		f := func() error {
			if m.turn != turn {
				return nil
			}
			text := "exit code 0"
			if err != nil {
				text = err.Error()
			} else if m.Phase != reconcile.Draining {
				text = "ended with exit code 0 though it was not asked to"
			}
			s.log.Info("agent: instance ended", "instance", m.Name, "pid", p.Identity().PID, "how", text)
			m.process = nil
			m.RecordExit(s.clock.Now(), text)
			m.wake = 0
			s.changed()
			if err := s.put(&record{Kind: recEnded, Name: m.Name}); err != nil && s.j.Err() != nil {
				return err
			} // else the next agent finds it gone by itself
			return nil
		}
		select {
		case s.events <- f:
		case <-s.quit:
		}
	}()
}

// changed has a report sent soon.
func (s *Supervisor) changed() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// turn does what is due for every instance. Only a journal that cannot be used any more is an error.
func (s *Supervisor) turn(ctx context.Context) error {
	for _, name := range slices.Sorted(maps.Keys(s.minds)) {
		m := s.minds[name]
		for !m.busy && m.wake <= s.clock.Now() {
			more, err := s.act(ctx, m)
			if err != nil {
				if s.j.Err() != nil {
					return err
				}
				m.wake = s.clock.Now() + time.Second.Microseconds() // a full disk: perhaps there is room later
				break
			}
			if !more {
				break
			}
		}
	}
	return nil
}

// act does the next thing for one instance. It returns false where there is nothing more for now, and an error where
// the journal could not be written and so nothing was done.
func (s *Supervisor) act(ctx context.Context, m *mind) (bool, error) {
	now := s.clock.Now()
	before := m.Pending
	a, wake := m.Next(now)
	m.wake = wake
	if a.Kind == reconcile.NoAction {
		return false, nil
	}
	c := s.mem.Cases[m.Name]
	switch a.Kind {
	case reconcile.FindProcess:
		id, ok := s.machine.Find(a.LaunchID)
		if !ok {
			if err := s.put(&record{Kind: recEnded, Name: m.Name}); err != nil {
				return false, err
			}
			m.RecordNotFound()
			return true, nil
		}
		p, err := s.machine.Adopt(id)
		if err != nil {
			return true, nil // it has ended just now: the next look finds none
		}
		if err := s.put(&record{Kind: recStarted, Name: m.Name, ID: &id}); err != nil {
			return false, err
		}
		s.log.Info("agent: instance found by its mark", "instance", m.Name, "pid", id.PID)
		m.RecordRunning(id, now)
		s.watch(m, p)
	case reconcile.StartProcess:
		return true, s.start(m, c, now)
	case reconcile.Terminate:
		s.log.Info("agent: instance told to drain", "instance", m.Name, "pid", m.Process.PID, "why", a.Reason)
		m.process.Terminate() // an error means that it has ended, which is told otherwise
	case reconcile.Kill:
		s.log.Error("agent: instance killed", "instance", m.Name, "pid", m.Process.PID, "why", a.Reason)
		m.process.Kill()
	case reconcile.Probe:
		s.look(ctx, m, c)
	case reconcile.SendCommand:
		if a.Command != before {
			if err := s.put(&record{Kind: recCommand, Name: m.Name, Command: a.Command}); err != nil {
				m.RecordNotSent()
				return false, err
			}
		}
		s.change(ctx, m, c, a.Command)
	case reconcile.ForgetInstance:
		return false, nil // it is forgotten once the manager has heard of its end
	}
	s.changed()
	return true, nil
}

// start starts a process: the intent goes to disk before it, its identity after.
func (s *Supervisor) start(m *mind, c *caseFile, now int64) error {
	var b [12]byte
	rand.Read(b[:])
	mark, in := hex.EncodeToString(b[:]), c.Assignment.Desired
	digest := in.Start.Digest()
	if err := s.put(&record{Kind: recStarting, Name: m.Name, Mark: mark, Digest: digest}); err != nil {
		return err
	}
	m.RecordStartIntent(mark, digest)
	text, ok := s.mem.Configs[in.Start.Config]
	p, err := Process(nil), error(nil)
	if !ok {
		err = fmt.Errorf("configuration %s is not here", in.Start.Config)
	} else {
		p, err = s.machine.Start(in, text, mark)
	}
	defer s.changed()
	if err != nil {
		s.log.Error("agent: instance cannot be started", "instance", m.Name, "err", err)
		m.RecordStartFailure(now, err)
		return s.put(&record{Kind: recEnded, Name: m.Name})
	}
	id := p.Identity()
	s.log.Info("agent: instance started", "instance", m.Name, "pid", id.PID)
	m.RecordRunning(id, now)
	s.watch(m, p)
	// Should this fail on a full disk, the process is still found by its mark.
	return s.put(&record{Kind: recStarted, Name: m.Name, ID: &id})
}

// look asks a broker.
func (s *Supervisor) look(ctx context.Context, m *mind, c *caseFile) {
	m.busy = true
	turn, in := m.turn, c.Assignment.Desired
	go func() {
		cctx, cancel := context.WithTimeout(ctx, s.opt.BrokerTimeout)
		st, healthy, err := s.brokers.Probe(cctx, in)
		cancel()
		s.later(ctx, func() error {
			m.busy = false
			if m.turn != turn {
				return nil
			}
			was := m.Pending
			m.RecordProbe(s.clock.Now(), st, healthy, err)
			if err == nil && st.Figures != nil {
				m.figures, m.open, m.figured = st.Figures, st.Open, s.clock.Now()
			}
			m.wake = 0
			s.changed()
			return s.settle(m, was)
		})
	}()
}

// change sends a command.
func (s *Supervisor) change(ctx context.Context, m *mind, c *caseFile, cmd *reconcile.Command) {
	m.busy = true
	turn, in := m.turn, c.Assignment.Desired
	ch := &control.Change{ID: cmd.ID, Token: s.token, Boot: cmd.Incarnation, Base: cmd.BaseEdition, Revision: cmd.TargetEdition,
		Rev: c.Assignment.Revision, Live: in.Live, Nodes: s.mem.Nodes}
	go func() {
		cctx, cancel := context.WithTimeout(ctx, s.opt.BrokerTimeout)
		o, err := s.brokers.SendChange(cctx, in, ch)
		cancel()
		s.later(ctx, func() error {
			m.busy = false
			if m.turn != turn {
				return nil
			}
			was := m.Pending
			m.RecordOutcome(s.clock.Now(), cmd.ID, o, err)
			m.wake = 0
			if err == nil && o.Code != control.Taken {
				s.log.Warn("agent: change not taken", "instance", m.Name, "code", o.Code, "reason", o.Reason)
			} else if err == nil {
				s.log.Info("agent: change taken", "instance", m.Name, "edition", o.Applied, "repeated", o.Repeated)
			}
			s.changed()
			return s.settle(m, was)
		})
	}()
}

// settle writes down that a command has been answered, or has lost its boot. Should that fail, the next agent asks
// again with the same id, or finds another boot.
func (s *Supervisor) settle(m *mind, was *reconcile.Command) error {
	if was == nil || m.Pending != nil {
		return nil
	}
	if err := s.put(&record{Kind: recResult, Name: m.Name}); err != nil && s.j.Err() != nil {
		return err
	}
	return nil
}

// Drain has all processes drain, and returns when they have ended or ctx is done. It is for an agent whose Run has
// returned.
func (s *Supervisor) Drain(ctx context.Context) {
	for _, m := range s.minds {
		if m.process != nil {
			m.process.Terminate()
		}
	}
	for {
		left := 0
		for _, m := range s.minds {
			if m.process != nil {
				left++
			}
		}
		if left == 0 {
			return
		}
		select {
		case f := <-s.events:
			f()
		case <-ctx.Done():
			return
		}
	}
}
