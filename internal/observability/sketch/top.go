package sketch

import (
	"cmp"
	"slices"
)

// Top finds the keys that come most often, in a fixed number of places (space-saving): a key that has none takes the
// place of the least counted one and inherits its count as the bound of its error. Every key with more than 1/n of all
// counts is among the n places. The zero value is not usable.
type Top struct {
	most  int
	place map[string]int
	list  []Counted // a heap by Count, the least first
}

// Counted is a key with a count that may be too high by Error and is never too low.
type Counted struct {
	Key   string
	Count uint64
	Error uint64
	Extra [3]uint64 // counted beside it, since the key took its place
}

// NewTop returns an empty one with n places.
func NewTop(n int) *Top { return &Top{most: n, place: make(map[string]int, n)} }

// Add counts a key n times and returns its entry, for Extra. The entry is good until the next call.
func (t *Top) Add(key string, n uint64) *Counted {
	if i, ok := t.place[key]; ok {
		t.list[i].Count += n
		return &t.list[t.down(i)]
	}
	if len(t.list) < t.most {
		t.list = append(t.list, Counted{Key: key, Count: n})
		t.place[key] = len(t.list) - 1
		return &t.list[t.up(len(t.list)-1)]
	}
	least := &t.list[0]
	delete(t.place, least.Key)
	*least = Counted{Key: key, Count: least.Count + n, Error: least.Count}
	t.place[key] = 0
	return &t.list[t.down(0)]
}

func (t *Top) swap(i, j int) {
	t.list[i], t.list[j] = t.list[j], t.list[i]
	t.place[t.list[i].Key], t.place[t.list[j].Key] = i, j
}

func (t *Top) up(i int) int {
	for i > 0 {
		p := (i - 1) / 2
		if t.list[p].Count <= t.list[i].Count {
			break
		}
		t.swap(i, p)
		i = p
	}
	return i
}

func (t *Top) down(i int) int {
	for {
		c := 2*i + 1
		if c >= len(t.list) {
			return i
		}
		if c+1 < len(t.list) && t.list[c+1].Count < t.list[c].Count {
			c++
		}
		if t.list[i].Count <= t.list[c].Count {
			return i
		}
		t.swap(i, c)
		i = c
	}
}

// floor is what a key without a place may have come at the most.
func (t *Top) floor() uint64 {
	if len(t.list) < t.most {
		return 0
	}
	return t.list[0].Count
}

// Merge counts what another has counted. A key that only one of them has may have come in the other as well, up to that
// one's least count.
func (t *Top) Merge(o *Top) {
	mine, theirs := t.floor(), o.floor()
	all := make([]Counted, 0, len(t.list)+len(o.list))
	for _, x := range t.list {
		if i, ok := o.place[x.Key]; ok {
			y := &o.list[i]
			x.Count, x.Error = x.Count+y.Count, x.Error+y.Error
			for k := range x.Extra {
				x.Extra[k] += y.Extra[k]
			}
		} else {
			x.Count, x.Error = x.Count+theirs, x.Error+theirs
		}
		all = append(all, x)
	}
	for _, x := range o.list {
		if _, ok := t.place[x.Key]; !ok {
			x.Count, x.Error = x.Count+mine, x.Error+mine
			all = append(all, x)
		}
	}
	slices.SortFunc(all, func(a, b Counted) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key)) })
	all = all[:min(len(all), t.most)]
	slices.Reverse(all) // ascending is a heap
	t.list = all
	clear(t.place)
	for i, x := range all {
		t.place[x.Key] = i
	}
}

// Reset empties it.
func (t *Top) Reset() {
	clear(t.place)
	t.list = t.list[:0]
}

// List is the n most counted, the most first.
func (t *Top) List(n int) []Counted {
	out := slices.Clone(t.list)
	slices.SortFunc(out, func(a, b Counted) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key)) })
	return out[:min(n, len(out))]
}
