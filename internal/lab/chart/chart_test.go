package chart

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"

	"poppyarch/internal/lab/statistics"
)

func line(name string, ys ...float64) Series {
	s := Series{Name: name}
	for i, y := range ys {
		s.Points = append(s.Points, Point{X: float64(i + 1), Y: statistics.Figure{Mean: y, Half: 0.1, N: 3}})
	}
	return s
}

func TestEveryFormat(t *testing.T) {
	c := &Chart{Title: "service", X: "brokers", Y: "service", Series: []Series{line("module", 0.5, 0.6, 0.7), line("two", 0.3, 0.2, 0.1)}, LogX: true}
	for format, begins := range map[string]string{"svg": "<?xml", "png": "\x89PNG", "pdf": "%PDF"} {
		b, err := c.Draw(format, 300, 200)
		if err != nil || !bytes.HasPrefix(b, []byte(begins)) {
			t.Errorf("%s: %v, begins with %q", format, err, b[:min(len(b), 8)])
		}
	}
	if _, err := c.Draw("gif", 300, 200); err == nil || !strings.Contains(err.Error(), "svg, png, pdf") {
		t.Errorf("gif: %v", err)
	}
}

// The same figures give the same bytes: pages under version control change only where their figures do.
func TestRepeats(t *testing.T) {
	c := &Chart{Title: "course", Curve: true, Zero: true, Series: []Series{line("a", 1, 2, 3)}, Bands: []Band{{1, 2, "crash 0.5"}, {2, 3, "hot 0.1"}}}
	one, err := c.Draw("svg", 300, 200)
	if err != nil {
		t.Fatal(err)
	}
	two, err := c.Draw("svg", 300, 200)
	if err != nil || !bytes.Equal(one, two) {
		t.Errorf("%v, %d and %d bytes", err, len(one), len(two))
	}
	if !bytes.Contains(one, []byte("crash 0.5")) {
		t.Error("the band has no name")
	}
}

// Nothing is drawn through a place that has no figure, and an interval that is not known is none.
func TestGapsStayGaps(t *testing.T) {
	s := line("module", 0.5, math.NaN(), 0.7, 0.8)
	s.Points[0].Y.Half = math.Inf(1)
	if runs := s.runs(); len(runs) != 2 || len(runs[0]) != 1 || len(runs[1]) != 2 {
		t.Errorf("%v", runs)
	}
	if _, err := (&Chart{Series: []Series{s}}).Draw("svg", 300, 200); err != nil {
		t.Error(err)
	}
}

func TestWhatCannotBeDrawn(t *testing.T) {
	many := &Chart{}
	for i := range mostSeries + 1 {
		many.Series = append(many.Series, line(fmt.Sprint(i), 1))
	}
	for name, c := range map[string]*Chart{
		"no series":   {},
		"no figure":   {Series: []Series{line("a", math.NaN())}},
		"log of none": {LogX: true, Series: []Series{{Points: []Point{{X: 0, Y: statistics.Figure{Mean: 1}}}}}},
		"too many":    many,
	} {
		if _, err := c.Draw("svg", 300, 200); err == nil {
			t.Errorf("%s: drawn", name)
		}
	}
}

func TestSteps(t *testing.T) {
	for _, r := range [][2]float64{{0, 1}, {-0.03, 1.31}, {0, 4000}, {0.001, 0.0042}, {-7, 3}, {99, 101}} {
		ticks := steps{}.Ticks(r[0], r[1])
		if len(ticks) < 3 || len(ticks) > 21 {
			t.Errorf("%v: %d ticks", r, len(ticks))
		}
		seen := map[string]bool{}
		for _, x := range ticks {
			if seen[x.Label] || x.Value < r[0]-1e-9 || x.Value > r[1]+1e-9 {
				t.Errorf("%v: tick %v %q", r, x.Value, x.Label)
			}
			seen[x.Label] = true
		}
	}
}
