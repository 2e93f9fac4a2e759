// Command labplot draws what the lab has found. It is a program of its own, called by "poppyarch lab plot" and "poppyarch lab report": the
// libraries that draw bring fonts along, which they read at start, and a broker has to be small and up at once.
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
	c := &cobra.Command{Use: "labplot", Short: "Draw what the lab has found", SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	c.CompletionOptions.DisableDefaultCmd = true
	c.AddCommand(plotCommand(), reportCommand())
	return c
}

func viewFlags(c *cobra.Command, v *report.View) {
	c.Flags().StringVarP(&v.Along, "along", "x", "", "key on the x axis; the one with the most values where none is named")
	c.Flags().StringSliceVarP(&v.Measures, "measure", "m", []string{"service"}, "measures, each a picture")
}

func plotCommand() *cobra.Command {
	v := report.View{Width: 560, Height: 340}
	var out string
	c := &cobra.Command{Use: "plot RESULTS.csv -o FILE", Args: cobra.ExactArgs(1),
		Short: "Draw a measure of a sweep with its intervals; the other keys give a picture each, numbered",
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := experiment.Load(args[0])
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
	c.Flags().StringVarP(&out, "out", "o", "", "picture: .svg, .png or .pdf")
	c.Flags().Float64Var(&v.Width, "width", v.Width, "points of 1/72 inch")
	c.Flags().Float64Var(&v.Height, "height", v.Height, "points")
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
		Short: "Make one HTML page of results (.csv) and of scenarios (.toml), which are played for it",
		RunE: func(cmd *cobra.Command, args []string) error {
			p := &report.Page{Title: title, Made: time.Now().UTC().Format("2006-01-02")}
			for _, path := range args {
				sec, err := section(path, v, designs, runs, seed)
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
	c.Flags().StringVarP(&out, "out", "o", "", "the page")
	c.Flags().StringVar(&title, "title", "What the lab has found", "of the page")
	c.Flags().StringSliceVarP(&designs, "design", "d", []string{"module", "two", "oracle"}, "designs that play scenarios; the first is what the others are held against")
	c.Flags().IntVar(&runs, "runs", 8, "seeds of each design")
	c.Flags().Uint64Var(&seed, "seed", 1, "the first")
	required(c, "out")
	return c
}

func required(c *cobra.Command, flag string) {
	if err := c.MarkFlagRequired(flag); err != nil {
		panic(err) // the flag is declared beside the call
	}
}

// section is what a file gives: results as they are, a scenario by being played.
func section(path string, v report.View, designs []string, runs int, seed uint64) (*report.Section, error) {
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if filepath.Ext(path) != ".toml" {
		t, err := experiment.Load(path)
		if err != nil {
			return nil, err
		}
		sec, err := report.Sweep(name, t, v)
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
		return nil, fmt.Errorf("--runs: %d cannot be", runs)
	}
	all, err := play(s, designs, runs, seed)
	if err != nil {
		return nil, err
	}
	return report.Plays(s, all, v)
}

// play has every design play every seed, side by side.
func play(s *model.Scenario, designs []string, runs int, seed uint64) ([][]*model.Result, error) {
	all := make([][]*model.Result, len(designs))
	var wait sync.WaitGroup
	room, failed := make(chan struct{}, runtime.GOMAXPROCS(0)), make([]error, len(designs)*runs)
	for k, d := range designs {
		if err := model.CheckDesign(d); err != nil {
			return nil, err
		}
		all[k] = make([]*model.Result, runs)
		for i := range runs {
			wait.Go(func() {
				room <- struct{}{}
				defer func() { <-room }()
				all[k][i], failed[k*runs+i] = model.Play(s, d, seed+uint64(i))
			})
		}
	}
	wait.Wait()
	return all, errors.Join(failed...)
}
