package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/testkit/cluster"
	"poppyarch/internal/testkit/fake"
)

// TestMain lets the test binary be poppyarch itself.
func TestMain(m *testing.M) {
	if os.Getenv("POPPYARCH_TEST_MAIN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// patience bounds every wait for what must come; a run that meets it has failed. No verdict hangs on less.
const patience = 90 * time.Second

// Eight brokers under load through both fronts. During a rollout brokers and an agent are killed outright, and the manager
// too; then everything comes back, is rolled back in the middle of another rollout, and takes a node change. Each broker
// ends in one state, which is as wanted and as reported; no boot took a change twice; every request that was answered got
// exactly one answer, its own.
func TestEightBrokersThroughKills(t *testing.T) {
	dir := t.TempDir()
	s, err := cluster.New(cluster.Options{Dir: dir, Program: os.Args[0], Env: []string{"POPPYARCH_TEST_MAIN=1"}, Nodes: 3, Blocks: 5, Objects: 3,
		Agents: 2, Soak: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Minute)
	defer cancel()
	defer func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if t.Failed() {
			for _, name := range []string{"manager.log", "agent1.log", "agent2.log"} {
				b, _ := os.ReadFile(filepath.Join(dir, name))
				t.Logf("%s:\n%s", name, b)
			}
		}
	}()
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	run := func(args ...string) string {
		t.Helper()
		out, err := s.Run(args...)
		if err != nil {
			t.Fatalf("%v: %v\n%s", args, err, out)
		}
		return out
	}
	settled := func(what string) api.Overview {
		t.Helper()
		for end := time.Now().Add(patience); ; time.Sleep(50 * time.Millisecond) {
			o, err := s.Client.Overview(ctx, nil, nil)
			if err == nil && o.Settled {
				return o
			}
			if time.Now().After(end) {
				out, _ := s.Run("status")
				t.Fatalf("%s: never settled: %v\n%s", what, err, out)
			}
		}
	}
	if err := s.Inventory(map[string]string{"memory_mb": "96"}); err != nil {
		t.Fatal(err)
	}
	run("apply", "--note", "first")
	settled("first apply")

	load := &fake.Traffic{Blocks: s.Block, Objects: s.Front, Read: "artwork-read", Write: "job-new", Plan: "basis", Shards: 3, Clients: 3,
		Pause: 5 * time.Millisecond, Patience: 20 * time.Second}
	loading, stop := context.WithCancel(ctx)
	var traffic sync.WaitGroup
	traffic.Go(func() { load.Run(loading) })
	defer traffic.Wait()
	defer stop()

	// A rollout that restarts everything, and kills while it runs.
	if err := s.Inventory(map[string]string{"memory_mb": "128", "max_open": "2000"}); err != nil {
		t.Fatal(err)
	}
	run("apply", "--note", "second", "--id", "second")
	run("apply", "--note", "second", "--id", "second") // asked again: carried out once
	until := func(what string, ok func(api.Overview) bool) {
		t.Helper()
		for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
			if o, err := s.Client.Overview(ctx, nil, nil); err == nil && ok(o) {
				return
			}
			if time.Now().After(end) {
				t.Fatal("never came: " + what)
			}
		}
	}
	until("a wave after the canary", func(o api.Overview) bool { return len(o.Rollouts) > 0 && o.Rollouts[0].Wave >= 1 })
	s.Kill("agent1")
	for _, name := range []string{"b2", "o2"} { // brokers of the agent that lives
		if err := s.KillBroker(ctx, name); err != nil {
			t.Log(err) // it is just being restarted
		}
	}
	if err := s.KillBroker(ctx, "b1"); err != nil { // and of the one that is dead
		t.Log(err)
	}
	s.Kill("manager")
	if _, err := s.Run("--timeout", "1s", "status"); exitCode(err) != exitNoAgent {
		t.Errorf("without a manager: %v", err)
	}
	if err := s.Manager(); err != nil {
		t.Fatal(err)
	}
	if err := s.Agent(1); err != nil {
		t.Fatal(err)
	}
	settled("after the kills")

	// Another one, and the way back while it goes; then a node change.
	if err := s.Inventory(map[string]string{"memory_mb": "112"}); err != nil {
		t.Fatal(err)
	}
	run("apply", "--note", "third")
	until("something released", func(o api.Overview) bool { return len(o.Rollouts) > 0 && o.Rollouts[0].Released > 0 })
	run("rollout", "rollback", "--to", "2", "--wait")
	run("nodes", "drain", "s-2", "--wait")
	o := settled("after the rollback")
	if o.Revision != 5 || len(o.Nodes) != 1 {
		t.Errorf("revision %d, node changes %v", o.Revision, o.Nodes)
	}

	// Nothing new reaches the drained node any more, while the others work on.
	seen := len(s.Stores[2].Seen())
	served := load.Served.Load()
	until("more traffic", func(api.Overview) bool { return load.Served.Load() > served+200 })
	if now := len(s.Stores[2].Seen()); now != seen {
		t.Errorf("%d commands reached a drained node", now-seen)
	}
	run("nodes", "back", "s-2", "--wait")
	o = settled("after the node's return")
	stop()
	traffic.Wait()

	if len(o.Instances) != 8 {
		t.Fatalf("%d instances", len(o.Instances))
	}
	out := run("status")
	if strings.Count(out, "current") != 8 || !strings.Contains(out, "settled") {
		t.Errorf("status:\n%s", out)
	}
	boots := map[string]string{}
	for _, i := range o.Instances {
		if !i.Current || !i.Available || i.Revision != 2 && i.Revision != 4 || i.Report.AppliedEdition != i.TargetEdition || boots[i.Report.Incarnation] != "" {
			t.Errorf("%+v", i)
		}
		boots[i.Report.Incarnation] = i.Name
	}
	// What each process said itself, from its own log: every change that a boot took, once.
	{
		logs, err := filepath.Glob(filepath.Join(dir, "run*", "*.log"))
		if err != nil || len(logs) != 8 {
			t.Errorf("logs %v, %v", logs, err)
		}
		for _, name := range logs {
			b, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			taken := map[string]int{}
			for _, l := range strings.Split(string(b), "\n") {
				if _, rest, ok := strings.Cut(l, "control: change applied"); ok {
					_, id, _ := strings.Cut(rest, " id=")
					id, _, _ = strings.Cut(id, " ")
					taken[id]++
				}
			}
			for id, n := range taken {
				if n > 1 {
					t.Errorf("%s: %s was taken %d times", name, id, n)
				}
			}
			if len(taken) == 0 {
				t.Errorf("%s: no change was ever taken", name)
			}
		}
	}
	t.Log(load)
	if load.Wrong.Load() > 0 || load.Silent.Load() > 0 || load.Served.Load() < 300 {
		t.Errorf("%v %v", load, load.Complaints())
	}
	var all [][]string
	for _, b := range s.Stores {
		all = append(all, b.Seen())
	}
	if twice := fake.Twice(all...); len(twice) > 0 {
		t.Errorf("ran twice: %v", twice)
	}
}

func exitCode(err error) int {
	var e *exec.ExitError
	if errors.As(err, &e) {
		return e.ExitCode()
	}
	return 0
}

// The command line's ways out, against a manager without agents.
func TestFleetExitCodes(t *testing.T) {
	dir := t.TempDir()
	s, err := cluster.New(cluster.Options{Dir: dir, Program: os.Args[0], Env: []string{"POPPYARCH_TEST_MAIN=1"}, Nodes: 1, Blocks: 2, Agents: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	if err := s.Inventory(map[string]string{"memory_mb": "96"}); err != nil {
		t.Fatal(err)
	}
	if err := s.Manager(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		if _, err := s.Client.Overview(t.Context(), nil, nil); err == nil {
			break
		} else if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	bad := filepath.Join(dir, "bad.csv")
	if err := os.WriteFile(bad, []byte("name,config,listen,max_open\nx,broker.json,127.0.0.1:1,many\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"diff"}, exitUnhealthy, "added"},
		{[]string{"plan"}, 0, "wave 1: b1"},
		{[]string{"history"}, 0, "REV"},
		{[]string{"apply", "--expect", "7"}, exitMoved, "expected"},
		{[]string{"apply", "-i", bad}, exitUsage, "bad.csv:2: x.max_open"},
		{[]string{"apply", "--dry-run"}, 0, "nothing was changed"},
		{[]string{"rollout", "pause"}, exitMoved, "no rollout"},
		{[]string{"apply"}, 0, "revision 1"},
		{[]string{"apply"}, 0, "nothing changes"},
		{[]string{"status"}, exitUnhealthy, "agent m1 has never registered"},
		{[]string{"status", "nobody"}, exitUsage, "nobody"},
		{[]string{"status", "-l", "colour=red"}, exitUsage, "selector"},
		{[]string{"rollout", "rollback", "--to", "9"}, exitUsage, "revision 9"},
		{[]string{"--timeout", "1s", "wait"}, exitRollout, "in time"},
		{[]string{"agents", "list"}, 0, "silent"},
		{[]string{"agents", "retire", "nobody"}, exitUsage, "agent nobody"},
		{[]string{"nodes", "back", "s-9"}, exitUsage, "s-9"},
		{[]string{"nodes", "drain", "s-0"}, 0, "revision 2"},
		{[]string{"nodes", "list"}, 0, "drain"},
		{[]string{"--json", "history"}, 0, `"rev": 2`},
		{[]string{"--config", bad, "status"}, exitUsage, "bad.csv:1"},
	} {
		out, err := s.Run(x.args...)
		if exitCode(err) != x.code || !strings.Contains(out, x.text) {
			t.Errorf("%v: exit %d, want %d:\n%s", x.args, exitCode(err), x.code, out)
		}
	}
	out, err := s.Run("--json", "status")
	var o api.Overview
	if jerr := json.Unmarshal([]byte(out[:strings.LastIndex(out, "}")+1]), &o); jerr != nil || o.Revision != 2 || exitCode(err) != exitUnhealthy {
		t.Errorf("%v %v\n%s", jerr, err, out)
	}
}
