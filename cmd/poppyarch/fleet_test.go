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

// TestMain runs the test binary as the poppyarch command if POPPYARCH_TEST_MAIN is set.
func TestMain(m *testing.M) {
	if os.Getenv("POPPYARCH_TEST_MAIN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// waitTimeout bounds each wait for an expected state. A test that reaches it fails; no result depends on a shorter
// time.
const waitTimeout = 90 * time.Second

// appliedChangeLine is what a broker logs for a change from its control endpoint.
const appliedChangeLine = "control: change applied"

// runningFleet is a fleet of processes that listen on loopback addresses.
type runningFleet struct {
	t       *testing.T
	ctx     context.Context
	cluster *cluster.Cluster
	dir     string
	traffic *fake.Traffic
}

// startFleet starts a fleet and stops it when the test ends. If the test has failed, it prints logs of the fleet.
func startFleet(ctx context.Context, t *testing.T, options cluster.Options) *runningFleet {
	t.Helper()
	options.Dir = t.TempDir()
	options.Program = os.Args[0]
	options.Env = []string{"POPPYARCH_TEST_MAIN=1"}
	s, err := cluster.New(options)
	if err != nil {
		t.Fatal(err)
	}
	f := &runningFleet{t: t, ctx: ctx, cluster: s, dir: options.Dir}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if t.Failed() {
			f.printLogs()
		}
	})
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	return f
}

// printLogs prints the logs of the manager, the agents and the brokers.
func (f *runningFleet) printLogs() {
	paths, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
	ofBrokers, brokersErr := filepath.Glob(filepath.Join(f.dir, "run*", "*.log"))
	if err := errors.Join(err, brokersErr); err != nil {
		f.t.Error(err)
	}
	for _, path := range append(paths, ofBrokers...) {
		b, err := os.ReadFile(path)
		f.t.Logf("%s: %v\n%s", path, err, b)
	}
}

// run runs a fleet command and fails the test if the command fails.
func (f *runningFleet) run(args ...string) string {
	f.t.Helper()
	out, err := f.cluster.RunFleetCommand(args...)
	if err != nil {
		f.t.Fatalf("fleet command %v: %v\n%s", args, err, out)
	}
	return out
}

// apply changes the instances' settings in the inventory and applies it.
func (f *runningFleet) apply(settings map[string]string, args ...string) {
	f.t.Helper()
	if err := f.cluster.WriteInventory(settings); err != nil {
		f.t.Fatal(err)
	}
	f.run(append([]string{"apply"}, args...)...)
}

// await polls the fleet's state until ok accepts it. It fails the test after waitTimeout.
func (f *runningFleet) await(what string, ok func(api.Overview) bool) api.Overview {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		o, err := f.cluster.Client.Overview(f.ctx, nil, nil)
		if err == nil && ok(o) {
			return o
		}
		if time.Now().After(end) {
			out, _ := f.cluster.RunFleetCommand("status")
			f.t.Fatalf("%s: state not reached within %v; last error: %v\n%s", what, waitTimeout, err, out)
		}
	}
}

func (f *runningFleet) awaitSettled(what string) api.Overview {
	f.t.Helper()
	return f.await(what, func(o api.Overview) bool { return o.Settled })
}

// startTraffic starts clients that send requests until the returned function is called.
func (f *runningFleet) startTraffic() (stop func()) {
	f.traffic = &fake.Traffic{
		BlockAddrs:     f.cluster.BlockFrontendAddrs,
		ObjectAddrs:    f.cluster.ObjectFrontendAddrs,
		ReadClass:      "artwork-read",
		WriteClass:     "job-new",
		Plan:           "basis",
		Shards:         3,
		Clients:        3,
		Pause:          5 * time.Millisecond,
		RequestTimeout: 20 * time.Second,
	}
	ctx, cancel := context.WithCancel(f.ctx)
	var traffic sync.WaitGroup
	traffic.Go(func() { f.traffic.Run(ctx) })
	stop = func() {
		cancel()
		traffic.Wait()
	}
	f.t.Cleanup(stop)
	return stop
}

// killDuringRollout kills an agent, brokers of both agents and the manager during a rollout that restarts every broker.
func (f *runningFleet) killDuringRollout() {
	f.t.Helper()
	f.apply(map[string]string{"memory_mb": "128", "max_open": "2000"}, "--note", "second", "--id", "second")
	f.run("apply", "--note", "second", "--id", "second") // a repeated command ID is carried out once
	f.await("a wave after the canary", func(o api.Overview) bool { return len(o.Rollouts) > 0 && o.Rollouts[0].Wave >= 1 })
	f.cluster.Kill("agent1")
	for _, name := range []string{"b2", "o2", "b1"} { // two brokers of the running agent, one of the killed agent
		if err := f.cluster.KillBroker(f.ctx, name); err != nil {
			f.t.Log(err) // the rollout may be restarting the broker
		}
	}
	f.cluster.Kill("manager")
	if _, err := f.cluster.RunFleetCommand("--timeout", "1s", "status"); processExitCode(err) != exitUnavailable {
		f.t.Errorf("status without a manager: %v, want exit code %d", err, exitUnavailable)
	}
	if err := f.cluster.StartManager(); err != nil {
		f.t.Fatal(err)
	}
	if err := f.cluster.StartAgent(1); err != nil {
		f.t.Fatal(err)
	}
	f.awaitSettled("after the kills")
}

// rollBackAndDrain rolls an active rollout back, drains a node, and checks that no new request reaches it.
func (f *runningFleet) rollBackAndDrain() {
	f.t.Helper()
	f.apply(map[string]string{"memory_mb": "112"}, "--note", "third")
	f.await("an instance released", func(o api.Overview) bool { return len(o.Rollouts) > 0 && o.Rollouts[0].Released > 0 })
	f.run("rollout", "rollback", "--to", "2", "--wait")
	f.run("nodes", "drain", "s-2", "--wait")
	if o := f.awaitSettled("after the rollback"); o.Revision != 5 || len(o.Nodes) != 1 {
		f.t.Errorf("revision %d, node overrides %v, want revision 5 and 1 override", o.Revision, o.Nodes)
	}
	seen := len(f.cluster.BlockServers[2].Commands())
	served := f.traffic.Served.Load()
	f.await("200 more requests served", func(api.Overview) bool { return f.traffic.Served.Load() > served+200 })
	if now := len(f.cluster.BlockServers[2].Commands()); now != seen {
		f.t.Errorf("%d commands reached drained node s-2, want none", now-seen)
	}
	f.run("nodes", "clear", "s-2", "--wait")
}

// checkInstances checks that all eight instances are current and available and have different incarnations.
func (f *runningFleet) checkInstances(o api.Overview) {
	f.t.Helper()
	if len(o.Instances) != 8 {
		f.t.Fatalf("%d instances, want 8", len(o.Instances))
	}
	out := f.run("status")
	if strings.Count(out, "current") != 8 || !strings.Contains(out, "settled") {
		f.t.Errorf("status, want 8 current instances of a settled fleet:\n%s", out)
	}
	incarnations := map[string]bool{}
	for _, i := range o.Instances {
		released := i.Revision == 2 || i.Revision == 4
		if !i.Current || !i.Available || !released || i.Report.AppliedEdition != i.TargetEdition || incarnations[i.Report.Incarnation] {
			f.t.Errorf("instance not current, not available or with a repeated incarnation: %+v", i)
		}
		incarnations[i.Report.Incarnation] = true
	}
}

// checkChangesAppliedOnce checks in the brokers' logs that each broker applied at least one change, and no change
// twice. line is the log line of an applied change.
func (f *runningFleet) checkChangesAppliedOnce(line string) {
	f.t.Helper()
	logs, err := filepath.Glob(filepath.Join(f.dir, "run*", "*.log"))
	if err != nil || len(logs) != 8 {
		f.t.Errorf("logs of brokers: %v, %v; want 8", logs, err)
	}
	for _, name := range logs {
		b, err := os.ReadFile(name)
		if err != nil {
			f.t.Fatal(err)
		}
		applied := map[string]int{}
		for _, l := range strings.Split(string(b), "\n") {
			if _, rest, ok := strings.Cut(l, line); ok {
				_, id, _ := strings.Cut(rest, " id=")
				id, _, _ = strings.Cut(id, " ")
				applied[id]++
			}
		}
		for id, n := range applied {
			if n > 1 {
				f.t.Errorf("%s: change %s was applied %d times, want once", name, id, n)
			}
		}
		if len(applied) == 0 {
			f.t.Errorf("%s: no change was applied, want at least one", name)
		}
	}
}

// checkTraffic checks that clients got no wrong response and no time-out, and that no command ran twice.
func (f *runningFleet) checkTraffic() {
	f.t.Helper()
	f.t.Log(f.traffic)
	if f.traffic.WrongResponses.Load() > 0 || f.traffic.TimedOut.Load() > 0 || f.traffic.Served.Load() < 300 {
		f.t.Errorf("%v, want none wrong, no time-outs and at least 300 served: %v", f.traffic, f.traffic.WrongResponseDetails())
	}
	var all [][]string
	for _, b := range f.cluster.BlockServers {
		all = append(all, b.Commands())
	}
	if twice := fake.RepeatedWrites(all...); len(twice) > 0 {
		f.t.Errorf("commands that ran twice: %v", twice)
	}
}

// TestFleetSurvivesKillsUnderLoad rolls changes out over eight brokers while agents, brokers and the manager are
// killed.
func TestFleetSurvivesKillsUnderLoad(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Minute)
	defer cancel()
	f := startFleet(ctx, t, cluster.Options{NodeCount: 3, BlockBrokers: 5, ObjectBrokers: 3, AgentCount: 2, SoakTime: 100 * time.Millisecond})
	f.apply(map[string]string{"memory_mb": "96"}, "--note", "first")
	f.awaitSettled("first apply")
	stop := f.startTraffic()
	f.killDuringRollout()
	f.rollBackAndDrain()
	o := f.awaitSettled("after the node override was cleared")
	stop()
	f.checkInstances(o)
	f.checkChangesAppliedOnce(appliedChangeLine)
	f.checkTraffic()
}

func processExitCode(err error) int {
	var e *exec.ExitError
	if errors.As(err, &e) {
		return e.ExitCode()
	}
	return 0
}

// TestFleetExitCodes checks the exit code and output of fleet commands against a manager without agents.
func TestFleetExitCodes(t *testing.T) {
	dir := t.TempDir()
	s, err := cluster.New(cluster.Options{Dir: dir, Program: os.Args[0], Env: []string{"POPPYARCH_TEST_MAIN=1"}, NodeCount: 1, BlockBrokers: 2, AgentCount: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	if err := s.WriteInventory(map[string]string{"memory_mb": "96"}); err != nil {
		t.Fatal(err)
	}
	if err := s.StartManager(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
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
		{[]string{"apply", "--expect", "7"}, exitConflict, "expected"},
		{[]string{"apply", "-i", bad}, exitUsage, "bad.csv:2: x.max_open"},
		{[]string{"apply", "--dry-run"}, 0, "nothing was changed"},
		{[]string{"rollout", "pause"}, exitConflict, "no rollout"},
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
		{[]string{"nodes", "clear", "s-9"}, exitUsage, "s-9"},
		{[]string{"nodes", "drain", "s-0"}, 0, "revision 2"},
		{[]string{"nodes", "list"}, 0, "drain"},
		{[]string{"nodes", "remove", "s-0", "--dry-run"}, 0, "nothing was changed"},
		{[]string{"nodes", "out", "s-0", "--dry-run"}, 0, "nothing was changed"},
		{[]string{"--json", "history"}, 0, `"rev": 2`},
		{[]string{"--config", bad, "status"}, exitUsage, "bad.csv:1"},
	} {
		out, err := s.RunFleetCommand(x.args...)
		if processExitCode(err) != x.code || !strings.Contains(out, x.text) {
			t.Errorf("%v: exit %d, want %d and output with %q:\n%s", x.args, processExitCode(err), x.code, x.text, out)
		}
	}
	out, err := s.RunFleetCommand("--json", "status")
	var o api.Overview
	if jerr := json.Unmarshal([]byte(out[:strings.LastIndex(out, "}")+1]), &o); jerr != nil || o.Revision != 2 || processExitCode(err) != exitUnhealthy {
		t.Errorf("status as JSON: %v, want revision 2; command: %v, want exit code %d\n%s", jerr, err, exitUnhealthy, out)
	}
}
