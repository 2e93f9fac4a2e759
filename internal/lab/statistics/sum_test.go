package statistics

import (
	"math"
	"testing"
)

// sequence returns n values whose sum depends on the order of the additions.
func sequence(n int) []float64 {
	values := make([]float64, n)
	for i := range values {
		values[i] = 1 / float64(i+3)
	}
	return values
}

// The bits are those that gonum's routines for x86-64 give, with which earlier versions computed.
func TestMeansHaveTheSameDigitsOnEveryArchitecture(t *testing.T) {
	for _, x := range []struct {
		n              int
		sum, deviation uint64
	}{
		{2, 0x3fe2aaaaaaaaaaaa, 0x3fae2b7dddfefa64},
		{3, 0x3fe9111111111110, 0x3fb13e57da86961a},
		{5, 0x3ff17c57c57c57c5, 0x3fb361e9cd66e255},
		{7, 0x3ff5437437437438, 0x3fb43a497b437f12},
		{20, 0x400186c918ea9d00, 0x3fb3862c947c8d4f},
		{39, 0x40066c6848f54d10, 0x3fb1179119fdd3b7},
	} {
		values := sequence(x.n)
		if got := math.Float64bits(sum(values)); got != x.sum {
			t.Errorf("sum of %d values is %#x, want %#x", x.n, got, x.sum)
		}
		mean, deviation := meanAndDeviation(values)
		if want := math.Float64frombits(x.sum) / float64(x.n); mean != want {
			t.Errorf("mean of %d values is %v, want %v", x.n, mean, want)
		}
		if got := math.Float64bits(deviation); got != x.deviation {
			t.Errorf("deviation of %d values is %#x, want %#x", x.n, got, x.deviation)
		}
	}
}
