package state

import (
	"fmt"
	"testing"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/testkit/fixedseed"
	"poppyarch/internal/timing/clock"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// play has a fleet of n brokers at one agent, as tests of single rules want it.
type play struct {
	t    *testing.T
	s    *State
	now  clock.Micros
	seq  uint64
	tok  uint64
	sick map[string]string // brokers that do not come up, and why; "" only that they do not
}

func newPlay(t *testing.T) *play {
	p := &play{t: t, s: New(testLimits), now: 1, sick: map[string]string{}}
	r := p.s.Register("a", 0, 1)
	p.tok = r.Token
	p.put(r)
	return p
}

func (p *play) put(r *Record) {
	p.t.Helper()
	if err := p.s.Apply(r); err != nil {
		p.t.Fatal(err)
	}
}

func (p *play) apply(n, memory int, st Strategy) {
	p.t.Helper()
	text := "{}"
	d := spec.ConfigDigest([]byte(text))
	sp := &spec.Spec{Instances: map[string]*spec.Instance{}, Configs: map[string]string{d: text}}
	for k := range n {
		name := fmt.Sprint("n", k)
		sp.Instances[name] = &spec.Instance{Name: name, Agent: "a", Enabled: true, Start: spec.StartSettings{Config: d, Listen: fmt.Sprint("127.0.0.1:", 7000+k), MemoryMB: memory}}
	}
	r, _, err := p.s.Propose(&Command{ID: fmt.Sprint("c", p.now)}, sp, st, p.now)
	if err != nil {
		p.t.Fatal(err)
	}
	p.put(r)
}

// run goes on for so long: whatever is told is done at once, but by the sick.
func (p *play) run(us clock.Micros) {
	p.t.Helper()
	for end := p.now + us; p.now < end; p.now += 100_000 {
		for list := p.s.Step(p.now); len(list) > 0; list = p.s.Step(p.now) {
			for _, r := range list {
				p.put(r)
			}
		}
		_, version := p.s.Assignments("a", 0)
		var reports []Report
		for name, i := range p.s.agents.byName["a"].instances {
			r := Report{Name: name, Process: Running, Incarnation: "b-" + name + i.release.startDigest, AppliedEdition: p.s.targetEdition(i), StartDigest: i.release.startDigest, Healthy: true}
			if why, ok := p.sick[name]; ok {
				r = Report{Name: name, Process: Backoff, Error: "killed", Flapping: why == "flaps", Crashes: 3}
			}
			reports = append(reports, r)
		}
		p.seq++
		if err := p.s.Observe(&AgentSync{Agent: "a", Token: p.tok, Sequence: p.seq, AssignmentVersion: version, Full: true, Reports: reports}, p.now); err != nil {
			p.t.Fatal(err)
		}
	}
}

// Half of a wave dies for good. Beyond the budget the rollout stops before the next wave and says which; within it, it goes on and
// ends; and what was not released is left alone in the first case.
func TestHalfOfAWaveDead(t *testing.T) {
	for _, budget := range []int{1, 2} {
		p := newPlay(t)
		st := DefaultStrategy()
		st.Canary, st.Batch, st.MaxUnavailable, st.SoakTime, st.ProgressDeadline = 0, CountOrPercent{Count: 4}, CountOrPercent{Count: 4}, 1_000_000, 10_000_000
		p.apply(8, 64, st)
		p.run(20_000_000)
		if !p.s.Settled() {
			t.Fatalf("never settled: %+v", p.s.Rollouts(1))
		}
		st.FailureBudget = CountOrPercent{Count: budget}
		p.apply(8, 96, st)
		wave := Waves(p.s.changesFor(p.s.rollouts.queued[0], nil), &st)[0]
		p.sick[wave[1]], p.sick[wave[2]] = "", ""
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

// An instance of a wave that is over begins to flap while the next one goes: it counts against the budget as well.
func TestLateFailureCounts(t *testing.T) {
	p := newPlay(t)
	st := DefaultStrategy()
	st.Canary, st.Batch, st.MaxUnavailable, st.SoakTime, st.ProgressDeadline = 0, CountOrPercent{Count: 1}, CountOrPercent{Count: 4}, 2_000_000, 60_000_000
	p.apply(4, 64, st)
	p.run(30_000_000)
	p.apply(4, 96, st)
	first := Waves(p.s.changesFor(p.s.rollouts.queued[0], nil), &st)[0][0]
	for p.s.rollouts.active == nil || p.s.rollouts.active.wave.index < 1 {
		p.run(100_000)
	}
	p.sick[first] = "flaps"
	p.run(30_000_000)
	if r := p.s.Rollouts(1)[0]; r.Phase != Paused || r.Failed[first] == "" || r.Released == 4 {
		t.Errorf("%+v", r)
	}
}

// A call that comes late, behind a newer one, changes nothing; and what was seen before an agent was told is no word on it.
func TestLateAndEarlyReports(t *testing.T) {
	p := newPlay(t)
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
	if err := p.s.Observe(&AgentSync{Agent: "a", Token: p.tok, Sequence: p.seq - 1, AssignmentVersion: p.s.agents.byName["a"].assignments.newest, Full: true, Reports: []Report{old}}, p.now); err != nil {
		t.Fatal(err)
	}
	if i.observed.report != good || !p.s.isCurrent(i) {
		t.Fatalf("an old call was believed: %+v", i.observed.report)
	}
	// It is told to stop, to run and to stop again before it has heard of any of it. It is stopped by chance when it calls, and may just be
	// starting: only once it says that it works by the last word does being stopped mean that it is as wanted.
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
	p.seq++
	if err := p.s.Observe(&AgentSync{Agent: "a", Token: p.tok, Sequence: p.seq, AssignmentVersion: have, Full: true, Reports: []Report{stopped}}, p.now); err != nil {
		t.Fatal(err)
	}
	if p.s.isCurrent(i) || p.s.Settled() {
		t.Error("stopped before it was told counts as stopped")
	}
	p.seq++
	if err := p.s.Observe(&AgentSync{Agent: "a", Token: p.tok, Sequence: p.seq, AssignmentVersion: a.assignments.newest, Full: true, Reports: []Report{stopped}}, p.now); err != nil {
		t.Fatal(err)
	}
	if !p.s.isCurrent(i) {
		t.Errorf("stopped as told is not current: %s", p.s.whyNotCurrent(i))
	}
}
