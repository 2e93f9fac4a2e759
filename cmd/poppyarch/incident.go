package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/observability/incident"
	"poppyarch/internal/observability/incident/collect"
	"poppyarch/internal/observability/incident/report"
	"poppyarch/internal/textoutput"
	"poppyarch/internal/timing/clock"
)

// incidentFlags are the flags that all incident commands share.
type incidentFlags struct {
	dirs   []string // folders of segments
	rings  []string // control endpoints of brokers that record in memory
	from   string
	to     string
	ended  bool
	slow   float64
	surge  float64
	notice time.Duration
	clocks time.Duration
}

// incidentCommand is `poppyarch incident`.
func incidentCommand() *cobra.Command {
	f := &incidentFlags{}
	c := &cobra.Command{
		Use: "incident", Short: "Analyse brokers' records and report what happened",
		Long: "Reads the segments that brokers with a record key have written, of any number of brokers, including dead ones, and\n" +
			"derives episodes, the bounds of their start and end times, their impact, and what is unknown.",
	}
	flags := c.PersistentFlags()
	flags.StringArrayVarP(&f.dirs, "records", "r", nil, "a folder of segments, or one segment; may be repeated")
	flags.StringArrayVar(&f.rings, "ring", nil, "unix:PATH or HOST:PORT of the control endpoint of a broker that records in memory; may be repeated")
	flags.StringVar(&f.from, "from", "", "only what overlaps the time from here: RFC 3339, or HH:MM:SS of the records' day, UTC")
	flags.StringVar(&f.to, "to", "", "and up to here")
	flags.BoolVar(&f.ended, "ended", false, "treat brokers without a final record as dead, however fresh their records are")
	flags.Float64Var(&f.slow, "slow", 3, "a node is slow at this multiple of its usual median")
	flags.Float64Var(&f.surge, "surge", 4, "a volume surges at this multiple of its usual rate")
	flags.DurationVar(&f.notice, "notice", 500*time.Millisecond, "a list revision reaches every broker within this time")
	flags.DurationVar(&f.clocks, "clocks", time.Second, "wall clocks of machines differ by at most this")
	c.AddCommand(f.reportCommand(), f.listCommand(), f.showCommand(), f.exportCommand(), f.diffCommand())
	return c
}

// defaultReportTitle is the title of a report's HTML page.
const defaultReportTitle = "Incident report"

func (f *incidentFlags) reportCommand() *cobra.Command {
	var page, format, title string
	c := &cobra.Command{
		Use: "report", Short: "Write the full report as text, JSON or one HTML page", Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			analysis, err := f.read(cmd)
			if err != nil {
				return err
			}
			if page != "" {
				return writeFile(page, func(out io.Writer) error { return report.HTML(out, analysis, title) })
			}
			switch format {
			case "text":
				return report.Text(cmd.OutOrStdout(), analysis)
			case "json":
				return report.JSON(cmd.OutOrStdout(), analysis)
			case "html":
				return report.HTML(cmd.OutOrStdout(), analysis, title)
			}
			return &exit{exitUsage, fmt.Errorf("--format: %q is none of text, json, html", format)}
		},
	}
	c.Flags().StringVarP(&page, "output", "o", "", "write the HTML page to this file")
	c.Flags().StringVar(&format, "format", "text", "text, json or html, to standard output")
	c.Flags().StringVar(&title, "title", defaultReportTitle, "title of the page")
	return c
}

func (f *incidentFlags) listCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the episodes", Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			analysis, err := f.read(cmd)
			if err != nil {
				return err
			}
			out := textoutput.NewPrinter(cmd.OutOrStdout())
			for i := range analysis.Episodes {
				e := &analysis.Episodes[i]
				out.Printf("%d  %s  %s: %s, %s\n", e.ID, e.Begin.Format(), e.Kind, e.Subject, e.FormatDuration())
			}
			return out.Err()
		},
	}
}

func (f *incidentFlags) showCommand() *cobra.Command {
	return &cobra.Command{
		Use: "show NUMBER", Short: "Show one episode with its evidence", Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, err := strconv.Atoi(args[0])
			if err != nil {
				return &exit{exitUsage, fmt.Errorf("%q is not the number of an episode", args[0])}
			}
			analysis, err := f.read(cmd)
			if err != nil {
				return err
			}
			if err := report.Show(cmd.OutOrStdout(), analysis, id); err != nil {
				return &exit{exitUsage, err}
			}
			return nil
		},
	}
}

func (f *incidentFlags) exportCommand() *cobra.Command {
	var folder string
	c := &cobra.Command{
		Use: "export --into FOLDER", Short: "Copy the segments and write the report in every format next to them", Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			analysis, err := f.read(cmd)
			if err != nil {
				return err
			}
			segments := filepath.Join(folder, "records")
			if err := os.MkdirAll(segments, 0o755); err != nil {
				return err
			}
			copied, err := copySegments(f.dirs, segments)
			if err != nil {
				return err
			}
			for name, write := range map[string]func(io.Writer) error{
				"report.html": func(out io.Writer) error { return report.HTML(out, analysis, defaultReportTitle) },
				"report.json": func(out io.Writer) error { return report.JSON(out, analysis) },
				"report.txt":  func(out io.Writer) error { return report.Text(out, analysis) },
			} {
				if err := writeFile(filepath.Join(folder, name), write); err != nil {
					return err
				}
			}
			out := textoutput.NewPrinter(cmd.OutOrStdout())
			out.Printf("%d segments and the report are in %s\n", copied, folder)
			return out.Err()
		},
	}
	c.Flags().StringVar(&folder, "into", "", "a folder; created if it does not exist")
	markRequired(c, "into")
	return c
}

func (f *incidentFlags) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use: "diff FIRST SECOND", Short: "Compare two incidents, each a folder of segments", Args: usage(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var analyses [2]*incident.Analysis
			for i, dir := range args {
				flags := *f
				flags.dirs = []string{dir}
				analysis, err := flags.read(cmd)
				if err != nil {
					return err
				}
				analyses[i] = analysis
			}
			return report.Diff(cmd.OutOrStdout(), incident.Diff(analyses[0], analyses[1]))
		},
	}
}

// writeFile creates a file and writes its content with a function.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}

// read collects the records and analyses them. Faults in the records are printed to standard error.
func (f *incidentFlags) read(cmd *cobra.Command) (*incident.Analysis, error) {
	if len(f.dirs)+len(f.rings) == 0 {
		return nil, &exit{exitUsage, errors.New("--records or --ring: one of them is required")}
	}
	streams, found, err := collect.Read(f.dirs...)
	if err != nil {
		return nil, &exit{exitUsage, err}
	}
	for _, addr := range f.rings {
		stream, err := readRing(cmd.Context(), addr)
		if err != nil {
			cmd.PrintErrf("records: %s: %v\n", addr, err) // the other brokers are still worth reading
			continue
		}
		streams = append(streams, stream)
		found.Frames++
	}
	for _, fault := range found.Faults {
		cmd.PrintErrln("records:", fault)
	}
	if found.Frames == 0 {
		return nil, &exit{exitUsage, fmt.Errorf("%v: no records", append(f.dirs, f.rings...))}
	}
	options := f.analysisOptions()
	analysis := incident.Analyse(streams, options)
	if f.from == "" && f.to == "" {
		return analysis, nil
	}
	// Times of the day count from the day of the records, which the first analysis tells.
	if options.From, err = parseMoment(f.from, analysis.From, options.From); err != nil {
		return nil, &exit{exitUsage, err}
	}
	if options.To, err = parseMoment(f.to, analysis.From, options.To); err != nil {
		return nil, &exit{exitUsage, err}
	}
	return incident.Analyse(streams, options), nil
}

func (f *incidentFlags) analysisOptions() incident.Options {
	options := incident.DefaultOptions()
	options.SlowFactor = f.slow
	options.SurgeFactor = f.surge
	options.NotificationTime = clock.FromDuration(f.notice)
	options.MaxClockSkew = clock.FromDuration(f.clocks)
	if !f.ended {
		options.Now = clock.Micros(time.Now().UnixMicro())
	}
	return options
}

// ringTimeout bounds the transfer of a broker's records in memory.
const ringTimeout = 10 * time.Second

// maxRingBytes bounds the size of a broker's records in memory.
const maxRingBytes = 1 << 30

// readRing reads the records that a broker keeps in memory.
func readRing(ctx context.Context, addr string) (*incident.Stream, error) {
	client, err := control.Dial(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, ringTimeout)
	defer cancel()
	segment, err := client.Records(ctx, maxRingBytes)
	if err != nil {
		return nil, err
	}
	return collect.Bytes(segment)
}

// parseMoment returns a time. The text is RFC 3339, a time of the day on which onDay lies, or empty, which means the default.
func parseMoment(text string, onDay, byDefault clock.Micros) (clock.Micros, error) {
	if text == "" {
		return byDefault, nil
	}
	if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return clock.Micros(t.UnixMicro()), nil
	}
	t, err := time.Parse("15:04:05.999999", text)
	if err != nil {
		return 0, fmt.Errorf("%q is neither RFC 3339 nor HH:MM:SS", text)
	}
	day := time.UnixMicro(int64(onDay)).UTC()
	moment := time.Date(day.Year(), day.Month(), day.Day(), t.Hour(), t.Minute(), t.Second(), t.Nanosecond(), time.UTC)
	return clock.Micros(moment.UnixMicro()), nil
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
