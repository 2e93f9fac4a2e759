package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"text/tabwriter"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"poppyarch/internal/lab/experiment"
	"poppyarch/internal/lab/model"
	"poppyarch/internal/lab/search"
	"poppyarch/internal/lab/statistics"
)

// labCommand is the model: designs tried on scenarios, without a socket.
func labCommand() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "Try designs on a model of clients, brokers and nodes", Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	c.AddCommand(labRun(), labCompare(), labSweep(), labBisect(), labHunt(), labLive(), labFit(),
		labDraw("plot", "Draw a measure of a sweep with its intervals"), labDraw("report", "Make one HTML page of results and of scenarios"))
	return c
}

// labFlags are what both commands take.
type labFlags struct {
	seed   uint64
	runs   int
	asJSON bool
}

func (f *labFlags) add(c *cobra.Command) {
	c.Flags().Uint64Var(&f.seed, "seed", 1, "of the first run; the others follow")
	c.Flags().IntVar(&f.runs, "runs", 8, "runs of each design, of one seed each")
	c.Flags().BoolVar(&f.asJSON, "json", false, "results as JSON, one a run")
}

func labRun() *cobra.Command {
	var f labFlags
	var designs []string
	c := &cobra.Command{Use: "run SCENARIO", Short: "Play a scenario with one or several designs", Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, all, err := f.play(args[0], designs)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if f.asJSON {
				return f.json(out, all)
			}
			fmt.Fprintf(out, "%s: %.3g of all cores asked for, %d runs of each design\n", s.Name, s.Offered(), f.runs)
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "DESIGN\tSERVICE\tRESERVED\tSERVED/S\tTIME MS\tP99 MS\tREFUSED\tFAILED\tLATE\tCONNECTIONS\tFELL\tBROKEN")
			for _, rs := range all {
				fmt.Fprintf(w, "%s", rs[0].Design)
				for _, of := range []func(*model.Result) float64{func(r *model.Result) float64 { return r.Service }, func(r *model.Result) float64 { return r.Reserved }, served,
					func(r *model.Result) float64 { return 1000 * r.Time.Mean }, p99, func(r *model.Result) float64 { return float64(r.Refused) },
					func(r *model.Result) float64 { return float64(r.Failed) }, func(r *model.Result) float64 { return float64(r.Late) },
					func(r *model.Result) float64 { return float64(r.Handshakes) }, func(r *model.Result) float64 { return float64(r.Fell) }} {
					fmt.Fprintf(w, "\t%v", experiment.Over(rs, of))
				}
				broken := ""
				for _, r := range rs {
					broken += r.BrokenRules()
				}
				fmt.Fprintf(w, "\t%s\n", broken)
			}
			return w.Flush()
		}}
	f.add(c)
	c.Flags().StringSliceVarP(&designs, "design", "d", model.Designs(), "designs to play")
	return c
}

func labCompare() *cobra.Command {
	var f labFlags
	c := &cobra.Command{Use: "compare SCENARIO DESIGN DESIGN", Short: "Say by how much the first design differs from the second, seed by seed",
		Args: usage(cobra.ExactArgs(3)),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, all, err := f.play(args[0], args[1:])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if f.asJSON {
				return f.json(out, all)
			}
			fmt.Fprintf(out, "%s less %s, %d seeds:\n", args[1], args[2], f.runs)
			for _, name := range []string{"service", "reserved", "served", "p99_ms", "refused", "failed", "connections", "fell", "broken"} {
				of := experiment.Measures[name]
				d, err := statistics.Paired(experiment.Values(all[0], of), experiment.Values(all[1], of))
				if err != nil {
					return err
				}
				verdict := "differs"
				if d.Holds(0) {
					verdict = "no difference shown"
				}
				fmt.Fprintf(out, "  %-12s %v  %s\n", name, d, verdict)
			}
			return nil
		}}
	f.add(c)
	return c
}

func labSweep() *cobra.Command {
	var out string
	c := &cobra.Command{Use: "sweep PLAN -o RESULTS", Short: "Play designs over a grid until the figures are as narrow as wanted; goes on where it was ended",
		Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := experiment.Read(args[0])
			if err != nil {
				return &exit{exitUsage, err}
			}
			r, err := experiment.Open(out, p.Keys())
			if err != nil {
				return &exit{exitUsage, err}
			}
			defer r.Close()
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			w := cmd.OutOrStdout()
			fmt.Fprintf(w, "%s; the others less %s, seed by seed\n", p.Measure, p.Designs[0])
			return p.Run(ctx, r, func(l experiment.Line) {
				for i, k := range p.Keys() {
					fmt.Fprintf(w, "%s=%s ", k, l.Values[i])
				}
				fmt.Fprintf(w, "%-10s %v", l.Design, l.Mean)
				if l.Design != p.Designs[0] {
					verdict := ""
					if l.Less.Holds(0) {
						verdict = ", no difference shown"
					}
					fmt.Fprintf(w, "  (%v%s)", l.Less, verdict)
				}
				fmt.Fprintf(w, "  %d seeds\n", l.Mean.N)
			})
		}}
	c.Flags().StringVarP(&out, "out", "o", "", "results, as CSV; what is there is not played again")
	if err := c.MarkFlagRequired("out"); err != nil {
		panic(err) // the flag is declared on the line above
	}
	return c
}

func labBisect() *cobra.Command {
	b := &experiment.Bisection{}
	c := &cobra.Command{Use: "bisect SCENARIO --key KEY --from A --to B --bound X", Short: "Find the figure at which a design's measure crosses a bound",
		Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if b.Scenario, err = experiment.ReadScenario(args[0]); err != nil {
				return &exit{exitUsage, err}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			w := cmd.OutOrStdout()
			found, err := b.Run(ctx, func(s experiment.Step) {
				side, sure := "under", ""
				if s.Above {
					side = "at or above"
				}
				if !s.Sure {
					sure = ", not sure"
				}
				fmt.Fprintf(w, "%s=%.6g  %s %v  %d seeds, %s %v%s\n", b.Key, s.At, b.Measure, s.Mean, s.Mean.N, side, b.Bound, sure)
			})
			if err != nil {
				return &exit{exitUsage, err}
			}
			fmt.Fprintf(w, "%s crosses %v between %s=%.6g and %.6g\n", b.Measure, b.Bound, b.Key, found.Near.At, found.Far.At)
			return nil
		}}
	f := c.Flags()
	f.StringVar(&b.Key, "key", "load.rate", "the figure of the scenario that is looked for")
	f.Float64Var(&b.From, "from", 0, "one end")
	f.Float64Var(&b.To, "to", 0, "the other")
	f.Float64Var(&b.Bound, "bound", 0.8, "of the measure")
	f.StringVarP(&b.Design, "design", "d", "module", "design")
	f.StringVarP(&b.Measure, "measure", "m", "service", "measure")
	f.IntVar(&b.Runs, "runs", 6, "seeds at a time")
	f.IntVar(&b.Most, "most", 24, "seeds for a step at which the interval holds the bound")
	f.Uint64Var(&b.Seed, "seed", 1, "the first")
	f.IntVar(&b.Steps, "steps", 7, "halvings")
	return c
}

func labHunt() *cobra.Command {
	h := &search.Hunt{}
	var out string
	c := &cobra.Command{Use: "hunt SCENARIO -o CASE", Short: "Search for troubles under which a design breaks a rule or falls behind, and make the case small",
		Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if h.Base, err = experiment.ReadScenario(args[0]); err != nil {
				return &exit{exitUsage, err}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			w := cmd.OutOrStdout()
			f, err := h.Run(ctx, func(try int, b search.Bad) { fmt.Fprintf(w, "candidate %d: %s %v\n", try+1, h.Design, b) })
			if err != nil {
				return err
			}
			text, err := toml.Marshal(f.Scenario)
			if err != nil {
				return err
			}
			head := fmt.Sprintf("# Found by lab hunt: %s %v against %s, seeds %d to %d.\n", h.Design, f.Bad, h.Against, h.Seed, h.Seed+uint64(h.Runs)-1)
			if err := os.WriteFile(out, append([]byte(head), text...), 0o644); err != nil {
				return err
			}
			fmt.Fprintf(w, "made small: %s %v, %d plays, %s\n", h.Design, f.Bad, f.Plays, out)
			return nil
		}}
	f := c.Flags()
	f.StringVarP(&h.Design, "design", "d", "module", "design")
	f.StringVar(&h.Against, "against", "oracle", "design that it is held against")
	f.Uint64Var(&h.Seed, "seed", 1, "of the search, and of the first play")
	f.IntVar(&h.Runs, "runs", 2, "seeds of a candidate")
	f.IntVar(&h.Tries, "tries", 60, "candidates")
	f.StringVarP(&out, "out", "o", "", "the case, a scenario")
	if err := c.MarkFlagRequired("out"); err != nil {
		panic(err) // the flag is declared on the line above
	}
	return c
}

func served(r *model.Result) float64 { return r.Served.Mean }
func p99(r *model.Result) float64    { return 1000 * r.P99 }

// play reads a scenario and runs all designs on all seeds, side by side; a run itself is one loop.
func (f *labFlags) play(path string, designs []string) (*model.Scenario, [][]*model.Result, error) {
	s, err := experiment.ReadScenario(path)
	if err != nil {
		return nil, nil, &exit{exitUsage, err}
	}
	if f.runs < 1 {
		return nil, nil, &exit{exitUsage, fmt.Errorf("--runs: %d cannot be", f.runs)}
	}
	for _, d := range designs {
		if err := model.CheckDesign(d); err != nil {
			return nil, nil, &exit{exitUsage, err}
		}
	}
	all := make([][]*model.Result, len(designs))
	room, wait := make(chan struct{}, runtime.GOMAXPROCS(0)), sync.WaitGroup{}
	var once sync.Once
	var failed error
	for k, d := range designs {
		all[k] = make([]*model.Result, f.runs)
		for i := range f.runs {
			wait.Go(func() {
				room <- struct{}{}
				defer func() { <-room }()
				r, err := model.Play(s, d, f.seed+uint64(i))
				if err != nil {
					once.Do(func() { failed = err })
				}
				all[k][i] = r
			})
		}
	}
	wait.Wait()
	return s, all, failed
}

func (f *labFlags) json(w io.Writer, all [][]*model.Result) error {
	e := json.NewEncoder(w)
	for _, rs := range all {
		for _, r := range rs {
			if err := e.Encode(r); err != nil {
				return err
			}
		}
	}
	return nil
}
