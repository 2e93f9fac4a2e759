package sketch

// baseBits sets how many slots an index can hold before the slot of the first added value: up to 2^baseBits - 1.
const baseBits = 10

// Index holds sketches by time, for quantiles over any time span. Level 0 has one sketch per slot. Each sketch of a
// higher level covers two sketches of the level below, so that a span needs a few merges instead of one per slot. Build
// fills the higher levels.
type Index struct {
	Width  int64 // width of a slot, in the unit of the times
	base   int64 // slot number of levels[0][0]
	levels [][]*Sketch
	done   []int // number of sketches built on each level above 0
}

// NewIndex returns an empty index with slots of the given width.
func NewIndex(width int64) *Index { return &Index{Width: width} }

// Add adds a value at a time. Times may come in any order; a value from before the earliest slot is counted in that
// slot.
func (x *Index) Add(at, v int64) {
	slot := at / x.Width
	if len(x.levels) == 0 {
		x.base = slot &^ (1<<baseBits - 1)
		x.levels = [][]*Sketch{nil}
	}
	k := slot - x.base
	if k < 0 {
		k = 0
	}
	for l := range x.levels {
		if l > 0 && int(k>>l) >= x.done[l-1] {
			break // this sketch is not built yet
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

// Build fills the higher levels from the level below. Values that Add adds later are added to the sketches already
// built.
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

// Span returns the merged sketch of all slots that begin at or after from and before to.
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
