// Package sketch provides a mergeable quantile sketch, an index of sketches over time, and a counter of the most
// frequent keys. Values are integers of at least 0, such as microseconds.
package sketch

import (
	"math"
	"math/bits"
)

// subBits sets the accuracy: the range between two powers of two is divided into 2^subBits buckets, so that the
// relative error of a quantile is at most 1/2^(subBits+1), below 0.8 %.
const subBits = 6

const (
	subBuckets = 1 << subBits
	buckets    = (64 - subBits + 1) * subBuckets
)

// Sketch counts values in buckets whose width grows with the value. The zero value is an empty sketch. Its memory
// depends on the range of the values, not on their number.
type Sketch struct {
	first  int      // bucket number of counts[0]
	counts []uint64 // number of values per bucket, from the lowest bucket in use to the highest
	n      uint64   // number of values
	sum    float64
	max    int64
}

// bucket returns the bucket number of a value. Each value below 2^subBits has its own bucket; above, bucket widths grow
// logarithmically.
func bucket(v int64) int {
	if v < subBuckets {
		return int(max(v, 0))
	}
	e := bits.Len64(uint64(v)) - subBits - 1
	return e*subBuckets + int(v>>e)
}

// midpoint returns the midpoint of a bucket.
func midpoint(b int) int64 {
	if b < 2*subBuckets {
		return int64(b)
	}
	e := b/subBuckets - 1
	low := int64(b-e*subBuckets) << e
	return low + (int64(1)<<e)/2
}

// Add counts a value.
func (s *Sketch) Add(v int64) { s.AddN(v, 1) }

// AddN counts a value n times.
func (s *Sketch) AddN(v int64, n uint64) {
	if n == 0 {
		return
	}
	b := bucket(v)
	s.extend(b, b)
	s.counts[b-s.first] += n
	s.n += n
	s.sum += float64(v) * float64(n)
	s.max = max(s.max, v)
}

// extend grows counts to cover the buckets from lo to hi.
func (s *Sketch) extend(lo, hi int) {
	if len(s.counts) == 0 {
		s.first = lo
	}
	if lo < s.first {
		grown := make([]uint64, s.first-lo+len(s.counts), s.first-lo+len(s.counts)+8)
		copy(grown[s.first-lo:], s.counts)
		s.first, s.counts = lo, grown
	}
	for hi >= s.first+len(s.counts) {
		s.counts = append(s.counts, 0)
	}
}

// Merge adds the values of another sketch.
func (s *Sketch) Merge(o *Sketch) {
	if o.n == 0 {
		return
	}
	s.extend(o.first, o.first+len(o.counts)-1)
	for i, c := range o.counts {
		s.counts[o.first-s.first+i] += c
	}
	s.n += o.n
	s.sum += o.sum
	s.max = max(s.max, o.max)
}

// Reset empties the sketch and keeps its memory for reuse.
func (s *Sketch) Reset() {
	clear(s.counts)
	s.counts, s.n, s.sum, s.max = s.counts[:0], 0, 0, 0
}

// Count returns the number of values.
func (s *Sketch) Count() uint64 { return s.n }

// Max returns the greatest value. It is exact.
func (s *Sketch) Max() int64 { return s.max }

// Mean returns the mean, without bucket error; 0 if there are no values.
func (s *Sketch) Mean() float64 {
	if s.n == 0 {
		return 0
	}
	return s.sum / float64(s.n)
}

// Quantile returns the q-quantile: the value that a fraction q of the values does not exceed. It is 0 if there are no
// values.
func (s *Sketch) Quantile(q float64) int64 {
	if s.n == 0 {
		return 0
	}
	rank := uint64(math.Ceil(q * float64(s.n)))
	rank = min(max(rank, 1), s.n)
	if rank == s.n {
		return s.max
	}
	seen := uint64(0)
	for i, c := range s.counts {
		if seen += c; seen >= rank {
			return min(midpoint(s.first+i), s.max)
		}
	}
	return s.max
}
