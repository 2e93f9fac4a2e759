// Package sketch has a quantile sketch that can be merged, and an index of sketches over time. Values are whole and
// not negative, such as microseconds.
package sketch

import (
	"encoding/binary"
	"errors"
	"math"
	"math/bits"
)

// subBits sets the accuracy: each power of two is cut into 2^subBits buckets, so that a quantile is off by at most
// 1/2^(subBits+1) of itself, under 0.8 %.
const subBits = 6

const (
	sub     = 1 << subBits
	buckets = (64 - subBits + 1) * sub
)

// Sketch counts values in buckets whose width grows with the value. The zero value is empty. It costs memory for the
// span of values seen and not for their number.
type Sketch struct {
	first  int      // bucket of counts[0]
	counts []uint64 // from the least to the greatest seen
	n      uint64
	sum    float64
	max    int64
}

// bucket is exact below 2^subBits and logarithmic above. It takes a shift and no logarithm.
func bucket(v int64) int {
	if v < sub {
		return int(max(v, 0))
	}
	e := bits.Len64(uint64(v)) - subBits - 1
	return e*sub + int(v>>e)
}

// middle is the value that stands for a bucket.
func middle(b int) int64 {
	if b < 2*sub {
		return int64(b)
	}
	e := b/sub - 1
	low := int64(b-e*sub) << e
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
	s.reach(b, b)
	s.counts[b-s.first] += n
	s.n += n
	s.sum += float64(v) * float64(n)
	s.max = max(s.max, v)
}

// reach makes room for buckets from lo to hi.
func (s *Sketch) reach(lo, hi int) {
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

// Merge adds all that o has counted.
func (s *Sketch) Merge(o *Sketch) {
	if o.n == 0 {
		return
	}
	s.reach(o.first, o.first+len(o.counts)-1)
	for i, c := range o.counts {
		s.counts[o.first-s.first+i] += c
	}
	s.n += o.n
	s.sum += o.sum
	s.max = max(s.max, o.max)
}

// Reset empties it and keeps its memory.
func (s *Sketch) Reset() {
	clear(s.counts)
	s.counts, s.n, s.sum, s.max = s.counts[:0], 0, 0, 0
}

// Count is how many values were counted.
func (s *Sketch) Count() uint64 { return s.n }

// Max is the greatest, exactly.
func (s *Sketch) Max() int64 { return s.max }

// Mean is exact but for rounding.
func (s *Sketch) Mean() float64 {
	if s.n == 0 {
		return 0
	}
	return s.sum / float64(s.n)
}

// Quantile is the value that a share q of the values does not exceed; 0 where there are none.
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
			return min(middle(s.first+i), s.max)
		}
	}
	return s.max
}

// Append writes it in a compact form.
func (s *Sketch) Append(b []byte) []byte {
	b = binary.AppendUvarint(b, s.n)
	if s.n == 0 {
		return b
	}
	b = binary.AppendUvarint(b, uint64(s.max))
	b = binary.AppendUvarint(b, math.Float64bits(s.sum))
	b = binary.AppendUvarint(b, uint64(s.first))
	b = binary.AppendUvarint(b, uint64(len(s.counts)))
	for i := 0; i < len(s.counts); i++ { // a zero is followed by how many more follow
		b = binary.AppendUvarint(b, s.counts[i])
		if s.counts[i] == 0 {
			run := 0
			for i+1 < len(s.counts) && s.counts[i+1] == 0 {
				run++
				i++
			}
			b = binary.AppendUvarint(b, uint64(run))
		}
	}
	return b
}

var errForm = errors.New("sketch: cannot be read")

// Read reads what Append wrote into s and returns the rest.
func (s *Sketch) Read(b []byte) ([]byte, error) {
	s.Reset()
	bad := false
	next := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			bad = true
			return 0
		}
		b = b[n:]
		return v
	}
	n := next()
	if bad || n == 0 {
		if bad {
			return nil, errForm
		}
		return b, nil
	}
	s.max, s.sum = int64(next()), math.Float64frombits(next())
	first, length := next(), next()
	if bad || first >= buckets || length > buckets || length == 0 {
		return nil, errForm
	}
	s.first = int(first)
	total := uint64(0)
	for i := uint64(0); i < length; i++ {
		c := next()
		s.counts = append(s.counts, c)
		total += c
		if c == 0 {
			run := next()
			if bad || run > length-i-1 {
				return nil, errForm
			}
			for range run {
				s.counts = append(s.counts, 0)
			}
			i += run
		}
	}
	s.n = n
	if bad || total != n {
		s.Reset()
		return nil, errForm
	}
	return b, nil
}

// Index answers for quantiles over any span of time. It keeps sketches of slots and of doublings of them, so that a span
// takes a few merges and not a look at every slot in it. Each value is added to one sketch a level when the next level's
// block is complete, not when it comes.
type Index struct {
	Width  int64 // of a slot
	base   int64 // slot number of levels[0][0]
	levels [][]*Sketch
	done   []int // blocks of each level that are complete in the level above
}

// NewIndex returns an index with slots of so much time.
func NewIndex(width int64) *Index { return &Index{Width: width} }

// Add counts a value at a time. Times may come in any order; one that lies more than a thousand slots before the first
// is counted with the earliest slot.
func (x *Index) Add(at, v int64) {
	slot := at / x.Width
	if len(x.levels) == 0 {
		x.base = slot &^ (1<<10 - 1)
		x.levels = [][]*Sketch{nil}
	}
	k := slot - x.base
	if k < 0 {
		k = 0 // before everything: kept with the first rather than lost
	}
	for l := range x.levels {
		if l > 0 && int(k>>l) >= x.done[l-1] {
			break // that block is not built yet
		}
		for int64(len(x.levels[l])) <= k>>l {
			x.levels[l] = append(x.levels[l], nil)
		}
		if x.levels[l][k>>l] == nil {
			x.levels[l][k>>l] = &Sketch{}
		}
		x.levels[l][k>>l].Add(v)
	}
}

// Build completes the higher levels. Values added later go into them as well.
func (x *Index) Build() {
	for l := 0; l < len(x.levels) && len(x.levels[l]) > 1; l++ {
		if len(x.levels) == l+1 {
			x.levels = append(x.levels, nil)
			x.done = append(x.done, 0)
		}
		for k := x.done[l]; k < len(x.levels[l])/2; k++ {
			var m *Sketch
			for _, j := range []int{2 * k, 2*k + 1} {
				if x.levels[l][j] != nil {
					if m == nil {
						m = &Sketch{}
					}
					m.Merge(x.levels[l][j])
				}
			}
			x.levels[l+1] = append(x.levels[l+1], m)
		}
		x.done[l] = len(x.levels[l+1])
	}
}

// Span merges all slots that begin at or after from and before to.
func (x *Index) Span(from, to int64) *Sketch {
	out := &Sketch{}
	if len(x.levels) == 0 || to <= from {
		return out
	}
	lo := max((from+x.Width-1)/x.Width-x.base, 0)
	hi := min((to+x.Width-1)/x.Width-x.base, int64(len(x.levels[0])))
	for lo < hi {
		l := 0
		for l+1 < len(x.levels) && lo&(1<<(l+1)-1) == 0 && lo+1<<(l+1) <= hi && lo>>(l+1) < int64(len(x.levels[l+1])) {
			l++
		}
		if k := lo >> l; k < int64(len(x.levels[l])) && x.levels[l][k] != nil {
			out.Merge(x.levels[l][k])
		}
		lo += 1 << l
	}
	return out
}
