// Package chart draws results of experiments: measures with their confidence intervals along a varied key, and values
// over time. It is kept apart from the broker because its drawing libraries bring fonts that the broker's binary does
// not need.
package chart

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/brewer"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"poppyarch/internal/lab/statistics"
)

// Point is a value with its interval at a position on the x axis.
type Point struct {
	X float64
	Y statistics.Estimate
}

// Series is a line of points. The line has a gap at a point without a finite value; nothing is drawn through it.
type Series struct {
	Name   string
	Points []Point
}

// Band marks a range of the x axis, such as the time of a fault.
type Band struct {
	From, To float64
	Name     string
}

// Chart describes a chart that Draw renders.
type Chart struct {
	Title, X, Y string
	Series      []Series
	Bands       []Band
	Categories  []string // labels of the x positions 0, 1, ... if the axis is not numeric
	LogX        bool     // the x axis is logarithmic
	YFromZero   bool     // the y axis includes 0
	Curve       bool     // draw many points as a line without marks, with the interval as a shaded area
}

// Formats are the file formats that Draw supports.
var Formats = []string{"svg", "png", "pdf"}

const maxSeries = 8 // the most that a reader can tell apart

// Check returns an error if the chart cannot be drawn.
func (c *Chart) Check() error {
	if len(c.Series) == 0 {
		return fmt.Errorf("chart %q has no series", c.Title)
	}
	if len(c.Series) > maxSeries {
		return fmt.Errorf("chart %q has %d series, at most %d are supported", c.Title, len(c.Series), maxSeries)
	}
	hasValue := false
	for _, s := range c.Series {
		for _, p := range s.Points {
			if math.IsNaN(p.X) || math.IsInf(p.X, 0) || c.LogX && p.X <= 0 {
				return fmt.Errorf("chart %q: series %s: x value %v cannot be drawn on this axis", c.Title, s.Name, p.X)
			}
			hasValue = hasValue || isFinite(p.Y.Mean)
		}
	}
	if !hasValue {
		return fmt.Errorf("chart %q: no point has a finite value", c.Title)
	}
	return nil
}

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// intervalPoints are points with error bars; an unknown interval has width 0.
type intervalPoints struct {
	plotter.XYs
	plotter.YErrors
}

// segments splits a series at points without a finite value.
func (s *Series) segments() (out [][]Point) {
	var segment []Point
	for _, p := range append(slices.Clone(s.Points), Point{Y: statistics.Estimate{Mean: math.NaN()}}) {
		if isFinite(p.Y.Mean) {
			segment = append(segment, p)
			continue
		}
		if len(segment) > 0 {
			out = append(out, segment)
		}
		segment = nil
	}
	return out
}

// halfWidth returns half the width of an estimate's interval, 0 if it is unknown.
func halfWidth(f statistics.Estimate) float64 {
	if isFinite(f.HalfWidth) {
		return f.HalfWidth
	}
	return 0
}

// Draw renders the chart. Width and height are in points of 1/72 inch.
func (c *Chart) Draw(format string, width, height float64) ([]byte, error) {
	if !slices.Contains(Formats, format) {
		return nil, fmt.Errorf("unknown format %q, want one of %s", format, strings.Join(Formats, ", "))
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	p := plot.New()
	for _, t := range []*text.Style{&p.Title.TextStyle, &p.X.Label.TextStyle, &p.Y.Label.TextStyle, &p.X.Tick.Label, &p.Y.Tick.Label, &p.Legend.TextStyle} {
		t.Font.Typeface, t.Font.Variant = "Liberation", "Sans"
	}
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.Title.Padding, p.Legend.Top, p.Legend.YOffs = vg.Points(6), true, vg.Points(-4)
	p.Legend.Padding = vg.Points(2)
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = color.Transparent, color.Gray{225}
	p.Add(grid)
	if err := c.addBands(p); err != nil {
		return nil, err
	}
	colors, err := palette(len(c.Series))
	if err != nil {
		return nil, err
	}
	for i := range c.Series {
		if err := c.addSeries(p, &c.Series[i], i, colors[i]); err != nil {
			return nil, fmt.Errorf("chart %q: %w", c.Title, err)
		}
	}
	c.configureAxes(p)
	w, err := p.WriterTo(vg.Points(width), vg.Points(height), format)
	if err != nil {
		return nil, fmt.Errorf("chart %q: %w", c.Title, err)
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("chart %q: %w", c.Title, err)
	}
	return b.Bytes(), nil
}

func palette(n int) ([]color.Color, error) {
	p, err := brewer.GetPalette(brewer.TypeQualitative, "Dark2", max(n, 3))
	if err != nil {
		return nil, fmt.Errorf("colour palette for %d series: %w", n, err)
	}
	return p.Colors(), nil
}

// addSeries draws one series: its line, marks and intervals.
func (c *Chart) addSeries(p *plot.Plot, s *Series, i int, col color.Color) error {
	var legend []plot.Thumbnailer
	for _, segment := range s.segments() {
		points := intervalPoints{make(plotter.XYs, len(segment)), make(plotter.YErrors, len(segment))}
		for k, q := range segment {
			points.XYs[k] = plotter.XY{X: c.offsetX(q.X, i), Y: q.Y.Mean}
			points.YErrors[k].Low, points.YErrors[k].High = halfWidth(q.Y), halfWidth(q.Y)
		}
		if c.Curve {
			area, err := intervalArea(points, col)
			if err != nil {
				return err
			}
			p.Add(area)
		} else {
			e, err := plotter.NewYErrorBars(points)
			if err != nil {
				return err
			}
			e.Color, e.CapWidth = col, vg.Points(5)
			p.Add(e)
		}
		line, err := plotter.NewLine(points.XYs)
		if err != nil {
			return err
		}
		line.Color, line.Width = col, vg.Points(1.4)
		p.Add(line)
		legend = []plot.Thumbnailer{line}
		if !c.Curve {
			marks, err := plotter.NewScatter(points.XYs)
			if err != nil {
				return err
			}
			marks.Color, marks.Radius, marks.Shape = col, vg.Points(3), markShapes[i%len(markShapes)]
			p.Add(marks)
			legend = append(legend, marks)
		}
	}
	if legend != nil && s.Name != "" {
		p.Legend.Add(s.Name, legend...)
	}
	return nil
}

// offsetX shifts the points of each series a little, so that intervals at the same x value do not hide each other.
func (c *Chart) offsetX(x float64, i int) float64 {
	xs := c.distinctX()
	if c.Curve || len(xs) < 2 {
		return x
	}
	shift := 0.012 * (float64(i) - float64(len(c.Series)-1)/2)
	if c.LogX {
		return x * math.Pow(xs[len(xs)-1]/xs[0], shift)
	}
	return x + shift*(xs[len(xs)-1]-xs[0])
}

// markShapes distinguish the series where colours cannot.
var markShapes = []draw.GlyphDrawer{draw.CircleGlyph{}, draw.BoxGlyph{}, draw.TriangleGlyph{}, draw.PyramidGlyph{}, draw.RingGlyph{}, draw.SquareGlyph{}, draw.CrossGlyph{}, draw.PlusGlyph{}}

// intervalArea returns the shaded area between the lower and upper ends of the intervals.
func intervalArea(points intervalPoints, col color.Color) (*plotter.Polygon, error) {
	outline := make(plotter.XYs, 0, 2*len(points.XYs))
	for k, q := range points.XYs {
		outline = append(outline, plotter.XY{X: q.X, Y: q.Y + points.YErrors[k].High})
	}
	for k := len(points.XYs) - 1; k >= 0; k-- {
		outline = append(outline, plotter.XY{X: points.XYs[k].X, Y: points.XYs[k].Y - points.YErrors[k].Low})
	}
	poly, err := plotter.NewPolygon(outline)
	if err != nil {
		return nil, err
	}
	r, g, b, _ := col.RGBA()
	poly.Color = color.NRGBA{uint8(r >> 8), uint8(g >> 8), uint8(b >> 8), 45}
	poly.Width = 0
	return poly, nil
}

// yRange returns the range of the y axis that the values and their intervals cover.
func (c *Chart) yRange() (low, high float64) {
	low, high = math.Inf(1), math.Inf(-1)
	for _, s := range c.Series {
		for _, q := range s.Points {
			if isFinite(q.Y.Mean) {
				low, high = min(low, q.Y.Mean-halfWidth(q.Y)), max(high, q.Y.Mean+halfWidth(q.Y))
			}
		}
	}
	if c.YFromZero {
		low, high = min(low, 0), max(high, 0)
	}
	if high == low {
		low, high = low-0.5, high+0.5
	}
	return low, high
}

// addBands draws the bands behind the series, each with its name at the lower edge.
func (c *Chart) addBands(p *plot.Plot) error {
	if len(c.Bands) == 0 {
		return nil
	}
	low, high := c.yRange()
	for i, b := range c.Bands {
		poly, err := plotter.NewPolygon(plotter.XYs{{X: b.From, Y: low}, {X: b.From, Y: high}, {X: b.To, Y: high}, {X: b.To, Y: low}})
		if err != nil {
			return fmt.Errorf("chart %q: band %s: %w", c.Title, b.Name, err)
		}
		poly.Color = color.NRGBA{120, 120, 120, 35}
		poly.Width = 0
		p.Add(poly)
		// The names are staggered in height, so that those of overlapping bands stay readable.
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: b.From, Y: low + (high-low)*0.045*float64(i%6)}}, Labels: []string{b.Name}})
		if err != nil {
			return fmt.Errorf("chart %q: band %s: %w", c.Title, b.Name, err)
		}
		for k := range labels.TextStyle {
			labels.TextStyle[k].Color, labels.TextStyle[k].Font.Size = color.Gray{90}, vg.Points(8)
			labels.TextStyle[k].Font.Variant = "Sans"
		}
		p.Add(labels)
	}
	return nil
}

func (c *Chart) configureAxes(p *plot.Plot) {
	low, high := c.yRange()
	margin := 0.06 * (high - low)
	p.Y.Min, p.Y.Max = low-margin, high+margin*(2+1.2*float64(len(c.Series))) // leaves space for the legend at the top
	if c.YFromZero && low == 0 {
		p.Y.Min = 0
	}
	p.Y.Tick.Marker = roundTicks{}
	if c.LogX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, pointTicks(c.distinctX())
	}
	if c.Categories != nil {
		p.NominalX(c.Categories...)
		p.X.Min, p.X.Max = -0.4, float64(len(c.Categories))-0.6
	}
}

// distinctX returns the x values of all series, sorted and without duplicates.
func (c *Chart) distinctX() (out []float64) {
	for _, s := range c.Series {
		for _, q := range s.Points {
			out = append(out, q.X)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// pointTicks sets ticks only at the x values that were run; nothing is known between them.
type pointTicks []float64

// Ticks implements plot.Ticker.
func (t pointTicks) Ticks(_, _ float64) (out []plot.Tick) {
	for _, x := range t {
		out = append(out, plot.Tick{Value: x, Label: fmt.Sprintf("%.4g", x)})
	}
	return out
}

// roundTicks sets about five to ten ticks at round values.
type roundTicks struct{}

// Ticks implements plot.Ticker.
func (roundTicks) Ticks(low, high float64) (out []plot.Tick) {
	step := math.Pow(10, math.Floor(math.Log10((high-low)/2)))
	for _, factor := range []float64{0.1, 0.2, 0.5, 1} {
		if (high-low)/(step*factor) <= 10 {
			step *= factor
			break
		}
	}
	digits := max(0, int(math.Ceil(-math.Log10(step)-1e-9)))
	for k := math.Ceil(low / step); k*step <= high; k++ {
		out = append(out, plot.Tick{Value: k * step, Label: strconv.FormatFloat(k*step+0, 'f', digits, 64)})
	}
	return out
}
