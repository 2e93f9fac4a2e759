package state

import (
	"fmt"
	"testing"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/testkit/fixedseed"
	"poppyarch/internal/timing/clock"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// oneAgentFleet is a fleet whose only agent carries out its assignments at once.
type oneAgentFleet struct {
	t        *testing.T
	s        *State
	now      clock.Micros
	sequence uint64
	token    uint64
	down     map[string]bool // brokers that do not come up
	flapping map[string]bool // of these, brokers that are reported as flapping
}

func newOneAgentFleet(t *testing.T) *oneAgentFleet {
	t.Helper()
	p := &oneAgentFleet{
		t:        t,
		s:        New(testLimits),
		now:      1,
		down:     map[string]bool{},
		flapping: map[string]bool{},
	}
	r := p.s.Register("a", 0, 1)
	p.token = r.Token
	p.put(r)
	return p
}

func (p *oneAgentFleet) put(r *Record) {
	p.t.Helper()
	if err := p.s.Apply(r); err != nil {
		p.t.Fatal(err)
	}
}

// apply proposes a fleet of n brokers that differ from others in their memory.
func (p *oneAgentFleet) apply(n, memory int, st Strategy) {
	p.t.Helper()
	text := "{}"
	d := spec.ConfigDigest([]byte(text))
	sp := &spec.Spec{Instances: map[string]*spec.Instance{}, Configs: map[string]string{d: text}}
	for k := range n {
		name := fmt.Sprint("n", k)
		sp.Instances[name] = &spec.Instance{
			Name:    name,
			Agent:   "a",
			Enabled: true,
			Start: spec.StartSettings{
				Config:   d,
				Listen:   fmt.Sprint("127.0.0.1:", 7000+k),
				MemoryMB: memory,
			},
		}
	}
	r, _, err := p.s.Propose(&Command{ID: fmt.Sprint("c", p.now)}, sp, st, p.now)
	if err != nil {
		p.t.Fatal(err)
	}
	p.put(r)
}

// sync lets the agent report all of its instances.
func (p *oneAgentFleet) sync(sequence, assignmentVersion uint64, reports ...Report) error {
	return p.s.Observe(&AgentSync{
		Agent:             "a",
		Token:             p.token,
		Sequence:          sequence,
		AssignmentVersion: assignmentVersion,
		Full:              true,
		Reports:           reports,
	}, p.now)
}

// run lets time pass.
func (p *oneAgentFleet) run(duration clock.Micros) {
	p.t.Helper()
	for end := p.now + duration; p.now < end; p.now += 100_000 {
		for list := p.s.Step(p.now); len(list) > 0; list = p.s.Step(p.now) {
			for _, r := range list {
				p.put(r)
			}
		}
		_, version := p.s.Assignments("a", 0)
		var reports []Report
		for name, i := range p.s.agents.byName["a"].instances {
			r := Report{
				Name:           name,
				Process:        Running,
				Incarnation:    "b-" + name + i.release.startDigest,
				AppliedEdition: p.s.targetEdition(i),
				StartDigest:    i.release.startDigest,
				Healthy:        true,
			}
			if p.down[name] {
				r = Report{Name: name, Process: Backoff, Error: "killed", Flapping: p.flapping[name], Crashes: 3}
			}
			reports = append(reports, r)
		}
		p.sequence++
		if err := p.sync(p.sequence, version, reports...); err != nil {
			p.t.Fatal(err)
		}
	}
}

// Half of a wave fails for good. Beyond the budget the rollout pauses before the next wave, names the failed ones and leaves
// the unreleased ones alone; within the budget it is carried out to its end.
func TestRolloutPausesOnceFailureBudgetIsExceeded(t *testing.T) {
	for _, budget := range []int{1, 2} {
		p := newOneAgentFleet(t)
		st := DefaultStrategy()
		st.Canary = 0
		st.Batch = CountOrPercent{Count: 4}
		st.MaxUnavailable = CountOrPercent{Count: 4}
		st.SoakTime = 1_000_000
		st.ProgressDeadline = 10_000_000
		p.apply(8, 64, st)
		p.run(20_000_000)
		if !p.s.Settled() {
			t.Fatalf("never settled: %+v", p.s.Rollouts(1))
		}
		st.FailureBudget = CountOrPercent{Count: budget}
		p.apply(8, 96, st)
		wave := Waves(p.s.changesFor(p.s.rollouts.queued[0], nil), &st)[0]
		p.down[wave[1]] = true
		p.down[wave[2]] = true
		p.run(60_000_000)
		r := p.s.Rollouts(1)[0]
		if len(r.Failed) != 2 || r.Failed[wave[1]] == "" || r.Failed[wave[2]] == "" {
			t.Fatalf("budget %d: %+v", budget, r)
		}
		if budget == 1 && (r.Phase != Paused || r.Released != 4) || budget == 2 && (r.Phase != Done || r.Released != 8) {
			t.Errorf("budget %d: %+v", budget, r)
		}
	}
}

func TestFailureInFinishedWaveCountsAgainstBudget(t *testing.T) {
	p := newOneAgentFleet(t)
	st := DefaultStrategy()
	st.Canary = 0
	st.Batch = CountOrPercent{Count: 1}
	st.MaxUnavailable = CountOrPercent{Count: 4}
	st.SoakTime = 2_000_000
	st.ProgressDeadline = 60_000_000
	p.apply(4, 64, st)
	p.run(30_000_000)
	p.apply(4, 96, st)
	first := Waves(p.s.changesFor(p.s.rollouts.queued[0], nil), &st)[0][0]
	for p.s.rollouts.active == nil || p.s.rollouts.active.wave.index < 1 {
		p.run(100_000)
	}
	p.down[first] = true
	p.flapping[first] = true
	p.run(30_000_000)
	if r := p.s.Rollouts(1)[0]; r.Phase != Paused || r.Failed[first] == "" || r.Released == 4 {
		t.Errorf("%+v", r)
	}
}

// A call that arrives after a newer one changes nothing, and reports made before the agent knew of a change do not confirm it.
func TestOutdatedReportsAreNotBelieved(t *testing.T) {
	p := newOneAgentFleet(t)
	st := DefaultStrategy()
	st.SoakTime = 0
	p.apply(1, 64, st)
	p.run(5_000_000)
	if !p.s.Settled() {
		t.Fatal("never settled")
	}
	i := p.s.instances["n0"]
	good := i.observed.report
	old := good
	old.Incarnation, old.AppliedEdition, old.Healthy = "b-old", 1, false
	if err := p.sync(p.sequence-1, p.s.agents.byName["a"].assignments.newest, old); err != nil {
		t.Fatal(err)
	}
	if i.observed.report != good || !p.s.isCurrent(i) {
		t.Fatalf("a late call was applied: %+v", i.observed.report)
	}
	// The agent is to stop the instance, to start it and to stop it again before it learns of any of it. The instance happens to
	// be stopped when the agent calls, and may be about to start: it conforms only once the agent knows of the last change.
	a := p.s.agents.byName["a"]
	have := a.assignments.newest
	for _, on := range []bool{false, true, false} {
		want := *i.release.desired
		want.Enabled = on
		r, _, err := p.s.Propose(&Command{ID: fmt.Sprint("x", p.s.desired.revision)}, &spec.Spec{Instances: map[string]*spec.Instance{"n0": &want}}, st, p.now)
		if err != nil {
			t.Fatal(err)
		}
		p.put(r)
		if p.s.rollouts.active != nil {
			r, err := p.s.SetRolloutPhase(&Command{ID: fmt.Sprint("y", p.s.desired.revision)}, 0, Aborted, p.now)
			if err != nil {
				t.Fatal(err)
			}
			p.put(r)
		}
		for k := 0; k < 2; k++ { // begin, and release
			for _, r := range p.s.Step(p.now) {
				p.put(r)
			}
		}
	}
	stopped := Report{Name: "n0", Process: Stopped}
	p.sequence++
	if err := p.sync(p.sequence, have, stopped); err != nil {
		t.Fatal(err)
	}
	if p.s.isCurrent(i) || p.s.Settled() {
		t.Error("stopped before the agent knew of it counts as current")
	}
	p.sequence++
	if err := p.sync(p.sequence, a.assignments.newest, stopped); err != nil {
		t.Fatal(err)
	}
	if !p.s.isCurrent(i) {
		t.Errorf("stopped as assigned is not current: %s", p.s.whyNotCurrent(i))
	}
}
