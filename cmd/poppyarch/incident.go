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
	dirs             []string // segment folders or single segments
	rings            []string // control endpoints of brokers that keep their records in memory
	from             string
	to               string
	assumeEnded      bool
	slowFactor       float64
	surgeFactor      float64
	notificationTime time.Duration
	maxClockSkew     time.Duration
}

// incidentCommand returns `poppyarch incident`.
func incidentCommand() *cobra.Command {
	f := &incidentFlags{}
	c := &cobra.Command{
		Use: "incident", Short: "Analyse brokers' records and report the incidents in them",
		Long: "Reads the segments of any number of brokers, including dead ones, and derives episodes, the bounds of their start and\n" +
			"end times, their impact, and what is unknown. Only brokers whose configuration has a record key write segments.",
	}
	flags := c.PersistentFlags()
	flags.StringArrayVarP(&f.dirs, "records", "r", nil, "a folder of segments, or one segment; may be repeated")
	flags.StringArrayVar(&f.rings, "ring", nil, "unix:PATH or HOST:PORT of the control endpoint of a broker that records in memory; may be repeated")
	flags.StringVar(&f.from, "from", "", "report only what overlaps the time range that starts here: RFC 3339, or HH:MM:SS in UTC on the day of the first record")
	flags.StringVar(&f.to, "to", "", "end of that time range, in the same formats")
	flags.BoolVar(&f.assumeEnded, "ended", false, "treat brokers without a final record as dead, however fresh their records are")
	flags.Float64Var(&f.slowFactor, "slow", 3, "a node counts as slow from this multiple of its usual median latency")
	flags.Float64Var(&f.surgeFactor, "surge", 4, "a volume counts as surging from this multiple of its usual request rate")
	flags.DurationVar(&f.notificationTime, "notice", 500*time.Millisecond, "time within which a revision of the node list reaches every broker")
	flags.DurationVar(&f.maxClockSkew, "clocks", time.Second, "maximum difference between the wall clocks of machines")
	c.AddCommand(f.reportCommand(), f.listCommand(), f.showCommand(), f.exportCommand(), f.diffCommand())
	return c
}

// defaultReportTitle is the title of a report's HTML page.
const defaultReportTitle = "Incident report"

func (f *incidentFlags) reportCommand() *cobra.Command {
	var htmlPath, format, title string
	c := &cobra.Command{
		Use: "report", Short: "Write the full report as text, JSON or one HTML page", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			analysis, err := f.analyse(cmd)
			if err != nil {
				return err
			}
			if htmlPath != "" {
				return writeFile(htmlPath, func(out io.Writer) error { return report.HTML(out, analysis, title) })
			}
			switch format {
			case "text":
				return report.Text(cmd.OutOrStdout(), analysis)
			case "json":
				return report.JSON(cmd.OutOrStdout(), analysis)
			case "html":
				return report.HTML(cmd.OutOrStdout(), analysis, title)
			}
			return &exitError{exitUsage, fmt.Errorf("--format: %q is none of text, json, html", format)}
		},
	}
	c.Flags().StringVarP(&htmlPath, "output", "o", "", "write the HTML page to this file")
	c.Flags().StringVar(&format, "format", "text", "format of the report on standard output: text, json or html")
	c.Flags().StringVar(&title, "title", defaultReportTitle, "title of the HTML page")
	return c
}

func (f *incidentFlags) listCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the episodes", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			analysis, err := f.analyse(cmd)
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
		Use: "show NUMBER", Short: "Show one episode with its evidence", Args: checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, err := strconv.Atoi(args[0])
			if err != nil {
				return &exitError{exitUsage, fmt.Errorf("episode %q: not a number", args[0])}
			}
			analysis, err := f.analyse(cmd)
			if err != nil {
				return err
			}
			if err := report.WriteEpisode(cmd.OutOrStdout(), analysis, id); err != nil {
				return &exitError{exitUsage, err}
			}
			return nil
		},
	}
}

func (f *incidentFlags) exportCommand() *cobra.Command {
	var folder string
	c := &cobra.Command{
		Use: "export --into FOLDER", Short: "Copy the segments and write the report in every format next to them", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			analysis, err := f.analyse(cmd)
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
	c.Flags().StringVar(&folder, "into", "", "destination folder; created if it does not exist")
	markRequired(c, "into")
	return c
}

func (f *incidentFlags) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use: "diff FIRST SECOND", Short: "Compare two incidents, each a folder of segments", Args: checkArgs(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var analyses [2]*incident.Analysis
			for i, dir := range args {
				flags := *f
				flags.dirs = []string{dir}
				analysis, err := flags.analyse(cmd)
				if err != nil {
					return err
				}
				analyses[i] = analysis
			}
			return report.Diff(cmd.OutOrStdout(), incident.Diff(analyses[0], analyses[1]))
		},
	}
}

// writeFile creates a file and calls write to fill it.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}

// analyse reads the records and analyses them. Faults in the records are printed to standard error.
func (f *incidentFlags) analyse(cmd *cobra.Command) (*incident.Analysis, error) {
	if len(f.dirs)+len(f.rings) == 0 {
		return nil, &exitError{exitUsage, errors.New("no records given: use --records or --ring")}
	}
	streams, found, err := collect.Read(f.dirs...)
	if err != nil {
		return nil, &exitError{exitUsage, err}
	}
	for _, addr := range f.rings {
		stream, err := readRing(cmd.Context(), addr)
		if err != nil {
			cmd.PrintErrf("records: %s: %v\n", addr, err) // the records of the other brokers are still read
			continue
		}
		streams = append(streams, stream)
		found.Frames++
	}
	for _, fault := range found.Faults {
		cmd.PrintErrln("records:", fault)
	}
	if found.Frames == 0 {
		return nil, &exitError{exitUsage, fmt.Errorf("no records found in %v", append(f.dirs, f.rings...))}
	}
	options := f.analysisOptions()
	analysis := incident.Analyse(streams, options)
	if f.from == "" && f.to == "" {
		return analysis, nil
	}
	// A time without a date is on the day of the first record, which only an analysis of all records tells.
	if options.From, err = parseTime(f.from, analysis.From, options.From); err != nil {
		return nil, &exitError{exitUsage, err}
	}
	if options.To, err = parseTime(f.to, analysis.From, options.To); err != nil {
		return nil, &exitError{exitUsage, err}
	}
	return incident.Analyse(streams, options), nil
}

func (f *incidentFlags) analysisOptions() incident.Options {
	options := incident.DefaultOptions()
	options.SlowFactor = f.slowFactor
	options.SurgeFactor = f.surgeFactor
	options.NotificationTime = clock.FromDuration(f.notificationTime)
	options.MaxClockSkew = clock.FromDuration(f.maxClockSkew)
	if !f.assumeEnded {
		options.Now = clock.Micros(time.Now().UnixMicro())
	}
	return options
}

// ringTimeout bounds the transfer of the records that a broker keeps in memory.
const ringTimeout = 10 * time.Second

// maxRingBytes bounds the size of the records that a broker keeps in memory.
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
	return collect.DecodeStream(segment)
}

// parseTime parses RFC 3339, or a time of day in UTC on the day of referenceTime. An empty text gives defaultTime.
func parseTime(text string, referenceTime, defaultTime clock.Micros) (clock.Micros, error) {
	if text == "" {
		return defaultTime, nil
	}
	if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return clock.Micros(t.UnixMicro()), nil
	}
	t, err := time.Parse("15:04:05.999999", text)
	if err != nil {
		return 0, fmt.Errorf("time %q is neither RFC 3339 nor HH:MM:SS", text)
	}
	day := time.UnixMicro(int64(referenceTime)).UTC()
	moment := time.Date(day.Year(), day.Month(), day.Day(), t.Hour(), t.Minute(), t.Second(), t.Nanosecond(), time.UTC)
	return clock.Micros(moment.UnixMicro()), nil
}

// copySegments copies all segments under dirs into a folder and returns their number. Each copy's name begins with the
// index of its folder in dirs, since segments of different folders can have the same name.
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
