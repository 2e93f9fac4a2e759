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

// broker is one process as it really is, which may differ from what the manager knows.
type broker struct {
	started     string // digest of what it was started with
	config      string
	incarnation string
	applied     uint64
	healthy     bool
	up          bool // it has been reported healthy since it was enabled
	crashes     int
	reported    bool // healthy at its agent's last call
}

// simulatedAgent is one agent as it really is.
type simulatedAgent struct {
	name        string
	token       uint64
	sequence    uint64 // of its last call
	version     uint64 // of its assignments
	alive       bool
	assignments map[string]Assignment
	brokers     map[string]*broker
	lastSent    []Report // the call that may arrive again, late
}

// world is a fleet whose parts fail when the test says so, and its manager's state.
type world struct {
	t               *rapid.T
	s               *State
	log             []*Record // the journal
	snapshot        []byte
	snapshotRecords int // that the snapshot contains
	now             clock.Micros
	agents          map[string]*simulatedAgent
	incarnations    int
	commands        int
	agentNames      []string
	domains         int
}

// trace makes a run print every record and call.
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

// exposed counts the instances that have served, should serve, and do not serve or are about to stop. Where among is given,
// only its instances count.
func (w *world) exposed(among map[string]bool) (out, of int, all map[string]bool) {
	all = map[string]bool{}
	for name, i := range w.s.instances {
		if i.release.desired == nil || !i.release.desired.Enabled || among != nil && !among[name] {
			continue
		}
		all[name] = true
		var b *broker
		up := false
		for _, sim := range w.agents {
			if x := sim.brokers[name]; x != nil {
				b, up = x, up || x.up
			}
		}
		if !up {
			continue
		}
		of++
		if b == nil || !b.reported || b.started != i.release.desired.Start.Digest() || i.release.desired.Agent != i.agent.name {
			out++
		}
	}
	return out, of, all
}

// step applies the records that are due, and checks every release against the bound on unavailable instances.
func (w *world) step() {
	for n := 0; ; n++ {
		if n > 10000 {
			w.t.Fatal("the manager always has another record")
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

// sync lets an agent call the manager.
func (w *world) sync(sim *simulatedAgent) {
	if !sim.alive {
		return
	}
	if sim.token == 0 {
		r := w.s.Register(sim.name, 0, w.now)
		w.put(r)
		sim.token, sim.sequence, sim.version = r.Token, 0, 0
	}
	sim.sequence++
	var reports []Report
	for _, name := range slices.Sorted(maps.Keys(sim.assignments)) {
		reports = append(reports, w.report(sim, name))
	}
	sim.lastSent = reports
	call := &AgentSync{
		Agent:             sim.name,
		Token:             sim.token,
		Sequence:          sim.sequence,
		AssignmentVersion: sim.version,
		Full:              true,
		Reports:           reports,
	}
	if err := w.s.Observe(call, w.now); err != nil {
		if !errors.Is(err, ErrFenced) {
			w.t.Fatal(err)
		}
		sim.alive = false // a newer agent has registered: this one ends
		return
	}
	for _, b := range sim.brokers {
		b.reported = b.healthy && b.crashes <= 2
		b.up = b.up || b.reported
	}
	list, version := w.s.Assignments(sim.name, sim.version)
	if trace {
		w.t.Logf("%s token %d seq %d reports %+v gets %+v", sim.name, sim.token, sim.sequence, reports, list)
	}
	if sim.version == 0 { // the list is complete: what is not in it does not belong to the agent
		for name := range sim.assignments {
			sim.assignments[name] = Assignment{Name: name, Release: true}
		}
	}
	for _, a := range list {
		sim.assignments[a.Name] = a
	}
	sim.version = version
}

func (w *world) report(sim *simulatedAgent, name string) Report {
	b := sim.brokers[name]
	a := sim.assignments[name]
	r := Report{Name: name, Process: Stopped}
	switch {
	case b == nil && (a.Desired == nil || a.Release):
		r.Process = Absent
	case b != nil && b.crashes > 2:
		r.Process, r.Flapping, r.Crashes = Backoff, true, b.crashes
	case b != nil:
		r.Process, r.Incarnation, r.AppliedEdition, r.StartDigest, r.Healthy = Running, b.incarnation, b.applied, b.started, b.healthy
	}
	return r
}

// work lets an agent do one thing for each of its instances.
func (w *world) work(sim *simulatedAgent) {
	if !sim.alive {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(sim.assignments)) {
		a, b := sim.assignments[name], sim.brokers[name]
		switch {
		case a.Release || a.Desired == nil || !a.Desired.Enabled:
			delete(sim.brokers, name)
		case b == nil || b.started != a.Desired.Start.Digest():
			for _, o := range w.agents {
				if o != sim && o.brokers[name] != nil {
					w.t.Fatalf("%s is started at %s and still runs at %s", name, sim.name, o.name)
				}
			}
			w.incarnations++
			old := b
			b = &broker{started: a.Desired.Start.Digest(), config: a.Desired.Start.Config, incarnation: fmt.Sprint("b", w.incarnations), healthy: a.Desired.Start.Config != badConfig}
			if old != nil {
				b.up = old.up
			}
			sim.brokers[name] = b
		case b.config == badConfig:
			b.crashes++
		case !b.healthy:
			w.incarnations++
			b.incarnation, b.applied, b.healthy = fmt.Sprint("b", w.incarnations), 0, true
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

// drawSpec draws a desired state; a good one has no configuration that crashes.
func (w *world) drawSpec(t *rapid.T, good bool) *spec.Spec {
	sp := &spec.Spec{Instances: map[string]*spec.Instance{}, Configs: map[string]string{
		spec.ConfigDigest([]byte(goodText)): goodText, badConfig: badText}}
	n := rapid.IntRange(1, 9).Draw(t, "instances")
	for k := range n {
		name := fmt.Sprint("n", k)
		i := &spec.Instance{Name: name, Agent: rapid.SampledFrom(w.agentNames).Draw(t, "agent"), Enabled: rapid.IntRange(0, 9).Draw(t, "on") > 0,
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
	w.commands++
	return &Command{ID: fmt.Sprint("c", w.commands), Author: "test"}
}

func (w *world) drawStrategy(t *rapid.T) Strategy {
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

// restart lets the manager restart from its journal. The snapshot and the records after it must lead to the same state.
func (w *world) restart() {
	replayed := New(testLimits)
	for _, r := range w.log {
		if err := replayed.Apply(r); err != nil {
			w.t.Fatal(err)
		}
	}
	if w.snapshot != nil {
		restored, err := Restore(w.snapshot, testLimits)
		if err != nil {
			w.t.Fatal(err)
		}
		for _, r := range w.log[w.snapshotRecords:] {
			if err := restored.Apply(r); err != nil {
				w.t.Fatalf("after a snapshot: %v", err)
			}
		}
		fromJournal, fromSnapshot := w.image(replayed), w.image(restored)
		if !bytes.Equal(fromJournal, fromSnapshot) {
			w.t.Fatalf("a snapshot leads elsewhere:\n%s\n%s", fromJournal, fromSnapshot)
		}
	}
	replayed.FinishReplay()
	w.s = replayed
	for _, sim := range w.agents {
		sim.version = 0 // the manager's incarnation is a new one: all assignments are fetched again
		sim.sequence = 0
	}
}

// image returns a state in a form that can be compared. What depends on the observed state is left out.
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

// No sequence of failures and commands lets a release take more out of service than allowed, an instance run twice, a
// broker return to an older edition, or a snapshot differ from a replay. Once the failures stop the fleet becomes as
// desired, and is reported as settled exactly then.
func TestFleetConvergesAfterAnyFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"tick":               func(*rapid.T) { w.tick() },
			"ticks":              w.someTicks,
			"apply":              w.applySpec,
			"rollback":           w.rollBack,
			"nodes":              w.changeNodeOverride,
			"phase":              w.changePhase,
			"agent fails":        func(t *rapid.T) { w.pickAgent(t).alive = false },
			"agent returns":      w.agentReturns,
			"fenced agent calls": w.fencedAgentCalls,
			"call arrives again": w.callArrivesAgain,
			"broker crashes":     w.brokerCrashes,
			"machine is lost":    w.machineIsLost,
			"clock jumps":        w.clockJumps,
			"manager restarts":   func(*rapid.T) { w.restart() },
			"snapshot":           w.takeSnapshot,
		})
		w.endFailures()
		want := w.drawSpec(t, true)
		w.releaseAndSettle(want)
		w.checkConverged(want)
	})
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t:          t,
		s:          New(testLimits),
		agents:     map[string]*simulatedAgent{},
		agentNames: []string{"a1", "a2", "a3"},
		domains:    2,
		now:        1,
	}
	for _, name := range w.agentNames {
		w.agents[name] = &simulatedAgent{name: name, alive: true, assignments: map[string]Assignment{}, brokers: map[string]*broker{}}
	}
	return w
}

func (w *world) pickAgent(t *rapid.T) *simulatedAgent {
	return w.agents[rapid.SampledFrom(w.agentNames).Draw(t, "agent")]
}

// tick lets some time pass in which every agent works and calls and the manager acts.
func (w *world) tick() {
	w.now += 300_000
	for _, name := range w.agentNames {
		w.work(w.agents[name])
		w.sync(w.agents[name])
	}
	w.step()
}

func (w *world) someTicks(t *rapid.T) {
	for range rapid.IntRange(2, 30).Draw(t, "n") {
		w.tick()
	}
}

func (w *world) applySpec(t *rapid.T) {
	c := w.command()
	r, _, err := w.s.Propose(c, w.drawSpec(t, false), w.drawStrategy(t), w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.put(r)
	if _, seen := w.s.CommandResult(c.ID); r != nil && !seen {
		t.Fatal("the command's result is not kept")
	}
}

func (w *world) rollBack(t *rapid.T) {
	to := uint64(rapid.IntRange(0, int(w.s.desired.revision)).Draw(t, "to"))
	r, _, err := w.s.Rollback(w.command(), to, w.drawStrategy(t), rapid.Bool().Draw(t, "nodes"), w.now)
	if err != nil && !errors.Is(err, ErrNotFound) {
		t.Fatal(err)
	}
	w.put(r)
}

func (w *world) changeNodeOverride(t *rapid.T) {
	states := []spec.NodeOverrideState{spec.NodeDraining, spec.NodeRemoved}
	change := NodeChange{ID: "s-1", Override: &spec.NodeOverride{ID: "s-1", State: rapid.SampledFrom(states).Draw(t, "state")}}
	if rapid.Bool().Draw(t, "withdraw") {
		change.Override = nil
	}
	r, err := w.s.SetNodes(w.command(), []NodeChange{change}, w.now)
	if err != nil && !errors.Is(err, ErrNotFound) {
		t.Fatal(err)
	}
	w.put(r)
}

func (w *world) changePhase(t *rapid.T) {
	phase := rapid.SampledFrom([]Phase{Paused, Active, Aborted}).Draw(t, "phase")
	if r, err := w.s.SetRolloutPhase(w.command(), 0, phase, w.now); err == nil {
		w.put(r)
	}
}

func (w *world) agentReturns(t *rapid.T) {
	if sim := w.pickAgent(t); !sim.alive {
		sim.alive, sim.token = true, 0
	}
}

func (w *world) fencedAgentCalls(t *rapid.T) {
	sim := w.pickAgent(t)
	if sim.token <= 1 || w.s.CheckToken(sim.name, sim.token) != nil {
		return
	}
	if err := w.s.Observe(&AgentSync{Agent: sim.name, Token: sim.token - 1, Sequence: 1 << 40, Full: true}, w.now); !errors.Is(err, ErrFenced) {
		t.Fatalf("an older token: %v", err)
	}
}

func (w *world) callArrivesAgain(t *rapid.T) {
	sim := w.pickAgent(t)
	if !sim.alive || sim.sequence == 0 || sim.lastSent == nil {
		return
	}
	err := w.s.Observe(&AgentSync{Agent: sim.name, Token: sim.token, Sequence: sim.sequence, AssignmentVersion: sim.version, Full: true}, w.now)
	if err != nil && !errors.Is(err, ErrFenced) { // fenced: a newer agent has registered since
		t.Fatal(err)
	}
}

func (w *world) brokerCrashes(t *rapid.T) {
	sim := w.pickAgent(t)
	for _, name := range []string{"n0", "n1", "n2", "n3", "n4"} {
		if b := sim.brokers[name]; b != nil && rapid.Bool().Draw(t, "this") {
			b.healthy = false
			break
		}
	}
}

// machineIsLost removes all that runs on a silent agent's machine, and retires the agent.
func (w *world) machineIsLost(t *rapid.T) {
	sim := w.pickAgent(t)
	if sim.alive || w.s.agents.byName[sim.name] == nil || !w.s.agents.byName[sim.name].session.silent {
		return
	}
	sim.assignments, sim.brokers = map[string]Assignment{}, map[string]*broker{}
	r, err := w.s.Retire(w.command(), sim.name, w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.put(r)
}

// clockJumps lets an hour pass, or gives a step an earlier time than the one before.
func (w *world) clockJumps(t *rapid.T) {
	if rapid.Bool().Draw(t, "forward") {
		w.now += 3600_000_000
		return
	}
	if w.now > 1_000_000 {
		if list := w.s.Step(w.now - 1_000_000); len(list) > 0 {
			w.put(list[0])
		}
	}
}

func (w *world) takeSnapshot(t *rapid.T) {
	b, err := w.s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	w.snapshot, w.snapshotRecords = b, len(w.log)
}

// endFailures lets all agents run again and ends all rollouts.
func (w *world) endFailures() {
	for _, sim := range w.agents {
		if !sim.alive {
			sim.alive, sim.token = true, 0
		}
	}
	for _, revision := range w.s.rollouts.unfinished() {
		r, err := w.s.SetRolloutPhase(w.command(), revision, Aborted, w.now)
		if err != nil {
			w.t.Fatal(err)
		}
		w.put(r)
	}
}

// releaseAndSettle proposes a desired state and waits until the fleet is settled.
func (w *world) releaseAndSettle(want *spec.Spec) {
	strategy := w.drawStrategy(w.t)
	strategy.FailureBudget = CountOrPercent{Percent: 100}
	r, _, err := w.s.Propose(w.command(), want, strategy, w.now)
	if err != nil {
		w.t.Fatal(err)
	}
	w.put(r)
	for n := 0; !w.s.Settled(); n++ {
		if n == 2000 {
			for _, x := range w.s.Instances(spec.Selector{}) {
				w.t.Logf("%+v", x)
			}
			w.t.Fatalf("never settled: %+v", w.s.Rollouts(1))
		}
		w.tick()
	}
}

// checkConverged checks that exactly the desired instances run, each as desired.
func (w *world) checkConverged(want *spec.Spec) {
	for name, i := range want.Instances {
		b := w.agents[i.Agent].brokers[name]
		if !i.Enabled {
			if b != nil {
				w.t.Fatalf("%s runs and should not", name)
			}
			continue
		}
		if b == nil || b.started != i.Start.Digest() || b.applied != w.s.targetEdition(w.s.instances[name]) {
			w.t.Fatalf("%s is reported current and is %+v", name, b)
		}
	}
	for _, sim := range w.agents {
		for name := range sim.brokers {
			if i := want.Instances[name]; i == nil || i.Agent != sim.name {
				w.t.Fatalf("%s still runs at %s", name, sim.name)
			}
		}
	}
}
