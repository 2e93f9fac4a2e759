package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/observability/incident"
	"poppyarch/internal/observability/incident/collect"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/testkit/cluster"
	"poppyarch/internal/testkit/fake"
	"poppyarch/internal/timing/clock"
)

// recordCommand measures the cost of recording: a broker's CPU time per request without recording, with sampling and
// with full recording, and the time to collect and analyse record logs of increasing size.
func recordCommand() *cobra.Command {
	var runs, events int
	c := &cobra.Command{Use: "record", Short: "measure the cost of recording and of analysing records",
		RunE: func(*cobra.Command, []string) error {
			if err := measureRecording(runs); err != nil {
				return err
			}
			return measureAnalysis(events)
		}}
	c.Flags().IntVar(&runs, "runs", 5, "runs of each recording mode")
	c.Flags().IntVar(&events, "events", 10_000_000, "number of events of the largest log")
	return c
}

// measureRecording runs a broker in each recording mode in turn, under the same load, and compares the CPU time per
// request.
func measureRecording(runs int) error {
	modes := []string{"off", "1 in 100", "full"}
	cpu := map[string][]float64{}
	for range runs {
		for _, mode := range modes {
			seconds, err := measureCPUPerRequest(mode)
			if err != nil {
				return err
			}
			cpu[mode] = append(cpu[mode], seconds)
		}
	}
	median := func(values []float64) float64 {
		sorted := slices.Sorted(slices.Values(values))
		return sorted[len(sorted)/2]
	}
	fmt.Println("| recording | CPU for a request, against off (median) | least | most |")
	fmt.Println("| --- | --- | --- | --- |")
	off := median(cpu["off"])
	for _, mode := range modes {
		fmt.Printf("| %s | %.2f | %.2f | %.2f |\n", mode, median(cpu[mode])/off, slices.Min(cpu[mode])/off, slices.Max(cpu[mode])/off)
	}
	fmt.Println()
	return nil
}

// measureCPUPerRequest runs a broker in a recording mode under load and returns the CPU seconds that it used per
// request.
func measureCPUPerRequest(mode string) (float64, error) {
	dir, err := os.MkdirTemp("", "record")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := cluster.New(cluster.Options{Dir: dir, Program: program, NodeCount: 3, BlockBrokers: 1})
	if err != nil {
		return 0, err
	}
	defer func() { _ = s.Close() }()
	path := filepath.Join(dir, "broker.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	// The broker runs without an agent, so its configuration gets a block listener instead of the object frontend, and
	// the recorder.
	recorder := map[string]string{"off": "", "1 in 100": fmt.Sprintf(`,"record":{"dir":%q,"sample":0.01}`, dir), "full": fmt.Sprintf(`,"record":{"dir":%q}`, dir)}[mode]
	config := strings.TrimSpace(string(text))
	config = strings.Replace(config[:len(config)-1]+fmt.Sprintf(`,"listen":%q%s}`, s.BlockFrontendAddrs[0], recorder), `"object"`, `"unused"`, 1)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return 0, err
	}
	cmd := exec.Command(program, "serve")
	cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = log.Close() }()
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	load := &fake.Traffic{BlockAddrs: s.BlockFrontendAddrs, ReadClass: "artwork-read", WriteClass: "job-new",
		Plan: "basis", Shards: 3, Clients: 8, Pause: 200 * time.Microsecond}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	load.Run(ctx)
	cancel()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		b, _ := os.ReadFile(log.Name())
		return 0, fmt.Errorf("%w: %s", err, b)
	}
	if load.Served.Load() < 1000 {
		return 0, fmt.Errorf("too few requests served, want at least 1000: %v", load)
	}
	used := cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	return used.Seconds() / float64(load.Served.Load()), nil
}

// measureAnalysis writes record logs of up to maxEvents events and measures how long it takes to collect and analyse
// them.
func measureAnalysis(maxEvents int) error {
	fmt.Println("| events | bytes an event | collected, events a second | analysed, events a second | both, time against the smallest log, for an event | heap after, bytes an event |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	smallestLog := 0.0 // seconds per event
	for n := 10_000; n <= maxEvents; n *= 10 {
		dir, err := os.MkdirTemp("", "record")
		if err != nil {
			return err
		}
		size, err := writeLog(dir, n)
		if err != nil {
			return err
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		start := time.Now()
		streams, found, err := collect.Read(dir)
		if err != nil {
			return err
		}
		collected := time.Since(start).Seconds()
		start = time.Now()
		analysis := incident.Analyse(streams, incident.DefaultOptions())
		analysed := time.Since(start).Seconds()
		runtime.GC()
		runtime.ReadMemStats(&after)
		perEvent := (collected + analysed) / float64(n)
		if smallestLog == 0 {
			smallestLog = perEvent
		}
		fmt.Printf("| %d | %.1f | %.2f million | %.2f million | %.2f | %.0f |\n", n, float64(size)/float64(n), float64(n)/collected/1e6, float64(n)/analysed/1e6, perEvent/smallestLog,
			float64(after.HeapAlloc-before.HeapAlloc)/float64(n))
		if analysis.Events < n || len(found.Faults) > 0 {
			return fmt.Errorf("analysed %d of %d events, faults in the log: %v", analysis.Events, n, found.Faults)
		}
		runtime.KeepAlive(streams)
		_ = os.RemoveAll(dir)
	}
	return nil
}

// writeLog writes a record log of n requests by four brokers, each at 500 requests a second. It returns the log's size.
func writeLog(dir string, n int) (size int64, err error) {
	r := rand.New(rand.NewPCG(1, 2))
	const brokers = 4
	start := clock.Micros(1_800_000_000_000_000)
	for b := range brokers {
		name := fmt.Sprint("n", b)
		sink, err := record.NewDirectory(dir, name, fmt.Sprintf("%016x", b+1), 8<<20, 1<<40)
		if err != nil {
			return 0, err
		}
		incarnation := record.Event{At: start, Kind: record.KindIncarnation, Incarnation: &record.Incarnation{Name: name, ID: fmt.Sprintf("%016x", b+1), StartedAt: start, HeartbeatInterval: 500_000, SampleFraction: 1,
			Classes: []record.Class{{Name: "artwork-read", LatencyObjective: 400_000, Deadline: 2_500_000, PriorityWeight: 2}}, Plans: []record.Plan{{Name: "basis", PriceFactor: 0.8}}}}
		buf := incarnation.Append(nil, start)
		seq, at := uint64(0), start
		flush := func() error {
			seq++
			f := record.Frame{Seq: seq, BaseTime: start, WrittenAt: at, Events: buf}
			size += int64(len(buf)) + 36
			err := sink.Write(&f)
			buf = buf[:0]
			return err
		}
		var attempts [1]record.Attempt // reused for every request
		for k := range n / brokers {
			at += 2000
			duration := clock.Micros(r.ExpFloat64()*20_000) + 10_000
			attempts[0] = record.Attempt{Node: fmt.Sprintf("s-5be2a07%x", r.IntN(14)), SentAfter: 40, Duration: duration - 50, Outcome: 0}
			e := record.Event{At: at, Kind: record.KindRequest, Request: &record.Request{Volume: fmt.Sprintf("%016x", r.IntN(80)), Units: 2, Shard: 3, Duration: duration, Attempts: attempts[:]}}
			buf = e.Append(buf, start)
			if k%25 == 24 {
				if err := flush(); err != nil {
					return 0, err
				}
			}
		}
		if err := flush(); err != nil {
			return 0, err
		}
		if err := sink.Close(); err != nil {
			return 0, err
		}
	}
	return size, nil
}
