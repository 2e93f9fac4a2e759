// Package chart draws what experiments showed: figures with their intervals over what was varied, and courses over time. It stands apart
// from the broker, whose binary has no use for fonts.
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

// Point is one figure at one place.
type Point struct {
	X float64
	Y statistics.Figure
}

// Series is a line of points. Where two neighbours have no figure between them the line has a gap and nothing is drawn through it.
type Series struct {
	Name   string
	Points []Point
}

// Band is a stretch of the x axis in which something went on.
type Band struct {
	From, To float64
	Name     string
}

// Chart is one picture.
type Chart struct {
	Title, X, Y string
	Series      []Series
	Bands       []Band
	Names       []string // of the places 0, 1, ... of an axis that has no numbers
	LogX        bool     // the places are set apart by their ratios
	Zero        bool     // the y axis begins at 0
	Curve       bool     // courses of many points: no marks, the interval as an area
}

// Formats are those that Draw knows.
var Formats = []string{"svg", "png", "pdf"}

const mostSeries = 8 // that can be told apart

// Check reports what cannot be drawn.
func (c *Chart) Check() error {
	if len(c.Series) == 0 {
		return fmt.Errorf("chart %q: no series", c.Title)
	}
	if len(c.Series) > mostSeries {
		return fmt.Errorf("chart %q: %d series, more than the %d that can be told apart", c.Title, len(c.Series), mostSeries)
	}
	known := false
	for _, s := range c.Series {
		for _, p := range s.Points {
			if math.IsNaN(p.X) || math.IsInf(p.X, 0) || c.LogX && p.X <= 0 {
				return fmt.Errorf("chart %q: series %s: x of %v cannot be drawn", c.Title, s.Name, p.X)
			}
			known = known || drawable(p.Y.Mean)
		}
	}
	if !known {
		return fmt.Errorf("chart %q: no point has a figure", c.Title)
	}
	return nil
}

func drawable(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// bars are points with the intervals that are known.
type bars struct {
	plotter.XYs
	plotter.YErrors
}

// runs cuts a series where a figure is missing.
func (s *Series) runs() (out [][]Point) {
	var run []Point
	for _, p := range append(slices.Clone(s.Points), Point{Y: statistics.Figure{Mean: math.NaN()}}) {
		if drawable(p.Y.Mean) {
			run = append(run, p)
			continue
		}
		if len(run) > 0 {
			out = append(out, run)
		}
		run = nil
	}
	return out
}

func half(f statistics.Figure) float64 {
	if drawable(f.Half) {
		return f.Half
	}
	return 0
}

// Draw gives the picture in a format, in points of 1/72 inch.
func (c *Chart) Draw(format string, width, height float64) ([]byte, error) {
	if !slices.Contains(Formats, format) {
		return nil, fmt.Errorf("format %q is unknown; there are %s", format, strings.Join(Formats, ", "))
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
	if err := c.bands(p); err != nil {
		return nil, err
	}
	colors, err := palette(len(c.Series))
	if err != nil {
		return nil, err
	}
	for i := range c.Series {
		if err := c.add(p, &c.Series[i], i, colors[i]); err != nil {
			return nil, fmt.Errorf("chart %q: %w", c.Title, err)
		}
	}
	c.axes(p)
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
		return nil, fmt.Errorf("colours for %d series: %w", n, err)
	}
	return p.Colors(), nil
}

// add draws one series: its line, its marks, its intervals.
func (c *Chart) add(p *plot.Plot, s *Series, i int, col color.Color) error {
	var thumbs []plot.Thumbnailer
	for _, run := range s.runs() {
		at := bars{make(plotter.XYs, len(run)), make(plotter.YErrors, len(run))}
		for k, q := range run {
			at.XYs[k] = plotter.XY{X: c.beside(q.X, i), Y: q.Y.Mean}
			at.YErrors[k].Low, at.YErrors[k].High = half(q.Y), half(q.Y)
		}
		if c.Curve {
			area, err := area(at, col)
			if err != nil {
				return err
			}
			p.Add(area)
		} else {
			e, err := plotter.NewYErrorBars(at)
			if err != nil {
				return err
			}
			e.Color, e.CapWidth = col, vg.Points(5)
			p.Add(e)
		}
		line, err := plotter.NewLine(at.XYs)
		if err != nil {
			return err
		}
		line.Color, line.Width = col, vg.Points(1.4)
		p.Add(line)
		thumbs = []plot.Thumbnailer{line}
		if !c.Curve {
			marks, err := plotter.NewScatter(at.XYs)
			if err != nil {
				return err
			}
			marks.Color, marks.Radius, marks.Shape = col, vg.Points(3), shapes[i%len(shapes)]
			p.Add(marks)
			thumbs = append(thumbs, marks)
		}
	}
	if thumbs != nil && s.Name != "" {
		p.Legend.Add(s.Name, thumbs...)
	}
	return nil
}

// beside sets the points of several series at one place a little apart, or their intervals would hide each other.
func (c *Chart) beside(x float64, i int) float64 {
	xs := c.xs()
	if c.Curve || len(xs) < 2 {
		return x
	}
	part := 0.012 * (float64(i) - float64(len(c.Series)-1)/2)
	if c.LogX {
		return x * math.Pow(xs[len(xs)-1]/xs[0], part)
	}
	return x + part*(xs[len(xs)-1]-xs[0])
}

// shapes tell the series apart where colours do not.
var shapes = []draw.GlyphDrawer{draw.CircleGlyph{}, draw.BoxGlyph{}, draw.TriangleGlyph{}, draw.PyramidGlyph{}, draw.RingGlyph{}, draw.SquareGlyph{}, draw.CrossGlyph{}, draw.PlusGlyph{}}

// area is the interval of a course.
func area(at bars, col color.Color) (*plotter.Polygon, error) {
	ring := make(plotter.XYs, 0, 2*len(at.XYs))
	for k, q := range at.XYs {
		ring = append(ring, plotter.XY{X: q.X, Y: q.Y + at.YErrors[k].High})
	}
	for k := len(at.XYs) - 1; k >= 0; k-- {
		ring = append(ring, plotter.XY{X: at.XYs[k].X, Y: at.XYs[k].Y - at.YErrors[k].Low})
	}
	poly, err := plotter.NewPolygon(ring)
	if err != nil {
		return nil, err
	}
	r, g, b, _ := col.RGBA()
	poly.Color = color.NRGBA{uint8(r >> 8), uint8(g >> 8), uint8(b >> 8), 45}
	poly.Width = 0
	return poly, nil
}

// span is what the figures and their intervals take of the y axis.
func (c *Chart) span() (low, high float64) {
	low, high = math.Inf(1), math.Inf(-1)
	for _, s := range c.Series {
		for _, q := range s.Points {
			if drawable(q.Y.Mean) {
				low, high = min(low, q.Y.Mean-half(q.Y)), max(high, q.Y.Mean+half(q.Y))
			}
		}
	}
	if c.Zero {
		low, high = min(low, 0), max(high, 0)
	}
	if high == low {
		low, high = low-0.5, high+0.5
	}
	return low, high
}

// bands are drawn behind all else, each with its name at the foot.
func (c *Chart) bands(p *plot.Plot) error {
	if len(c.Bands) == 0 {
		return nil
	}
	low, high := c.span()
	for i, b := range c.Bands {
		poly, err := plotter.NewPolygon(plotter.XYs{{X: b.From, Y: low}, {X: b.From, Y: high}, {X: b.To, Y: high}, {X: b.To, Y: low}})
		if err != nil {
			return fmt.Errorf("chart %q: band %s: %w", c.Title, b.Name, err)
		}
		poly.Color = color.NRGBA{120, 120, 120, 35}
		poly.Width = 0
		p.Add(poly)
		// Names of bands that overlap stand above each other.
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

func (c *Chart) axes(p *plot.Plot) {
	low, high := c.span()
	room := 0.06 * (high - low)
	p.Y.Min, p.Y.Max = low-room, high+room*(2+1.2*float64(len(c.Series))) // the legend stands there
	if c.Zero && low == 0 {
		p.Y.Min = 0
	}
	p.Y.Tick.Marker = steps{}
	if c.LogX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, places(c.xs())
	}
	if c.Names != nil {
		p.NominalX(c.Names...)
		p.X.Min, p.X.Max = -0.4, float64(len(c.Names))-0.6
	}
}

// xs are the places, each once, in order.
func (c *Chart) xs() (out []float64) {
	for _, s := range c.Series {
		for _, q := range s.Points {
			out = append(out, q.X)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// places are ticks at the very places that were played: between them nothing is known.
type places []float64

// Ticks is plot.Ticker.
func (t places) Ticks(_, _ float64) (out []plot.Tick) {
	for _, x := range t {
		out = append(out, plot.Tick{Value: x, Label: fmt.Sprintf("%.4g", x)})
	}
	return out
}

// steps are ticks at round figures, five to ten of them.
type steps struct{}

// Ticks is plot.Ticker.
func (steps) Ticks(low, high float64) (out []plot.Tick) {
	step := math.Pow(10, math.Floor(math.Log10((high-low)/2)))
	for _, by := range []float64{0.1, 0.2, 0.5, 1} {
		if (high-low)/(step*by) <= 10 {
			step *= by
			break
		}
	}
	digits := max(0, int(math.Ceil(-math.Log10(step)-1e-9)))
	for k := math.Ceil(low / step); k*step <= high; k++ {
		out = append(out, plot.Tick{Value: k * step, Label: strconv.FormatFloat(k*step+0, 'f', digits, 64)})
	}
	return out
}
