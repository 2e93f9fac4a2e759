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

// The list of storage nodes is edited in every way under running brokers and load through both fronts. New work stops
// reaching what was taken away, and goes on reaching what was not; how long that takes is measured by tools/nodesmeasure, since a
// slow machine must not change a verdict.
func TestListsEditedUnderLoad(t *testing.T) {
	dir := t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	s, err := cluster.Up(ctx, cluster.Options{Dir: dir, Program: os.Args[0], Env: []string{"POPPYARCH_TEST_MAIN=1"}, Nodes: 4, Blocks: 2, Objects: 1, Agents: 1,
		Soak: 50 * time.Millisecond, Aim: 2 * time.Second, Lists: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	load := &fake.Traffic{Blocks: s.Block, Objects: s.Front, Read: "artwork-read", Write: "job-new", Plan: "basis", Shards: 4, Clients: 3,
		Pause: 10 * time.Millisecond}
	on, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	all.Go(func() { load.Run(on) })
	edits, err := s.Edits(ctx, 400*time.Millisecond, patience)
	stop()
	all.Wait()
	if err != nil {
		b, _ := os.ReadFile(dir + "/run1/b1.log")
		t.Fatalf("%v\n%s", err, b)
	}
	t.Log(edits, load)
	if load.Wrong.Load() > 0 || len(edits) != 9 {
		t.Errorf("%v %v", edits, load.Complaints())
	}
}
