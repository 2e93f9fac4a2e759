package state

import (
	"fmt"
	"runtime"
	"testing"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// emulate is a settled fleet of n instances, fifty to an agent, with a report of each.
func emulate(tb testing.TB, n int) (*State, [][]Report) {
	s := New(DefaultLimits())
	put := func(r *Record) {
		if err := s.Apply(r); err != nil {
			tb.Fatal(err)
		}
	}
	want := &spec.Spec{Instances: map[string]*spec.Instance{}, Configs: map[string]string{}}
	text := "{}"
	d := spec.ConfigDigest([]byte(text))
	want.Configs[d] = text
	agents := max(n/50, 1)
	for k := range n {
		name := fmt.Sprintf("n%06d", k)
		want.Instances[name] = &spec.Instance{Name: name, Agent: fmt.Sprintf("a%04d", k%agents), Enabled: true,
			Start: spec.StartSettings{Config: d, Listen: fmt.Sprintf("127.0.%d.1:%d", k/50000, 1024+k%50000), MemoryMB: 96}}
	}
	st := DefaultStrategy()
	st.SoakTime, st.Batch, st.OneDomainPerWave = 0, CountOrPercent{Percent: 100}, false
	r, _, err := s.Propose(&Command{ID: "c"}, want, st, 1)
	if err != nil {
		tb.Fatal(err)
	}
	put(r)
	now := clock.Micros(1)
	drain := func() {
		for {
			list := s.Step(now)
			if len(list) == 0 {
				return
			}
			for _, r := range list {
				put(r)
			}
		}
	}
	reports := make([][]Report, agents)
	have := make([]uint64, agents)
	seq := uint64(0)
	for round := 0; !s.Settled() || round == 0; round++ {
		if round > 6 {
			tb.Fatalf("not settled: %+v", s.Rollouts(1))
		}
		seq++
		for a := range agents {
			name := fmt.Sprintf("a%04d", a)
			if round == 0 {
				put(s.Register(name, 0, 1))
			}
			list, version := s.Assignments(name, have[a])
			have[a] = version
			for _, x := range list {
				if x.Unreleased { // not released yet: the agent leaves it as it is
					continue
				}
				reports[a] = append(reports[a], Report{Name: x.Name, Process: Running, Incarnation: "b" + x.Name, AppliedEdition: x.TargetEdition, StartDigest: x.Desired.Start.Digest(), Healthy: true})
			}
			if err := s.Observe(&AgentSync{Agent: name, Token: s.agents.byName[name].token, Sequence: seq, AssignmentVersion: version, Full: true, Reports: reports[a]}, now); err != nil {
				tb.Fatal(err)
			}
		}
		drain()
	}
	return s, reports
}

// rescan is the plain way: everything is looked at again.
func rescan(s *State) (out, of, differ int, gone []string) {
	for name, i := range s.instances {
		cur, up := s.isCurrent(i), i.isAvailable()
		if i.release.desired != nil && i.release.desired.Enabled && i.availability.hasServed {
			of++
			if !up || i.availability.restarting || i.observed.report.StartDigest != i.release.startDigest {
				out++
			}
		}
		if !cur {
			differ++
		}
		if i.observed.known && i.observed.report.Process == Absent && i.release.desired == nil {
			gone = append(gone, name)
		}
	}
	return out, of, differ, gone
}

// BenchmarkStep has ten instances change in a fleet, and finds out what to do: with the index, and by looking at all.
func BenchmarkStep(b *testing.B) {
	for _, n := range benchmarkSizes() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, reports := emulate(b, n)
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytes := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
		for _, plain := range []bool{false, true} {
			name := "indexed"
			if plain {
				name = "rescan"
			}
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				seq, now := s.agents.byName["a0000"].session.lastSequence, s.now
				for k := 0; b.Loop(); k++ {
					a := k % len(reports)
					agent := fmt.Sprintf("a%04d", a)
					var changed []Report
					for j := range min(10, len(reports[a])) {
						r := &reports[a][j]
						r.Healthy = !r.Healthy
						changed = append(changed, *r)
					}
					seq++
					now++
					if err := s.Observe(&AgentSync{Agent: agent, Token: s.agents.byName[agent].token, Sequence: seq, AssignmentVersion: s.agents.byName[agent].assignments.newest, Reports: changed}, now); err != nil {
						b.Fatal(err)
					}
					if plain {
						rescan(s)
					} else if list := s.Step(now); len(list) > 0 {
						b.Fatal(list[0])
					}
				}
				b.ReportMetric(bytes, "B/instance")
			})
		}
		runtime.KeepAlive(s)
		runtime.KeepAlive(reports)
	}
}

// benchmarkSizes are numbers of instances; with -short only the smallest.
func benchmarkSizes() []int {
	sizes := []int{100, 1_000, 10_000, 100_000}
	if testing.Short() {
		return sizes[:1]
	}
	return sizes
}
