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

// simulatedBroker is the actual state of one broker process, which may differ from the state known to the manager.
type simulatedBroker struct {
	startDigest     string // digest of the start settings of the process
	config          string
	incarnation     string
	appliedEdition  uint64
	healthy         bool
	hasServed       bool // has been reported healthy since it was enabled
	crashes         int
	reportedHealthy bool // reported healthy in its agent's last call
}

// simulatedAgent is the actual state of one agent.
type simulatedAgent struct {
	name              string
	token             uint64
	sequence          uint64 // of its last call since its registration
	assignmentVersion uint64 // of the assignments that it has fetched
	alive             bool
	assignments       map[string]Assignment
	brokers           map[string]*simulatedBroker
	lastReports       []Report // reports of its last call, which may arrive a second time
}

// simulatedFleet is a fleet in which the test makes agents, brokers and the manager fail, with the manager's state.
type simulatedFleet struct {
	t                *rapid.T
	s                *State
	journal          []*Record // all records applied so far
	snapshot         []byte
	snapshotRecords  int // number of records that the snapshot covers
	now              clock.Micros
	agents           map[string]*simulatedAgent
	incarnationCount int
	commandCount     int
	agentNames       []string
	domainCount      int
}

// trace logs every record and call of a run.
const trace = false

var testLimits = Limits{MaxRevisions: 50, MaxCommands: 50, AgentTimeout: 3_000_000, MaxReleasesPerRecord: 4}

// apply encodes a record, decodes it as a replay would, applies it and appends it to the journal. It ignores nil.
func (f *simulatedFleet) apply(r *Record) {
	if r == nil {
		return
	}
	b, err := r.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	if r, err = DecodeRecord(b); err != nil {
		f.t.Fatal(err)
	}
	if err := f.s.Apply(r); err != nil {
		f.t.Fatalf("%s: %v", b, err)
	}
	f.journal = append(f.journal, r)
	if trace {
		f.t.Logf("%d %.300s", f.now, b)
	}
}

// countUnavailable returns the number of instances that are not serving or are about to stop, the number of instances
// that it is taken from (the enabled ones that have served), and the set of enabled instances. If among is not nil,
// instances outside it are left out.
func (f *simulatedFleet) countUnavailable(among map[string]bool) (unavailable, total int, enabled map[string]bool) {
	enabled = map[string]bool{}
	for name, i := range f.s.instances {
		if i.release.desired == nil || !i.release.desired.Enabled || among != nil && !among[name] {
			continue
		}
		enabled[name] = true
		var b *simulatedBroker
		hasServed := false
		for _, sim := range f.agents {
			if x := sim.brokers[name]; x != nil {
				b, hasServed = x, hasServed || x.hasServed
			}
		}
		if !hasServed {
			continue
		}
		total++
		if b == nil || !b.reportedHealthy || b.startDigest != i.release.desired.Start.Digest() || i.release.desired.Agent != i.agent.name {
			unavailable++
		}
	}
	return unavailable, total, enabled
}

// applyDueRecords applies the records that are due, and checks every release against the limit on unavailable
// instances.
func (f *simulatedFleet) applyDueRecords() {
	for n := 0; ; n++ {
		if n > 10000 {
			f.t.Fatal("Step still returns records after 10000 calls")
		}
		list := f.s.Step(f.now)
		if len(list) == 0 {
			return
		}
		for _, r := range list {
			before, total, enabled := f.countUnavailable(nil)
			var limit int
			if f.s.rollouts.active != nil {
				limit = max(f.s.rollouts.active.strategy.MaxUnavailable.Of(total), 1)
			}
			f.apply(r)
			if after, _, _ := f.countUnavailable(enabled); r.Kind == RecordInstancesReleased && after > max(before, limit) {
				f.t.Fatalf("release of %v makes %d of %d instances unavailable, %d were before, the limit is %d", r.Instances, after, total, before, limit)
			}
		}
	}
}

// sync makes an agent call the manager: it registers if necessary, reports all of its instances and fetches
// assignments.
func (f *simulatedFleet) sync(sim *simulatedAgent) {
	if !sim.alive {
		return
	}
	if sim.token == 0 {
		r := f.s.Register(sim.name, 0, f.now)
		f.apply(r)
		sim.token, sim.sequence, sim.assignmentVersion = r.Token, 0, 0
	}
	sim.sequence++
	var reports []Report
	for _, name := range slices.Sorted(maps.Keys(sim.assignments)) {
		reports = append(reports, f.report(sim, name))
	}
	sim.lastReports = reports
	call := &AgentSync{
		Agent:             sim.name,
		Token:             sim.token,
		Sequence:          sim.sequence,
		AssignmentVersion: sim.assignmentVersion,
		Full:              true,
		Reports:           reports,
	}
	if err := f.s.Observe(call, f.now); err != nil {
		if !errors.Is(err, ErrFenced) {
			f.t.Fatal(err)
		}
		sim.alive = false // a newer agent of the same name has registered: this one exits
		return
	}
	for _, b := range sim.brokers {
		b.reportedHealthy = b.healthy && b.crashes <= 2
		b.hasServed = b.hasServed || b.reportedHealthy
	}
	list, version := f.s.Assignments(sim.name, sim.assignmentVersion)
	if trace {
		f.t.Logf("%s token %d seq %d reports %+v gets %+v", sim.name, sim.token, sim.sequence, reports, list)
	}
	if sim.assignmentVersion == 0 { // the list is complete: the agent has to end the instances that are not in it
		for name := range sim.assignments {
			sim.assignments[name] = Assignment{Name: name, Release: true}
		}
	}
	for _, a := range list {
		sim.assignments[a.Name] = a
	}
	sim.assignmentVersion = version
}

func (f *simulatedFleet) report(sim *simulatedAgent, name string) Report {
	b := sim.brokers[name]
	a := sim.assignments[name]
	r := Report{Name: name, Process: ProcessStopped}
	switch {
	case b == nil && (a.Desired == nil || a.Release):
		r.Process = ProcessAbsent
	case b != nil && b.crashes > 2:
		r.Process, r.Flapping, r.Crashes = ProcessBackoff, true, b.crashes
	case b != nil:
		r.Process, r.Incarnation, r.AppliedEdition, r.StartDigest, r.Healthy = ProcessRunning, b.incarnation, b.appliedEdition, b.startDigest, b.healthy
	}
	return r
}

// carryOutAssignments makes an agent take one step towards the assignment of each of its instances.
func (f *simulatedFleet) carryOutAssignments(sim *simulatedAgent) {
	if !sim.alive {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(sim.assignments)) {
		a, b := sim.assignments[name], sim.brokers[name]
		switch {
		case a.Release || a.Desired == nil || !a.Desired.Enabled:
			delete(sim.brokers, name)
		case b == nil || b.startDigest != a.Desired.Start.Digest():
			for _, other := range f.agents {
				if other != sim && other.brokers[name] != nil {
					f.t.Fatalf("%s is started on %s while it still runs on %s", name, sim.name, other.name)
				}
			}
			f.incarnationCount++
			old := b
			b = &simulatedBroker{startDigest: a.Desired.Start.Digest(), config: a.Desired.Start.Config, incarnation: fmt.Sprint("b", f.incarnationCount), healthy: a.Desired.Start.Config != crashingConfigDigest}
			if old != nil {
				b.hasServed = old.hasServed
			}
			sim.brokers[name] = b
		case b.config == crashingConfigDigest:
			b.crashes++
		case !b.healthy:
			f.incarnationCount++
			b.incarnation, b.appliedEdition, b.healthy = fmt.Sprint("b", f.incarnationCount), 0, true
		case b.appliedEdition != a.TargetEdition:
			if a.TargetEdition < b.appliedEdition {
				f.t.Fatalf("%s goes back from edition %d to %d", name, b.appliedEdition, a.TargetEdition)
			}
			b.appliedEdition = a.TargetEdition
		}
	}
}

var goodConfigText, crashingConfigText = "good", "bad"
var crashingConfigDigest = spec.ConfigDigest([]byte(crashingConfigText))

// drawSpec draws a desired state. With healthyOnly no instance has the configuration that makes brokers crash.
func (f *simulatedFleet) drawSpec(t *rapid.T, healthyOnly bool) *spec.Spec {
	desired := &spec.Spec{Instances: map[string]*spec.Instance{}, Configs: map[string]string{
		spec.ConfigDigest([]byte(goodConfigText)): goodConfigText, crashingConfigDigest: crashingConfigText}}
	n := rapid.IntRange(1, 9).Draw(t, "instances")
	for k := range n {
		name := fmt.Sprint("n", k)
		i := &spec.Instance{Name: name, Agent: rapid.SampledFrom(f.agentNames).Draw(t, "agent"), Enabled: rapid.IntRange(0, 9).Draw(t, "on") > 0,
			Domain: fmt.Sprint("d", k%f.domainCount),
			Start: spec.StartSettings{Config: spec.ConfigDigest([]byte(goodConfigText)), Listen: fmt.Sprint("127.0.0.1:", 7000+k),
				MemoryMB: rapid.IntRange(1, 3).Draw(t, "memory")},
			Live: spec.LiveSettings{LogLevel: rapid.SampledFrom([]string{"", "debug"}).Draw(t, "log")}}
		if !healthyOnly && rapid.IntRange(0, 7).Draw(t, "bad") == 0 {
			i.Start.Config = crashingConfigDigest
		}
		desired.Instances[name] = i
	}
	return desired
}

func (f *simulatedFleet) command() *Command {
	f.commandCount++
	return &Command{ID: fmt.Sprint("c", f.commandCount), Author: "test"}
}

func (f *simulatedFleet) drawStrategy(t *rapid.T) Strategy {
	strategy := DefaultStrategy()
	strategy.Canary = rapid.IntRange(0, 2).Draw(t, "canary")
	strategy.Batch = CountOrPercent{Count: rapid.IntRange(1, 5).Draw(t, "batch")}
	strategy.MaxUnavailable = CountOrPercent{Count: rapid.IntRange(1, 3).Draw(t, "max")}
	strategy.OneDomainPerWave = rapid.Bool().Draw(t, "domains")
	strategy.FailureBudget = CountOrPercent{Count: rapid.IntRange(0, 2).Draw(t, "budget")}
	strategy.OnFailure = rapid.SampledFrom([]string{"pause", "rollback"}).Draw(t, "on failure")
	strategy.SoakTime, strategy.ProgressDeadline = 1_000_000, 20_000_000
	return strategy
}

// restart restarts the manager from its journal. The snapshot with the records after it must lead to the same state as
// all records.
func (f *simulatedFleet) restart() {
	replayed := New(testLimits)
	for _, r := range f.journal {
		if err := replayed.Apply(r); err != nil {
			f.t.Fatal(err)
		}
	}
	if f.snapshot != nil {
		restored, err := Restore(f.snapshot, testLimits)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, r := range f.journal[f.snapshotRecords:] {
			if err := restored.Apply(r); err != nil {
				f.t.Fatalf("applying a record after the snapshot: %v", err)
			}
		}
		fromJournal, fromSnapshot := f.comparableSnapshot(replayed), f.comparableSnapshot(restored)
		if !bytes.Equal(fromJournal, fromSnapshot) {
			f.t.Fatalf("replay of all records gives a state other than the snapshot and the records after it:\n%s\n%s", fromJournal, fromSnapshot)
		}
	}
	replayed.FinishReplay()
	f.s = replayed
	for _, sim := range f.agents {
		sim.assignmentVersion = 0 // the manager has a new incarnation: agents fetch all assignments again
		sim.sequence = 0
	}
}

// comparableSnapshot returns a snapshot of a state without the parts that depend on the observed state, for comparison.
func (f *simulatedFleet) comparableSnapshot(s *State) []byte {
	b, err := s.Snapshot()
	if err == nil {
		s, err = Restore(b, testLimits)
	}
	if err != nil {
		f.t.Fatal(err)
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
		f.t.Fatal(err)
	}
	return b
}

// Under any sequence of failures and commands, a release must not exceed the limit on unavailable instances, no
// instance may run twice, no broker may return to an older edition, and a snapshot must be equivalent to a replay. Once
// the failures stop, the fleet must reach the desired state, and be reported as settled only then.
func TestFleetConvergesAfterAnyFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimulatedFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"tick":               func(*rapid.T) { f.tick() },
			"ticks":              f.severalTicks,
			"apply":              f.applySpec,
			"rollback":           f.rollBack,
			"nodes":              f.changeNodeOverride,
			"phase":              f.changePhase,
			"agent fails":        func(t *rapid.T) { f.pickAgent(t).alive = false },
			"agent returns":      f.agentReturns,
			"fenced agent calls": f.fencedAgentCalls,
			"call arrives again": f.callArrivesAgain,
			"broker crashes":     f.brokerCrashes,
			"machine is lost":    f.machineIsLost,
			"clock jumps":        f.clockJumps,
			"manager restarts":   func(*rapid.T) { f.restart() },
			"snapshot":           f.takeSnapshot,
		})
		f.endFailures()
		want := f.drawSpec(t, true)
		f.proposeAndSettle(want)
		f.checkConverged(want)
	})
}

func newSimulatedFleet(t *rapid.T) *simulatedFleet {
	f := &simulatedFleet{
		t:           t,
		s:           New(testLimits),
		agents:      map[string]*simulatedAgent{},
		agentNames:  []string{"a1", "a2", "a3"},
		domainCount: 2,
		now:         1,
	}
	for _, name := range f.agentNames {
		f.agents[name] = &simulatedAgent{name: name, alive: true, assignments: map[string]Assignment{}, brokers: map[string]*simulatedBroker{}}
	}
	return f
}

func (f *simulatedFleet) pickAgent(t *rapid.T) *simulatedAgent {
	return f.agents[rapid.SampledFrom(f.agentNames).Draw(t, "agent")]
}

// tick advances the time by 300 ms. Every agent carries out its assignments and calls the manager, which then applies
// the records that are due.
func (f *simulatedFleet) tick() {
	f.now += 300_000
	for _, name := range f.agentNames {
		f.carryOutAssignments(f.agents[name])
		f.sync(f.agents[name])
	}
	f.applyDueRecords()
}

func (f *simulatedFleet) severalTicks(t *rapid.T) {
	for range rapid.IntRange(2, 30).Draw(t, "n") {
		f.tick()
	}
}

func (f *simulatedFleet) applySpec(t *rapid.T) {
	c := f.command()
	r, _, err := f.s.Propose(c, f.drawSpec(t, false), f.drawStrategy(t), f.now)
	if err != nil {
		t.Fatal(err)
	}
	f.apply(r)
	if _, seen := f.s.CommandResult(c.ID); r != nil && !seen {
		t.Fatal("the result of the applied command is not kept")
	}
}

func (f *simulatedFleet) rollBack(t *rapid.T) {
	to := uint64(rapid.IntRange(0, int(f.s.desired.revision)).Draw(t, "to"))
	r, _, err := f.s.Rollback(f.command(), to, f.drawStrategy(t), rapid.Bool().Draw(t, "nodes"), f.now)
	if err != nil && !errors.Is(err, ErrNotFound) {
		t.Fatal(err)
	}
	f.apply(r)
}

func (f *simulatedFleet) changeNodeOverride(t *rapid.T) {
	states := []spec.NodeOverrideState{spec.NodeDraining, spec.NodeRemoved}
	change := NodeOverrideChange{ID: "s-1", Override: &spec.NodeOverride{ID: "s-1", State: rapid.SampledFrom(states).Draw(t, "state")}}
	if rapid.Bool().Draw(t, "withdraw") {
		change.Override = nil
	}
	r, err := f.s.SetNodeOverrides(f.command(), []NodeOverrideChange{change}, f.now)
	if err != nil && !errors.Is(err, ErrNotFound) {
		t.Fatal(err)
	}
	f.apply(r)
}

func (f *simulatedFleet) changePhase(t *rapid.T) {
	phase := rapid.SampledFrom([]Phase{Paused, Active, Aborted}).Draw(t, "phase")
	if r, err := f.s.SetRolloutPhase(f.command(), 0, phase, f.now); err == nil {
		f.apply(r)
	}
}

func (f *simulatedFleet) agentReturns(t *rapid.T) {
	if sim := f.pickAgent(t); !sim.alive {
		sim.alive, sim.token = true, 0
	}
}

func (f *simulatedFleet) fencedAgentCalls(t *rapid.T) {
	sim := f.pickAgent(t)
	if sim.token <= 1 || f.s.CheckToken(sim.name, sim.token) != nil {
		return
	}
	if err := f.s.Observe(&AgentSync{Agent: sim.name, Token: sim.token - 1, Sequence: 1 << 40, Full: true}, f.now); !errors.Is(err, ErrFenced) {
		t.Fatalf("call with an older token returns error %v, want ErrFenced", err)
	}
}

func (f *simulatedFleet) callArrivesAgain(t *rapid.T) {
	sim := f.pickAgent(t)
	if !sim.alive || sim.sequence == 0 || sim.lastReports == nil {
		return
	}
	err := f.s.Observe(&AgentSync{Agent: sim.name, Token: sim.token, Sequence: sim.sequence, AssignmentVersion: sim.assignmentVersion, Full: true}, f.now)
	if err != nil && !errors.Is(err, ErrFenced) { // fenced: a newer agent has registered since
		t.Fatal(err)
	}
}

func (f *simulatedFleet) brokerCrashes(t *rapid.T) {
	sim := f.pickAgent(t)
	for _, name := range []string{"n0", "n1", "n2", "n3", "n4"} {
		if b := sim.brokers[name]; b != nil && rapid.Bool().Draw(t, "this") {
			b.healthy = false
			break
		}
	}
}

// machineIsLost ends every process on a silent agent's machine and retires the agent.
func (f *simulatedFleet) machineIsLost(t *rapid.T) {
	sim := f.pickAgent(t)
	if sim.alive || f.s.agents.byName[sim.name] == nil || !f.s.agents.byName[sim.name].session.silent {
		return
	}
	sim.assignments, sim.brokers = map[string]Assignment{}, map[string]*simulatedBroker{}
	r, err := f.s.Retire(f.command(), sim.name, f.now)
	if err != nil {
		t.Fatal(err)
	}
	f.apply(r)
}

// clockJumps advances the time by an hour, or calls Step with a time before that of the previous call.
func (f *simulatedFleet) clockJumps(t *rapid.T) {
	if rapid.Bool().Draw(t, "forward") {
		f.now += 3600_000_000
		return
	}
	if f.now > 1_000_000 {
		if list := f.s.Step(f.now - 1_000_000); len(list) > 0 {
			f.apply(list[0])
		}
	}
}

func (f *simulatedFleet) takeSnapshot(t *rapid.T) {
	b, err := f.s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	f.snapshot, f.snapshotRecords = b, len(f.journal)
}

// endFailures restarts all failed agents and aborts all rollouts.
func (f *simulatedFleet) endFailures() {
	for _, sim := range f.agents {
		if !sim.alive {
			sim.alive, sim.token = true, 0
		}
	}
	for _, revision := range f.s.rollouts.unfinished() {
		r, err := f.s.SetRolloutPhase(f.command(), revision, Aborted, f.now)
		if err != nil {
			f.t.Fatal(err)
		}
		f.apply(r)
	}
}

// proposeAndSettle proposes a desired state and advances the time until the fleet is settled.
func (f *simulatedFleet) proposeAndSettle(want *spec.Spec) {
	strategy := f.drawStrategy(f.t)
	strategy.FailureBudget = CountOrPercent{Percent: 100}
	r, _, err := f.s.Propose(f.command(), want, strategy, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	f.apply(r)
	for n := 0; !f.s.Settled(); n++ {
		if n == 2000 {
			for _, x := range f.s.Instances(spec.Selector{}) {
				f.t.Logf("%+v", x)
			}
			f.t.Fatalf("fleet is not settled after 2000 ticks: %+v", f.s.Rollouts(1))
		}
		f.tick()
	}
}

// checkConverged checks that the desired instances, and no others, run with their desired settings.
func (f *simulatedFleet) checkConverged(want *spec.Spec) {
	for name, i := range want.Instances {
		b := f.agents[i.Agent].brokers[name]
		if !i.Enabled {
			if b != nil {
				f.t.Fatalf("%s is disabled but still runs", name)
			}
			continue
		}
		if b == nil || b.startDigest != i.Start.Digest() || b.appliedEdition != f.s.targetEdition(f.s.instances[name]) {
			f.t.Fatalf("%s is reported as current, but its broker is %+v", name, b)
		}
	}
	for _, sim := range f.agents {
		for name := range sim.brokers {
			if i := want.Instances[name]; i == nil || i.Agent != sim.name {
				f.t.Fatalf("%s still runs on %s, where it is not desired", name, sim.name)
			}
		}
	}
}
