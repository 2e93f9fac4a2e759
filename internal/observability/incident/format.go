package incident

import (
	"fmt"
	"time"

	"poppyarch/internal/timing/clock"
)

// FormatTime words a time, to the millisecond, in UTC.
func FormatTime(us clock.Micros) string {
	return time.UnixMicro(int64(us)).UTC().Format("15:04:05.000")
}

// Format is an uncertain time: to the point where it is known well, else from and to.
func (b Bound) Format() string {
	if b.Latest-b.Earliest <= 50_000 {
		return FormatTime(b.Earliest)
	}
	return FormatTime(b.Earliest) + " to " + FormatTime(b.Latest)
}

// FormatDuration words how long an episode lasted, between the least and the most.
func (e *Episode) FormatDuration() string {
	least, most := max(e.End.Earliest-e.Begin.Latest, 0), e.End.Latest-e.Begin.Earliest
	f := func(v clock.Micros) string { return fmt.Sprintf("%.1f s", float64(v)/1e6) }
	switch {
	case e.Open:
		return "at least " + f(least)
	case most-least <= 200_000:
		return f((least + most) / 2)
	}
	return f(least) + " to " + f(most)
}

// Change is an episode that only one of two analyses has, or that differs.
type Change struct {
	Presence string   `json:"what"` // "only in the first", "only in the second", "in both"
	Kind     Kind     `json:"kind"`
	Subject  string   `json:"subject"`
	First    *Episode `json:"first,omitempty"`
	Second   *Episode `json:"second,omitempty"`
}

// Diff holds two incidents against each other: episodes of one kind and subject are matched in their order.
func Diff(a, b *Analysis) (out []Change) {
	type key struct {
		kind Kind
		who  string
	}
	split := func(x *Analysis) (map[key][]*Episode, []key) {
		m, order := map[key][]*Episode{}, []key{}
		for i := range x.Episodes {
			e := &x.Episodes[i]
			k := key{e.Kind, e.Subject}
			if m[k] == nil {
				order = append(order, k)
			}
			m[k] = append(m[k], e)
		}
		return m, order
	}
	ma, oa := split(a)
	mb, ob := split(b)
	for _, k := range oa {
		for i, e := range ma[k] {
			if i < len(mb[k]) {
				out = append(out, Change{"in both", k.kind, k.who, e, mb[k][i]})
			} else {
				out = append(out, Change{"only in the first", k.kind, k.who, e, nil})
			}
		}
	}
	for _, k := range ob {
		for i, e := range mb[k] {
			if i >= len(ma[k]) {
				out = append(out, Change{"only in the second", k.kind, k.who, nil, e})
			}
		}
	}
	return out
}
