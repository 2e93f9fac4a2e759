package statistics

import (
	"encoding/json"
	"math"
	"testing"
)

// The interval of a single value is infinite and encoded as null. Paired differences leave out the variation that both
// samples share.
func TestEstimates(t *testing.T) {
	single := EstimateMean([]float64{3})
	if text, err := json.Marshal(single); err != nil || string(text) != `{"mean":3,"half":null,"n":1}` {
		t.Errorf("estimate of one value encoded as %s, %v", text, err)
	}
	if text, err := json.Marshal(EstimateMean(nil)); err != nil || string(text) != `{"mean":null,"half":null,"n":0}` {
		t.Errorf("estimate of no values encoded as %s, %v", text, err)
	}
	f := EstimateMean([]float64{1, 2, 3}) // Student's t for two degrees of freedom is 4.303, the standard deviation 1
	if math.Abs(f.HalfWidth-4.303/math.Sqrt(3)) > 1e-3 || !f.Contains(2) || f.Contains(5) {
		t.Errorf("estimate of 1, 2 and 3 is %v", f)
	}
	d, err := PairedDifference([]float64{11, 102, 1003}, []float64{10, 101, 1002})
	if err != nil || d.Mean != 1 || d.HalfWidth > 1e-9 {
		t.Errorf("paired difference is %v, %v, want 1 without an interval", d, err)
	}
	if _, err := PairedDifference([]float64{1}, nil); err == nil {
		t.Error("one value was paired with none")
	}
}

// Values from before the first batch, the warm-up, are not counted; the integral of a quantity is distributed over the
// batches that it extends over.
func TestBatchMeansAndTimeAverage(t *testing.T) {
	b := NewBatchMeans(100, 300, 2)
	for _, at := range []int64{50, 100, 150, 250, 300} {
		b.Add(at, float64(at))
	}
	if m := b.Mean(); m.Mean != (125+250)/2.0 || m.N != 2 {
		t.Errorf("mean of the batches is %v", m)
	}
	l := NewTimeAverage(100, 300, 2)
	l.Add(50, 2)
	l.Add(150, 2)
	l.Add(250, -4)
	if m := l.Mean(300); m.Mean != (3+2)/2.0 {
		t.Errorf("time average is %v", m)
	}
}
