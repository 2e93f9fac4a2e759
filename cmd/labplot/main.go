// Command labplot draws charts and reports of lab results. It is a separate program, called by "poppyarch lab plot"
// and "poppyarch lab report": the drawing libraries bring fonts that they read at start, and a broker has to be small
// and start quickly.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/lab/chart"
	"poppyarch/internal/lab/experiment"
	"poppyarch/internal/lab/model"
	"poppyarch/internal/lab/report"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "poppyarch lab:", err)
		os.Exit(2)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{Use: "labplot", Short: "Draw charts and reports of lab results", SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	c.CompletionOptions.DisableDefaultCmd = true
	c.AddCommand(plotCommand(), reportCommand())
	return c
}

func viewFlags(c *cobra.Command, v *report.View) {
	c.Flags().StringVarP(&v.XKey, "along", "x", "", "key on the x axis (default: the key with the most values)")
	c.Flags().StringSliceVarP(&v.Measures, "measure", "m", []string{"service"}, "measures to draw, one chart each")
}

func plotCommand() *cobra.Command {
	v := report.View{Width: 560, Height: 340}
	var out string
	c := &cobra.Command{Use: "plot RESULTS.csv -o FILE", Args: cobra.ExactArgs(1),
		Short: "Draw measures of a sweep with confidence intervals, one numbered file for each combination of the other keys",
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := experiment.ReadTable(args[0])
			if err != nil {
				return err
			}
			var all []*chart.Chart
			for _, m := range v.Measures {
				charts, err := report.Charts(t, v, m)
				if err != nil {
					return err
				}
				all = append(all, charts...)
			}
			format := strings.TrimPrefix(filepath.Ext(out), ".")
			for i, ch := range all {
				pic, err := ch.Draw(format, v.Width, v.Height)
				if err != nil {
					return err
				}
				path := out
				if len(all) > 1 {
					path = fmt.Sprintf("%s-%d.%s", strings.TrimSuffix(out, filepath.Ext(out)), i+1, format)
				}
				if err := os.WriteFile(path, pic, 0o644); err != nil {
					return err
				}
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", path, ch.Title)
			}
			return nil
		}}
	viewFlags(c, &v)
	c.Flags().StringVarP(&out, "out", "o", "", "output file: .svg, .png or .pdf")
	c.Flags().Float64Var(&v.Width, "width", v.Width, "width of the chart in points of 1/72 inch")
	c.Flags().Float64Var(&v.Height, "height", v.Height, "height of the chart in points")
	required(c, "out")
	return c
}

func reportCommand() *cobra.Command {
	var v report.View
	var out, title string
	var designs []string
	var runs int
	var seed uint64
	c := &cobra.Command{Use: "report FILE... -o PAGE.html", Args: cobra.MinimumNArgs(1),
		Short: "Write an HTML page of results (.csv) and scenarios (.toml); scenarios are run for it",
		RunE: func(cmd *cobra.Command, args []string) error {
			p := &report.Page{Title: title, Date: time.Now().UTC().Format("2006-01-02")}
			for _, path := range args {
				sec, err := fileSection(path, v, designs, runs, seed)
				if err != nil {
					return err
				}
				p.Sections = append(p.Sections, *sec)
			}
			f, err := os.Create(out)
			if err != nil {
				return err
			}
			if err := errors.Join(p.Write(f), f.Close()); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: %d sections\n", out, len(p.Sections))
			return nil
		}}
	viewFlags(c, &v)
	c.Flags().StringVarP(&out, "out", "o", "", "output file")
	c.Flags().StringVar(&title, "title", "Lab results", "title of the page")
	c.Flags().StringSliceVarP(&designs, "design", "d", []string{"module", "two", "oracle"}, "designs to run scenarios with; the others are compared with the first")
	c.Flags().IntVar(&runs, "runs", 8, "runs of each design, one seed each")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the first run; the others follow")
	required(c, "out")
	return c
}

// required marks a flag as required.
func required(c *cobra.Command, flag string) {
	if err := c.MarkFlagRequired(flag); err != nil {
		panic(err) // a programming error: every caller declares the flag first
	}
}

// fileSection returns the section of a file: a results file as it is, a scenario after running it.
func fileSection(path string, v report.View, designs []string, runs int, seed uint64) (*report.Section, error) {
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if filepath.Ext(path) != ".toml" {
		t, err := experiment.ReadTable(path)
		if err != nil {
			return nil, err
		}
		sec, err := report.SweepSection(name, t, v)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		return sec, nil
	}
	s, err := experiment.ReadScenario(path)
	if err != nil {
		return nil, err
	}
	if runs < 1 {
		return nil, fmt.Errorf("--runs: %d, want 1 or more", runs)
	}
	all, err := runDesigns(s, designs, runs, seed)
	if err != nil {
		return nil, err
	}
	return report.ScenarioSection(s, all, v)
}

// runDesigns runs every design with every seed, in parallel.
func runDesigns(s *model.Scenario, designs []string, runs int, seed uint64) ([][]*model.Result, error) {
	all := make([][]*model.Result, len(designs))
	var running sync.WaitGroup
	slots, errs := make(chan struct{}, runtime.GOMAXPROCS(0)), make([]error, len(designs)*runs)
	for k, d := range designs {
		if err := model.CheckDesign(d); err != nil {
			return nil, err
		}
		all[k] = make([]*model.Result, runs)
		for i := range runs {
			running.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				all[k][i], errs[k*runs+i] = model.Run(s, d, seed+uint64(i))
			})
		}
	}
	running.Wait()
	return all, errors.Join(errs...)
}
