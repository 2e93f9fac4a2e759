// Package statistics estimates means with confidence intervals. Successive values of one run are not independent; the
// means of batches of them nearly are, and so are the results of runs with different seeds.
package statistics

import (
	"encoding/json"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is the mean of a sample with its 95 % confidence interval.
type Estimate struct {
	Mean      float64 `json:"mean"`
	HalfWidth float64 `json:"half"` // of the interval; infinite with fewer than two values
	N         int     `json:"n"`    // number of values
}

func (f Estimate) String() string { return f.format("%.*f") }

// Signed is String with a sign for a positive mean too, for differences.
func (f Estimate) Signed() string { return f.format("%+.*f") }

// format writes two significant digits of the interval, and the mean to the same decimal place: further digits are not
// significant.
func (f Estimate) format(mean string) string {
	size := f.HalfWidth
	if !(size > 0) || math.IsInf(size, 1) {
		size = math.Abs(f.Mean) / 100
	}
	digits := 0
	if size > 0 {
		digits = min(max(0, 1-int(math.Floor(math.Log10(size)))), 9)
	}
	text := fmt.Sprintf(mean, digits, f.Mean)
	if math.IsInf(f.HalfWidth, 1) {
		return text
	}
	return text + fmt.Sprintf(" ± %.*f", digits, f.HalfWidth)
}

// MarshalJSON writes null for infinite values and NaN, which JSON cannot represent.
func (f Estimate) MarshalJSON() ([]byte, error) {
	finiteOrNil := func(v float64) *float64 {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return nil
		}
		return &v
	}
	return json.Marshal(struct {
		Mean      *float64 `json:"mean"`
		HalfWidth *float64 `json:"half"`
		N         int      `json:"n"`
	}{finiteOrNil(f.Mean), finiteOrNil(f.HalfWidth), f.N})
}

// Contains reports whether x lies within the interval.
func (f Estimate) Contains(x float64) bool { return math.Abs(x-f.Mean) <= f.HalfWidth }

// EstimateMean returns the mean of independent values with the confidence interval of Student's t-distribution.
func EstimateMean(values []float64) Estimate {
	n := len(values)
	if n == 0 {
		return Estimate{Mean: math.NaN(), HalfWidth: math.Inf(1)}
	}
	mean, dev := meanAndDeviation(values)
	f := Estimate{Mean: mean, HalfWidth: math.Inf(1), N: n}
	if n > 1 {
		t := distuv.StudentsT{Sigma: 1, Nu: float64(n - 1)}.Quantile(0.975)
		f.HalfWidth = t * dev / math.Sqrt(float64(n))
	}
	return f
}

// PairedDifference returns the mean of the pairwise differences a[i]-b[i]. The difference of two designs under the same
// load varies less than the result of each does from run to run, which makes the interval narrower.
func PairedDifference(a, b []float64) (Estimate, error) {
	if len(a) != len(b) {
		return Estimate{}, fmt.Errorf("paired differences: %d values cannot be paired with %d", len(a), len(b))
	}
	diff := make([]float64, len(a))
	for i := range a {
		diff[i] = a[i] - b[i]
	}
	return EstimateMean(diff), nil
}

// BatchMeans collects the values of a run in batches of equal duration (the method of batch means).
type BatchMeans struct {
	from, length int64     // start of the first batch, duration of each
	sum          []float64 // of the values, by batch
	count        []int     // number of values, by batch
}

// NewBatchMeans divides an interval of time into n batches. Values from before it, the warm-up period, are not counted.
func NewBatchMeans(from, to int64, n int) *BatchMeans {
	return &BatchMeans{from: from, length: max((to-from)/int64(n), 1), sum: make([]float64, n), count: make([]int, n)}
}

// Add adds a value observed at a time.
func (b *BatchMeans) Add(at int64, v float64) {
	if k := (at - b.from) / b.length; at >= b.from && int(k) < len(b.sum) {
		b.sum[k] += v
		b.count[k]++
	}
}

// Mean returns the mean of the batches' means. Batches without a value are left out.
func (b *BatchMeans) Mean() Estimate {
	means := make([]float64, 0, len(b.sum))
	for k, s := range b.sum {
		if b.count[k] > 0 {
			means = append(means, s/float64(b.count[k]))
		}
	}
	return EstimateMean(means)
}

// Rate returns the number of values per second.
func (b *BatchMeans) Rate() Estimate {
	rates := make([]float64, len(b.count))
	for k, n := range b.count {
		rates[k] = float64(n) * 1e6 / float64(b.length)
	}
	return EstimateMean(rates)
}

// TimeAverage is the time average of a quantity such as the length of a queue.
type TimeAverage struct {
	b     *BatchMeans // sums are integrals of the quantity over the batch
	at    int64       // time up to which the quantity is integrated
	value float64     // at present
}

// NewTimeAverage returns the average of a quantity that is 0 at first, over n batches.
func NewTimeAverage(from, to int64, n int) *TimeAverage {
	return &TimeAverage{b: NewBatchMeans(from, to, n)}
}

// Add changes the quantity by a difference at a time.
func (l *TimeAverage) Add(at int64, by float64) {
	l.integrate(at)
	l.value += by
}

// integrate adds the integral up to a time to the batches.
func (l *TimeAverage) integrate(at int64) {
	if l.value == 0 { // a short cut: most nodes are idle most of the time
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

// Mean returns the mean over time up to the end of the run.
func (l *TimeAverage) Mean(until int64) Estimate {
	l.integrate(until)
	means := make([]float64, len(l.b.sum))
	for k, area := range l.b.sum {
		means[k] = area / float64(l.b.length)
	}
	return EstimateMean(means)
}
