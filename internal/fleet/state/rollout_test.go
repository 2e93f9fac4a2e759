package state

import (
	"fmt"
	"testing"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/testkit/fixedseed"
	"poppyarch/internal/timing/clock"
)

func TestMain(m *testing.M) { fixedseed.RunTests(m) }

// oneAgentFleet is a fleet whose only agent carries out its assignments immediately.
type oneAgentFleet struct {
	t        *testing.T
	s        *State
	now      clock.Micros
	sequence uint64          // of the agent's last call
	token    uint64          // of the agent
	down     map[string]bool // brokers that fail to start
	flapping map[string]bool // of these, brokers reported as flapping
}

func newOneAgentFleet(t *testing.T) *oneAgentFleet {
	t.Helper()
	f := &oneAgentFleet{
		t:        t,
		s:        New(testLimits),
		now:      1,
		down:     map[string]bool{},
		flapping: map[string]bool{},
	}
	r := f.s.Register("a", 0, 1)
	f.token = r.Token
	f.apply(r)
	return f
}

func (f *oneAgentFleet) apply(r *Record) {
	f.t.Helper()
	if err := f.s.Apply(r); err != nil {
		f.t.Fatal(err)
	}
}

// propose creates a revision with n brokers that have the given memory limit in MB.
func (f *oneAgentFleet) propose(n, memory int, strategy Strategy) {
	f.t.Helper()
	text := "{}"
	digest := spec.ConfigDigest([]byte(text))
	desired := &spec.Spec{Instances: map[string]*spec.Instance{}, Configs: map[string]string{digest: text}}
	for k := range n {
		name := fmt.Sprint("n", k)
		desired.Instances[name] = &spec.Instance{
			Name:    name,
			Agent:   "a",
			Enabled: true,
			Start: spec.StartSettings{
				Config:   digest,
				Listen:   fmt.Sprint("127.0.0.1:", 7000+k),
				MemoryMB: memory,
			},
		}
	}
	r, _, err := f.s.Propose(&Command{ID: fmt.Sprint("c", f.now)}, desired, strategy, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	f.apply(r)
}

// sync makes the agent call the manager with a full report.
func (f *oneAgentFleet) sync(sequence, assignmentVersion uint64, reports ...Report) error {
	return f.s.Observe(&AgentSync{
		Agent:             "a",
		Token:             f.token,
		Sequence:          sequence,
		AssignmentVersion: assignmentVersion,
		Full:              true,
		Reports:           reports,
	}, f.now)
}

// run advances the time in steps of 100 ms. In each step the due records are applied, and the agent reports its
// instances as assigned or, if they are in down, as crashed.
func (f *oneAgentFleet) run(duration clock.Micros) {
	f.t.Helper()
	for end := f.now + duration; f.now < end; f.now += 100_000 {
		for list := f.s.Step(f.now); len(list) > 0; list = f.s.Step(f.now) {
			for _, r := range list {
				f.apply(r)
			}
		}
		_, version := f.s.Assignments("a", 0)
		var reports []Report
		for name, i := range f.s.agents.byName["a"].instances {
			r := Report{
				Name:           name,
				Process:        ProcessRunning,
				Incarnation:    "b-" + name + i.release.startDigest,
				AppliedEdition: f.s.targetEdition(i),
				StartDigest:    i.release.startDigest,
				Healthy:        true,
			}
			if f.down[name] {
				r = Report{Name: name, Process: ProcessBackoff, Error: "killed", Flapping: f.flapping[name], Crashes: 3}
			}
			reports = append(reports, r)
		}
		f.sequence++
		if err := f.sync(f.sequence, version, reports...); err != nil {
			f.t.Fatal(err)
		}
	}
}

// strategyWithoutCanary returns a strategy with waves of batch instances, of which up to four may be unavailable.
func strategyWithoutCanary(batch int, soakTime, progressDeadline clock.Micros) Strategy {
	strategy := DefaultStrategy()
	strategy.Canary = 0
	strategy.Batch = CountOrPercent{Count: batch}
	strategy.MaxUnavailable = CountOrPercent{Count: 4}
	strategy.SoakTime = soakTime
	strategy.ProgressDeadline = progressDeadline
	return strategy
}

// Half of the first wave fails permanently. If that exceeds the failure budget, the rollout pauses before the next
// wave, names the failed instances and releases no others; within the budget it completes.
func TestRolloutPausesOnceFailureBudgetIsExceeded(t *testing.T) {
	for _, budget := range []int{1, 2} {
		f := newOneAgentFleet(t)
		strategy := strategyWithoutCanary(4, 1_000_000, 10_000_000)
		f.propose(8, 64, strategy)
		f.run(20_000_000)
		if !f.s.Settled() {
			t.Fatalf("fleet is not settled after 20 s: %+v", f.s.Rollouts(1))
		}
		strategy.FailureBudget = CountOrPercent{Count: budget}
		f.propose(8, 96, strategy)
		wave := Waves(f.s.changesFor(f.s.rollouts.queued[0], nil), &strategy)[0]
		f.down[wave[1]] = true
		f.down[wave[2]] = true
		f.run(60_000_000)
		r := f.s.Rollouts(1)[0]
		if len(r.Failed) != 2 || r.Failed[wave[1]] == "" || r.Failed[wave[2]] == "" {
			t.Fatalf("budget %d: failed instances are %v, want %v; rollout %+v", budget, r.Failed, wave[1:3], r)
		}
		if budget == 1 && (r.Phase != Paused || r.Released != 4) || budget == 2 && (r.Phase != Done || r.Released != 8) {
			t.Errorf("budget %d: phase %s after %d releases; rollout %+v", budget, r.Phase, r.Released, r)
		}
	}
}

func TestFailureInFinishedWaveCountsAgainstBudget(t *testing.T) {
	f := newOneAgentFleet(t)
	strategy := strategyWithoutCanary(1, 2_000_000, 60_000_000)
	f.propose(4, 64, strategy)
	f.run(30_000_000)
	f.propose(4, 96, strategy)
	first := Waves(f.s.changesFor(f.s.rollouts.queued[0], nil), &strategy)[0][0]
	for f.s.rollouts.active == nil || f.s.rollouts.active.wave.index < 1 {
		f.run(100_000)
	}
	f.down[first] = true
	f.flapping[first] = true
	f.run(30_000_000)
	if r := f.s.Rollouts(1)[0]; r.Phase != Paused || r.Failed[first] == "" || r.Released == 4 {
		t.Errorf("rollout is not paused by the failure of %s in a finished wave: %+v", first, r)
	}
}

// A call that arrives after a newer one has no effect, and a report made before the agent knew of a change does not
// confirm the change.
func TestOutdatedReportsDoNotConfirmChanges(t *testing.T) {
	f := newOneAgentFleet(t)
	strategy := DefaultStrategy()
	strategy.SoakTime = 0
	f.propose(1, 64, strategy)
	f.run(5_000_000)
	if !f.s.Settled() {
		t.Fatal("fleet is not settled after 5 s")
	}
	i := f.s.instances["n0"]
	good := i.observed.report
	old := good
	old.Incarnation, old.AppliedEdition, old.Healthy = "b-old", 1, false
	if err := f.sync(f.sequence-1, f.s.agents.byName["a"].assignments.newest, old); err != nil {
		t.Fatal(err)
	}
	if i.observed.report != good || !f.s.isCurrent(i) {
		t.Fatalf("a late call was applied: %+v", i.observed.report)
	}
	// The instance is disabled, enabled and disabled again before the agent learns of any of these changes. It happens
	// to be stopped when the agent calls but may be about to start, so it is current only once the agent knows the last
	// change.
	a := f.s.agents.byName["a"]
	oldVersion := a.assignments.newest
	for _, enabled := range []bool{false, true, false} {
		want := *i.release.desired
		want.Enabled = enabled
		r, _, err := f.s.Propose(&Command{ID: fmt.Sprint("x", f.s.desired.revision)}, &spec.Spec{Instances: map[string]*spec.Instance{"n0": &want}}, strategy, f.now)
		if err != nil {
			t.Fatal(err)
		}
		f.apply(r)
		if f.s.rollouts.active != nil {
			r, err := f.s.SetRolloutPhase(&Command{ID: fmt.Sprint("y", f.s.desired.revision)}, 0, Aborted, f.now)
			if err != nil {
				t.Fatal(err)
			}
			f.apply(r)
		}
		for k := 0; k < 2; k++ { // start the rollout, then release the instance
			for _, r := range f.s.Step(f.now) {
				f.apply(r)
			}
		}
	}
	stopped := Report{Name: "n0", Process: ProcessStopped}
	f.sequence++
	if err := f.sync(f.sequence, oldVersion, stopped); err != nil {
		t.Fatal(err)
	}
	if f.s.isCurrent(i) || f.s.Settled() {
		t.Error("instance is current although the agent reported it stopped before it knew of the last change")
	}
	f.sequence++
	if err := f.sync(f.sequence, a.assignments.newest, stopped); err != nil {
		t.Fatal(err)
	}
	if !f.s.isCurrent(i) {
		t.Errorf("instance stopped as assigned is not current: %s", f.s.whyNotCurrent(i))
	}
}
