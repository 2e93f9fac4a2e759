package record

import "poppyarch/internal/observability/sketch"

// Quantiles summarises a latency, in microseconds.
type Quantiles struct {
	Count uint64
	P50   int64
	P99   int64
	Max   int64
}

// Of reads the quantiles of a sketch.
func Of(s *sketch.Sketch) Quantiles {
	return Quantiles{Count: s.Count(), P50: s.Quantile(0.5), P99: s.Quantile(0.99), Max: s.Max()}
}
