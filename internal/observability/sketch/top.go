package sketch

import (
	"cmp"
	"slices"
)

// Top counts the most frequent keys with a fixed number of entries (the space-saving algorithm): a new key replaces the
// key with the lowest count and inherits that count as its error. With n entries, every key whose count is more than
// 1/n of the total has an entry. The zero value is not usable.
type Top struct {
	size  int            // maximum number of entries
	index map[string]int // position in list, by key
	list  []Entry        // a min-heap by Count
}

// Entry is a key and its estimated count. The true count is at most Count and at least Count - Error.
type Entry struct {
	Key   string
	Count uint64
	Error uint64
	Extra [3]uint64 // the caller's counters, reset when the key gets its entry
}

// NewTop returns an empty counter with n entries.
func NewTop(n int) *Top { return &Top{size: n, index: make(map[string]int, n)} }

// Add counts a key n times and returns its entry, so that the caller can update Extra. The entry is valid until the
// next call.
func (t *Top) Add(key string, n uint64) *Entry {
	if i, ok := t.index[key]; ok {
		t.list[i].Count += n
		return &t.list[t.siftDown(i)]
	}
	if len(t.list) < t.size {
		t.list = append(t.list, Entry{Key: key, Count: n})
		t.index[key] = len(t.list) - 1
		return &t.list[t.siftUp(len(t.list)-1)]
	}
	least := &t.list[0]
	delete(t.index, least.Key)
	*least = Entry{Key: key, Count: least.Count + n, Error: least.Count}
	t.index[key] = 0
	return &t.list[t.siftDown(0)]
}

func (t *Top) swap(i, j int) {
	t.list[i], t.list[j] = t.list[j], t.list[i]
	t.index[t.list[i].Key], t.index[t.list[j].Key] = i, j
}

func (t *Top) siftUp(i int) int {
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

func (t *Top) siftDown(i int) int {
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

// floor returns the highest true count that a key without an entry may have.
func (t *Top) floor() uint64 {
	if len(t.list) < t.size {
		return 0
	}
	return t.list[0].Count
}

// Merge adds the counts of another counter. A key that only one counter has may have been counted by the other too, up
// to the other's floor; that floor is added to the key's count and error.
func (t *Top) Merge(o *Top) {
	mine, theirs := t.floor(), o.floor()
	all := make([]Entry, 0, len(t.list)+len(o.list))
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
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key)) })
	all = all[:min(len(all), t.size)]
	slices.Reverse(all) // a slice in ascending order is a min-heap
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
func (t *Top) List(n int) []Entry {
	out := slices.Clone(t.list)
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key)) })
	return out[:min(n, len(out))]
}
