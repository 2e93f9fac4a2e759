package chart

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"

	"poppyarch/internal/lab/statistics"
)

// testSeries returns a series with the values ys at x = 1, 2, ...
func testSeries(name string, ys ...float64) Series {
	s := Series{Name: name}
	for i, y := range ys {
		s.Points = append(s.Points, Point{X: float64(i + 1), Y: statistics.Estimate{Mean: y, HalfWidth: 0.1, N: 3}})
	}
	return s
}

func TestDrawSupportsEveryFormat(t *testing.T) {
	c := &Chart{Title: "service", X: "brokers", Y: "service", Series: []Series{testSeries("module", 0.5, 0.6, 0.7), testSeries("two", 0.3, 0.2, 0.1)}, LogX: true}
	for format, prefix := range map[string]string{"svg": "<?xml", "png": "\x89PNG", "pdf": "%PDF"} {
		b, err := c.Draw(format, 300, 200)
		if err != nil || !bytes.HasPrefix(b, []byte(prefix)) {
			t.Errorf("%s: error %v, output begins with %q", format, err, b[:min(len(b), 8)])
		}
	}
	if _, err := c.Draw("gif", 300, 200); err == nil || !strings.Contains(err.Error(), "svg, png, pdf") {
		t.Errorf("gif: %v", err)
	}
}

// The same chart is always drawn to the same bytes, so that pages under version control change only if their values
// do.
func TestDrawIsDeterministic(t *testing.T) {
	c := &Chart{Title: "service over time", Curve: true, YFromZero: true, Series: []Series{testSeries("a", 1, 2, 3)}, Bands: []Band{{1, 2, "crash 0.5"}, {2, 3, "hot 0.1"}}}
	first, err := c.Draw("svg", 300, 200)
	if err != nil {
		t.Fatal(err)
	}
	second, err := c.Draw("svg", 300, 200)
	if err != nil || !bytes.Equal(first, second) {
		t.Errorf("the second drawing differs: error %v, %d and %d bytes", err, len(first), len(second))
	}
	if !bytes.Contains(first, []byte("crash 0.5")) {
		t.Error("the drawing lacks the name of the band")
	}
}

// No line is drawn through a point without a finite value, and an infinite interval is drawn as none.
func TestLineHasGapsAtMissingValues(t *testing.T) {
	s := testSeries("module", 0.5, math.NaN(), 0.7, 0.8)
	s.Points[0].Y.HalfWidth = math.Inf(1)
	if segments := s.segments(); len(segments) != 2 || len(segments[0]) != 1 || len(segments[1]) != 2 {
		t.Errorf("segments %v, want one of 1 point and one of 2", segments)
	}
	if _, err := (&Chart{Series: []Series{s}}).Draw("svg", 300, 200); err != nil {
		t.Error(err)
	}
}

func TestInvalidChartsAreRejected(t *testing.T) {
	tooMany := &Chart{}
	for i := range maxSeries + 1 {
		tooMany.Series = append(tooMany.Series, testSeries(fmt.Sprint(i), 1))
	}
	for name, c := range map[string]*Chart{
		"no series":       {},
		"no finite value": {Series: []Series{testSeries("a", math.NaN())}},
		"log axis with 0": {LogX: true, Series: []Series{{Points: []Point{{X: 0, Y: statistics.Estimate{Mean: 1}}}}}},
		"too many series": tooMany,
	} {
		if _, err := c.Draw("svg", 300, 200); err == nil {
			t.Errorf("%s: drawn, want an error", name)
		}
	}
}

func TestRoundTicks(t *testing.T) {
	for _, bounds := range [][2]float64{{0, 1}, {-0.03, 1.31}, {0, 4000}, {0.001, 0.0042}, {-7, 3}, {99, 101}} {
		ticks := roundTicks{}.Ticks(bounds[0], bounds[1])
		if len(ticks) < 3 || len(ticks) > 21 {
			t.Errorf("%v: %d ticks, want 3 to 21", bounds, len(ticks))
		}
		seen := map[string]bool{}
		for _, tick := range ticks {
			if seen[tick.Label] || tick.Value < bounds[0]-1e-9 || tick.Value > bounds[1]+1e-9 {
				t.Errorf("%v: tick %v %q is repeated or out of range", bounds, tick.Value, tick.Label)
			}
			seen[tick.Label] = true
		}
	}
}
