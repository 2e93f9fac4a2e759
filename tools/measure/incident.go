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

// incidentCommand runs a scripted incident on a complete installation on loopback, creates the report from the brokers'
// records, and compares it with what happened.
func incidentCommand() *cobra.Command {
	var out string
	var unit time.Duration
	c := &cobra.Command{Use: "incident", Short: "run a scripted incident and compare its report with what happened",
		RunE: func(*cobra.Command, []string) error { return runScriptedIncident(out, unit) }}
	c.Flags().StringVarP(&out, "output", "o", "incident.html", "the report")
	c.Flags().DurationVar(&unit, "unit", time.Second, "duration of a unit of time of the script")
	return c
}

func runScriptedIncident(out string, unit time.Duration) error {
	dir, err := os.MkdirTemp("", "incident")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	s, err := cluster.StartNew(ctx, cluster.Options{Dir: dir, Program: program, NodeCount: 4, BlockBrokers: 3, ObjectBrokers: 2, AgentCount: 1,
		SoakTime: 100 * time.Millisecond, LatencyObjective: 400 * time.Millisecond, WriteRecords: true})
	if err != nil {
		return err
	}
	load := &fake.Traffic{BlockAddrs: s.BlockFrontendAddrs, ObjectAddrs: s.ObjectFrontendAddrs, ReadClass: "artwork-read", WriteClass: "job-new",
		Plan: "basis", Shards: 4, Clients: 6, Pause: 20 * time.Millisecond, RequestTimeout: 1200 * time.Millisecond}
	start := time.Now()
	episodes, gaps, err := s.RunIncident(ctx, load, unit, func(text string) { fmt.Printf("%6.2f s  %s\n", time.Since(start).Seconds(), text) })
	if err != nil {
		return err
	}
	fmt.Println(load)
	if err := s.Close(); err != nil {
		return err
	}
	streams, found, err := collect.Read(s.RecordsFolder())
	if err != nil {
		return err
	}
	analysis := incident.Analyse(streams, incident.DefaultOptions())
	_ = report.Text(os.Stdout, analysis)
	fmt.Printf("\n%+v\n", *found)
	f, err := os.Create(out)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if err := report.HTML(f, analysis, "Scripted incident"); err != nil {
		return err
	}
	differences := check.Compare(analysis, episodes, gaps, check.Options{ClockTolerance: 100_000, GapTolerance: 700_000, Kinds: []incident.Kind{incident.BrokerDead, incident.NodeSilent,
		incident.DiscoveryDown, incident.NodeDrain, incident.VolumeSurge}})
	for _, difference := range differences {
		fmt.Println("WRONG:", difference)
	}
	if len(differences) > 0 {
		return fmt.Errorf("the report differs from what happened in %d points", len(differences))
	}
	fmt.Println("the report agrees with what happened")
	return nil
}
