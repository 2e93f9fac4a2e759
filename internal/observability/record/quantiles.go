package record

import (
	"poppyarch/internal/observability/sketch"
	"poppyarch/internal/timing/clock"
)

// Quantiles summarizes a latency distribution.
type Quantiles struct {
	Count uint64
	P50   clock.Micros
	P99   clock.Micros
	Max   clock.Micros
}

// QuantilesOf returns the quantiles of a sketch of latencies in microseconds.
func QuantilesOf(s *sketch.Sketch) Quantiles {
	return Quantiles{
		Count: s.Count(),
		P50:   clock.Micros(s.Quantile(0.5)),
		P99:   clock.Micros(s.Quantile(0.99)),
		Max:   clock.Micros(s.Max()),
	}
}
