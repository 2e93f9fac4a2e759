package incident

import (
	"math"
	"sort"
	"strings"

	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// Clock is how a boot's clock stands to the reference's: at its time t the reference shows t+Offset, give or take
// Error.
type Clock struct {
	Broker string       `json:"broker"`
	Boot   string       `json:"boot"`
	Offset clock.Micros `json:"offset"`
	Error  clock.Micros `json:"error"`
	Shared int          `json:"shared"` // list versions that both have seen
	Text   string       `json:"text,omitempty"`
}

// listRevisions are when a boot saw each version of the list first. One that it heard after its watch had ended tells nothing of the
// clocks: it was made while nobody told it. Taken for told at once it moved a boot's clock by 0.8 s, over the whole of a death.
func (s *Stream) listRevisions() map[int64]clock.Micros {
	out, down := map[int64]clock.Micros{}, false
	late := map[int64]bool{}
	for _, n := range s.notes {
		if n.kind == record.KindDiscovery {
			down = strings.HasPrefix(n.text, "down")
			continue
		}
		if n.kind != record.KindList || n.value < 0 {
			continue
		}
		if at, ok := out[n.value]; !ok || n.at < at {
			out[n.value] = n.at
		}
		late[n.value] = late[n.value] || down
	}
	for v := range late {
		if late[v] {
			delete(out, v)
		}
	}
	// What a boot knew from the start was not told to it then.
	for v, at := range out {
		if at < s.start()+second {
			delete(out, v)
		}
	}
	return out
}

// compareClocks bounds the offsets of all boots against the one that has seen most. A version of the list is told to each
// broker within notice of its making, so the offset lies within notice of the difference of the times at which two boots
// saw it; every shared version bounds it again. Boots that share none go by the wall clocks they were set by, which
// may be off by wall.
func compareClocks(streams []*Stream, notice, wall clock.Micros) []Clock {
	out := make([]Clock, len(streams))
	ref, most := 0, -1
	seen := make([]map[int64]clock.Micros, len(streams))
	for i, s := range streams {
		seen[i] = s.listRevisions()
		if len(seen[i]) > most {
			ref, most = i, len(seen[i])
		}
	}
	for i, s := range streams {
		c := Clock{Broker: s.Name, Boot: s.ID}
		if i == ref {
			c.Text = "the reference"
			out[i] = c
			continue
		}
		lo, hi := clock.Micros(math.MinInt64), clock.Micros(math.MaxInt64)
		var all []clock.Micros
		for v, at := range seen[i] {
			if r, ok := seen[ref][v]; ok {
				d := r - at
				all = append(all, d)
				lo, hi = max(lo, d-notice), min(hi, d+notice)
				c.Shared++
			}
		}
		sort.Slice(all, func(a, b int) bool { return all[a] < all[b] })
		switch {
		case c.Shared == 0:
			c.Error, c.Text = wall, "no list version in common: by the wall clocks only"
		case lo > hi: // the news took longer than it may, or a clock was set within the boot
			c.Offset = all[len(all)/2]
			c.Error = (all[len(all)-1]-all[0])/2 + notice
			c.Text = "the common list versions contradict each other: the widest span is shown"
		case lo <= 0 && hi >= 0: // nothing says that it is off
			c.Error = min(max(-lo, hi), notice)
		default:
			c.Offset = (lo + hi) / 2
			c.Error = (hi - lo + 1) / 2
		}
		out[i] = c
	}
	return out
}
