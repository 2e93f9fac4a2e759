package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/lab/experiment"
	driver "poppyarch/internal/lab/load"
	"poppyarch/internal/lab/model"
	"poppyarch/internal/lab/statistics"
	"poppyarch/internal/textoutput"
)

// liveFlags are the flags of `lab live`.
type liveFlags struct {
	runs    int
	seed    uint64
	objects bool
	asJSON  bool
	records string
}

// liveComparison holds the results of the same seeds in the model and on sockets.
type liveComparison struct {
	scenario      *model.Scenario
	reports       []*driver.Report
	socketResults []*model.Result
	modelResults  []*model.Result
}

// labLive returns the command that compares the model with brokers on loopback sockets.
func labLive() *cobra.Command {
	f := &liveFlags{}
	c := &cobra.Command{
		Use: "live SCENARIO", Args: checkArgs(cobra.ExactArgs(1)),
		Short: "Run a scenario in the model and with brokers on loopback sockets, with the same clients, and show the differences",
		RunE: func(cmd *cobra.Command, args []string) error {
			scenario, err := experiment.ReadScenario(args[0])
			if err != nil {
				return &exitError{exitUsage, err}
			}
			if f.runs < 1 {
				return &exitError{exitUsage, fmt.Errorf("--runs: got %d, expected at least 1", f.runs)}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			comparison, err := f.run(ctx, scenario)
			if err != nil {
				return err
			}
			if f.asJSON {
				return printResults(cmd.OutOrStdout(), [][]*model.Result{comparison.modelResults, comparison.socketResults})
			}
			return f.print(cmd.OutOrStdout(), comparison)
		},
	}
	c.Flags().IntVar(&f.runs, "runs", 3, "number of seeds")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the first run; each further run uses the next seed")
	c.Flags().StringVar(&f.records, "records", "", "folder for the brokers' records, which lab fit and incident read")
	c.Flags().BoolVar(&f.objects, "objects", false, "clients use the object API")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print results as JSON, one line per run, those of the model first")
	return c
}

// run starts the scenario's brokers and runs each seed on sockets and in the model.
func (f *liveFlags) run(ctx context.Context, scenario *model.Scenario) (comparison *liveComparison, err error) {
	dir, err := os.MkdirTemp("", "poppyarch-live-")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	installation, err := driver.Install(scenario, driver.Options{Dir: dir, Objects: f.objects, Records: f.records}, startBroker)
	if err != nil {
		return nil, err
	}
	defer func() { _ = installation.Close() }() // the results are complete; the brokers' logs say how they ended
	comparison = &liveComparison{scenario: scenario}
	for i := range uint64(f.runs) {
		report, err := installation.Play(ctx, f.seed+i)
		if err != nil {
			return nil, err
		}
		simulated, err := model.Play(scenario, "module", f.seed+i)
		if err != nil {
			return nil, err
		}
		comparison.reports = append(comparison.reports, report)
		comparison.socketResults = append(comparison.socketResults, report.Result)
		comparison.modelResults = append(comparison.modelResults, simulated)
	}
	return comparison, nil
}

func (f *liveFlags) print(out io.Writer, c *liveComparison) error {
	p := textoutput.NewPrinter(out)
	p.Printf("%s: %d brokers, %d nodes, %v, %d seeds; the difference is sockets less model, seed by seed\n", c.scenario.Name,
		c.scenario.Brokers, c.scenario.Count(), time.Duration(c.scenario.Duration), f.runs)
	if p.Err() != nil {
		return p.Err()
	}
	t := textoutput.NewTable(out, "", "MODEL", "SOCKETS", "DIFFERENCE")
	for _, figure := range loadFigures {
		difference, err := statistics.Paired(experiment.Values(c.socketResults, figure.value), experiment.Values(c.modelResults, figure.value))
		if err != nil {
			return err
		}
		verdict := ""
		if difference.Holds(0) && f.runs > 1 {
			verdict = ", none shown"
		}
		t.Printf("%s\t%v\t%v\t%s%s\n", figure.name, experiment.Over(c.modelResults, figure.value), experiment.Over(c.socketResults, figure.value),
			difference.Signed(), verdict)
	}
	printClientOverhead(t, c.reports)
	return t.Flush()
}

// brokerStopTimeout is how long a broker may drain before it is killed.
const brokerStopTimeout = 10 * time.Second

// startBroker starts a broker as a child process. The returned function drains it and waits until it has exited.
func startBroker(name, config string) (func() error, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(filepath.Dir(config), name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the child process has its own descriptor
	cmd := exec.Command(program, "serve")
	cmd.Env = append(os.Environ(), "LB_CONFIG="+config)
	cmd.Stderr = log
	// A broker must not outlive this process.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return func() error {
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
			return err
		}
		kill := time.AfterFunc(brokerStopTimeout, func() { _ = cmd.Process.Kill() }) // Wait reports how the process ended
		defer kill.Stop()
		return cmd.Wait()
	}, nil
}
