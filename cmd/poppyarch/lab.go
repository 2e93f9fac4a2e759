package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"poppyarch/internal/lab/experiment"
	"poppyarch/internal/lab/model"
	"poppyarch/internal/lab/search"
	"poppyarch/internal/lab/statistics"
	"poppyarch/internal/textoutput"
)

// labCommand returns `poppyarch lab`, which simulates designs on scenarios without sockets.
func labCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "lab", Short: "Simulate designs on a model of clients, brokers and nodes", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.AddCommand(labRun(), labCompare(), labSweep(), labBisect(), labSearch(), labLive(), labFit())
	c.AddCommand(labDraw("plot", "Plot a measure of a sweep with its intervals"))
	c.AddCommand(labDraw("report", "Write an HTML page of results and scenarios"))
	return c
}

// labFlags are the flags that run and compare share.
type labFlags struct {
	seed   uint64
	runs   int
	asJSON bool
}

func (f *labFlags) add(c *cobra.Command) {
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the first run; each further run uses the next seed")
	c.Flags().IntVar(&f.runs, "runs", 8, "number of runs of each design, each with its own seed")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print results as JSON, one line per run")
}

func labRun() *cobra.Command {
	var f labFlags
	var designs []string
	c := &cobra.Command{
		Use: "run SCENARIO", Short: "Run a scenario with one or several designs", Args: checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			scenario, results, err := f.simulate(args[0], designs)
			if err != nil {
				return err
			}
			if f.asJSON {
				return printResults(cmd.OutOrStdout(), results)
			}
			out := textoutput.NewPrinter(cmd.OutOrStdout())
			out.Printf("%s: %.3g of all cores asked for, %d runs of each design\n", scenario.Name, scenario.Offered(), f.runs)
			out.Section(func(out io.Writer) error { return printDesigns(out, results) })
			return out.Err()
		},
	}
	f.add(c)
	c.Flags().StringSliceVarP(&designs, "design", "d", model.Designs(), "designs to simulate")
	return c
}

// designColumns are the columns that summarise the runs of a design.
var designColumns = []struct {
	title string
	value func(*model.Result) float64
}{
	{"SERVICE", func(r *model.Result) float64 { return r.Service }},
	{"RESERVED", func(r *model.Result) float64 { return r.Reserved }},
	{"SERVED/S", func(r *model.Result) float64 { return r.Served.Mean }},
	{"TIME MS", func(r *model.Result) float64 { return 1000 * r.Time.Mean }},
	{"P99 MS", func(r *model.Result) float64 { return 1000 * r.P99 }},
	{"REFUSED", func(r *model.Result) float64 { return float64(r.Refused) }},
	{"FAILED", func(r *model.Result) float64 { return float64(r.Failed) }},
	{"LATE", func(r *model.Result) float64 { return float64(r.Late) }},
	{"CONNECTIONS", func(r *model.Result) float64 { return float64(r.Handshakes) }},
	{"FELL", func(r *model.Result) float64 { return float64(r.Fell) }},
}

// printDesigns prints a line for each design. Results are indexed by design and run.
func printDesigns(out io.Writer, results [][]*model.Result) error {
	titles := []string{"DESIGN"}
	for _, column := range designColumns {
		titles = append(titles, column.title)
	}
	t := textoutput.NewTable(out, append(titles, "BROKEN")...)
	for _, runs := range results {
		t.Printf("%s", runs[0].Design)
		for _, column := range designColumns {
			t.Printf("\t%v", experiment.Over(runs, column.value))
		}
		broken := ""
		for _, r := range runs {
			broken += r.BrokenRules()
		}
		t.Printf("\t%s\n", broken)
	}
	return t.Flush()
}

// comparedMeasures are the measures that compare lists, in order.
var comparedMeasures = []string{"service", "reserved", "served", "p99_ms", "refused", "failed", "connections", "fell", "broken"}

func labCompare() *cobra.Command {
	var f labFlags
	c := &cobra.Command{
		Use: "compare SCENARIO DESIGN DESIGN", Short: "Show by how much the first design differs from the second, seed by seed",
		Args: checkArgs(cobra.ExactArgs(3)),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, results, err := f.simulate(args[0], args[1:])
			if err != nil {
				return err
			}
			if f.asJSON {
				return printResults(cmd.OutOrStdout(), results)
			}
			out := textoutput.NewPrinter(cmd.OutOrStdout())
			out.Printf("%s less %s, %d seeds:\n", args[1], args[2], f.runs)
			for _, name := range comparedMeasures {
				measure := experiment.Measures[name]
				difference, err := statistics.Paired(experiment.Values(results[0], measure), experiment.Values(results[1], measure))
				if err != nil {
					return err
				}
				verdict := "differs"
				if difference.Holds(0) {
					verdict = "no difference shown"
				}
				out.Printf("  %-12s %v  %s\n", name, difference, verdict)
			}
			return out.Err()
		},
	}
	f.add(c)
	return c
}

func labSweep() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use: "sweep PLAN -o RESULTS", Short: "Run designs over a grid until the intervals are narrow enough; continues an interrupted sweep",
		Args: checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			plan, err := experiment.Read(args[0])
			if err != nil {
				return &exitError{exitUsage, err}
			}
			results, err := experiment.Open(path, plan.Keys())
			if err != nil {
				return &exitError{exitUsage, err}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			out := textoutput.NewPrinter(cmd.OutOrStdout())
			out.Printf("%s; the others less %s, seed by seed\n", plan.Measure, plan.Designs[0])
			err = plan.Run(ctx, results, func(line experiment.Line) { printSweepLine(out, plan, line) })
			return errors.Join(err, results.Close(), out.Err())
		},
	}
	c.Flags().StringVarP(&path, "out", "o", "", "CSV file of results; runs that it already contains are not repeated")
	markRequired(c, "out")
	return c
}

func printSweepLine(out *textoutput.Printer, plan *experiment.Plan, line experiment.Line) {
	for i, key := range plan.Keys() {
		out.Printf("%s=%s ", key, line.Values[i])
	}
	out.Printf("%-10s %v", line.Design, line.Mean)
	if line.Design != plan.Designs[0] {
		verdict := ""
		if line.Less.Holds(0) {
			verdict = ", no difference shown"
		}
		out.Printf("  (%v%s)", line.Less, verdict)
	}
	out.Printf("  %d seeds\n", line.Mean.N)
}

func labBisect() *cobra.Command {
	b := &experiment.Bisection{}
	c := &cobra.Command{
		Use: "bisect SCENARIO --key KEY --from A --to B --bound X", Short: "Find the value at which a design's measure crosses a bound",
		Args: checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if b.Scenario, err = experiment.ReadScenario(args[0]); err != nil {
				return &exitError{exitUsage, err}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			out := textoutput.NewPrinter(cmd.OutOrStdout())
			found, err := b.Run(ctx, func(step experiment.Step) { printBisectionStep(out, b, step) })
			if err != nil {
				return &exitError{exitUsage, err}
			}
			out.Printf("%s crosses %v between %s=%.6g and %.6g\n", b.Measure, b.Bound, b.Key, found.Near.At, found.Far.At)
			return out.Err()
		},
	}
	f := c.Flags()
	f.StringVar(&b.Key, "key", "load.rate", "key of the scenario that is varied")
	f.Float64Var(&b.From, "from", 0, "one end of the range of values")
	f.Float64Var(&b.To, "to", 0, "other end of the range of values")
	f.Float64Var(&b.Bound, "bound", 0.8, "bound that the measure crosses")
	f.StringVarP(&b.Design, "design", "d", "module", "design to simulate")
	f.StringVarP(&b.Measure, "measure", "m", "service", "measure that crosses the bound")
	f.IntVar(&b.Runs, "runs", 6, "seeds per step")
	f.IntVar(&b.Most, "most", 24, "maximum number of seeds for a step whose interval contains the bound")
	f.Uint64Var(&b.Seed, "seed", 1, "the first seed")
	f.IntVar(&b.Steps, "steps", 7, "number of times the range is halved")
	return c
}

func printBisectionStep(out *textoutput.Printer, b *experiment.Bisection, step experiment.Step) {
	side := "under"
	if step.Above {
		side = "at or above"
	}
	certainty := ""
	if !step.Sure {
		certainty = ", not sure"
	}
	out.Printf("%s=%.6g  %s %v  %d seeds, %s %v%s\n", b.Key, step.At, b.Measure, step.Mean, step.Mean.N, side, b.Bound, certainty)
}

func labSearch() *cobra.Command {
	finder := &search.Search{}
	var path string
	c := &cobra.Command{
		Use: "search SCENARIO -o CASE", Short: "Search for faults under which a design breaks a rule or falls behind, and minimise the case",
		Aliases: []string{"hunt"}, // the command's former name
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if finder.Base, err = experiment.ReadScenario(args[0]); err != nil {
				return &exitError{exitUsage, err}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			out := textoutput.NewPrinter(cmd.OutOrStdout())
			found, err := finder.Run(ctx, func(candidate int, verdict search.Verdict) {
				out.Printf("candidate %d: %s %v\n", candidate+1, finder.Design, verdict)
			})
			if err != nil {
				return err
			}
			text, err := toml.Marshal(found.Scenario)
			if err != nil {
				return err
			}
			head := fmt.Sprintf("# Found by lab hunt: %s %v against %s, seeds %d to %d.\n", finder.Design, found.Verdict, finder.Reference,
				finder.Seed, finder.Seed+uint64(finder.Runs)-1)
			if err := os.WriteFile(path, append([]byte(head), text...), 0o644); err != nil {
				return err
			}
			out.Printf("made small: %s %v, %d plays, %s\n", finder.Design, found.Verdict, found.Plays, path)
			return out.Err()
		},
	}
	flags := c.Flags()
	flags.StringVarP(&finder.Design, "design", "d", "module", "design to test")
	flags.StringVar(&finder.Reference, "against", "oracle", "design to compare the tested design with")
	flags.Uint64Var(&finder.Seed, "seed", 1, "seed of the search and of the first run")
	flags.IntVar(&finder.Runs, "runs", 2, "number of seeds for each candidate")
	flags.IntVar(&finder.Candidates, "tries", 60, "number of candidates")
	flags.StringVarP(&path, "out", "o", "", "file for the case that is found, a scenario")
	markRequired(c, "out")
	return c
}

// simulate reads a scenario and runs all designs with all seeds in parallel. Results are indexed by design and run.
func (f *labFlags) simulate(path string, designs []string) (*model.Scenario, [][]*model.Result, error) {
	scenario, err := experiment.ReadScenario(path)
	if err != nil {
		return nil, nil, &exitError{exitUsage, err}
	}
	if f.runs < 1 {
		return nil, nil, &exitError{exitUsage, fmt.Errorf("--runs: got %d, expected at least 1", f.runs)}
	}
	for _, design := range designs {
		if err := model.CheckDesign(design); err != nil {
			return nil, nil, &exitError{exitUsage, err}
		}
	}
	results := make([][]*model.Result, len(designs))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var running sync.WaitGroup
	var once sync.Once
	var firstErr error
	for k, design := range designs {
		results[k] = make([]*model.Result, f.runs)
		for i := range f.runs {
			running.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				result, err := model.Play(scenario, design, f.seed+uint64(i))
				if err != nil {
					once.Do(func() { firstErr = err })
				}
				results[k][i] = result
			})
		}
	}
	running.Wait()
	return scenario, results, firstErr
}

// printResults prints a JSON object for each run, design by design.
func printResults(out io.Writer, results [][]*model.Result) error {
	encoder := json.NewEncoder(out)
	for _, runs := range results {
		for _, r := range runs {
			if err := encoder.Encode(r); err != nil {
				return err
			}
		}
	}
	return nil
}
