package state

import (
	"fmt"
	"runtime"
	"testing"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// benchmarkFleet is a fleet whose agents carry out their assignments immediately.
type benchmarkFleet struct {
	tb       testing.TB
	s        *State
	agents   []string   // names
	versions []uint64   // by agent: version of the assignments that it has fetched
	reports  [][]Report // by agent: latest reports of its instances
}

// newBenchmarkFleet returns a settled fleet of n instances with 50 instances per agent.
func newBenchmarkFleet(tb testing.TB, n int) *benchmarkFleet {
	tb.Helper()
	const now = 1
	f := &benchmarkFleet{tb: tb, s: New(DefaultLimits())}
	for k := range max(n/50, 1) {
		f.agents = append(f.agents, fmt.Sprintf("a%04d", k))
	}
	f.versions = make([]uint64, len(f.agents))
	f.reports = make([][]Report, len(f.agents))
	strategy := DefaultStrategy()
	strategy.SoakTime = 0
	strategy.Batch = CountOrPercent{Percent: 100}
	strategy.OneDomainPerWave = false
	r, _, err := f.s.Propose(&Command{ID: "c"}, f.spec(n), strategy, now)
	if err != nil {
		tb.Fatal(err)
	}
	f.apply(r)
	for _, name := range f.agents {
		f.apply(f.s.Register(name, 0, now))
	}
	const maxRounds = 7
	for round := uint64(1); round == 1 || !f.s.Settled(); round++ {
		if round > maxRounds {
			tb.Fatalf("fleet is not settled after %d rounds: %+v", maxRounds, f.s.Rollouts(1))
		}
		for a := range f.agents {
			f.sync(a, round, now)
		}
		for list := f.s.Step(now); len(list) > 0; list = f.s.Step(now) {
			for _, r := range list {
				f.apply(r)
			}
		}
	}
	return f
}

func (f *benchmarkFleet) apply(r *Record) {
	f.tb.Helper()
	if err := f.s.Apply(r); err != nil {
		f.tb.Fatal(err)
	}
}

// spec returns a desired state with n instances.
func (f *benchmarkFleet) spec(n int) *spec.Spec {
	const text = "{}"
	digest := spec.ConfigDigest([]byte(text))
	instances := map[string]*spec.Instance{}
	for k := range n {
		name := fmt.Sprintf("n%06d", k)
		instances[name] = &spec.Instance{
			Name:    name,
			Agent:   f.agents[k%len(f.agents)],
			Enabled: true,
			Start: spec.StartSettings{
				Config:   digest,
				Listen:   fmt.Sprintf("127.0.%d.1:%d", k/50000, 1024+k%50000),
				MemoryMB: 96,
			},
		}
	}
	return &spec.Spec{Instances: instances, Configs: map[string]string{digest: text}}
}

// sync lets an agent fetch its assignments, carry them out and report.
func (f *benchmarkFleet) sync(a int, sequence uint64, now clock.Micros) {
	f.tb.Helper()
	name := f.agents[a]
	list, version := f.s.Assignments(name, f.versions[a])
	f.versions[a] = version
	for _, assignment := range list {
		if assignment.Unreleased {
			continue
		}
		f.reports[a] = append(f.reports[a], Report{
			Name:           assignment.Name,
			Process:        ProcessRunning,
			Incarnation:    "b" + assignment.Name,
			AppliedEdition: assignment.TargetEdition,
			StartDigest:    assignment.Desired.Start.Digest(),
			Healthy:        true,
		})
	}
	call := &AgentSync{
		Agent:             name,
		Token:             f.s.agents.byName[name].token,
		Sequence:          sequence,
		AssignmentVersion: version,
		Full:              true,
		Reports:           f.reports[a],
	}
	if err := f.s.Observe(call, now); err != nil {
		f.tb.Fatal(err)
	}
}

// rescan computes, by visiting every instance, the values that the state keeps in its counters and sets.
func rescan(s *State) (unavailable, total, notCurrent int, departed []string) {
	for name, i := range s.instances {
		current, available := s.isCurrent(i), i.isAvailable()
		if i.release.desired != nil && i.release.desired.Enabled && i.availability.hasServed {
			total++
			if !available || i.availability.restarting || i.observed.report.StartDigest != i.release.startDigest {
				unavailable++
			}
		}
		if !current {
			notCurrent++
		}
		if i.observed.known && i.observed.report.Process == ProcessAbsent && i.release.desired == nil {
			departed = append(departed, name)
		}
	}
	return unavailable, total, notCurrent, departed
}

// BenchmarkStep reports changes of ten instances and determines which records are due: by the counters and sets of the
// state, and by visiting all instances.
func BenchmarkStep(b *testing.B) {
	for _, n := range benchmarkSizes() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		f := newBenchmarkFleet(b, n)
		s, reports := f.s, f.reports
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytes := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
		for _, withoutIndex := range []bool{false, true} {
			name := "indexed"
			if withoutIndex {
				name = "rescan"
			}
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				sequence, now := s.agents.byName["a0000"].session.lastSequence, s.now
				for k := 0; b.Loop(); k++ {
					a := k % len(reports)
					agent := fmt.Sprintf("a%04d", a)
					var changed []Report
					for j := range min(10, len(reports[a])) {
						r := &reports[a][j]
						r.Healthy = !r.Healthy
						changed = append(changed, *r)
					}
					sequence++
					now++
					call := &AgentSync{
						Agent:             agent,
						Token:             s.agents.byName[agent].token,
						Sequence:          sequence,
						AssignmentVersion: s.agents.byName[agent].assignments.newest,
						Reports:           changed,
					}
					if err := s.Observe(call, now); err != nil {
						b.Fatal(err)
					}
					if withoutIndex {
						rescan(s)
					} else if list := s.Step(now); len(list) > 0 {
						b.Fatalf("Step returns record %+v, want none", list[0])
					}
				}
				b.ReportMetric(bytes, "B/instance")
			})
		}
		runtime.KeepAlive(s)
		runtime.KeepAlive(reports)
	}
}

// benchmarkSizes returns the numbers of instances to measure, with -short only the smallest.
func benchmarkSizes() []int {
	sizes := []int{100, 1_000, 10_000, 100_000}
	if testing.Short() {
		return sizes[:1]
	}
	return sizes
}
