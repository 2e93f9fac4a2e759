package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/observability/incident"
	"poppyarch/internal/observability/incident/check"
	"poppyarch/internal/observability/incident/collect"
	"poppyarch/internal/observability/incident/report"
	"poppyarch/internal/testkit/cluster"
	"poppyarch/internal/testkit/fake"
)

// incidentCommand plays a scripted incident over a whole installation on loopback, has the report made from the brokers'
// records, and holds it against what really happened.
func incidentCommand() *cobra.Command {
	var out string
	var unit time.Duration
	c := &cobra.Command{Use: "incident", Short: "play a scripted incident and hold its report against what happened",
		RunE: func(*cobra.Command, []string) error { return playIncident(out, unit) }}
	c.Flags().StringVarP(&out, "output", "o", "incident.html", "the report")
	c.Flags().DurationVar(&unit, "unit", time.Second, "how long a part of the script is")
	return c
}

func playIncident(out string, unit time.Duration) error {
	dir, err := os.MkdirTemp("", "incident")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	s, err := cluster.Up(ctx, cluster.Options{Dir: dir, Program: program, Nodes: 4, Blocks: 3, Objects: 2, Agents: 1, Soak: 100 * time.Millisecond,
		Aim: 400 * time.Millisecond, Record: true})
	if err != nil {
		return err
	}
	load := &fake.Traffic{Blocks: s.Block, Objects: s.Front, Read: "artwork-read", Write: "job-new", Plan: "basis", Shards: 4, Clients: 6,
		Pause: 20 * time.Millisecond, Patience: 1200 * time.Millisecond}
	start := time.Now()
	truths, gaps, err := s.Play(ctx, load, unit, func(text string) { fmt.Printf("%6.2f s  %s\n", time.Since(start).Seconds(), text) })
	if err != nil {
		return err
	}
	fmt.Println(load)
	if err := s.Close(); err != nil {
		return err
	}
	streams, found, err := collect.Read(s.Records())
	if err != nil {
		return err
	}
	a := incident.Analyse(streams, incident.DefaultOptions())
	_ = report.Text(os.Stdout, a)
	fmt.Printf("\n%+v\n", *found)
	f, err := os.Create(out)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if err := report.HTML(f, a, "Scripted incident"); err != nil {
		return err
	}
	wrong := check.Compare(a, truths, gaps, check.Options{Slack: 100_000, Gap: 700_000, Kinds: []incident.Kind{incident.BrokerDead, incident.NodeSilent,
		incident.DiscoveryDown, incident.NodeDrain, incident.VolumeSurge}})
	for _, x := range wrong {
		fmt.Println("WRONG:", x)
	}
	if len(wrong) > 0 {
		return fmt.Errorf("%d things are wrong", len(wrong))
	}
	fmt.Println("the report holds what was played")
	return nil
}
