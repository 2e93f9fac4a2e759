package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"poppyarch/internal/observability/incident"
	"poppyarch/internal/textoutput"
	"poppyarch/internal/timing/clock"
)

// JSON writes the analysis as JSON.
func JSON(w io.Writer, a *incident.Analysis) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(a)
}

// Text writes the analysis as plain text.
func Text(w io.Writer, a *incident.Analysis) error {
	p := textoutput.NewPrinter(w)
	day := time.UnixMicro(int64(a.From)).UTC().Format("2006-01-02")
	p.Printf("%s, %s to %s UTC: %d brokers, %d nodes, %d events, %d episodes\n", day, incident.FormatTime(a.From),
		incident.FormatTime(a.To), len(a.Brokers), len(a.Nodes), a.Events, len(a.Episodes))
	if a.SampleFraction < 1 {
		p.Printf("requests were sampled, 1 in %.0f at the least: impacts count the recorded ones\n", 1/a.SampleFraction)
	}
	p.Section(func(w io.Writer) error { return printEpisodes(w, a.Episodes) })
	p.Println("\nwhat is not known:")
	p.Section(func(w io.Writer) error { return printUnknown(w, a.Knowledge) })
	p.Println("\nclocks, against the reference:")
	for _, c := range a.Clocks {
		p.Printf("  %s boot %s: %+.1f ms, give or take %.1f ms, %d list versions in common %s\n", c.Broker, c.IncarnationID,
			milliseconds(c.Offset), milliseconds(c.Error), c.SharedRevisions, c.Text)
	}
	return p.Err()
}

func milliseconds(micros clock.Micros) float64 { return float64(micros) / 1000 }

func printEpisodes(w io.Writer, episodes []incident.Episode) error {
	t := textoutput.NewTable(w, "\nNO", "EPISODE", "WHO", "BEGIN", "END", "LASTED", "LATE", "REFUSED", "FAILED", "WORTH", "WITH")
	for i := range episodes {
		e := &episodes[i]
		end := e.End.Format()
		if e.Open {
			end = "still going on"
		}
		overlaps := strings.Trim(fmt.Sprint(e.Overlaps), "[]")
		t.Printf("%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.0f\t%s\n", e.ID, e.Kind, e.Subject, e.Begin.Format(), end, e.FormatDuration(),
			e.Impact.Late, e.Impact.Rejected, e.Impact.Failed, e.Impact.WeightLost, overlaps)
	}
	return t.Flush()
}

// printUnknown lists the time spans of which records are missing or incomplete.
func printUnknown(w io.Writer, spans []incident.Span) error {
	t := textoutput.NewTable(w)
	unknown := 0
	for _, s := range spans {
		if s.State == incident.Known {
			continue
		}
		unknown++
		t.Printf("  %s\t%s\t%s to %s\t%s\n", s.Broker, s.State, incident.FormatTime(s.From), incident.FormatTime(s.To), describeGap(s))
	}
	if unknown == 0 {
		t.Println("  nothing")
	}
	return t.Flush()
}

func describeGap(s incident.Span) string {
	if s.Events == 0 {
		return s.Text
	}
	unit := "events"
	if s.State == incident.Damaged {
		unit = "bytes"
	}
	return fmt.Sprintf("%d %s; %s", s.Events, unit, s.Text)
}

// WriteEpisode writes one episode with its evidence, uncertainties, overlaps and impact.
func WriteEpisode(w io.Writer, a *incident.Analysis, id int) error {
	if id < 1 || id > len(a.Episodes) {
		return fmt.Errorf("episode %d not found: the analysis has %d episodes", id, len(a.Episodes))
	}
	e := &a.Episodes[id-1]
	p := textoutput.NewPrinter(w)
	p.Printf("%d  %s: %s\nbegin   %s\nend     %s\nlasted  %s\n", e.ID, e.Kind, e.Subject, e.Begin.Format(), e.End.Format(), e.FormatDuration())
	for _, evidence := range e.Evidence {
		p.Println("seen   ", evidence)
	}
	for _, doubt := range e.Uncertainties {
		p.Println("doubt   a bound falls into a gap:", doubt)
	}
	for _, overlap := range e.Overlaps {
		p.Printf("with    %d  %s: %s\n", overlap, a.Episodes[overlap-1].Kind, a.Episodes[overlap-1].Subject)
	}
	p.Section(func(w io.Writer) error { return printImpact(w, e.Impact.Groups) })
	return p.Err()
}

func printImpact(w io.Writer, groups []incident.GroupImpact) error {
	t := textoutput.NewTable(w, "\nCLASS", "PLAN", "SERVED", "LATE", "REFUSED", "FAILED", "WORTH LOST")
	for _, g := range groups {
		t.Printf("%s\t%s\t%d\t%d\t%d\t%d\t%.0f\n", g.Class, g.Plan, g.Served, g.Late, g.Rejected, g.Failed, g.WeightLost)
	}
	return t.Flush()
}

// Diff writes a comparison of two analyses.
func Diff(w io.Writer, changes []incident.Change) error {
	t := textoutput.NewTable(w, "EPISODE", "WHO", "FIRST", "SECOND", "LATE", "REFUSED", "FAILED", "WORTH")
	for _, c := range changes {
		x, y := impact(c.First), impact(c.Second)
		t.Printf("%s\t%s\t%s\t%s\t%d > %d\t%d > %d\t%d > %d\t%.0f > %.0f\n", c.Kind, c.Subject, duration(c.First), duration(c.Second),
			x.Late, y.Late, x.Rejected, y.Rejected, x.Failed, y.Failed, x.WeightLost, y.WeightLost)
	}
	return t.Flush()
}

// duration formats how long an episode lasted; "-" if e is nil because the analysis has no such episode.
func duration(e *incident.Episode) string {
	if e == nil {
		return "-"
	}
	return e.FormatDuration()
}

// impact returns the impact of an episode; zero if e is nil.
func impact(e *incident.Episode) incident.Impact {
	if e == nil {
		return incident.Impact{}
	}
	return e.Impact
}
