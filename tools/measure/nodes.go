package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/testkit/cluster"
	"poppyarch/internal/testkit/fake"
)

// nodesCommand edits the list of storage nodes in various ways while brokers serve load, and measures when requests
// stop reaching the node that was removed, drained or moved.
func nodesCommand() *cobra.Command {
	var runs int
	c := &cobra.Command{Use: "nodes", Short: "edit node lists under load and measure when requests to the removed node stop",
		RunE: func(*cobra.Command, []string) error { return measureEdits(runs) }}
	c.Flags().IntVar(&runs, "runs", 3, "number of runs")
	return c
}

func measureEdits(runs int) error {
	type total struct {
		maxLastRequestAfter time.Duration
		maxRequestsAfter    int
	}
	var order []string
	totals := map[string]*total{}
	for range runs {
		edits, err := editListsOnce()
		if err != nil {
			return err
		}
		for _, e := range edits {
			x := totals[e.Name]
			if x == nil {
				x = &total{}
				totals[e.Name] = x
				order = append(order, e.Name)
			}
			x.maxLastRequestAfter, x.maxRequestsAfter = max(x.maxLastRequestAfter, e.LastRequestAfter), max(x.maxRequestsAfter, e.RequestsAfter)
		}
	}
	fmt.Printf("| edit | last new work after it, the most of %d runs | pieces of work after it |\n| --- | --- | --- |\n", runs)
	slow := 0
	for _, name := range order {
		x := totals[name]
		fmt.Printf("| %s | %d ms | %d |\n", name, x.maxLastRequestAfter.Milliseconds(), x.maxRequestsAfter)
		if x.maxLastRequestAfter > 500*time.Millisecond {
			slow++
		}
	}
	if slow > 0 {
		return fmt.Errorf("after %d edits, requests reached the node for more than 500 ms", slow)
	}
	return nil
}

// editListsOnce runs all edits on a separate installation.
func editListsOnce() ([]cluster.EditResult, error) {
	dir, err := os.MkdirTemp("", "nodes")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	s, err := cluster.StartNew(ctx, cluster.Options{Dir: dir, Program: program, NodeCount: 4, BlockBrokers: 2, ObjectBrokers: 1, AgentCount: 1,
		SoakTime: 50 * time.Millisecond, LatencyObjective: 2 * time.Second, NodesFromFile: true})
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	load := &fake.Traffic{BlockAddrs: s.BlockFrontendAddrs, ObjectAddrs: s.ObjectFrontendAddrs, ReadClass: "artwork-read", WriteClass: "job-new",
		Plan: "basis", Shards: 4, Clients: 4, Pause: 2 * time.Millisecond}
	loadCtx, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	clients.Go(func() { load.Run(loadCtx) })
	defer clients.Wait()
	defer stop()
	return s.MeasureListEdits(ctx, time.Second, 20*time.Second)
}
