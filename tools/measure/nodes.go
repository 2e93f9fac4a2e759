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

// nodesCommand edits the list of storage nodes in every way under running brokers and load, and measures when new work
// stops reaching the node that was taken away.
func nodesCommand() *cobra.Command {
	var runs int
	c := &cobra.Command{Use: "nodes", Short: "edit node lists under load and measure when new work stops",
		RunE: func(*cobra.Command, []string) error { return measureEdits(runs) }}
	c.Flags().IntVar(&runs, "runs", 3, "repeats")
	return c
}

func measureEdits(runs int) error {
	type sum struct {
		most time.Duration
		work int
	}
	var order []string
	by := map[string]*sum{}
	for range runs {
		edits, err := editsOnce()
		if err != nil {
			return err
		}
		for _, e := range edits {
			x := by[e.Name]
			if x == nil {
				x = &sum{}
				by[e.Name] = x
				order = append(order, e.Name)
			}
			x.most, x.work = max(x.most, e.LastRequestAfter), max(x.work, e.RequestsAfter)
		}
	}
	fmt.Printf("| edit | last new work after it, the most of %d runs | pieces of work after it |\n| --- | --- | --- |\n", runs)
	bad := 0
	for _, name := range order {
		x := by[name]
		fmt.Printf("| %s | %d ms | %d |\n", name, x.most.Milliseconds(), x.work)
		if x.most > 500*time.Millisecond {
			bad++
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d edits took more than 500 ms", bad)
	}
	return nil
}

func editsOnce() ([]cluster.EditResult, error) {
	dir, err := os.MkdirTemp("", "nodes")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	s, err := cluster.Up(ctx, cluster.Options{Dir: dir, Program: program, Nodes: 4, Blocks: 2, Objects: 1, Agents: 1, Soak: 50 * time.Millisecond,
		Aim: 2 * time.Second, Lists: true})
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	load := &fake.Traffic{Blocks: s.Block, Objects: s.Front, Read: "artwork-read", Write: "job-new", Plan: "basis", Shards: 4, Clients: 4,
		Pause: 2 * time.Millisecond}
	on, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	all.Go(func() { load.Run(on) })
	defer all.Wait()
	defer stop()
	return s.Edits(ctx, time.Second, 20*time.Second)
}
