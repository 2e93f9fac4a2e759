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

// Want is what the instance should be.
type Want struct {
	Run    bool
	Drop   bool   // not this agent's any more: forget it once it has ended
	Digest string // of the start settings
	Target uint64 // revision that its broker should hold
}

// Do is what to do next.
type Do uint8

// What there is to do.
const (
	Nothing Do = iota
	Find       // look for a process with Mark
	Start      // start one with Mark
	Term       // ask the process to drain
	Kill
	Look   // ask the broker's control endpoint and its fronts
	Change // send Command
	Forget // nothing is left of it
)

// Action is one thing to do; after it the agent reports back before it asks again.
type Action struct {
	Do      Do
	Mark    string
	Command *Command
	Reason  string // for the log
}

// Command is a change under way to one boot.
type Command struct {
	ID     string `json:"id"`
	Boot   string `json:"boot"`
	Base   uint64 `json:"base"`
	Target uint64 `json:"target"`
}

// Times are the waits, in microseconds.
type Times struct {
	Look         int64 // between two looks at a broker that is as it should be
	Soon         int64 // and at one that is not
	Drain        int64 // from asking to drain to killing
	BackoffFirst int64 // after a crash; doubles
	BackoffMost  int64
	Steady       int64 // a run of this length ends the doubling
	FlapWindow   int64
	Flaps        int   // crashes within the window that make it flap
	Deaf         int64 // without an answer for so long, a boot's word counts no more
	TripAfter    int   // failed calls in a row that open the breaker
	TripFirst    int64 // how long it stays open; doubles
	TripMost     int64
}

// DefaultTimes suit brokers whose longest deadline is some seconds.
func DefaultTimes() Times {
	const ms, s = int64(1000), int64(1000000)
	return Times{Look: 1 * s, Soon: 50 * ms, Drain: 15 * s, BackoffFirst: 500 * ms, BackoffMost: 30 * s, Steady: 60 * s,
		FlapWindow: 60 * s, Flaps: 3, Deaf: 3 * s, TripAfter: 5, TripFirst: 500 * ms, TripMost: 10 * s}
}

// Phase is what is known of the process.
type Phase uint8

// The phases.
const (
	None    Phase = iota // surely none runs
	Intent               // one may have been started with Mark
	Alive                // Identity runs
	Leaving              // it was asked to drain
)

// Mind is what an agent knows of one instance. The exported fields survive the agent's death in its journal.
type Mind struct {
	Name    string
	Want    Want
	Phase   Phase
	Mark    string
	ID      process.Identity
	Started string   // digest of the start settings of the process
	Pending *Command // a change whose answer is unknown

	t      Times
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
func New(name string, t Times, b *retry.Budget, rnd func() float64) *Mind {
	return &Mind{Name: name, t: t, budget: b, rnd: rnd, wait: t.BackoffFirst,
		br: retry.Breaker{After: t.TripAfter, First: t.TripFirst, Most: t.TripMost}}
}

// jitter spreads a wait over its second half.
func (m *Mind) jitter(d int64) int64 { return d/2 + int64(m.rnd()*float64(d/2)) }

// Set takes in what is wanted. A new target gives a refused one another chance.
func (m *Mind) Set(w Want) {
	if w.Target != m.Want.Target {
		m.refused = 0
	}
	if w.Digest != m.Want.Digest || w.Run != m.Want.Run { // another start may well succeed where this one crashed
		m.startAt, m.wait, m.crashes = 0, m.t.BackoffFirst, nil
	}
	m.Want = w
	m.nextLook = 0
}

// Next says what to do now, and when to ask again at the latest.
func (m *Mind) Next(now int64) (Action, int64) {
	const never = int64(1) << 62
	switch m.Phase {
	case Intent:
		return Action{Do: Find, Mark: m.Mark, Reason: "an earlier agent may have started it"}, now
	case None:
		switch {
		case m.Want.Drop:
			if m.drops {
				return Action{}, never
			}
			m.drops = true
			return Action{Do: Forget, Reason: "it has ended and is not this agent's any more"}, now
		case !m.Want.Run:
			return Action{}, never
		case now < m.startAt:
			return Action{}, m.startAt
		}
		m.drops = false
		return Action{Do: Start, Reason: "it should run"}, now
	case Leaving:
		if m.killed {
			return Action{}, never
		}
		if due := m.termAt + m.t.Drain; now < due {
			return Action{}, due
		}
		m.killed = true
		return Action{Do: Kill, Reason: "it did not drain in time"}, now
	}
	// It is alive.
	switch {
	case !m.Want.Run || m.Want.Drop:
		return m.leave(now, "it should not run")
	case m.Started != m.Want.Digest:
		return m.leave(now, "its start settings have changed")
	}
	if m.boot != "" && now-m.lookedAt > m.t.Deaf {
		m.boot, m.applied, m.healthy = "", 0, false // what it said is too old to be repeated as true
	}
	if m.Pending != nil && m.Pending.Target != m.Want.Target {
		// What is wanted has moved on: asked again, the same id would carry another content. Whether the old command was
		// taken shows at the next look.
		m.Pending, m.boot, m.nextLook = nil, "", 0
	}
	if m.Pending != nil && m.boot != "" && m.Pending.Boot == m.boot {
		if m.fails > 0 && now < m.nextLook {
			return Action{}, m.nextLook
		}
		if ok, at := m.br.Allow(now); !ok {
			return Action{}, at
		}
		return Action{Do: Change, Command: m.Pending, Reason: "its answer is not known"}, now
	}
	if m.boot != "" && m.lookedAt > 0 && m.applied < m.Want.Target && m.refused != m.Want.Target && m.Pending == nil &&
		now-m.lookedAt <= m.t.Look && now >= m.calmAt {
		if ok, at := m.br.Allow(now); !ok {
			return Action{}, at
		}
		m.Pending = &Command{ID: fmt.Sprintf("%s.%s.%d", m.boot, m.Mark, m.Want.Target), Boot: m.boot, Base: m.applied, Target: m.Want.Target}
		return Action{Do: Change, Command: m.Pending, Reason: "it holds an older revision"}, now
	}
	if now < m.nextLook {
		return Action{}, m.nextLook
	}
	if ok, at := m.br.Allow(now); !ok {
		return Action{}, at
	}
	return Action{Do: Look}, now
}

func (m *Mind) leave(now int64, reason string) (Action, int64) {
	m.Phase, m.termAt, m.killed = Leaving, now, false
	return Action{Do: Term, Reason: reason}, now
}

// Starting takes in that a process is about to be started with a mark; it must be on disk before it is.
func (m *Mind) Starting(mark, digest string) { m.Phase, m.Mark, m.Started = Intent, mark, digest }

// Running takes in that the process is there: started now, or found to be running from before.
func (m *Mind) Running(id process.Identity, now int64) {
	m.Phase, m.ID, m.aliveAt, m.killed = Alive, id, now, false
	m.forget()
	m.ready, m.nextLook, m.fails, m.calmAt = false, 0, 0, 0
	m.br = retry.Breaker{After: m.t.TripAfter, First: m.t.TripFirst, Most: m.t.TripMost}
}

// forget drops what a boot said.
func (m *Mind) forget() {
	m.boot, m.applied, m.healthy, m.lookedAt, m.list, m.nodes = "", 0, false, 0, 0, 0
}

// NotFound takes in that no process has the mark.
func (m *Mind) NotFound() { m.Phase, m.ID = None, process.Identity{} }

// Ended takes in that the process is no more. text says how.
func (m *Mind) Ended(now int64, text string) {
	asked := m.Phase == Leaving
	m.Phase, m.ID, m.Pending = None, process.Identity{}, nil
	m.forget()
	if asked {
		m.err, m.startAt, m.wait = "", 0, m.t.BackoffFirst
		return
	}
	m.crashed(now, text)
}

// StartFailed takes in that no process could be started.
func (m *Mind) StartFailed(now int64, err error) {
	m.Phase, m.ID, m.aliveAt = None, process.Identity{}, now
	m.crashed(now, err.Error())
}

func (m *Mind) crashed(now int64, text string) {
	if now-m.aliveAt >= m.t.Steady {
		m.wait = m.t.BackoffFirst
	}
	m.total++
	m.crashes = append(m.crashes, now)
	m.err = text
	m.startAt = now + m.jitter(m.wait)
	m.wait = min(2*m.wait, m.t.BackoffMost)
}

// flapping reports whether it has crashed too often within the window.
func (m *Mind) flapping(now int64) bool {
	for len(m.crashes) > 0 && now-m.crashes[0] > m.t.FlapWindow {
		m.crashes = m.crashes[1:]
	}
	return len(m.crashes) >= m.t.Flaps
}

// Looked takes in the answer to a look, or that none came.
func (m *Mind) Looked(now int64, st *control.State, healthy bool, err error) {
	if m.Phase != Alive {
		return
	}
	if err != nil {
		m.failed(now, "control endpoint: "+err.Error())
		return
	}
	if st.StartDigest != m.Started || st.PID != m.ID.PID {
		// Somebody else answers at the address: its word is not this process's.
		m.failed(now, fmt.Sprintf("the control endpoint is that of pid %d started as %q", st.PID, st.StartDigest))
		return
	}
	m.passed(now)
	if m.Pending != nil && m.Pending.Boot != st.Boot {
		m.Pending = nil // its boot is gone, and what it had taken with it
	}
	m.boot, m.applied, m.healthy, m.list, m.nodes = st.Boot, st.AppliedRevision, healthy && !st.Draining, st.EndpointListRevision, st.NodeCount
	m.lookedAt, m.ready = now, true
	m.nextLook = now + m.t.Look
	if !m.healthy {
		m.nextLook = now + m.t.Soon
	}
}

// Changed takes in the answer to a command, or that none came. An answer to any but the pending command is an old one.
func (m *Mind) Changed(now int64, id string, o *control.Outcome, err error) {
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
		m.refused, m.err = c.Target, string(o.Code)+": "+o.Reason
	default: // another boot, another revision, or a newer agent: look again before anything else
		m.Pending = nil
		m.err = string(o.Code) + ": " + o.Reason
	}
	m.nextLook = 0
	if o.Code == control.CodeFenced || o.Code == control.CodeDraining {
		m.calmAt = now + m.jitter(m.t.Look)
	}
}

// NotSent takes in that a command that Next had begun could not be written down, and so was not sent.
func (m *Mind) NotSent() {
	m.Pending = nil
	m.br.Release()
}

func (m *Mind) passed(now int64) {
	m.fails = 0
	m.br.Done(now, true, 0)
	m.budget.Call()
}

// failed takes in a call without an answer. Until a process has answered for the first time it is starting: it is
// asked again and again without being held to have failed. After that a quick repeat has to be in the budget, and too
// many failures in a row open the breaker.
func (m *Mind) failed(now int64, text string) {
	if !m.ready {
		m.br.Done(now, true, 0)
		m.nextLook = now + m.jitter(2*m.t.Soon)
		return
	}
	m.err = text
	m.fails++
	m.br.Done(now, false, m.rnd())
	m.nextLook = now + m.jitter(m.t.Look)
	if m.budget.Repeat() {
		m.nextLook = now + m.jitter(2*m.t.Soon)
	}
}

// Report is what may be said of it: no more than its boot has said lately.
func (m *Mind) Report(now int64) state.Report {
	r := state.Report{Name: m.Name, Crashes: m.total, Flapping: m.flapping(now), Error: m.err, RejectedEdition: m.refused}
	switch m.Phase {
	case None:
		r.Process = state.Stopped
		if m.Want.Drop {
			r.Process = state.Absent
		} else if m.Want.Run && len(m.crashes) > 0 {
			r.Process = state.Backoff
		}
	case Intent:
		r.Process = state.Unknown
	case Leaving:
		r.Process, r.PID = state.Draining, m.ID.PID
	case Alive:
		r.Process, r.PID, r.StartDigest = state.Starting, m.ID.PID, m.Started
		if m.ready {
			r.Process = state.Running
		}
		if m.boot != "" && now-m.lookedAt <= m.t.Deaf {
			r.Incarnation, r.AppliedEdition, r.Healthy, r.ListRevision, r.NodeCount = m.boot, m.applied, m.healthy, m.list, m.nodes
		}
	}
	return r
}
