package report

import (
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"poppyarch/internal/observability/incident"
	"poppyarch/internal/timing/clock"
)

// Sizes of the page's drawings, in pixels.
const (
	pageWidth    = 1180
	labelWidth   = 150 // width of the labels left of the lanes
	rightMargin  = 10
	laneHeight   = 22
	laneGap      = 3  // space above and below a bar
	labelOffset  = 15 // from a lane's top to the baseline of its label
	topMargin    = 4
	axisHeight   = 24
	minBarWidth  = 3
	minSpanWidth = 1
)

// secondMicros is a second in microseconds.
const secondMicros = clock.Micros(1_000_000)

// page is the data of the template, which refers to its fields by name.
type page struct {
	*incident.Analysis
	Title     string
	Span      string
	Width     int
	Left      int
	Height    int
	Lanes     []lane
	Ticks     []tick
	Latency   plot
	Responses plot
	LaneWidth int // width of the lanes, without their labels
}

// lane is a row of the timeline.
type lane struct {
	Name   string
	Y      int
	Bars   []bar
	LabelY int // y of the label's baseline
}

// bar is a time span in a lane or a plot.
type bar struct {
	X              float64
	W              float64
	Y              int
	H              int
	Class          string
	Title          string
	ID             int     // ID of the episode; 0 if the bar does not show an episode
	UncertainBegin float64 // width of the part in which the begin may lie
	UncertainEnd   float64 // width of the part in which the end may lie
}

// tick is a mark on the time axis.
type tick struct {
	X    float64
	Text string
}

// HTML writes the analysis as an HTML page.
func HTML(w io.Writer, a *incident.Analysis, title string) error {
	p := &page{
		Analysis:  a,
		Title:     title,
		Span:      describeSpan(a),
		Width:     pageWidth,
		Left:      labelWidth,
		LaneWidth: pageWidth - labelWidth - rightMargin,
	}
	axis := timeAxis{from: a.From, to: a.To, width: p.LaneWidth}
	t := &timeline{analysis: a, axis: axis, y: topMargin}
	t.addBrokers()
	t.addNodes()
	t.addOtherSubjects()
	p.Lanes = t.lanes
	p.Height = t.y + axisHeight
	p.Ticks = axis.ticks()
	p.Latency = latencyPlot(a, axis)
	p.Responses = responsePlot(a, axis)
	return pageTemplate.Execute(w, p)
}

func describeSpan(a *incident.Analysis) string {
	day := time.UnixMicro(int64(a.From)).UTC().Format("2006-01-02")
	return day + ", " + incident.FormatTime(a.From) + " to " + incident.FormatTime(a.To) + " UTC"
}

// timeAxis maps times to positions on the page.
type timeAxis struct {
	from  clock.Micros
	to    clock.Micros
	width int // pixels
}

func (x timeAxis) span() clock.Micros { return max(x.to-x.from, 1) }

// position returns the x of a time on the page. Times outside the axis are moved to its nearer end.
func (x timeAxis) position(at clock.Micros) float64 {
	at = min(max(at, x.from), x.to)
	return labelWidth + float64(at-x.from)/float64(x.span())*float64(x.width)
}

// maxTicks is the maximum number of marks on the time axis.
const maxTicks = 12

// ticks returns marks at round intervals: 1, 2 or 5 times a power of ten, in seconds.
func (x timeAxis) ticks() []tick {
	step := secondMicros
	for factor := 0; x.span()/step > maxTicks; factor++ {
		if factor%3 == 1 {
			step = step / 2 * 5
		} else {
			step *= 2
		}
	}
	var ticks []tick
	for at := (x.from/step + 1) * step; at < x.to; at += step {
		ticks = append(ticks, tick{X: x.position(at), Text: time.UnixMicro(int64(at)).UTC().Format("15:04:05")})
	}
	return ticks
}

// timeline builds the lanes, one below the other.
type timeline struct {
	analysis *incident.Analysis
	axis     timeAxis
	y        int // y of the next lane
	lanes    []lane
}

func (t *timeline) add(name string, bars []bar) {
	for i := range bars {
		bars[i].Y = t.y + laneGap
		bars[i].H = laneHeight - 2*laneGap
	}
	t.lanes = append(t.lanes, lane{Name: name, Y: t.y, Bars: bars, LabelY: t.y + labelOffset})
	t.y += laneHeight
}

// addBrokers adds a lane for each broker, with the state of its records and its drains.
func (t *timeline) addBrokers() {
	for _, name := range t.analysis.Brokers {
		var bars []bar
		for _, s := range t.analysis.Knowledge {
			if s.Broker == name {
				bars = append(bars, t.knowledgeBar(s))
			}
		}
		drains := t.episodeBars(func(e *incident.Episode) bool { return e.Subject == name && e.Kind == incident.BrokerDrain })
		t.add(name, append(bars, drains...))
	}
}

func (t *timeline) addNodes() {
	for _, name := range t.analysis.Nodes {
		t.add(name, t.episodeBars(func(e *incident.Episode) bool { return e.Subject == name }))
	}
}

// addOtherSubjects adds a lane for each subject of episodes that is neither a broker nor a node.
func (t *timeline) addOtherSubjects() {
	var subjects []string
	for i := range t.analysis.Episodes {
		subject := t.analysis.Episodes[i].Subject
		if !slices.Contains(t.analysis.Brokers, subject) && !slices.Contains(t.analysis.Nodes, subject) && !slices.Contains(subjects, subject) {
			subjects = append(subjects, subject)
		}
	}
	for _, name := range subjects {
		t.add(name, t.episodeBars(func(e *incident.Episode) bool { return e.Subject == name }))
	}
}

func (t *timeline) knowledgeBar(s incident.Span) bar {
	return bar{
		X:     t.axis.position(s.From),
		W:     max(t.axis.position(s.To)-t.axis.position(s.From), minSpanWidth),
		Class: "s-" + cssName(string(s.State)),
		Title: fmt.Sprintf("%s: %s\n%s to %s\n%s", s.Broker, s.State, incident.FormatTime(s.From), incident.FormatTime(s.To), s.Text),
	}
}

func (t *timeline) episodeBars(selected func(*incident.Episode) bool) []bar {
	var bars []bar
	for i := range t.analysis.Episodes {
		e := &t.analysis.Episodes[i]
		if !selected(e) {
			continue
		}
		x := t.axis.position(e.Begin.Earliest)
		bars = append(bars, bar{
			X:              x,
			W:              max(t.axis.position(e.End.Latest)-x, minBarWidth),
			ID:             e.ID,
			Class:          "k-" + cssName(string(e.Kind)),
			Title:          fmt.Sprintf("%d  %s: %s\nbegin %s\nend %s\nlasted %s", e.ID, e.Kind, e.Subject, e.Begin.Format(), e.End.Format(), e.FormatDuration()),
			UncertainBegin: t.axis.position(e.Begin.Latest) - x,
			UncertainEnd:   max(t.axis.position(e.End.Latest)-t.axis.position(e.End.Earliest), 0),
		})
	}
	return bars
}

func cssName(s string) string { return strings.ReplaceAll(s, " ", "-") }

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"clock": incident.FormatTime,
	"join":  func(l []string) string { return strings.Join(l, "\n") },
	"plus":  func(a, b float64) float64 { return a + b },
	"minus": func(a, b float64) float64 { return a - b },
	"ms":    func(v clock.Micros) string { return fmt.Sprintf("%.1f", float64(v)/1000) },
	"pair": func(p plot, w int) any {
		return struct {
			P plot
			W int
		}{p, w}
	},
	"duration": func(e incident.Episode) string { return e.FormatDuration() },
}).Parse(pageSource))
