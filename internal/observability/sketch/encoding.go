package sketch

import (
	"encoding/binary"
	"errors"
	"math"
)

// Append appends the encoded sketch to b: variable-length integers, with run-length encoding of empty buckets.
func (s *Sketch) Append(b []byte) []byte {
	b = binary.AppendUvarint(b, s.n)
	if s.n == 0 {
		return b
	}
	b = binary.AppendUvarint(b, uint64(s.max))
	b = binary.AppendUvarint(b, math.Float64bits(s.sum))
	b = binary.AppendUvarint(b, uint64(s.first))
	b = binary.AppendUvarint(b, uint64(len(s.counts)))
	for i := 0; i < len(s.counts); i++ { // a zero is followed by the number of further zeros
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

// ErrMalformed is the error for bytes that are not an encoded sketch.
var ErrMalformed = errors.New("sketch: malformed encoding")

// Read decodes a sketch from the start of b into s and returns the bytes after it. On malformed input it returns
// ErrMalformed, and s must be Reset before it is used.
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
			return nil, ErrMalformed
		}
		return b, nil
	}
	s.max, s.sum = int64(next()), math.Float64frombits(next())
	first, length := next(), next()
	if bad || first >= buckets || length > buckets || length == 0 {
		return nil, ErrMalformed
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
				return nil, ErrMalformed
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
		return nil, ErrMalformed
	}
	return b, nil
}
