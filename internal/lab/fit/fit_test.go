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

// recorded writes what two brokers with clocks of their own would have recorded of n requests, two classes, one node in use by one at a time
// unless crowd says otherwise.
func recorded(t *testing.T, n int, draw func(class int) float64, crowd bool) string {
	t.Helper()
	dir := t.TempDir()
	lots := rand.New(rand.NewPCG(1, 1))
	const wall = 1_790_000_000_000_000
	buf := map[string][]byte{}
	clocks := map[string]clock.Micros{"b1": 5_000_000, "b2": 900_000_000}
	for name, began := range clocks {
		e := record.Event{At: began, Kind: record.KindIncarnation, Incarnation: &record.Incarnation{Name: name, ID: "x", StartedAt: began, WallClock: wall, SampleFraction: 1,
			Classes: []record.Class{{Name: "read", LatencyObjective: 400_000, Deadline: 2_500_000, PriorityWeight: 2}, {Name: "new", LatencyObjective: 600_000, Deadline: 5_000_000, PriorityWeight: 2}},
			Plans:   []record.Plan{{Name: "basis", PriceFactor: 0.8}, {Name: "unused", PriceFactor: 1}, {Name: "express", PriceFactor: 1.5}}}}
		buf[name] = e.Append(nil, began)
	}
	at := clock.Micros(0)
	for i := range n {
		at += clock.Micros(lots.ExpFloat64() * 100_000)
		name := fmt.Sprint("b", 1+i%2)
		class, volume, plan := i%4/3, i%6, uint8(0)
		if volume >= 4 {
			plan = 2
		}
		q := record.Request{Class: uint8(class), Plan: plan, Volume: fmt.Sprint("v", volume), Units: 2, Shard: int64(lots.IntN(3))}
		took := clock.Micros(draw(class))
		q.Attempts = []record.Attempt{{Node: fmt.Sprint("n", q.Shard), SentAfter: 100, Duration: took}}
		if class == 1 {
			q.Shard = -1
		}
		if crowd { // another stands in the same queue all the time
			q.Attempts = append(q.Attempts, record.Attempt{Node: q.Attempts[0].Node, SentAfter: 50, Duration: took + 100})
		}
		q.Duration = took + 200
		e := record.Event{At: clocks[name] + at, Kind: record.KindRequest, Request: &q}
		buf[name] = e.Append(buf[name], clocks[name])
	}
	for name, b := range buf {
		f := record.Frame{Seq: 1, BaseTime: clocks[name], WrittenAt: clocks[name] + at, Events: b}
		text := f.Append(record.SegmentHeader(name, "x", 1))
		for _, copied := range []string{"", "-copy"} { // a copy counts once
			if err := os.WriteFile(filepath.Join(dir, name+copied+".seg"), text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	return dir
}

// What the records were drawn from comes out again: spread, means by class, rates, and how volumes lie.
func TestWhatWasDrawnComesOut(t *testing.T) {
	src := rand.NewPCG(2, 2)
	ln := distuv.LogNormal{Mu: math.Log(30_000) - 0.125, Sigma: 0.5, Src: src}
	ex := distuv.Exponential{Rate: 1.0 / 20_000, Src: src}
	for spread, draw := range map[string]func(class int) float64{
		"lognormal":   func(class int) float64 { return ln.Rand() * float64(1+class) },
		"exponential": func(class int) float64 { return ex.Rand()*(1+0.5*float64(class)) + 1 },
		"constant":    func(int) float64 { return 25_000 },
	} {
		trace, err := Read(recorded(t, 4000, draw, false))
		if err != nil {
			t.Fatal(err)
		}
		s, w, notes, err := trace.Scenario("fitted")
		if err != nil {
			t.Fatal(err)
		}
		if w.Spread != spread || w.N < 2500 || w.Distance > 0.05 || len(notes) != 5 {
			t.Errorf("%s: %+v, %d notes", spread, w, len(notes))
		}
		if spread == "lognormal" && (math.Abs(w.Sigma-0.5) > 0.02 || math.Abs(time.Duration(s.Load.Work).Seconds()-0.0375) > 0.002 || math.Abs(s.Classes[1].Work/s.Classes[0].Work-2) > 0.1) {
			t.Errorf("%+v, %+v", w, s.Classes)
		}
		if s.Brokers != 2 || s.Nodes[0].Count != 3 || math.Abs(s.Load.Rate-10) > 0.5 {
			t.Errorf("%s: %d brokers, %d nodes, %v a second", spread, s.Brokers, s.Nodes[0].Count, s.Load.Rate)
		}
		if len(s.Plans) != 2 || s.Plans[0].Volumes != 4 || s.Plans[1].Name != "express" || s.Plans[1].Volumes != 2 || s.Plans[1].Hosts != [2]int{1, 1} || s.Plans[0].Nodes[1] != 3 {
			t.Errorf("%s: %+v", spread, s.Plans)
		}
		if c := s.Classes; len(c) != 2 || c[0].Share != 0.75 || c[0].Idempotency != "always" || !c[1].Writes || c[1].Idempotency != "never" || time.Duration(c[1].Deadline) != 5*time.Second {
			t.Errorf("%s: %+v", spread, c)
		}
		if _, err := model.Play(s, "module", 1); err != nil {
			t.Errorf("%s: it cannot be played: %v", spread, err)
		}
	}
}

// A stay in a queue is not taken for work; records that say too little make no scenario, and one that is damaged is told.
func TestWhatCannotBeTold(t *testing.T) {
	trace, err := Read(recorded(t, 400, func(int) float64 { return 25_000 }, true))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := trace.Scenario("x"); err == nil || !strings.Contains(err.Error(), "only 0 attempts were alone") {
		t.Errorf("crowded nodes: %v", err)
	}
	if _, err := Read(t.TempDir()); err == nil || !strings.Contains(err.Error(), "no request") {
		t.Errorf("an empty folder: %v", err)
	}
	dir := recorded(t, 400, func(int) float64 { return 25_000 }, false)
	if err := os.WriteFile(filepath.Join(dir, "bad.seg"), []byte("nothing"), 0o600); err != nil {
		t.Fatal(err)
	}
	trace, err = Read(dir)
	if err != nil || len(trace.Faults) != 1 || !strings.Contains(trace.Faults[0], "bad.seg") {
		t.Errorf("%v, %q", err, trace.Faults)
	}
}
