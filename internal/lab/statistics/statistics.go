// Package statistics turns what a run shows into figures with intervals. One run's values follow each other and are not
// independent; batches of them nearly are, and so are runs of different seeds.
package statistics

import (
	"encoding/json"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Figure is a mean, and how far the true one may lie from it at 95 in 100. Half is infinite where one value is all there is.
type Figure struct {
	Mean float64 `json:"mean"`
	Half float64 `json:"half"`
	N    int     `json:"n"`
}

func (f Figure) String() string { return f.format("%.*f") }

// Signed is String with a sign also where the mean is above 0, as a difference has it.
func (f Figure) Signed() string { return f.format("%+.*f") }

// format writes two digits of the interval, and the mean to the same place: further ones say nothing.
func (f Figure) format(mean string) string {
	size := f.Half
	if !(size > 0) || math.IsInf(size, 1) {
		size = math.Abs(f.Mean) / 100
	}
	digits := 0
	if size > 0 {
		digits = min(max(0, 1-int(math.Floor(math.Log10(size)))), 9)
	}
	text := fmt.Sprintf(mean, digits, f.Mean)
	if math.IsInf(f.Half, 1) {
		return text
	}
	return text + fmt.Sprintf(" ± %.*f", digits, f.Half)
}

// MarshalJSON writes null for what is not known: JSON has no word for it.
func (f Figure) MarshalJSON() ([]byte, error) {
	known := func(v float64) *float64 {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return nil
		}
		return &v
	}
	return json.Marshal(struct {
		Mean *float64 `json:"mean"`
		Half *float64 `json:"half"`
		N    int      `json:"n"`
	}{known(f.Mean), known(f.Half), f.N})
}

// Holds reports whether x lies within the interval.
func (f Figure) Holds(x float64) bool { return math.Abs(x-f.Mean) <= f.Half }

// Of is the figure of independent values.
func Of(values []float64) Figure {
	n := len(values)
	if n == 0 {
		return Figure{Mean: math.NaN(), Half: math.Inf(1)}
	}
	mean, dev := stat.MeanStdDev(values, nil)
	f := Figure{Mean: mean, Half: math.Inf(1), N: n}
	if n > 1 {
		t := distuv.StudentsT{Sigma: 1, Nu: float64(n - 1)}.Quantile(0.975)
		f.Half = t * dev / math.Sqrt(float64(n))
	}
	return f
}

// Paired is the figure of a's differences from b, value by value: two designs that met the same clients differ by less than
// each differs from run to run.
func Paired(a, b []float64) (Figure, error) {
	if len(a) != len(b) {
		return Figure{}, fmt.Errorf("paired figures: %d values against %d", len(a), len(b))
	}
	diff := make([]float64, len(a))
	for i := range a {
		diff[i] = a[i] - b[i]
	}
	return Of(diff), nil
}

// Batches gathers a run's values into batches by time.
type Batches struct {
	from, length int64
	sum          []float64
	count        []int
}

// NewBatches divides the time from one moment to another into n batches. What lies before is warming up and not counted.
func NewBatches(from, to int64, n int) *Batches {
	return &Batches{from: from, length: max((to-from)/int64(n), 1), sum: make([]float64, n), count: make([]int, n)}
}

// Add takes a value at a time.
func (b *Batches) Add(at int64, v float64) {
	if k := (at - b.from) / b.length; at >= b.from && int(k) < len(b.sum) {
		b.sum[k] += v
		b.count[k]++
	}
}

// Mean is the mean value, by the means of the batches.
func (b *Batches) Mean() Figure {
	means := make([]float64, 0, len(b.sum))
	for k, s := range b.sum {
		if b.count[k] > 0 {
			means = append(means, s/float64(b.count[k]))
		}
	}
	return Of(means)
}

// Rate is how many values came a second.
func (b *Batches) Rate() Figure {
	rates := make([]float64, len(b.count))
	for k, n := range b.count {
		rates[k] = float64(n) * 1e6 / float64(b.length)
	}
	return Of(rates)
}

// Level is a quantity over time, such as a queue's length. Its batches hold its area.
type Level struct {
	b     *Batches
	at    int64
	value float64
}

// NewLevel is a level of 0 that is averaged over batches.
func NewLevel(from, to int64, n int) *Level { return &Level{b: NewBatches(from, to, n)} }

// Add changes the level at a time.
func (l *Level) Add(at int64, by float64) {
	l.upTo(at)
	l.value += by
}

func (l *Level) upTo(at int64) {
	if l.value == 0 { // most nodes stand idle most of the time; there is no area to spread
		l.at = at
		return
	}
	for l.at < at {
		k := int64(-1)
		if l.at >= l.b.from {
			k = (l.at - l.b.from) / l.b.length
		}
		end := min(l.b.from+(k+1)*l.b.length, at)
		if k >= 0 && int(k) < len(l.b.sum) {
			l.b.sum[k] += l.value * float64(end-l.at)
		} else if k >= 0 {
			end = at
		}
		l.at = end
	}
}

// Mean is the level's mean over time up to the end.
func (l *Level) Mean(until int64) Figure {
	l.upTo(until)
	means := make([]float64, len(l.b.sum))
	for k, area := range l.b.sum {
		means[k] = area / float64(l.b.length)
	}
	return Of(means)
}
