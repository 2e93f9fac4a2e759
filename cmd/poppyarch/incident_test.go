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

// A scripted incident with real brokers: nodes stop answering while brokers are killed, and a node drains while
// discovery is down. The report from the brokers' records must contain these events within their bounds and mark the
// gaps of the dead brokers. A slow machine may cause further slow episodes, so this test only looks for the scripted
// events. The tests with simulated brokers check that no other episode is reported.
func TestScriptedIncidentOverRealBrokers(t *testing.T) {
	dir := t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	s, err := cluster.StartNew(ctx, cluster.Options{Dir: dir, Program: os.Args[0], Env: []string{"POPPYARCH_TEST_MAIN=1"}, NodeCount: 4, BlockBrokers: 3, ObjectBrokers: 2,
		AgentCount: 1, SoakTime: 50 * time.Millisecond, LatencyObjective: time.Second, WriteRecords: true})
	if err != nil {
		t.Fatal(err)
	}
	closed := false
	defer func() {
		if !closed {
			_ = s.Close()
		}
	}()
	traffic := &fake.Traffic{BlockAddrs: s.BlockFrontendAddrs, ObjectAddrs: s.ObjectFrontendAddrs, ReadClass: "artwork-read", WriteClass: "job-new",
		Plan: "basis", Shards: 4, Clients: 4, Pause: 20 * time.Millisecond, RequestTimeout: 3 * time.Second}
	episodes, gaps, err := s.RunIncident(ctx, traffic, 700*time.Millisecond, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	if traffic.WrongResponses.Load() > 0 {
		t.Errorf("wrong responses: %v", traffic.WrongResponseDetails())
	}
	overview, err := s.Client.Overview(ctx, nil, nil)
	if err != nil || len(overview.Stats) != 5 || overview.Stats[0].Stats.Span == 0 {
		t.Errorf("overview: %v, figures of %d brokers, want 5 with a time span", err, len(overview.Stats))
	}
	closed = true
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	run := func(args ...string) string {
		t.Helper()
		cmd := exec.Command(os.Args[0], append([]string{"incident", "-r", s.RecordsFolder()}, args...)...)
		cmd.Env = append(os.Environ(), "POPPYARCH_TEST_MAIN=1")
		out, err := cmd.Output()
		if err != nil {
			t.Fatalf("incident %v: %v", args, err)
		}
		return string(out)
	}
	var analysis incident.Analysis
	if err := json.Unmarshal([]byte(run("report", "--format", "json", "--ended")), &analysis); err != nil {
		t.Fatal(err)
	}
	var expected []check.ActualEpisode
	for _, x := range episodes {
		if x.Kind != incident.VolumeSurge {
			expected = append(expected, x)
		}
	}
	for _, difference := range check.Compare(&analysis, expected, gaps, check.Options{ClockTolerance: 2_000_000, GapTolerance: 2_000_000, Kinds: []incident.Kind{incident.BrokerDead}}) {
		// A pause of the test machine also causes episodes of these two kinds.
		if !strings.Contains(difference, string(incident.Stalled)) && !strings.Contains(difference, string(incident.Lost)) {
			t.Error(difference)
		}
	}
	if t.Failed() {
		t.Log(run("report", "--ended"))
	}
	if text := run("list", "--ended"); !strings.Contains(text, "broker dead: b1") {
		t.Errorf("list does not show that broker b1 died:\n%s", text)
	}
	if text := run("show", "1", "--ended"); !strings.Contains(text, "begin") {
		t.Errorf("show does not say when episode 1 began:\n%s", text)
	}
	into := filepath.Join(dir, "export")
	run("export", "--into", into)
	page, err := os.ReadFile(filepath.Join(into, "report.html"))
	if err != nil || !strings.Contains(string(page), "broker dead") || strings.Contains(string(page), "src=\"http") {
		t.Errorf("HTML report: %v, %d bytes, want a dead broker and no external sources", err, len(page))
	}
	if text := run("diff", s.RecordsFolder(), filepath.Join(into, "records")); !strings.Contains(text, "broker dead") {
		t.Errorf("diff does not show a dead broker:\n%s", text)
	}
}
