package main

import (
	"context"
	"os"
	"sync"
	"testing"
	"time"

	"poppyarch/internal/testkit/cluster"
	"poppyarch/internal/testkit/fake"
)

// Edits the list of storage nodes in every way that brokers have to handle, under load through both frontends. Brokers
// must stop sending new requests to nodes that were removed and keep sending requests to the others. tools/measure
// measures how long that takes; this test does not, so that a slow machine cannot fail it.
func TestListsEditedUnderLoad(t *testing.T) {
	dir := t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	s, err := cluster.StartNew(ctx, cluster.Options{Dir: dir, Program: os.Args[0], Env: []string{"POPPYARCH_TEST_MAIN=1"}, NodeCount: 4, BlockBrokers: 2, ObjectBrokers: 1,
		AgentCount: 1, SoakTime: 50 * time.Millisecond, LatencyObjective: 2 * time.Second, NodesFromFile: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	traffic := &fake.Traffic{BlockAddrs: s.BlockFrontendAddrs, ObjectAddrs: s.ObjectFrontendAddrs, ReadClass: "artwork-read", WriteClass: "job-new",
		Plan: "basis", Shards: 4, Clients: 3, Pause: 10 * time.Millisecond}
	trafficCtx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { traffic.Run(trafficCtx) })
	edits, err := s.MeasureListEdits(ctx, 400*time.Millisecond, waitTimeout)
	stop()
	running.Wait()
	if err != nil {
		b, _ := os.ReadFile(dir + "/run1/b1.log")
		t.Fatalf("%v\n%s", err, b)
	}
	t.Log(edits, traffic)
	if traffic.WrongResponses.Load() > 0 || len(edits) != 9 {
		t.Errorf("edits %v, want 9 and no wrong response: %v", edits, traffic.WrongResponseDetails())
	}
}
