package main

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"poppyarch/internal/observability/incident"
	"poppyarch/internal/observability/incident/check"
	"poppyarch/internal/testkit/cluster"
	"poppyarch/internal/testkit/fake"
)

// A scripted incident over real brokers: nodes go silent while brokers die, a node drains while discovery is down. The report
// made from the brokers' own records holds all of it within its bounds and marks the dead brokers' gaps. On a slow machine
// more may look slow than was played, so only what was played is asked for here; that nothing is invented is held by the
// emulated worlds.
func TestScriptedIncidentOverRealBrokers(t *testing.T) {
	dir := t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	s, err := cluster.Up(ctx, cluster.Options{Dir: dir, Program: os.Args[0], Env: []string{"POPPYARCH_TEST_MAIN=1"}, Nodes: 4, Blocks: 3, Objects: 2, Agents: 1,
		Soak: 50 * time.Millisecond, Aim: time.Second, Record: true})
	if err != nil {
		t.Fatal(err)
	}
	closed := false
	defer func() {
		if !closed {
			_ = s.Close()
		}
	}()
	load := &fake.Traffic{Blocks: s.Block, Objects: s.Front, Read: "artwork-read", Write: "job-new", Plan: "basis", Shards: 4, Clients: 4,
		Pause: 20 * time.Millisecond, Patience: 3 * time.Second}
	truths, gaps, err := s.Play(ctx, load, 700*time.Millisecond, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	if load.Wrong.Load() > 0 {
		t.Error(load.Complaints())
	}
	o, err := s.Client.Overview(ctx, nil, nil)
	if err != nil || len(o.Stats) != 5 || o.Stats[0].Stats.Span == 0 {
		t.Errorf("%v, figures of %d brokers", err, len(o.Stats))
	}
	closed = true
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	run := func(args ...string) string {
		t.Helper()
		cmd := exec.Command(os.Args[0], append([]string{"incident", "-r", s.Records()}, args...)...)
		cmd.Env = append(os.Environ(), "POPPYARCH_TEST_MAIN=1")
		out, err := cmd.Output()
		if err != nil {
			t.Fatalf("%v: %v", args, err)
		}
		return string(out)
	}
	var a incident.Analysis
	if err := json.Unmarshal([]byte(run("report", "--format", "json", "--ended")), &a); err != nil {
		t.Fatal(err)
	}
	var asked []check.Truth
	for _, x := range truths {
		if x.Kind != incident.VolumeSurge {
			asked = append(asked, x)
		}
	}
	for _, w := range check.Compare(&a, asked, gaps, check.Options{Slack: 2_000_000, Gap: 2_000_000, Kinds: []incident.Kind{incident.BrokerDead}}) {
		if !strings.Contains(w, string(incident.Stalled)) && !strings.Contains(w, string(incident.Lost)) { // of a machine that stands still
			t.Error(w)
		}
	}
	if t.Failed() {
		t.Log(run("report", "--ended"))
	}
	if text := run("list", "--ended"); !strings.Contains(text, "broker dead: b1") {
		t.Error(text)
	}
	if text := run("show", "1", "--ended"); !strings.Contains(text, "begin") {
		t.Error(text)
	}
	into := filepath.Join(dir, "export")
	run("export", "--into", into)
	page, err := os.ReadFile(filepath.Join(into, "report.html"))
	if err != nil || !strings.Contains(string(page), "broker dead") || strings.Contains(string(page), "src=\"http") {
		t.Errorf("%v, %d bytes", err, len(page))
	}
	if text := run("diff", s.Records(), filepath.Join(into, "records")); !strings.Contains(text, "broker dead") {
		t.Error(text)
	}
}
