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

// recordCommand measures what records cost: a broker's CPU for a request without, with sampled and with full recording, and
// the time to collect and analyse logs of growing size.
func recordCommand() *cobra.Command {
	var runs, events int
	c := &cobra.Command{Use: "record", Short: "measure what records cost",
		RunE: func(*cobra.Command, []string) error {
			if err := measureRecording(runs); err != nil {
				return err
			}
			return logs(events)
		}}
	c.Flags().IntVar(&runs, "runs", 5, "repeats of each kind of broker")
	c.Flags().IntVar(&events, "events", 10_000_000, "of the largest log")
	return c
}

// measureRecording runs one broker after the other under the same load, by turns, and compares their CPU for a request.
func measureRecording(runs int) error {
	kinds := []string{"off", "1 in 100", "full"}
	cpu := map[string][]float64{}
	for range runs {
		for _, kind := range kinds {
			v, err := recordOnce(kind)
			if err != nil {
				return err
			}
			cpu[kind] = append(cpu[kind], v)
		}
	}
	median := func(l []float64) float64 { l = slices.Sorted(slices.Values(l)); return l[len(l)/2] }
	fmt.Println("| recording | CPU for a request, against off (median) | least | most |")
	fmt.Println("| --- | --- | --- | --- |")
	off := median(cpu["off"])
	for _, kind := range kinds {
		fmt.Printf("| %s | %.2f | %.2f | %.2f |\n", kind, median(cpu[kind])/off, slices.Min(cpu[kind])/off, slices.Max(cpu[kind])/off)
	}
	fmt.Println()
	return nil
}

// recordOnce returns a broker's CPU seconds for a request.
func recordOnce(kind string) (float64, error) {
	dir, err := os.MkdirTemp("", "record")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := cluster.New(cluster.Options{Dir: dir, Program: program, Nodes: 3, Blocks: 1})
	if err != nil {
		return 0, err
	}
	defer func() { _ = s.Close() }()
	path := filepath.Join(dir, "broker.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	// One broker by itself: a listener instead of the object front, and the recorder.
	with := map[string]string{"off": "", "1 in 100": fmt.Sprintf(`,"record":{"dir":%q,"sample":0.01}`, dir), "full": fmt.Sprintf(`,"record":{"dir":%q}`, dir)}[kind]
	body := strings.TrimSpace(string(text))
	body = strings.Replace(body[:len(body)-1]+fmt.Sprintf(`,"listen":%q%s}`, s.Block[0], with), `"object"`, `"unused"`, 1)
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
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
	load := &fake.Traffic{Blocks: s.Block, Read: "artwork-read", Write: "job-new", Plan: "basis", Shards: 3, Clients: 8, Pause: 200 * time.Microsecond}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	load.Run(ctx)
	cancel()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		b, _ := os.ReadFile(log.Name())
		return 0, fmt.Errorf("%w: %s", err, b)
	}
	if load.Served.Load() < 1000 {
		return 0, fmt.Errorf("only %v", load)
	}
	used := cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	return used.Seconds() / float64(load.Served.Load()), nil
}

// logs writes logs of growing size and measures reading them.
func logs(most int) error {
	fmt.Println("| events | bytes an event | collected, events a second | analysed, events a second | both, time against the smallest log, for an event | heap after, bytes an event |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	base := 0.0
	for n := 10_000; n <= most; n *= 10 {
		dir, err := os.MkdirTemp("", "record")
		if err != nil {
			return err
		}
		size, err := write(dir, n)
		if err != nil {
			return err
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		at := time.Now()
		streams, found, err := collect.Read(dir)
		if err != nil {
			return err
		}
		read := time.Since(at).Seconds()
		at = time.Now()
		a := incident.Analyse(streams, incident.DefaultOptions())
		analysed := time.Since(at).Seconds()
		runtime.GC()
		runtime.ReadMemStats(&after)
		each := (read + analysed) / float64(n)
		if base == 0 {
			base = each
		}
		fmt.Printf("| %d | %.1f | %.2f million | %.2f million | %.2f | %.0f |\n", n, float64(size)/float64(n), float64(n)/read/1e6, float64(n)/analysed/1e6, each/base,
			float64(after.HeapAlloc-before.HeapAlloc)/float64(n))
		if a.Events < n || len(found.Faults) > 0 {
			return fmt.Errorf("%d events of %d, faults %v", a.Events, n, found.Faults)
		}
		runtime.KeepAlive(streams)
		_ = os.RemoveAll(dir)
	}
	return nil
}

// write makes a log of n requests by four brokers, 500 a second each.
func write(dir string, n int) (size int64, err error) {
	r := rand.New(rand.NewPCG(1, 2))
	const brokers = 4
	start := clock.Micros(1_800_000_000_000_000)
	for b := range brokers {
		name := fmt.Sprint("n", b)
		sink, err := record.NewDirectory(dir, name, fmt.Sprintf("%016x", b+1), 8<<20, 1<<40)
		if err != nil {
			return 0, err
		}
		boot := record.Event{At: start, Kind: record.KindIncarnation, Incarnation: &record.Incarnation{Name: name, ID: fmt.Sprintf("%016x", b+1), StartedAt: start, HeartbeatInterval: 500_000, SampleFraction: 1,
			Classes: []record.Class{{Name: "artwork-read", LatencyObjective: 400_000, Deadline: 2_500_000, PriorityWeight: 2}}, Plans: []record.Plan{{Name: "basis", PriceFactor: 0.8}}}}
		buf := boot.Append(nil, start)
		seq, at := uint64(0), start
		flush := func() error {
			seq++
			f := record.Frame{Seq: seq, BaseTime: start, WrittenAt: at, Events: buf}
			size += int64(len(buf)) + 36
			err := sink.Write(&f)
			buf = buf[:0]
			return err
		}
		var tries [1]record.Attempt
		for k := range n / brokers {
			at += 2000
			took := clock.Micros(r.ExpFloat64()*20_000) + 10_000
			tries[0] = record.Attempt{Node: fmt.Sprintf("s-5be2a07%x", r.IntN(14)), SentAfter: 40, Duration: took - 50, Outcome: 0}
			e := record.Event{At: at, Kind: record.KindRequest, Request: &record.Request{Volume: fmt.Sprintf("%016x", r.IntN(80)), Units: 2, Shard: 3, Duration: took, Attempts: tries[:]}}
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
