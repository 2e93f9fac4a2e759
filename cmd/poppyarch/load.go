package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"poppyarch/internal/lab/experiment"
	driver "poppyarch/internal/lab/load"
	"poppyarch/internal/lab/model"
	"poppyarch/internal/textoutput"
)

// loadCommand returns the command that drives running brokers with the clients of a scenario.
func loadCommand() *cobra.Command {
	generator := &driver.Generator{}
	var asJSON bool
	c := &cobra.Command{
		Use: "load SCENARIO (--block ADDR,... | --object ADDR,...)", Args: checkArgs(cobra.ExactArgs(1)),
		Short: "Drive running brokers with a scenario's open-loop clients",
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if generator.Scenario, err = experiment.ReadScenario(args[0]); err != nil {
				return &exitError{exitUsage, err}
			}
			if (len(generator.BlockAddrs) == 0) == (len(generator.ObjectAddrs) == 0) {
				return &exitError{exitUsage, fmt.Errorf("exactly one of --block and --object must list an address for each of the scenario's %d brokers",
					generator.Scenario.Brokers)}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			measured, err := generator.Run(ctx)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(measured)
			}
			return printLoadReport(cmd.OutOrStdout(), measured)
		},
	}
	c.Flags().StringSliceVar(&generator.BlockAddrs, "block", nil, "addresses of block frontends, in the order of the scenario's brokers")
	c.Flags().StringSliceVar(&generator.ObjectAddrs, "object", nil, "addresses of object frontends, in the order of the scenario's brokers")
	c.Flags().Uint64Var(&generator.Seed, "seed", 1, "seed of the clients' random numbers")
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	return c
}

// loadFigures are the figures of a load report. lab live compares the model with sockets by them.
var loadFigures = []struct {
	name  string
	value func(*model.Result) float64
}{
	{"requests", func(r *model.Result) float64 { return float64(r.Requests) }},
	{"service", experiment.Measures["service"]},
	{"inside reserves", experiment.Measures["reserved"]},
	{"served a second", experiment.Measures["served"]},
	{"mean time, ms", experiment.Measures["time_ms"]},
	{"median, ms", func(r *model.Result) float64 { return 1000 * r.MedianResponseTime }},
	{"99th percentile, ms", experiment.Measures["p99_ms"]},
	{"refused", experiment.Measures["refused"]},
	{"failed", experiment.Measures["failed"]},
	{"after the aim", experiment.Measures["late"]},
	{"attempts", experiment.Measures["attempts"]},
	{"new connections", experiment.Measures["connections"]},
}

func printLoadReport(out io.Writer, measured *driver.Report) error {
	t := textoutput.NewTable(out)
	for _, figure := range loadFigures {
		t.Printf("%s\t%.4g\n", figure.name, figure.value(measured.Result))
	}
	t.Printf("given up by their clients\t%d\n", measured.ClientTimeouts)
	printClientOverhead(t, []*driver.Report{measured})
	return t.Flush()
}

// printClientOverhead prints the delay that the clients themselves add to the measured times, and the number of
// protocol errors.
func printClientOverhead(t *textoutput.Table, reports []*driver.Report) {
	median, p99 := 0.0, 0.0
	cut, wrong := 0, 0
	for _, r := range reports {
		median = max(median, r.SendDelayP50)
		p99 = max(p99, r.SendDelayP99)
		cut += r.ConnectionsLost
		wrong += r.WrongResponses
	}
	t.Printf("clients' own lateness, ms\t%.3g, 99th percentile %.3g\n", 1000*median, 1000*p99)
	t.Printf("connections cut, wrong answers\t%d, %d\n", cut, wrong)
}
