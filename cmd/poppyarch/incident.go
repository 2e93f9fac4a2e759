package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/observability/incident"
	"poppyarch/internal/observability/incident/collect"
	"poppyarch/internal/observability/incident/report"
)

// incidentFlags are what all incident commands have.
type incidentFlags struct {
	dirs, rings    []string
	from, to       string
	ended          bool
	slow, surge    float64
	notice, clocks time.Duration
}

// incidentCommand is `poppyarch incident`.
func incidentCommand() *cobra.Command {
	f := &incidentFlags{}
	c := &cobra.Command{
		Use: "incident", Short: "Read brokers' records and tell what happened",
		Long: "Reads the segments that brokers with a record key have written, of any number of brokers, dead ones included, and works out\n" +
			"episodes, how exactly their begins and ends are known, what they cost, and what is not known.",
	}
	p := c.PersistentFlags()
	p.StringArrayVarP(&f.dirs, "records", "r", nil, "a folder of segments, or one segment; several may be given")
	p.StringArrayVar(&f.rings, "ring", nil, "unix:PATH or HOST:PORT of the control endpoint of a broker that records in memory; several may be given")
	p.StringVar(&f.from, "from", "", "only what touches the time from here: RFC 3339, or HH:MM:SS of the records' day, UTC")
	p.StringVar(&f.to, "to", "", "and to here")
	p.BoolVar(&f.ended, "ended", false, "brokers without a last word are dead, however fresh their records are")
	p.Float64Var(&f.slow, "slow", 3, "a node is slow at so many times its usual median")
	p.Float64Var(&f.surge, "surge", 4, "a volume surges at so many times its usual rate")
	p.DurationVar(&f.notice, "notice", 500*time.Millisecond, "a list version is told to every broker within this")
	p.DurationVar(&f.clocks, "clocks", time.Second, "wall clocks of machines differ by at most this")
	var html, as, title string
	rep := &cobra.Command{
		Use: "report", Short: "Write the whole report: text, JSON, or one HTML page", Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			a, err := f.read(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			if html != "" {
				out, err := os.Create(html)
				if err != nil {
					return err
				}
				err = report.HTML(out, a, title)
				return errors.Join(err, out.Close())
			}
			switch as {
			case "text":
				return report.Text(cmd.OutOrStdout(), a)
			case "json":
				return report.JSON(cmd.OutOrStdout(), a)
			case "html":
				return report.HTML(cmd.OutOrStdout(), a, title)
			}
			return &exit{exitUsage, fmt.Errorf("--format: %q is none of text, json, html", as)}
		},
	}
	rep.Flags().StringVarP(&html, "output", "o", "", "write the HTML page here")
	rep.Flags().StringVar(&as, "format", "text", "text, json or html, to standard output")
	rep.Flags().StringVar(&title, "title", "Incident report", "of the page")
	list := &cobra.Command{
		Use: "list", Short: "List the episodes", Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			a, err := f.read(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			for i := range a.Episodes {
				e := &a.Episodes[i]
				fmt.Fprintf(cmd.OutOrStdout(), "%d  %s  %s: %s, %s\n", e.ID, e.Begin.Words(), e.Kind, e.Subject, e.Took())
			}
			return nil
		},
	}
	show := &cobra.Command{
		Use: "show NUMBER", Short: "Show one episode with its evidence", Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var id int
			if _, err := fmt.Sscan(args[0], &id); err != nil {
				return &exit{exitUsage, fmt.Errorf("%q is no episode's number", args[0])}
			}
			a, err := f.read(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			if err := report.Show(cmd.OutOrStdout(), a, id); err != nil {
				return &exit{exitUsage, err}
			}
			return nil
		},
	}
	var into string
	export := &cobra.Command{
		Use: "export --into FOLDER", Short: "Copy the segments and write the report in all forms beside them", Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			a, err := f.read(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			if err := os.MkdirAll(filepath.Join(into, "records"), 0o755); err != nil {
				return err
			}
			n, err := copySegments(f.dirs, filepath.Join(into, "records"))
			if err != nil {
				return err
			}
			for name, write := range map[string]func(io.Writer) error{
				"report.html": func(w io.Writer) error { return report.HTML(w, a, "Incident report") },
				"report.json": func(w io.Writer) error { return report.JSON(w, a) },
				"report.txt":  func(w io.Writer) error { return report.Text(w, a) },
			} {
				out, err := os.Create(filepath.Join(into, name))
				if err != nil {
					return err
				}
				if err := errors.Join(write(out), out.Close()); err != nil {
					return err
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d segments and the report are in %s\n", n, into)
			return nil
		},
	}
	export.Flags().StringVar(&into, "into", "", "a folder, made where it is missing")
	export.MarkFlagRequired("into")
	diff := &cobra.Command{
		Use: "diff FIRST SECOND", Short: "Hold two incidents against each other: folders of segments", Args: usage(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var both [2]*incident.Analysis
			for i, dir := range args {
				g := *f
				g.dirs = []string{dir}
				a, err := g.read(cmd.ErrOrStderr())
				if err != nil {
					return err
				}
				both[i] = a
			}
			return report.Diff(cmd.OutOrStdout(), incident.Diff(both[0], both[1]))
		},
	}
	c.AddCommand(rep, list, show, export, diff)
	return c
}

// read collects and analyses.
func (f *incidentFlags) read(warn io.Writer) (*incident.Analysis, error) {
	if len(f.dirs)+len(f.rings) == 0 {
		return nil, &exit{exitUsage, errors.New("--records or --ring: nothing to read is given")}
	}
	streams, found, err := collect.Read(f.dirs...)
	if err != nil {
		return nil, &exit{exitUsage, err}
	}
	for _, addr := range f.rings {
		s, err := ring(addr)
		if err != nil {
			fmt.Fprintf(warn, "records: %s: %v\n", addr, err) // a broker that is down is no reason to read none
			continue
		}
		streams = append(streams, s)
		found.Frames++
	}
	for _, x := range found.Faults {
		fmt.Fprintln(warn, "records:", x)
	}
	if found.Frames == 0 {
		return nil, &exit{exitUsage, fmt.Errorf("%v: no records", append(f.dirs, f.rings...))}
	}
	o := incident.DefaultOptions()
	o.Slow, o.Surge, o.Notice, o.Wall = f.slow, f.surge, f.notice.Microseconds(), f.clocks.Microseconds()
	o.Now = time.Now().UnixMicro()
	if f.ended {
		o.Now = 0
	}
	a := incident.Analyse(streams, o)
	if f.from != "" || f.to != "" {
		for _, x := range []struct {
			text string
			to   *int64
		}{{f.from, &o.From}, {f.to, &o.To}} {
			if x.text == "" {
				continue
			}
			if *x.to, err = moment(x.text, a.From); err != nil {
				return nil, &exit{exitUsage, err}
			}
		}
		a = incident.Analyse(streams, o)
	}
	return a, nil
}

// ring reads a broker's records from its memory.
func ring(addr string) (*incident.Stream, error) {
	cl, err := control.Dial(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	b, err := cl.Records(ctx, 1<<30)
	if err != nil {
		return nil, err
	}
	return collect.Bytes(b)
}

// moment reads RFC 3339, or a time of the day on which the records begin.
func moment(text string, day int64) (int64, error) {
	if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return t.UnixMicro(), nil
	}
	t, err := time.Parse("15:04:05.999999", text)
	if err != nil {
		return 0, fmt.Errorf("%q is neither RFC 3339 nor HH:MM:SS", text)
	}
	d := time.UnixMicro(day).UTC()
	return time.Date(d.Year(), d.Month(), d.Day(), t.Hour(), t.Minute(), t.Second(), t.Nanosecond(), time.UTC).UnixMicro(), nil
}

// copySegments copies all segments under the folders. Files of one name from different folders get numbers before it.
func copySegments(dirs []string, into string) (n int, err error) {
	for i, dir := range dirs {
		err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() || filepath.Ext(path) != ".seg" {
				return err
			}
			b, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			n++
			return os.WriteFile(filepath.Join(into, fmt.Sprintf("%02d-%s", i, filepath.Base(path))), b, 0o644)
		})
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
