package engine

import "slices"

// Queue is a calendar queue: days of one width, each with its events in order, and years that come round. It lays itself out
// anew when the number of events has doubled or halved, by the distance of those that come next. The zero value is empty.
type Queue struct {
	days  [][]Event // each in descending order: the next event stands last
	width int64
	day   int   // where to look next
	end   int64 // of that day in this year
	size  int
	last  int64 // time of the last event that was taken
}

const fewest = 16

// Len counts the events.
func (q *Queue) Len() int { return q.size }

// Push files an event. It must not lie before the last one that was taken.
func (q *Queue) Push(e Event) {
	if q.days == nil {
		q.layout(fewest, 1024)
	}
	q.file(e)
	q.size++
	if q.size > 2*len(q.days) {
		q.relayout(2 * len(q.days))
	}
}

func (q *Queue) file(e Event) {
	k := int(e.At/q.width) & (len(q.days) - 1)
	d := q.days[k]
	// Descending: behind all that come later.
	i, _ := slices.BinarySearchFunc(d, e, func(x, e Event) int {
		if e.before(&x) {
			return -1
		}
		return 1
	})
	q.days[k] = slices.Insert(d, i, e)
	if e.At < q.end-q.width { // before the day that is looked at next
		q.turn(e.At)
	}
}

// turn looks at the day of a time next.
func (q *Queue) turn(at int64) {
	q.day = int(at/q.width) & (len(q.days) - 1)
	q.end = (at/q.width + 1) * q.width
}

func (q *Queue) layout(days int, width int64) {
	q.days, q.width = make([][]Event, days), max(width, 1)
	q.turn(q.last)
}

// relayout changes the number of days, and their width to a few events each, by the mean distance of events that come soon.
func (q *Queue) relayout(days int) {
	all := make([]Event, 0, q.size)
	for _, d := range q.days {
		all = append(all, d...)
	}
	soon := all
	if len(soon) > 64 {
		// The 64 that come next, found without sorting all.
		soon = make([]Event, 0, 65)
		for i := range all {
			k := len(soon)
			if k == 64 && !all[i].before(&soon[k-1]) {
				continue
			}
			for k > 0 && all[i].before(&soon[k-1]) {
				k--
			}
			soon = slices.Insert(soon, k, all[i])
			if len(soon) > 64 {
				soon = soon[:64]
			}
		}
	} else {
		slices.SortFunc(soon, func(a, b Event) int {
			if a.before(&b) {
				return -1
			}
			return 1
		})
	}
	width := q.width
	if n := len(soon); n > 1 {
		width = 3 * (soon[n-1].At - soon[0].At) / int64(n-1)
	}
	q.layout(days, width)
	for _, e := range all {
		q.file(e)
	}
}

// Pop takes the next event, unless it lies after until.
func (q *Queue) Pop(until int64) (Event, bool) {
	if q.size == 0 {
		return Event{}, false
	}
	for range q.days {
		if d := q.days[q.day]; len(d) > 0 && d[len(d)-1].At < q.end {
			return q.take(q.day, until)
		}
		q.day = (q.day + 1) & (len(q.days) - 1)
		q.end += q.width
	}
	// Nothing within a year: go to where the next event is.
	best := -1
	for k, d := range q.days {
		if len(d) > 0 && (best < 0 || d[len(d)-1].before(&q.days[best][len(q.days[best])-1])) {
			best = k
		}
	}
	d := q.days[best]
	q.turn(d[len(d)-1].At)
	return q.take(best, until)
}

func (q *Queue) take(k int, until int64) (Event, bool) {
	d := q.days[k]
	e := d[len(d)-1]
	if e.At > until {
		return Event{}, false
	}
	d[len(d)-1] = Event{} // or what it holds stays alive
	q.days[k] = d[:len(d)-1]
	q.size--
	q.last = e.At
	if q.size < len(q.days)/4 && len(q.days) > fewest {
		q.relayout(len(q.days) / 2)
	}
	return e, true
}
