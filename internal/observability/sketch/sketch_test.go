package sketch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/testkit/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.RunTests(m) }

// Quantiles are within 0.8 % of the exact ones, after a merge and after encoding and decoding.
func TestQuantiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) int64 {
			return int64(math.Exp(rapid.Float64Range(0, 25).Draw(t, "log"))) - 1
		}), 1, 400).Draw(t, "values")
		var a, b Sketch
		for i, v := range values {
			if i%3 == 0 {
				a.Add(v)
			} else {
				b.Add(v)
			}
		}
		a.Merge(&b)
		var c Sketch
		rest, err := c.Read(append(a.Append(nil), 7))
		if err != nil || len(rest) != 1 {
			t.Fatalf("decoding left %v, want one byte: error %v", rest, err)
		}
		slices.Sort(values)
		for _, q := range []float64{0, 0.01, 0.5, 0.9, 0.99, 1} {
			want := values[min(max(int(math.Ceil(q*float64(len(values)))), 1), len(values))-1]
			for _, s := range []*Sketch{&a, &c} {
				if got := s.Quantile(q); math.Abs(float64(got-want)) > 0.008*float64(want)+0.5 {
					t.Fatalf("quantile %v is %d, want %d", q, got, want)
				}
			}
		}
		if a.Count() != uint64(len(values)) || c.Max() != values[len(values)-1] {
			t.Fatalf("%d values with maximum %d, want %d with maximum %d", a.Count(), c.Max(), len(values), values[len(values)-1])
		}
	})
}

// For any span, the index counts as many values as a scan over all values.
func TestIndexAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewIndex(10)
		type value struct{ at, v int64 }
		var all []value
		for range rapid.IntRange(1, 300).Draw(t, "n") {
			v := value{1_000_000 + int64(rapid.IntRange(0, 3000).Draw(t, "at")), int64(rapid.IntRange(0, 9999).Draw(t, "v"))}
			all = append(all, v)
			x.Add(v.at, v.v)
			if rapid.IntRange(0, 40).Draw(t, "build") == 0 {
				x.Build()
			}
		}
		x.Build()
		for range 10 {
			from := 1_000_000 + 10*int64(rapid.IntRange(-5, 305).Draw(t, "from"))
			to := from + 10*int64(rapid.IntRange(0, 300).Draw(t, "len"))
			n := uint64(0)
			for _, v := range all {
				if v.at >= from && v.at < to {
					n++
				}
			}
			if got := x.Span(from, to).Count(); got != n {
				t.Fatalf("span from %d to %d has %d values, want %d", from, to, got, n)
			}
		}
	})
}

func FuzzRead(f *testing.F) {
	var s Sketch
	for v := range int64(1000) {
		s.Add(v * v)
	}
	f.Add(s.Append(nil))
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7})
	f.Fuzz(func(t *testing.T, b []byte) {
		var s Sketch
		if _, err := s.Read(b); err == nil {
			s.Quantile(0.5)
		}
	})
}

// BenchmarkSpan compares three ways to get the 99th percentile of a span: the index, merging the sketch of each slot,
// and sorting all values.
func BenchmarkSpan(b *testing.B) {
	const slots, per = 10000, 100
	x := NewIndex(1000)
	plain := make([][]int64, slots)
	r := rand.New(rand.NewPCG(1, 2))
	for k := range slots {
		for range per {
			v := int64(r.ExpFloat64() * 40000)
			x.Add(int64(k)*1000, v)
			plain[k] = append(plain[k], v)
		}
	}
	x.Build()
	b.Run("index", func(b *testing.B) {
		for b.Loop() {
			x.Span(123_000, 8_765_000).Quantile(0.99)
		}
	})
	b.Run("slots", func(b *testing.B) {
		for b.Loop() {
			var s Sketch
			for k := 123; k < 8765; k++ {
				s.Merge(x.levels[0][k-int(x.base)])
			}
			s.Quantile(0.99)
		}
	})
	b.Run("scan", func(b *testing.B) {
		for b.Loop() {
			var all []int64
			for k := 123; k < 8765; k++ {
				all = append(all, plain[k]...)
			}
			slices.Sort(all)
			_ = all[len(all)*99/100]
		}
	})
}

// After a merge, no count is too low or too high by more than its error, and each key with more than twice its share of
// the total has an entry.
func TestTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(2, 10).Draw(t, "capacity")
		a, b := NewTop(capacity), NewTop(capacity)
		exact := map[string]uint64{}
		total := uint64(0)
		for range rapid.IntRange(0, 300).Draw(t, "n") {
			key := rapid.SampledFrom([]string{"a", "a", "a", "b", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}).Draw(t, "key")
			exact[key]++
			total++
			to := a
			if rapid.Bool().Draw(t, "which") {
				to = b
			}
			to.Add(key, 1).Extra[0]++
		}
		a.Merge(b)
		got := map[string]bool{}
		for _, c := range a.List(capacity) {
			got[c.Key] = true
			if c.Count < exact[c.Key] || c.Count-c.Error > exact[c.Key] || c.Extra[0] > exact[c.Key] {
				t.Fatalf("%+v, exact count is %d", c, exact[c.Key])
			}
		}
		for key, n := range exact {
			if !got[key] && n > 2*total/uint64(capacity) {
				t.Fatalf("key %s with %d of %d counts is not among the %d entries", key, n, total, capacity)
			}
		}
	})
}
