package fit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"poppyarch/internal/lab/model"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// writeRecords writes the records of n requests of two classes that two brokers with different clocks would make, and
// returns their folder. Attempts at a node do not overlap unless overlapping is set.
func writeRecords(t *testing.T, n int, draw func(class int) float64, overlapping bool) string {
	t.Helper()
	dir := t.TempDir()
	random := rand.New(rand.NewPCG(1, 1))
	const wall = 1_790_000_000_000_000
	buf := map[string][]byte{}
	clocks := map[string]clock.Micros{"b1": 5_000_000, "b2": 900_000_000}
	for name, start := range clocks {
		e := record.Event{At: start, Kind: record.KindIncarnation, Incarnation: &record.Incarnation{Name: name, ID: "x", StartedAt: start, WallClock: wall, SampleFraction: 1,
			Classes: []record.Class{{Name: "read", LatencyObjective: 400_000, Deadline: 2_500_000, PriorityWeight: 2}, {Name: "new", LatencyObjective: 600_000, Deadline: 5_000_000, PriorityWeight: 2}},
			Plans:   []record.Plan{{Name: "basis", PriceFactor: 0.8}, {Name: "unused", PriceFactor: 1}, {Name: "express", PriceFactor: 1.5}}}}
		buf[name] = e.Append(nil, start)
	}
	at := clock.Micros(0) // since the start of the broker
	for i := range n {
		at += clock.Micros(random.ExpFloat64() * 100_000)
		name := fmt.Sprint("b", 1+i%2)
		class, volume, plan := i%4/3, i%6, uint8(0)
		if volume >= 4 {
			plan = 2
		}
		q := record.Request{Class: uint8(class), Plan: plan, Volume: fmt.Sprint("v", volume), Units: 2, Shard: int64(random.IntN(3))}
		duration := clock.Micros(draw(class))
		q.Attempts = []record.Attempt{{Node: fmt.Sprint("n", q.Shard), SentAfter: 100, Duration: duration}}
		if class == 1 {
			q.Shard = -1
		}
		if overlapping { // a second attempt overlaps each one at its node
			q.Attempts = append(q.Attempts, record.Attempt{Node: q.Attempts[0].Node, SentAfter: 50, Duration: duration + 100})
		}
		q.Duration = duration + 200
		e := record.Event{At: clocks[name] + at, Kind: record.KindRequest, Request: &q}
		buf[name] = e.Append(buf[name], clocks[name])
	}
	for name, b := range buf {
		f := record.Frame{Seq: 1, BaseTime: clocks[name], WrittenAt: clocks[name] + at, Events: b}
		text := f.Append(record.SegmentHeader(name, "x", 1))
		for _, suffix := range []string{"", "-copy"} { // copies of a segment count once
			if err := os.WriteFile(filepath.Join(dir, name+suffix+".seg"), text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	return dir
}

// A fit recovers the parameters that the records were generated with: distribution, means by class, rates, and the
// brokers and nodes of volumes.
func TestFitRecoversParameters(t *testing.T) {
	src := rand.NewPCG(2, 2)
	ln := distuv.LogNormal{Mu: math.Log(30_000) - 0.125, Sigma: 0.5, Src: src}
	ex := distuv.Exponential{Rate: 1.0 / 20_000, Src: src}
	for spread, draw := range map[string]func(class int) float64{
		"lognormal":   func(class int) float64 { return ln.Rand() * float64(1+class) },
		"exponential": func(class int) float64 { return ex.Rand()*(1+0.5*float64(class)) + 1 },
		"constant":    func(int) float64 { return 25_000 },
	} {
		trace, err := Read(writeRecords(t, 4000, draw, false))
		if err != nil {
			t.Fatal(err)
		}
		s, w, notes, err := trace.Scenario("fitted")
		if err != nil {
			t.Fatal(err)
		}
		if w.Distribution != spread || w.Samples < 2500 || w.Distance > 0.05 || len(notes) != 5 {
			t.Errorf("%s: %+v, %d notes", spread, w, len(notes))
		}
		if spread == "lognormal" && (math.Abs(w.Sigma-0.5) > 0.02 || math.Abs(time.Duration(s.Load.Work).Seconds()-0.0375) > 0.002 || math.Abs(s.Classes[1].WorkFactor/s.Classes[0].WorkFactor-2) > 0.1) {
			t.Errorf("%+v, %+v", w, s.Classes)
		}
		if s.Brokers != 2 || s.Nodes[0].Count != 3 || math.Abs(s.Load.Rate-10) > 0.5 {
			t.Errorf("%s: %d brokers, %d nodes, %v a second", spread, s.Brokers, s.Nodes[0].Count, s.Load.Rate)
		}
		if len(s.Plans) != 2 || s.Plans[0].Volumes != 4 || s.Plans[1].Name != "express" || s.Plans[1].Volumes != 2 || s.Plans[1].BrokerRange != [2]int{1, 1} || s.Plans[0].NodeRange[1] != 3 {
			t.Errorf("%s: %+v", spread, s.Plans)
		}
		if c := s.Classes; len(c) != 2 || c[0].Share != 0.75 || c[0].Idempotency != "always" || !c[1].Writes || c[1].Idempotency != "never" || time.Duration(c[1].Deadline) != 5*time.Second {
			t.Errorf("%s: %+v", spread, c)
		}
		if _, err := model.Run(s, "module", 1); err != nil {
			t.Errorf("%s: the fitted scenario does not run: %v", spread, err)
		}
	}
}

// Time in queues is not taken for service time, records without enough information give an error, and a damaged
// segment is reported.
func TestUnusableRecordsAreReported(t *testing.T) {
	trace, err := Read(writeRecords(t, 400, func(int) float64 { return 25_000 }, true))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := trace.Scenario("x"); err == nil || !strings.Contains(err.Error(), "only 0 attempts overlapped no other") {
		t.Errorf("overlapping attempts: error %v", err)
	}
	if _, err := Read(t.TempDir()); err == nil || !strings.Contains(err.Error(), "contain no individual requests") {
		t.Errorf("empty folder: error %v", err)
	}
	dir := writeRecords(t, 400, func(int) float64 { return 25_000 }, false)
	if err := os.WriteFile(filepath.Join(dir, "bad.seg"), []byte("nothing"), 0o600); err != nil {
		t.Fatal(err)
	}
	trace, err = Read(dir)
	if err != nil || len(trace.ReadErrors) != 1 || !strings.Contains(trace.ReadErrors[0], "bad.seg") {
		t.Errorf("error %v, read errors %q, want one about bad.seg", err, trace.ReadErrors)
	}
}
