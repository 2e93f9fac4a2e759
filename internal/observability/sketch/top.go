package sketch

import (
	"cmp"
	"slices"
)

// Top counts the most frequent keys with a fixed number of entries (the space-saving algorithm): a key without an entry
// replaces the one with the lowest count and inherits that count as its error. Every key with more than 1/n of all counts is
// among n entries. The zero value is not usable.
type Top struct {
	size  int            // number of entries
	index map[string]int // of the entry of a key
	list  []Counted      // a heap by Count, the lowest first
}

// Counted is a key and its count, which may be too high by Error and is never too low.
type Counted struct {
	Key   string
	Count uint64
	Error uint64
	Extra [3]uint64 // counters of the caller, from when the key got its entry
}

// NewTop returns an empty counter with n entries.
func NewTop(n int) *Top { return &Top{size: n, index: make(map[string]int, n)} }

// Add counts a key n times and returns its entry, for Extra. The entry is valid until the next call.
func (t *Top) Add(key string, n uint64) *Counted {
	if i, ok := t.index[key]; ok {
		t.list[i].Count += n
		return &t.list[t.down(i)]
	}
	if len(t.list) < t.size {
		t.list = append(t.list, Counted{Key: key, Count: n})
		t.index[key] = len(t.list) - 1
		return &t.list[t.up(len(t.list)-1)]
	}
	least := &t.list[0]
	delete(t.index, least.Key)
	*least = Counted{Key: key, Count: least.Count + n, Error: least.Count}
	t.index[key] = 0
	return &t.list[t.down(0)]
}

func (t *Top) swap(i, j int) {
	t.list[i], t.list[j] = t.list[j], t.list[i]
	t.index[t.list[i].Key], t.index[t.list[j].Key] = i, j
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

// floor returns the highest count that a key without an entry may have.
func (t *Top) floor() uint64 {
	if len(t.list) < t.size {
		return 0
	}
	return t.list[0].Count
}

// Merge adds the counts of another counter. A key that only one of them has may have been counted by the other as well, up to
// its floor.
func (t *Top) Merge(o *Top) {
	mine, theirs := t.floor(), o.floor()
	all := make([]Counted, 0, len(t.list)+len(o.list))
	for _, x := range t.list {
		if i, ok := o.index[x.Key]; ok {
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
		if _, ok := t.index[x.Key]; !ok {
			x.Count, x.Error = x.Count+mine, x.Error+mine
			all = append(all, x)
		}
	}
	slices.SortFunc(all, func(a, b Counted) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key)) })
	all = all[:min(len(all), t.size)]
	slices.Reverse(all) // ascending is a heap
	t.list = all
	clear(t.index)
	for i, x := range all {
		t.index[x.Key] = i
	}
}

// Reset empties the counter.
func (t *Top) Reset() {
	clear(t.index)
	t.list = t.list[:0]
}

// List returns the n entries with the highest counts, the highest first.
func (t *Top) List(n int) []Counted {
	out := slices.Clone(t.list)
	slices.SortFunc(out, func(a, b Counted) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key)) })
	return out[:min(n, len(out))]
}
