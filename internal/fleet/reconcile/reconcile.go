// Package reconcile decides what an agent does next with one instance. It does no I/O, reads no clock and draws no
// random numbers of its own: the agent tells it what happened and when, in microseconds, and carries out what it says.
//
// The order of things it keeps: no process is started while another may run; a process is ended before one with other
// start settings begins; a broker is told a revision only on the boot that was looked at, once for each command, and the
// same command again as long as its answer is unknown; nothing is reported that this boot has not said of itself.
package reconcile

import (
	"fmt"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/retry"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/host/process"
)

// Desired is what the instance should be.
type Desired struct {
	Run           bool
	Released      bool   // not this agent's any more: forget it once it has ended
	StartDigest   string // of the start settings
	TargetEdition uint64 // revision that its broker should hold
}

// ActionKind is what to do next.
type ActionKind uint8

// What there is to do.
const (
	NoAction     ActionKind = iota
	FindProcess             // look for a process with Mark
	StartProcess            // start one with Mark
	Terminate               // ask the process to drain
	Kill
	Probe          // ask the broker's control endpoint and its fronts
	SendCommand    // send Command
	ForgetInstance // nothing is left of it
)

// Action is one thing to do; after it the agent reports back before it asks again.
type Action struct {
	Kind     ActionKind
	LaunchID string
	Command  *Command
	Reason   string // for the log
}

// Command is a change under way to one boot.
type Command struct {
	ID            string `json:"id"`
	Incarnation   string `json:"boot"`
	BaseEdition   uint64 `json:"base"`
	TargetEdition uint64 `json:"target"`
}

// Config are the waits, in microseconds.
type Config struct {
	HealthyProbeInterval   int64 // between two looks at a broker that is as it should be
	UnhealthyProbeInterval int64 // and at one that is not
	DrainTimeout           int64 // from asking to drain to killing
	InitialBackoff         int64 // after a crash; doubles
	MaxBackoff             int64
	StableRunTime          int64 // a run of this length ends the doubling
	CrashWindow            int64
	FlappingThreshold      int   // crashes within the window that make it flap
	StatusTTL              int64 // without an answer for so long, a boot's word counts no more
	BreakerThreshold       int   // failed calls in a row that open the breaker
	InitialBreakerOpen     int64 // how long it stays open; doubles
	MaxBreakerOpen         int64
}

// DefaultConfig suit brokers whose longest deadline is some seconds.
func DefaultConfig() Config {
	const ms, s = int64(1000), int64(1000000)
	return Config{HealthyProbeInterval: 1 * s, UnhealthyProbeInterval: 50 * ms, DrainTimeout: 15 * s, InitialBackoff: 500 * ms, MaxBackoff: 30 * s, StableRunTime: 60 * s,
		CrashWindow: 60 * s, FlappingThreshold: 3, StatusTTL: 3 * s, BreakerThreshold: 5, InitialBreakerOpen: 500 * ms, MaxBreakerOpen: 10 * s}
}

// Phase is what is known of the process.
type Phase uint8

// The phases.
const (
	NoProcess     Phase = iota // surely none runs
	StartIntended              // one may have been started with Mark
	Running                    // Identity runs
	Draining                   // it was asked to drain
)

// Controller is what an agent knows of one instance. The exported fields survive the agent's death in its journal.
type Controller struct {
	Name        string
	Desired     Desired
	Phase       Phase
	LaunchID    string
	Process     process.Identity
	StartDigest string   // digest of the start settings of the process
	Pending     *Command // a change whose answer is unknown

	t      Config
	rnd    func() float64
	budget *retry.Budget // of repeats, shared by all instances of the agent
	br     retry.Breaker

	boot     string // as the broker said last; empty: it has not, or not for too long
	applied  uint64
	list     int64
	nodes    int
	healthy  bool
	lookedAt int64 // the last answer
	nextLook int64
	ready    bool // it has answered since it was started

	aliveAt int64
	termAt  int64
	killed  bool
	crashes []int64 // within the window
	total   int
	wait    int64 // the next backoff
	startAt int64 // not before this
	fails   int   // calls in a row
	refused uint64
	err     string
	drops   bool
	calmAt  int64 // no change before this
}

// New returns what is known of an instance that was never seen. rnd gives numbers from 0 to 1 for jitter.
func New(name string, t Config, b *retry.Budget, rnd func() float64) *Controller {
	return &Controller{Name: name, t: t, budget: b, rnd: rnd, wait: t.InitialBackoff,
		br: retry.Breaker{Threshold: t.BreakerThreshold, InitialOpen: t.InitialBreakerOpen, MaxOpen: t.MaxBreakerOpen}}
}

// jitter spreads a wait over its second half.
func (m *Controller) jitter(d int64) int64 { return d/2 + int64(m.rnd()*float64(d/2)) }

// SetDesired takes in what is wanted. A new target gives a refused one another chance.
func (m *Controller) SetDesired(w Desired) {
	if w.TargetEdition != m.Desired.TargetEdition {
		m.refused = 0
	}
	if w.StartDigest != m.Desired.StartDigest || w.Run != m.Desired.Run { // another start may well succeed where this one crashed
		m.startAt, m.wait, m.crashes = 0, m.t.InitialBackoff, nil
	}
	m.Desired = w
	m.nextLook = 0
}

// Next says what to do now, and when to ask again at the latest.
func (m *Controller) Next(now int64) (Action, int64) {
	const never = int64(1) << 62
	switch m.Phase {
	case StartIntended:
		return Action{Kind: FindProcess, LaunchID: m.LaunchID, Reason: "an earlier agent may have started it"}, now
	case NoProcess:
		switch {
		case m.Desired.Released:
			if m.drops {
				return Action{}, never
			}
			m.drops = true
			return Action{Kind: ForgetInstance, Reason: "it has ended and is not this agent's any more"}, now
		case !m.Desired.Run:
			return Action{}, never
		case now < m.startAt:
			return Action{}, m.startAt
		}
		m.drops = false
		return Action{Kind: StartProcess, Reason: "it should run"}, now
	case Draining:
		if m.killed {
			return Action{}, never
		}
		if due := m.termAt + m.t.DrainTimeout; now < due {
			return Action{}, due
		}
		m.killed = true
		return Action{Kind: Kill, Reason: "it did not drain in time"}, now
	}
	// It is alive.
	switch {
	case !m.Desired.Run || m.Desired.Released:
		return m.leave(now, "it should not run")
	case m.StartDigest != m.Desired.StartDigest:
		return m.leave(now, "its start settings have changed")
	}
	if m.boot != "" && now-m.lookedAt > m.t.StatusTTL {
		m.boot, m.applied, m.healthy = "", 0, false // what it said is too old to be repeated as true
	}
	if m.Pending != nil && m.Pending.TargetEdition != m.Desired.TargetEdition {
		// What is wanted has moved on: asked again, the same id would carry another content. Whether the old command was
		// taken shows at the next look.
		m.Pending, m.boot, m.nextLook = nil, "", 0
	}
	if m.Pending != nil && m.boot != "" && m.Pending.Incarnation == m.boot {
		if m.fails > 0 && now < m.nextLook {
			return Action{}, m.nextLook
		}
		if ok, at := m.br.Allow(now); !ok {
			return Action{}, at
		}
		return Action{Kind: SendCommand, Command: m.Pending, Reason: "its answer is not known"}, now
	}
	if m.boot != "" && m.lookedAt > 0 && m.applied < m.Desired.TargetEdition && m.refused != m.Desired.TargetEdition && m.Pending == nil &&
		now-m.lookedAt <= m.t.HealthyProbeInterval && now >= m.calmAt {
		if ok, at := m.br.Allow(now); !ok {
			return Action{}, at
		}
		m.Pending = &Command{ID: fmt.Sprintf("%s.%s.%d", m.boot, m.LaunchID, m.Desired.TargetEdition), Incarnation: m.boot, BaseEdition: m.applied, TargetEdition: m.Desired.TargetEdition}
		return Action{Kind: SendCommand, Command: m.Pending, Reason: "it holds an older revision"}, now
	}
	if now < m.nextLook {
		return Action{}, m.nextLook
	}
	if ok, at := m.br.Allow(now); !ok {
		return Action{}, at
	}
	return Action{Kind: Probe}, now
}

func (m *Controller) leave(now int64, reason string) (Action, int64) {
	m.Phase, m.termAt, m.killed = Draining, now, false
	return Action{Kind: Terminate, Reason: reason}, now
}

// RecordStartIntent takes in that a process is about to be started with a mark; it must be on disk before it is.
func (m *Controller) RecordStartIntent(mark, digest string) {
	m.Phase, m.LaunchID, m.StartDigest = StartIntended, mark, digest
}

// RecordRunning takes in that the process is there: started now, or found to be running from before.
func (m *Controller) RecordRunning(id process.Identity, now int64) {
	m.Phase, m.Process, m.aliveAt, m.killed = Running, id, now, false
	m.forget()
	m.ready, m.nextLook, m.fails, m.calmAt = false, 0, 0, 0
	m.br = retry.Breaker{Threshold: m.t.BreakerThreshold, InitialOpen: m.t.InitialBreakerOpen, MaxOpen: m.t.MaxBreakerOpen}
}

// forget drops what a boot said.
func (m *Controller) forget() {
	m.boot, m.applied, m.healthy, m.lookedAt, m.list, m.nodes = "", 0, false, 0, 0, 0
}

// RecordNotFound takes in that no process has the mark.
func (m *Controller) RecordNotFound() { m.Phase, m.Process = NoProcess, process.Identity{} }

// RecordExit takes in that the process is no more. text says how.
func (m *Controller) RecordExit(now int64, text string) {
	asked := m.Phase == Draining
	m.Phase, m.Process, m.Pending = NoProcess, process.Identity{}, nil
	m.forget()
	if asked {
		m.err, m.startAt, m.wait = "", 0, m.t.InitialBackoff
		return
	}
	m.crashed(now, text)
}

// RecordStartFailure takes in that no process could be started.
func (m *Controller) RecordStartFailure(now int64, err error) {
	m.Phase, m.Process, m.aliveAt = NoProcess, process.Identity{}, now
	m.crashed(now, err.Error())
}

func (m *Controller) crashed(now int64, text string) {
	if now-m.aliveAt >= m.t.StableRunTime {
		m.wait = m.t.InitialBackoff
	}
	m.total++
	m.crashes = append(m.crashes, now)
	m.err = text
	m.startAt = now + m.jitter(m.wait)
	m.wait = min(2*m.wait, m.t.MaxBackoff)
}

// flapping reports whether it has crashed too often within the window.
func (m *Controller) flapping(now int64) bool {
	for len(m.crashes) > 0 && now-m.crashes[0] > m.t.CrashWindow {
		m.crashes = m.crashes[1:]
	}
	return len(m.crashes) >= m.t.FlappingThreshold
}

// RecordProbe takes in the answer to a look, or that none came.
func (m *Controller) RecordProbe(now int64, st *control.State, healthy bool, err error) {
	if m.Phase != Running {
		return
	}
	if err != nil {
		m.failed(now, "control endpoint: "+err.Error())
		return
	}
	if st.StartDigest != m.StartDigest || st.PID != m.Process.PID {
		// Somebody else answers at the address: its word is not this process's.
		m.failed(now, fmt.Sprintf("the control endpoint is that of pid %d started as %q", st.PID, st.StartDigest))
		return
	}
	m.passed(now)
	if m.Pending != nil && m.Pending.Incarnation != st.Boot {
		m.Pending = nil // its boot is gone, and what it had taken with it
	}
	m.boot, m.applied, m.healthy, m.list, m.nodes = st.Boot, st.AppliedRevision, healthy && !st.Draining, st.EndpointListRevision, st.NodeCount
	m.lookedAt, m.ready = now, true
	m.nextLook = now + m.t.HealthyProbeInterval
	if !m.healthy {
		m.nextLook = now + m.t.UnhealthyProbeInterval
	}
}

// RecordOutcome takes in the answer to a command, or that none came. An answer to any but the pending command is an old one.
func (m *Controller) RecordOutcome(now int64, id string, o *control.Outcome, err error) {
	if m.Pending == nil || m.Pending.ID != id {
		return
	}
	if err != nil {
		m.failed(now, "change: "+err.Error())
		return
	}
	m.passed(now)
	c := m.Pending
	switch o.Code {
	case control.CodeApplied:
		m.Pending = nil
		if o.Boot == m.boot {
			m.applied, m.lookedAt, m.err = o.AppliedRevision, now, ""
		}
	case control.CodeRejected, control.CodeIDConflict:
		m.Pending = nil
		m.refused, m.err = c.TargetEdition, string(o.Code)+": "+o.Reason
	default: // another boot, another revision, or a newer agent: look again before anything else
		m.Pending = nil
		m.err = string(o.Code) + ": " + o.Reason
	}
	m.nextLook = 0
	if o.Code == control.CodeFenced || o.Code == control.CodeDraining {
		m.calmAt = now + m.jitter(m.t.HealthyProbeInterval)
	}
}

// RecordNotSent takes in that a command that Next had begun could not be written down, and so was not sent.
func (m *Controller) RecordNotSent() {
	m.Pending = nil
	m.br.Cancel()
}

func (m *Controller) passed(now int64) {
	m.fails = 0
	m.br.Record(now, true, 0)
	m.budget.RecordCall()
}

// failed takes in a call without an answer. Until a process has answered for the first time it is starting: it is
// asked again and again without being held to have failed. After that a quick repeat has to be in the budget, and too
// many failures in a row open the breaker.
func (m *Controller) failed(now int64, text string) {
	if !m.ready {
		m.br.Record(now, true, 0)
		m.nextLook = now + m.jitter(2*m.t.UnhealthyProbeInterval)
		return
	}
	m.err = text
	m.fails++
	m.br.Record(now, false, m.rnd())
	m.nextLook = now + m.jitter(m.t.HealthyProbeInterval)
	if m.budget.TakeRetry() {
		m.nextLook = now + m.jitter(2*m.t.UnhealthyProbeInterval)
	}
}

// Report is what may be said of it: no more than its boot has said lately.
func (m *Controller) Report(now int64) state.Report {
	r := state.Report{Name: m.Name, Crashes: m.total, Flapping: m.flapping(now), Error: m.err, RejectedEdition: m.refused}
	switch m.Phase {
	case NoProcess:
		r.Process = state.Stopped
		if m.Desired.Released {
			r.Process = state.Absent
		} else if m.Desired.Run && len(m.crashes) > 0 {
			r.Process = state.Backoff
		}
	case StartIntended:
		r.Process = state.Unknown
	case Draining:
		r.Process, r.PID = state.Draining, m.Process.PID
	case Running:
		r.Process, r.PID, r.StartDigest = state.Starting, m.Process.PID, m.StartDigest
		if m.ready {
			r.Process = state.Running
		}
		if m.boot != "" && now-m.lookedAt <= m.t.StatusTTL {
			r.Incarnation, r.AppliedEdition, r.Healthy, r.ListRevision, r.NodeCount = m.boot, m.applied, m.healthy, m.list, m.nodes
		}
	}
	return r
}
