package state

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// broker is one process as it really is, whatever the manager believes.
type broker struct {
	started string // digest of what it was started with
	config  string
	boot    string
	applied uint64
	healthy bool
	up      bool // has been reported healthy once since it was wanted
	crashes int
	told    bool // healthy, at its agent's last call: nobody can know more
}

// hand is one agent as it really is.
type hand struct {
	name     string
	token    uint64
	seq      uint64
	have     uint64
	alive    bool
	synced   bool
	jobs     map[string]Assignment
	brokers  map[string]*broker
	lastSent []Report // the call that may arrive again, late
}

// world is a fleet in which everything that can fail does, at the test's word.
type world struct {
	t       *rapid.T
	s       *State
	log     []*Record // the journal
	snap    []byte
	since   int // records that the snapshot contains
	now     clock.Micros
	hands   map[string]*hand
	boots   int
	cmds    int
	agents  []string
	domains int
}

// trace has a failing run print every record and call.
const trace = false

var testLimits = Limits{MaxRevisions: 50, MaxCommands: 50, AgentTimeout: 3_000_000, MaxReleases: 4}

func (w *world) put(r *Record) {
	if r == nil {
		return
	}
	b, err := r.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	if r, err = DecodeRecord(b); err != nil { // as it comes back from disk
		w.t.Fatal(err)
	}
	if err := w.s.Apply(r); err != nil {
		w.t.Fatalf("%s: %v", b, err)
	}
	w.log = append(w.log, r)
	if trace {
		w.t.Logf("%d %.300s", w.now, b)
	}
}

// exposed counts, from what really is, the instances that have served, should, and do not or are about to stop. Only
// those in among count, where it is given.
func (w *world) exposed(among map[string]bool) (out, of int, all map[string]bool) {
	all = map[string]bool{}
	for name, i := range w.s.instances {
		if i.release.desired == nil || !i.release.desired.Enabled || among != nil && !among[name] {
			continue
		}
		all[name] = true
		var b *broker
		up := false
		for _, h := range w.hands {
			if x := h.brokers[name]; x != nil {
				b, up = x, up || x.up
			}
		}
		if !up {
			continue
		}
		of++
		if b == nil || !b.told || b.started != i.release.desired.Start.Digest() || i.release.desired.Agent != i.agent.name {
			out++
		}
	}
	return out, of, all
}

// step carries out what the manager finds due, and holds every release against the bound.
func (w *world) step() {
	for n := 0; ; n++ {
		if n > 10000 {
			w.t.Fatal("the manager never comes to rest")
		}
		list := w.s.Step(w.now)
		if len(list) == 0 {
			return
		}
		for _, r := range list {
			before, of, all := w.exposed(nil)
			var most int
			if w.s.rollouts.active != nil {
				most = max(w.s.rollouts.active.strategy.MaxUnavailable.Of(of), 1)
			}
			w.put(r)
			if after, _, _ := w.exposed(all); r.Kind == RecordInstancesReleased && after > max(before, most) {
				w.t.Fatalf("release of %v takes %d of %d out of service, %d before, at most %d may", r.Instances, after, of, before, most)
			}
		}
	}
}

// sync has an agent call the manager.
func (w *world) sync(h *hand) {
	if !h.alive {
		return
	}
	if h.token == 0 {
		r := w.s.Register(h.name, 0, w.now)
		w.put(r)
		h.token, h.seq, h.have, h.synced = r.Token, 0, 0, false
	}
	h.seq++
	var reports []Report
	for _, name := range slices.Sorted(maps.Keys(h.jobs)) {
		reports = append(reports, w.report(h, name))
	}
	h.lastSent = reports
	if err := w.s.Observe(&AgentSync{Agent: h.name, Token: h.token, Sequence: h.seq, AssignmentVersion: h.have, Full: true, Reports: reports}, w.now); err != nil {
		if !errors.Is(err, ErrFenced) {
			w.t.Fatal(err)
		}
		h.alive = false // a newer one is there: it stands down
		return
	}
	for _, b := range h.brokers {
		b.told = b.healthy && b.crashes <= 2
		b.up = b.up || b.told
	}
	list, version := w.s.Assignments(h.name, h.have)
	if trace {
		w.t.Logf("%s token %d seq %d reports %+v gets %+v", h.name, h.token, h.seq, reports, list)
	}
	if h.have == 0 { // all there is: what is not in it has been taken away
		for name := range h.jobs {
			h.jobs[name] = Assignment{Name: name, Release: true}
		}
	}
	for _, a := range list {
		h.jobs[a.Name] = a
	}
	h.have = version
}

func (w *world) report(h *hand, name string) Report {
	b := h.brokers[name]
	a := h.jobs[name]
	r := Report{Name: name, Process: Stopped}
	switch {
	case b == nil && (a.Desired == nil || a.Release):
		r.Process = Absent
	case b != nil && b.crashes > 2:
		r.Process, r.Flapping, r.Crashes = Backoff, true, b.crashes
	case b != nil:
		r.Process, r.Incarnation, r.AppliedEdition, r.StartDigest, r.Healthy = Running, b.boot, b.applied, b.started, b.healthy
	}
	return r
}

// work has an agent do one thing for each of its instances.
func (w *world) work(h *hand) {
	if !h.alive {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(h.jobs)) {
		a, b := h.jobs[name], h.brokers[name]
		switch {
		case a.Release || a.Desired == nil || !a.Desired.Enabled:
			delete(h.brokers, name)
		case b == nil || b.started != a.Desired.Start.Digest():
			for _, o := range w.hands {
				if o != h && o.brokers[name] != nil {
					w.t.Fatalf("%s is started at %s and still runs at %s", name, h.name, o.name)
				}
			}
			w.boots++
			old := b
			b = &broker{started: a.Desired.Start.Digest(), config: a.Desired.Start.Config, boot: fmt.Sprint("b", w.boots), healthy: a.Desired.Start.Config != badConfig}
			if old != nil {
				b.up = old.up
			}
			h.brokers[name] = b
		case b.config == badConfig:
			b.crashes++
		case !b.healthy:
			w.boots++
			b.boot, b.applied, b.healthy = fmt.Sprint("b", w.boots), 0, true
		case b.applied != a.TargetEdition:
			if a.TargetEdition < b.applied {
				w.t.Fatalf("%s goes back from revision %d to %d", name, b.applied, a.TargetEdition)
			}
			b.applied = a.TargetEdition
		}
	}
}

var goodText, badText = "good", "bad"
var badConfig = spec.ConfigDigest([]byte(badText))

// draw makes up a fleet.
func (w *world) draw(t *rapid.T, good bool) *spec.Spec {
	sp := &spec.Spec{Instances: map[string]*spec.Instance{}, Configs: map[string]string{
		spec.ConfigDigest([]byte(goodText)): goodText, badConfig: badText}}
	n := rapid.IntRange(1, 9).Draw(t, "instances")
	for k := range n {
		name := fmt.Sprint("n", k)
		i := &spec.Instance{Name: name, Agent: rapid.SampledFrom(w.agents).Draw(t, "agent"), Enabled: rapid.IntRange(0, 9).Draw(t, "on") > 0,
			Domain: fmt.Sprint("d", k%w.domains),
			Start: spec.StartSettings{Config: spec.ConfigDigest([]byte(goodText)), Listen: fmt.Sprint("127.0.0.1:", 7000+k),
				MemoryMB: rapid.IntRange(1, 3).Draw(t, "memory")},
			Live: spec.LiveSettings{LogLevel: rapid.SampledFrom([]string{"", "debug"}).Draw(t, "log")}}
		if !good && rapid.IntRange(0, 7).Draw(t, "bad") == 0 {
			i.Start.Config = badConfig
		}
		sp.Instances[name] = i
	}
	return sp
}

func (w *world) command() *Command {
	w.cmds++
	return &Command{ID: fmt.Sprint("c", w.cmds), Author: "test"}
}

func (w *world) strategy(t *rapid.T) Strategy {
	st := DefaultStrategy()
	st.Canary = rapid.IntRange(0, 2).Draw(t, "canary")
	st.Batch = CountOrPercent{Count: rapid.IntRange(1, 5).Draw(t, "batch")}
	st.MaxUnavailable = CountOrPercent{Count: rapid.IntRange(1, 3).Draw(t, "max")}
	st.OneDomainPerWave = rapid.Bool().Draw(t, "domains")
	st.FailureBudget = CountOrPercent{Count: rapid.IntRange(0, 2).Draw(t, "budget")}
	st.OnFailure = rapid.SampledFrom([]string{"pause", "rollback"}).Draw(t, "on failure")
	st.SoakTime, st.ProgressDeadline = 1_000_000, 20_000_000
	return st
}

// restart has the manager die and come back from its journal, or from a snapshot and what came after it. Both must
// lead to the same state.
func (w *world) restart() {
	whole := New(testLimits)
	for _, r := range w.log {
		if err := whole.Apply(r); err != nil {
			w.t.Fatal(err)
		}
	}
	if w.snap != nil {
		short, err := Restore(w.snap, testLimits)
		if err != nil {
			w.t.Fatal(err)
		}
		for _, r := range w.log[w.since:] {
			if err := short.Apply(r); err != nil {
				w.t.Fatalf("after a snapshot: %v", err)
			}
		}
		a, b := w.image(whole), w.image(short)
		if !bytes.Equal(a, b) {
			w.t.Fatalf("a snapshot leads elsewhere:\n%s\n%s", a, b)
		}
	}
	whole.FinishReplay()
	w.s = whole
	for _, h := range w.hands {
		h.have = 0 // another life of the manager: all assignments are asked for anew
		h.seq = 0
	}
}

// image is a state in one form. What has been seen differs between the two ways and is left out.
func (w *world) image(s *State) []byte {
	b, err := s.Snapshot()
	if err == nil {
		s, err = Restore(b, testLimits)
	}
	if err != nil {
		w.t.Fatal(err)
	}
	for _, i := range s.instances {
		i.availability.hasServed, i.availability.restarting, i.release.previous = false, false, nil
	}
	for _, r := range s.rollouts.finished {
		for _, m := range r.members {
			m.conforming = false
		}
	}
	if b, err = s.Snapshot(); err != nil {
		w.t.Fatal(err)
	}
	return b
}

// Whatever fails in whatever order: no release takes more out of service than allowed, no instance runs twice, no
// broker goes back, a replay gives the same state as a snapshot; and once faults stop everything becomes as wanted,
// and is reported so exactly when it is so.
func TestFleetHoldsItsRulesAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, s: New(testLimits), hands: map[string]*hand{}, agents: []string{"a1", "a2", "a3"}, domains: 2, now: 1}
		for _, name := range w.agents {
			w.hands[name] = &hand{name: name, alive: true, jobs: map[string]Assignment{}, brokers: map[string]*broker{}}
		}
		pick := func() *hand { return w.hands[rapid.SampledFrom(w.agents).Draw(t, "hand")] }
		tick := func() {
			w.now += 300_000
			for _, name := range w.agents {
				w.work(w.hands[name])
				w.sync(w.hands[name])
			}
			w.step()
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) { tick() },
			"ticks": func(t *rapid.T) {
				for range rapid.IntRange(2, 30).Draw(t, "n") {
					tick()
				}
			},
			"apply": func(t *rapid.T) {
				c := w.command()
				r, _, err := w.s.Propose(c, w.draw(t, false), w.strategy(t), w.now)
				if err != nil {
					t.Fatal(err)
				}
				w.put(r)
				if _, seen := w.s.CommandResult(c.ID); r != nil && !seen {
					t.Fatal("a command is not remembered")
				}
			},
			"rollback": func(t *rapid.T) {
				r, _, err := w.s.Rollback(w.command(), uint64(rapid.IntRange(0, int(w.s.desired.revision)).Draw(t, "to")), w.strategy(t), rapid.Bool().Draw(t, "nodes"), w.now)
				if err != nil && !errors.Is(err, ErrNotFound) {
					t.Fatal(err)
				}
				w.put(r)
			},
			"nodes": func(t *rapid.T) {
				ch := NodeChange{ID: "s-1", Override: &spec.NodeOverride{ID: "s-1", State: rapid.SampledFrom([]spec.NodeOverrideState{spec.NodeDraining, spec.NodeRemoved}).Draw(t, "state")}}
				if rapid.Bool().Draw(t, "back") {
					ch.Override = nil
				}
				r, err := w.s.SetNodes(w.command(), []NodeChange{ch}, w.now)
				if err != nil && !errors.Is(err, ErrNotFound) {
					t.Fatal(err)
				}
				w.put(r)
			},
			"steer": func(t *rapid.T) {
				r, err := w.s.SetRolloutPhase(w.command(), 0, rapid.SampledFrom([]Phase{Paused, Active, Aborted}).Draw(t, "phase"), w.now)
				if err == nil {
					w.put(r)
				}
			},
			"agent dies": func(t *rapid.T) { pick().alive = false },
			"agent comes back": func(t *rapid.T) {
				if h := pick(); !h.alive {
					h.alive, h.token = true, 0
				}
			},
			"an older agent calls": func(t *rapid.T) {
				h := pick()
				if h.token > 1 && w.s.CheckToken(h.name, h.token) == nil {
					if err := w.s.Observe(&AgentSync{Agent: h.name, Token: h.token - 1, Sequence: 1 << 40, Full: true}, w.now); !errors.Is(err, ErrFenced) {
						t.Fatalf("an older token: %v", err)
					}
				}
			},
			"a call arrives again, late": func(t *rapid.T) {
				h := pick()
				if h.alive && h.seq > 0 && h.lastSent != nil {
					w.s.Observe(&AgentSync{Agent: h.name, Token: h.token, Sequence: h.seq, AssignmentVersion: h.have, Full: true}, w.now)
				}
			},
			"broker crashes": func(t *rapid.T) {
				h := pick()
				for _, name := range []string{"n0", "n1", "n2", "n3", "n4"} {
					if b := h.brokers[name]; b != nil && rapid.Bool().Draw(t, "this") {
						b.healthy = false
						break
					}
				}
			},
			"a machine burns, and its agent is retired": func(t *rapid.T) {
				h := pick()
				if h.alive || w.s.agents.byName[h.name] == nil || !w.s.agents.byName[h.name].session.silent {
					return
				}
				h.jobs, h.brokers = map[string]Assignment{}, map[string]*broker{} // nothing is left of it
				r, err := w.s.Retire(w.command(), h.name, w.now)
				if err != nil {
					t.Fatal(err)
				}
				w.put(r)
			},
			"the clock jumps": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "forward") {
					w.now += 3600_000_000
				} else if w.now > 1_000_000 { // a step that is told an earlier time than before
					if list := w.s.Step(w.now - 1_000_000); len(list) > 0 {
						w.put(list[0])
					}
				}
			},
			"manager restarts": func(t *rapid.T) { w.restart() },
			"snapshot": func(t *rapid.T) {
				b, err := w.s.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				w.snap, w.since = b, len(w.log)
			},
		})
		// Faults stop, and a sound fleet is asked for.
		for _, h := range w.hands {
			if !h.alive {
				h.alive, h.token = true, 0
			}
		}
		want := w.draw(t, true)
		st := w.strategy(t)
		st.FailureBudget = CountOrPercent{Percent: 100}
		if w.s.rollouts.active != nil {
			r, err := w.s.SetRolloutPhase(w.command(), 0, Aborted, w.now)
			if err != nil {
				t.Fatal(err)
			}
			w.put(r)
		}
		for len(w.s.rollouts.queued) > 0 {
			r, err := w.s.SetRolloutPhase(w.command(), w.s.rollouts.queued[0].revision, Aborted, w.now)
			if err != nil {
				t.Fatal(err)
			}
			w.put(r)
		}
		r, _, err := w.s.Propose(w.command(), want, st, w.now)
		if err != nil {
			t.Fatal(err)
		}
		w.put(r)
		for n := 0; !w.s.Settled(); n++ {
			if n == 2000 {
				for _, x := range w.s.Instances(spec.Selector{}) {
					t.Logf("%+v", x)
				}
				t.Fatalf("never settled: %+v", w.s.Rollouts(1))
			}
			tick()
		}
		for name, i := range want.Instances {
			b := w.hands[i.Agent].brokers[name]
			if !i.Enabled {
				if b != nil {
					t.Fatalf("%s runs and should not", name)
				}
				continue
			}
			if b == nil || b.started != i.Start.Digest() || b.applied != w.s.targetEdition(w.s.instances[name]) {
				t.Fatalf("%s is reported current and is %+v", name, b)
			}
		}
		for _, h := range w.hands {
			for name := range h.brokers {
				if i := want.Instances[name]; i == nil || i.Agent != h.name {
					t.Fatalf("%s still runs at %s", name, h.name)
				}
			}
		}
	})
}
