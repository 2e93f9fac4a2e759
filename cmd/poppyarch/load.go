package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/lab/experiment"
	driver "poppyarch/internal/lab/load"
	"poppyarch/internal/lab/model"
	"poppyarch/internal/lab/statistics"
)

// loadCommand drives brokers that run with the clients of a scenario.
func loadCommand() *cobra.Command {
	r := &driver.Run{}
	var asJSON bool
	c := &cobra.Command{Use: "load SCENARIO (--block ADDR,... | --object ADDR,...)", Args: usage(cobra.ExactArgs(1)),
		Short: "Drive running brokers with a scenario's clients, each at its time whatever became of those before",
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if r.Scenario, err = experiment.ReadScenario(args[0]); err != nil {
				return &exit{exitUsage, err}
			}
			if (len(r.Blocks) == 0) == (len(r.Objects) == 0) {
				return &exit{exitUsage, fmt.Errorf("either --block or --object has to name an address for each of the scenario's %d brokers", r.Scenario.Brokers)}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			rep, err := r.Play(ctx)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if asJSON {
				return json.NewEncoder(out).Encode(rep)
			}
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			for _, l := range lines {
				fmt.Fprintf(w, "%s\t%.4g\n", l.name, l.of(rep.Result))
			}
			fmt.Fprintf(w, "given up by their clients\t%d\n", rep.GivenUp)
			own(w, []*driver.Report{rep})
			return w.Flush()
		}}
	c.Flags().StringSliceVar(&r.Blocks, "block", nil, "addresses of block fronts, in the order of the scenario's brokers")
	c.Flags().StringSliceVar(&r.Objects, "object", nil, "addresses of object fronts")
	c.Flags().Uint64Var(&r.Seed, "seed", 1, "of the clients")
	c.Flags().BoolVar(&asJSON, "json", false, "the result as JSON")
	return c
}

// lines are what model and sockets are held against each other by.
var lines = []struct {
	name string
	of   func(*model.Result) float64
}{
	{"requests", func(r *model.Result) float64 { return float64(r.Requests) }},
	{"service", experiment.Measures["service"]}, {"inside reserves", experiment.Measures["reserved"]}, {"served a second", experiment.Measures["served"]},
	{"mean time, ms", experiment.Measures["time_ms"]}, {"median, ms", func(r *model.Result) float64 { return 1000 * r.Median }},
	{"99th percentile, ms", experiment.Measures["p99_ms"]}, {"refused", experiment.Measures["refused"]}, {"failed", experiment.Measures["failed"]},
	{"after the aim", experiment.Measures["late"]}, {"attempts", experiment.Measures["attempts"]}, {"new connections", experiment.Measures["connections"]},
}

// own says what the clients' side adds to what it measures, and what should not be.
func own(w *tabwriter.Writer, reps []*driver.Report) {
	late, most, cut, wrong := 0.0, 0.0, 0, 0
	for _, r := range reps {
		late, most, cut, wrong = max(late, r.LateP50), max(most, r.LateP99), cut+r.Cut, wrong+r.Wrong
	}
	fmt.Fprintf(w, "clients' own lateness, ms\t%.3g, 99th percentile %.3g\n", 1000*late, 1000*most)
	fmt.Fprintf(w, "connections cut, wrong answers\t%d, %d\n", cut, wrong)
}

// labLive holds the model against brokers on loopback sockets.
func labLive() *cobra.Command {
	var runs int
	var seed uint64
	var objects, asJSON bool
	var records string
	c := &cobra.Command{Use: "live SCENARIO", Args: usage(cobra.ExactArgs(1)),
		Short: "Play a scenario in the model and with brokers on loopback sockets, the same clients in both, and say by how much they differ",
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := experiment.ReadScenario(args[0])
			if err != nil {
				return &exit{exitUsage, err}
			}
			if runs < 1 {
				return &exit{exitUsage, fmt.Errorf("--runs: %d cannot be", runs)}
			}
			dir, err := os.MkdirTemp("", "poppyarch-live-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			in, err := driver.Install(s, driver.Options{Dir: dir, Objects: objects, Records: records}, broker)
			if err != nil {
				return err
			}
			defer in.Close()
			var reps []*driver.Report
			var sockets, plays []*model.Result
			for i := range uint64(runs) {
				rep, err := in.Play(ctx, seed+i)
				if err != nil {
					return err
				}
				res, err := model.Play(s, "module", seed+i)
				if err != nil {
					return err
				}
				reps, sockets, plays = append(reps, rep), append(sockets, rep.Result), append(plays, res)
			}
			out := cmd.OutOrStdout()
			if asJSON {
				return (&labFlags{}).json(out, [][]*model.Result{plays, sockets})
			}
			fmt.Fprintf(out, "%s: %d brokers, %d nodes, %v, %d seeds; the difference is sockets less model, seed by seed\n", s.Name, s.Brokers, s.Count(), time.Duration(s.Last), runs)
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "\tMODEL\tSOCKETS\tDIFFERENCE")
			for _, l := range lines {
				d, err := statistics.Paired(experiment.Values(sockets, l.of), experiment.Values(plays, l.of))
				if err != nil {
					return err
				}
				verdict := ""
				if d.Holds(0) && runs > 1 {
					verdict = ", none shown"
				}
				fmt.Fprintf(w, "%s\t%v\t%v\t%s%s\n", l.name, experiment.Over(plays, l.of), experiment.Over(sockets, l.of), d.Signed(), verdict)
			}
			own(w, reps)
			return w.Flush()
		}}
	c.Flags().IntVar(&runs, "runs", 3, "seeds")
	c.Flags().Uint64Var(&seed, "seed", 1, "the first")
	c.Flags().StringVar(&records, "records", "", "folder that the brokers record to, for lab fit and incident")
	c.Flags().BoolVar(&objects, "objects", false, "clients speak HTTP")
	c.Flags().BoolVar(&asJSON, "json", false, "results as JSON, one a run: the model's first")
	return c
}

// broker starts a broker as a process of its own.
func broker(name, config string) (func() error, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(filepath.Dir(config), name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(self, "serve")
	cmd.Env, cmd.Stderr = append(os.Environ(), "LB_CONFIG="+config), log
	// Should this process be killed, its brokers have nobody to serve.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return func() error {
		cmd.Process.Signal(syscall.SIGTERM)
		t := time.AfterFunc(10*time.Second, func() { cmd.Process.Kill() })
		defer t.Stop()
		return cmd.Wait()
	}, nil
}
