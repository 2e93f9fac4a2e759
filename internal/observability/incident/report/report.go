// Package report shows an analysis: as text, as JSON, and as one HTML page that needs nothing else. Gaps are drawn as
// gaps: no line runs through a time of which nothing is known.
package report

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"poppyarch/internal/observability/incident"
	"poppyarch/internal/textoutput"
)

// JSON writes the analysis for programs.
func JSON(w io.Writer, a *incident.Analysis) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(a)
}

// Text writes it for terminals.
func Text(w io.Writer, a *incident.Analysis) error {
	p := textoutput.NewPrinter(w)
	day := time.UnixMicro(a.From).UTC().Format("2006-01-02")
	p.Printf("%s, %s to %s UTC: %d brokers, %d nodes, %d events, %d episodes\n", day, incident.Clockface(a.From),
		incident.Clockface(a.To), len(a.Brokers), len(a.Nodes), a.Events, len(a.Episodes))
	if a.Sampled < 1 {
		p.Printf("requests were sampled, 1 in %.0f at the least: impacts count the recorded ones\n", 1/a.Sampled)
	}
	p.Section(func(w io.Writer) error { return printEpisodes(w, a.Episodes) })
	p.Println("\nwhat is not known:")
	p.Section(func(w io.Writer) error { return printUnknown(w, a.Knowledge) })
	p.Println("\nclocks, against the reference:")
	for _, c := range a.Clocks {
		p.Printf("  %s boot %s: %+.1f ms, give or take %.1f ms, %d list versions in common %s\n", c.Broker, c.Boot,
			milliseconds(c.Offset), milliseconds(c.Error), c.Shared, c.Text)
	}
	return p.Err()
}

func milliseconds(micros int64) float64 { return float64(micros) / 1000 }

func printEpisodes(w io.Writer, episodes []incident.Episode) error {
	t := textoutput.NewTable(w, "\nNO", "EPISODE", "WHO", "BEGIN", "END", "LASTED", "LATE", "REFUSED", "FAILED", "WORTH", "WITH")
	for i := range episodes {
		e := &episodes[i]
		end := e.End.Words()
		if e.Open {
			end = "still going on"
		}
		overlaps := strings.Trim(fmt.Sprint(e.Overlaps), "[]")
		t.Printf("%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.0f\t%s\n", e.ID, e.Kind, e.Subject, e.Begin.Words(), end, e.Took(),
			e.Impact.Late, e.Impact.Refused, e.Impact.Failed, e.Impact.Worth, overlaps)
	}
	return t.Flush()
}

// printUnknown lists the spans of time about which something is missing.
func printUnknown(w io.Writer, spans []incident.Span) error {
	t := textoutput.NewTable(w)
	unknown := 0
	for _, s := range spans {
		if s.State == incident.Known {
			continue
		}
		unknown++
		t.Printf("  %s\t%s\t%s to %s\t%s\n", s.Broker, s.State, incident.Clockface(s.From), incident.Clockface(s.To), describeGap(s))
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

// Show writes one episode with all that is known of it.
func Show(w io.Writer, a *incident.Analysis, id int) error {
	if id < 1 || id > len(a.Episodes) {
		return fmt.Errorf("episode %d: there are 1 to %d", id, len(a.Episodes))
	}
	e := &a.Episodes[id-1]
	p := textoutput.NewPrinter(w)
	p.Printf("%d  %s: %s\nbegin   %s\nend     %s\nlasted  %s\n", e.ID, e.Kind, e.Subject, e.Begin.Words(), e.End.Words(), e.Took())
	for _, evidence := range e.Evidence {
		p.Println("seen   ", evidence)
	}
	for _, doubt := range e.Doubt {
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
		t.Printf("%s\t%s\t%d\t%d\t%d\t%d\t%.0f\n", g.Class, g.Plan, g.Served, g.Late, g.Refused, g.Failed, g.Worth)
	}
	return t.Flush()
}

// Diff writes a comparison.
func Diff(w io.Writer, changes []incident.Change) error {
	t := textoutput.NewTable(w, "EPISODE", "WHO", "FIRST", "SECOND", "LATE", "REFUSED", "FAILED", "WORTH")
	for _, c := range changes {
		x, y := impact(c.First), impact(c.Second)
		t.Printf("%s\t%s\t%s\t%s\t%d > %d\t%d > %d\t%d > %d\t%.0f > %.0f\n", c.Kind, c.Who, duration(c.First), duration(c.Second),
			x.Late, y.Late, x.Refused, y.Refused, x.Failed, y.Failed, x.Worth, y.Worth)
	}
	return t.Flush()
}

// duration is how long an episode lasted; nil is one that the incident does not have.
func duration(e *incident.Episode) string {
	if e == nil {
		return "-"
	}
	return e.Took()
}

func impact(e *incident.Episode) incident.Impact {
	if e == nil {
		return incident.Impact{}
	}
	return e.Impact
}

// page is what the template gets.
type page struct {
	*incident.Analysis
	Title   string
	Span    string
	Width   int
	Left    int
	Height  int
	Lanes   []lane
	Ticks   []tick
	Latency plot
	Answers plot
	Dim     int
}

type lane struct {
	Name  string
	Y     int
	Bars  []bar
	Label int
}

type bar struct {
	X, W  float64
	Y, H  int
	Class string
	Title string
	ID    int
	Fuzzy float64 // width of the uncertain begin
	Tail  float64 // and end
}

type tick struct {
	X    float64
	Text string
}

// plot is lines over the seconds, each in pieces: a piece ends where nothing is known.
type plot struct {
	Title string
	Lines []line
	Max   string
	Blind []bar
	H     int
}

type line struct {
	Name   string
	Class  string
	Pieces []string // points
}

const (
	width  = 1180
	left   = 150
	laneH  = 22
	plotH  = 120
	labelY = 15
)

// HTML writes the page.
func HTML(w io.Writer, a *incident.Analysis, title string) error {
	p := &page{Analysis: a, Title: title, Width: width, Left: left, Dim: width - left - 10}
	p.Span = time.UnixMicro(a.From).UTC().Format("2006-01-02") + ", " + incident.Clockface(a.From) + " to " + incident.Clockface(a.To) + " UTC"
	total := max(a.To-a.From, 1)
	x := func(t int64) float64 {
		t = min(max(t, a.From), a.To)
		return left + float64(t-a.From)/float64(total)*float64(p.Dim)
	}
	y := 4
	add := func(name string, bars []bar) {
		for i := range bars {
			bars[i].Y, bars[i].H = y+3, laneH-6
		}
		p.Lanes = append(p.Lanes, lane{Name: name, Y: y, Bars: bars, Label: y + labelY})
		y += laneH
	}
	episode := func(e *incident.Episode) bar {
		b := bar{X: x(e.Begin.Lo), ID: e.ID, Class: "k-" + strings.ReplaceAll(string(e.Kind), " ", "-"),
			Title: fmt.Sprintf("%d  %s: %s\nbegin %s\nend %s\nlasted %s", e.ID, e.Kind, e.Subject, e.Begin.Words(), e.End.Words(), e.Took())}
		b.W = max(x(e.End.Hi)-b.X, 3)
		b.Fuzzy = x(e.Begin.Hi) - b.X
		b.Tail = max(x(e.End.Hi)-x(e.End.Lo), 0)
		return b
	}
	for _, name := range a.Brokers {
		var bars []bar
		for _, s := range a.Knowledge {
			if s.Broker == name {
				bars = append(bars, bar{X: x(s.From), W: max(x(s.To)-x(s.From), 1), Class: "s-" + strings.ReplaceAll(string(s.State), " ", "-"),
					Title: fmt.Sprintf("%s: %s\n%s to %s\n%s", name, s.State, incident.Clockface(s.From), incident.Clockface(s.To), s.Text)})
			}
		}
		for i := range a.Episodes {
			if e := &a.Episodes[i]; e.Subject == name && e.Kind == incident.BrokerDrain {
				bars = append(bars, episode(e))
			}
		}
		add(name, bars)
	}
	for _, name := range a.Nodes {
		var bars []bar
		for i := range a.Episodes {
			if e := &a.Episodes[i]; e.Subject == name {
				bars = append(bars, episode(e))
			}
		}
		add(name, bars)
	}
	var rest []string
	for i := range a.Episodes {
		e := &a.Episodes[i]
		if !slices.Contains(a.Brokers, e.Subject) && !slices.Contains(a.Nodes, e.Subject) && !slices.Contains(rest, e.Subject) {
			rest = append(rest, e.Subject)
		}
	}
	for _, name := range rest {
		var bars []bar
		for i := range a.Episodes {
			if e := &a.Episodes[i]; e.Subject == name {
				bars = append(bars, episode(e))
			}
		}
		add(name, bars)
	}
	p.Height = y + 24
	step := int64(1_000_000)
	for total/step > 12 {
		switch {
		case fmt.Sprint(step)[0] == '1':
			step *= 2
		case fmt.Sprint(step)[0] == '2':
			step = step / 2 * 5
		default:
			step *= 2
		}
	}
	for t := (a.From/step + 1) * step; t < a.To; t += step {
		p.Ticks = append(p.Ticks, tick{x(t), time.UnixMicro(t).UTC().Format("15:04:05")})
	}
	p.Latency = draw(a, x, "Latency of what was served, ms", func(s incident.Second) []float64 {
		if s.Served == 0 {
			return nil
		}
		return []float64{float64(s.P50) / 1000, float64(s.P99) / 1000}
	}, "p50", "p99")
	p.Answers = draw(a, x, "Answers a second", func(s incident.Second) []float64 {
		return []float64{float64(s.Served), float64(s.Late), float64(s.Refused), float64(s.Failed)}
	}, "served", "late", "refused", "failed")
	return tmpl.Execute(w, p)
}

// draw makes a plot. A second of which no broker knows anything breaks every line; one that some know nothing of is
// shaded.
func draw(a *incident.Analysis, x func(int64) float64, title string, f func(incident.Second) []float64, names ...string) plot {
	p := plot{Title: title, H: plotH}
	most := 1.0
	for _, s := range a.Seconds {
		for _, v := range f(s) {
			most = max(most, v)
		}
	}
	p.Max = fmt.Sprintf("%.0f", most)
	for k, name := range names {
		l := line{Name: name, Class: "l-" + name}
		var piece strings.Builder
		flush := func() {
			if piece.Len() > 0 {
				l.Pieces = append(l.Pieces, strings.TrimSpace(piece.String()))
				piece.Reset()
			}
		}
		for _, s := range a.Seconds {
			v := f(s)
			if v == nil || s.Blind == len(a.Brokers) {
				flush()
				continue
			}
			px, py := x(s.At+500_000), float64(plotH)-v[k]/most*float64(plotH-8)
			fmt.Fprintf(&piece, "%.1f,%.1f ", px, py)
		}
		flush()
		p.Lines = append(p.Lines, l)
	}
	for _, s := range a.Seconds {
		if s.Blind > 0 {
			class := "blind-some"
			if s.Blind == len(a.Brokers) {
				class = "blind-all"
			}
			p.Blind = append(p.Blind, bar{X: x(s.At), W: max(x(s.At+1_000_000)-x(s.At), 1), H: plotH, Class: class,
				Title: fmt.Sprintf("%s: nothing is known of %d of %d brokers", incident.Clockface(s.At), s.Blind, len(a.Brokers))})
		}
	}
	return p
}

var tmpl = template.Must(template.New("page").Funcs(template.FuncMap{
	"clock": incident.Clockface,
	"join":  func(l []string) string { return strings.Join(l, "\n") },
	"plus":  func(a, b float64) float64 { return a + b },
	"minus": func(a, b float64) float64 { return a - b },
	"ms":    func(v int64) string { return fmt.Sprintf("%.1f", float64(v)/1000) },
	"pair": func(p plot, w int) any {
		return struct {
			P plot
			W int
		}{p, w}
	},
	"took": func(e incident.Episode) string { return e.Took() },
}).Parse(source))
