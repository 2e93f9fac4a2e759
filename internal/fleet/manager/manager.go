// Package manager keeps a fleet's state in its journal, carries out what the state says is due, and answers agents
// and the command line. Every decision is in the state; this package writes, waits and speaks.
package manager

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/journal"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/timing/clock"
)

// Options sets a manager up.
type Options struct {
	Limits       state.Limits
	CompactBytes int64         // bytes of the log after which it is compacted; 0: 8 MiB
	StepInterval time.Duration // between two looks at what is due; 0: 50 ms
	AcceptDamage bool          // start though records of the journal are lost
}

// Manager is a running one.
type Manager struct {
	opt   Options
	log   *slog.Logger
	clock *clock.Clock
	epoch string

	mu      sync.Mutex
	s       *state.State
	j       *journal.Journal
	trouble string        // what is wrong with the journal, for people
	broken  error         // it cannot be written any more: the manager has to end
	news    chan struct{} // closed when something has changed
	fatal   chan struct{} // closed with broken
	wake    chan struct{}
	figures map[string]figures
}

// figures are a broker's, with when they were said.
type figures struct {
	api.BrokerMetrics
	at int64
}

// Open reads the journal in fs and returns a manager; Run starts it.
func Open(fs journal.FS, opt Options, log *slog.Logger) (*Manager, error) {
	if opt.CompactBytes == 0 {
		opt.CompactBytes = 8 << 20
	}
	if opt.StepInterval == 0 {
		opt.StepInterval = 50 * time.Millisecond
	}
	if opt.Limits == (state.Limits{}) {
		opt.Limits = state.DefaultLimits()
	}
	j, o, err := journal.Open(fs, journal.Options{AcceptDamage: opt.AcceptDamage})
	if err != nil {
		return nil, err
	}
	m := &Manager{opt: opt, log: log, clock: clock.New(), epoch: random(), j: j, news: make(chan struct{}),
		figures: map[string]figures{}, fatal: make(chan struct{}), wake: make(chan struct{}, 1)}
	if o.Report.TornBytes > 0 {
		log.Warn("manager: the journal's last record was unfinished and is cut off", "bytes", o.Report.TornBytes)
	}
	for _, d := range o.Report.Damaged {
		log.Error("manager: damaged journal", "file", d.File, "offset", d.Offset, "bytes", d.Bytes, "kept", d.KeptAs, "what", d.Reason)
		m.trouble = "records were lost: " + d.File + ": " + d.Reason
	}
	m.s = state.New(opt.Limits)
	if o.Snapshot != nil {
		if m.s, err = state.Restore(o.Snapshot, opt.Limits); err != nil {
			return nil, err
		}
	}
	for n, b := range o.Records {
		r, err := state.DecodeRecord(b)
		if err == nil {
			err = m.s.Apply(r)
		}
		if err != nil {
			return nil, fmt.Errorf("record %d after the snapshot: %w", n+1, err)
		}
	}
	m.s.FinishReplay()
	if m.s.FleetID() == "" {
		if err := m.put(&state.Record{Kind: state.RecordFleetCreated, FleetID: random()}); err != nil {
			return nil, err
		}
	}
	log.Info("manager: journal read", "fleet", m.s.FleetID(), "revision", m.s.NewestRevision(), "edition", m.s.Edition(),
		"records", o.Report.Records, "generation", o.Report.Generation)
	return m, nil
}

func random() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Close ends the journal.
func (m *Manager) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.j.Close()
}

// put writes a record and, only then, applies it. The caller holds mu, or is alone.
func (m *Manager) put(r *state.Record) error {
	b, err := r.Encode()
	if err == nil {
		err = m.j.Append(b)
	}
	if err != nil {
		m.trouble = err.Error()
		m.log.Error("manager: journal not written, nothing has changed", "record", r.Kind, "err", err)
		if m.j.Err() != nil {
			m.fail(m.j.Err())
		}
		return fmt.Errorf("%w: %v", api.ErrStorage, err)
	}
	if err := m.s.Apply(r); err != nil {
		m.fail(fmt.Errorf("record %s: %w", r.Kind, err))
		return err
	}
	m.trouble = ""
	m.tell(r)
	close(m.news)
	m.news = make(chan struct{})
	return nil
}

// fail ends the manager: what is on disk is not what it believes, or not known. The next one reads it anew.
func (m *Manager) fail(err error) {
	if m.broken == nil {
		m.broken = err
		close(m.fatal)
	}
}

// tell logs what a record means.
func (m *Manager) tell(r *state.Record) {
	switch r.Kind {
	case state.RecordAgentRegistered:
		m.log.Info("manager: agent registered", "agent", r.Agent, "token", r.Token)
	case state.RecordRevisionCreated:
		m.log.Info("manager: new revision", "revision", r.Revision, "changes", len(r.Changes), "back_to", r.RollbackTo, "by", r.Author, "note", r.Note)
	case state.RecordNodeOverridesSet:
		m.log.Info("manager: node changes", "revision", r.Revision, "in_force", len(r.Nodes), "by", r.Author, "note", r.Note)
	case state.RecordRolloutStarted:
		m.log.Info("manager: rollout begins", "rollout", r.Revision, "waves", len(r.Waves))
	case state.RecordInstancesReleased:
		m.log.Info("manager: instances released", "rollout", r.Revision, "instances", r.Instances)
	case state.RecordInstanceFailed:
		m.log.Error("manager: instance failed", "rollout", r.Revision, "instance", r.Instances[0], "reason", r.Reason)
	case state.RecordWaveFinished:
		m.log.Info("manager: wave is over", "rollout", r.Revision)
	case state.RecordPhaseChanged:
		m.log.Info("manager: rollout", "rollout", r.Revision, "phase", r.Phase, "reason", r.Reason, "by", r.Author)
	case state.RecordAgentRetired:
		m.log.Warn("manager: agent retired, what it held is free", "agent", r.Agent, "by", r.Author, "note", r.Note)
	case state.RecordInstanceHandedOver, state.RecordInstanceRemoved:
		m.log.Info("manager: instance let go", "instance", r.Instances[0], "why", r.Kind)
	}
}

// Run carries out what is due until ctx is done or the journal fails.
func (m *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(m.opt.StepInterval)
	defer tick.Stop()
	for {
		m.step()
		select {
		case <-ctx.Done():
			return nil
		case <-m.fatal:
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.broken
		case <-tick.C:
		case <-m.wake:
		}
	}
}

// step carries out everything that is due.
func (m *Manager) step() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.broken == nil {
		list := m.s.Step(m.clock.Now())
		if len(list) == 0 {
			break
		}
		for _, r := range list {
			if r.Kind == state.RecordRevisionCreated { // a rollback by itself
				r.At = m.clock.Now()
			}
			if m.put(r) != nil {
				return // nothing has happened; it comes up again
			}
		}
	}
	if m.broken == nil && m.j.Size() > m.opt.CompactBytes {
		b, err := m.s.Snapshot()
		if err == nil {
			err = m.j.Compact(b)
		}
		if err != nil {
			m.trouble = err.Error()
			m.log.Error("manager: journal not compacted", "err", err)
			if m.j.Err() != nil {
				m.fail(m.j.Err())
			}
			return
		}
		m.log.Info("manager: journal compacted", "bytes", len(b))
	}
}

// nudge has Run look at what is due.
func (m *Manager) nudge() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Register makes the caller the newest agent of its name.
func (m *Manager) Register(agent string, seen uint64) (api.Registration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if agent == "" || len(agent) > 64 {
		return api.Registration{}, fmt.Errorf("%w: agent: a name has 1 to 64 letters", api.ErrRequest)
	}
	r := m.s.Register(agent, seen, m.clock.Now())
	if err := m.put(r); err != nil {
		return api.Registration{}, err
	}
	return api.Registration{Token: r.Token, Epoch: m.epoch, Fleet: m.s.FleetID(), Edition: m.s.Edition()}, nil
}

func (m *Manager) sameLife(epoch string) error {
	if epoch != m.epoch {
		return fmt.Errorf("epoch %s: %w", epoch, api.ErrEpoch)
	}
	return nil
}

// Report takes in what an agent has seen.
func (m *Manager) Report(c *api.ReportRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.sameLife(c.Epoch); err != nil {
		return err
	}
	if err := m.s.Observe(c.Agent, c.Token, c.Seq, c.AssignmentsVersion, c.Full, c.Reports, m.clock.Now()); err != nil {
		return err
	}
	for _, f := range c.Metrics {
		m.figures[f.Name] = figures{f, m.clock.Now() - f.Age}
	}
	if len(c.Reports) > 0 || c.Full {
		close(m.news)
		m.news = make(chan struct{})
		m.nudge()
	}
	return nil
}

// Assignments waits until an agent has to be told something, and tells it.
func (m *Manager) Assignments(ctx context.Context, c *api.AssignmentsRequest) (api.Assignments, error) {
	end := time.NewTimer(time.Duration(min(c.WaitMS, 60000)) * time.Millisecond)
	defer end.Stop()
	for late := false; ; {
		m.mu.Lock()
		if err := m.sameLife(c.Epoch); err != nil {
			m.mu.Unlock()
			return api.Assignments{}, err
		}
		if err := m.s.CheckToken(c.Agent, c.Token); err != nil {
			m.mu.Unlock()
			return api.Assignments{}, err
		}
		list, version := m.s.Assignments(c.Agent, c.KnownVersion)
		if version != c.KnownVersion || late || c.KnownVersion == 0 && len(list) > 0 {
			nodes, _ := m.s.NodeOverrides()
			out := api.Assignments{Version: version, Full: c.KnownVersion == 0, List: list, Nodes: nodes, Edition: m.s.Edition()}
			m.mu.Unlock()
			return out, nil
		}
		news := m.news
		m.mu.Unlock()
		select {
		case <-news:
		case <-end.C:
			late = true
		case <-ctx.Done():
			return api.Assignments{}, ctx.Err()
		}
	}
}

// Config returns a configuration text.
func (m *Manager) Config(digest string) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if text, ok := m.s.ConfigText(digest); ok {
		return text, nil
	}
	return "", fmt.Errorf("configuration %s: %w", digest, state.ErrNotFound)
}

// command carries out a command once, whatever how often it comes.
func (m *Manager) command(c *state.Command, propose func(now int64) (*state.Record, *state.Plan, error)) (api.Reply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.ID == "" || len(c.ID) > 128 {
		return api.Reply{}, fmt.Errorf("%w: id: a command needs one of up to 128 letters", api.ErrRequest)
	}
	if r, seen := m.s.CommandResult(c.ID); seen {
		return api.Reply{Result: r}, nil
	}
	r, plan, err := propose(m.clock.Now())
	if err != nil {
		return api.Reply{Plan: plan}, err
	}
	if r == nil {
		return api.Reply{Result: state.Result{Revision: m.s.NewestRevision(), Text: "nothing changes"}, Plan: plan}, nil
	}
	if c.DryRun {
		return api.Reply{Result: state.Result{Revision: m.s.NewestRevision(), Text: "dry run: nothing was changed"}, Plan: plan}, nil
	}
	if err := m.put(r); err != nil {
		return api.Reply{}, err
	}
	m.nudge()
	res, _ := m.s.CommandResult(c.ID)
	res.Repeated = false
	return api.Reply{Result: res, Plan: plan}, nil
}

// Apply wants another fleet.
func (m *Manager) Apply(a *api.ApplyRequest) (api.Reply, error) {
	return m.command(&a.Command, func(now int64) (*state.Record, *state.Plan, error) {
		return m.s.Propose(&a.Command, &a.Spec, a.Strategy, now)
	})
}

// Rollback goes back to an earlier revision.
func (m *Manager) Rollback(b *api.RollbackRequest) (api.Reply, error) {
	return m.command(&b.Command, func(now int64) (*state.Record, *state.Plan, error) {
		return m.s.Rollback(&b.Command, b.To, b.Strategy, b.WithNodes, now)
	})
}

// ChangeNodes changes the operators' word on storage nodes.
func (m *Manager) ChangeNodes(n *api.NodesRequest) (api.Reply, error) {
	return m.command(&n.Command, func(now int64) (*state.Record, *state.Plan, error) {
		r, err := m.s.SetNodes(&n.Command, n.Changes, now)
		return r, nil, err
	})
}

// Retire says that an agent and its machine are gone for good.
func (m *Manager) Retire(c *api.RetireRequest) (api.Reply, error) {
	return m.command(&c.Command, func(now int64) (*state.Record, *state.Plan, error) {
		r, err := m.s.Retire(&c.Command, c.Agent, now)
		return r, nil, err
	})
}

// SetRolloutPhase pauses, resumes or aborts a rollout.
func (m *Manager) SetRolloutPhase(c *api.SetPhaseRequest) (api.Reply, error) {
	if c.To != state.Paused && c.To != state.Active && c.To != state.Aborted {
		return api.Reply{}, fmt.Errorf("%w: to: %q is none of paused, active, aborted", api.ErrRequest, c.To)
	}
	return m.command(&c.Command, func(now int64) (*state.Record, *state.Plan, error) {
		r, err := m.s.SetRolloutPhase(&c.Command, c.Revision, c.To, now)
		return r, nil, err
	})
}

// Overview is the fleet as it is known now.
func (m *Manager) Overview(sel spec.Selector) (api.Overview, error) {
	if err := sel.Validate(); err != nil {
		return api.Overview{}, fmt.Errorf("%w: %v", api.ErrRequest, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	nodes, _ := m.s.NodeOverrides()
	out, of := m.s.Unavailable()
	list := m.s.Instances(sel)
	var figs []api.BrokerMetrics
	for _, i := range list {
		if f, ok := m.figures[i.Name]; ok && i.Report.Incarnation != "" {
			f.Age = m.clock.Now() - f.at
			figs = append(figs, f.BrokerMetrics)
		}
	}
	if len(m.figures) > 2*len(list)+1000 { // of instances that are long gone
		clear(m.figures)
	}
	return api.Overview{Metrics: figs, Fleet: m.s.FleetID(), Revision: m.s.NewestRevision(), Settled: m.s.Settled(), Unavailable: out, Enabled: of,
		NotCurrent: m.s.NotCurrent(), Instances: list, Agents: m.s.Agents(), Rollouts: m.s.Rollouts(5),
		Nodes: nodes, JournalFault: m.trouble}, nil
}

// History lists revisions, newest first.
func (m *Manager) History(most int) api.History {
	m.mu.Lock()
	defer m.mu.Unlock()
	return api.History{Revisions: m.s.History(most)}
}

// Wait returns when a revision's rollout has ended (0: when the fleet is settled), when the active one is paused, or
// after a while.
func (m *Manager) Wait(ctx context.Context, rev uint64, wait time.Duration) ([]state.RolloutStatus, bool, error) {
	end := time.NewTimer(min(wait, time.Minute))
	defer end.Stop()
	for late := false; ; {
		m.mu.Lock()
		list, settled := m.s.Rollouts(20), m.s.Settled()
		news := m.news
		m.mu.Unlock()
		over := rev == 0 && settled
		for _, r := range list {
			over = over || r.Phase == state.Paused || rev > 0 && r.Revision == rev && (r.Phase == state.Done || r.Phase == state.Aborted)
		}
		if over || late {
			return list, settled, nil
		}
		select {
		case <-news:
		case <-end.C:
			late = true
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

// Ended reports whether an error means that the manager has to be started anew.
func Ended(err error) bool { return errors.Is(err, journal.ErrBroken) }
