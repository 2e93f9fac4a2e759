package engine

import "slices"

// Queue is a calendar queue (Brown, 1988): a priority queue of buckets ("days") of equal width in time. A time maps to
// its day modulo the number of days, which together make a "year". The queue is resized when the number of events
// exceeds twice the number of days or falls below a quarter of it; the new width follows from the mean distance of the
// next events. The zero value is empty.
type Queue struct {
	days  [][]Event // each in descending order, so that its next event is the last element
	width int64     // of a day, in microseconds
	day   int       // the day that is searched next
	end   int64     // end of that day in the current year
	size  int
	last  int64 // time of the last event that was popped
}

const minDays = 16

// Len returns the number of events.
func (q *Queue) Len() int { return q.size }

// Push adds an event. Its time must not be before that of the last event that was popped.
func (q *Queue) Push(e Event) {
	if q.days == nil {
		q.allocate(minDays, 1024)
	}
	q.insert(e)
	q.size++
	if q.size > 2*len(q.days) {
		q.resize(2 * len(q.days))
	}
}

// insert adds an event to its day.
func (q *Queue) insert(e Event) {
	k := int(e.At/q.width) & (len(q.days) - 1)
	d := q.days[k]
	// The day is in descending order: the event goes behind all later ones.
	i, _ := slices.BinarySearchFunc(d, e, func(x, e Event) int {
		if e.before(&x) {
			return -1
		}
		return 1
	})
	q.days[k] = slices.Insert(d, i, e)
	if e.At < q.end-q.width { // before the day that is searched next
		q.seek(e.At)
	}
}

// seek makes the day of a time the one that is searched next.
func (q *Queue) seek(at int64) {
	q.day = int(at/q.width) & (len(q.days) - 1)
	q.end = (at/q.width + 1) * q.width
}

// allocate replaces the days by empty ones.
func (q *Queue) allocate(days int, width int64) {
	q.days, q.width = make([][]Event, days), max(width, 1)
	q.seek(q.last)
}

// resize changes the number of days. The width becomes three times the mean distance of the next events, so that a day
// holds a few events.
func (q *Queue) resize(days int) {
	all := make([]Event, 0, q.size)
	for _, d := range q.days {
		all = append(all, d...)
	}
	next := all
	if len(next) > 64 {
		// The next 64 events, found without sorting all.
		next = make([]Event, 0, 65)
		for i := range all {
			k := len(next)
			if k == 64 && !all[i].before(&next[k-1]) {
				continue
			}
			for k > 0 && all[i].before(&next[k-1]) {
				k--
			}
			next = slices.Insert(next, k, all[i])
			if len(next) > 64 {
				next = next[:64]
			}
		}
	} else {
		slices.SortFunc(next, func(a, b Event) int {
			if a.before(&b) {
				return -1
			}
			return 1
		})
	}
	width := q.width
	if n := len(next); n > 1 {
		width = 3 * (next[n-1].At - next[0].At) / int64(n-1)
	}
	q.allocate(days, width)
	for _, e := range all {
		q.insert(e)
	}
}

// Pop removes and returns the next event, unless its time is after until.
func (q *Queue) Pop(until int64) (Event, bool) {
	if q.size == 0 {
		return Event{}, false
	}
	for range q.days {
		if d := q.days[q.day]; len(d) > 0 && d[len(d)-1].At < q.end {
			return q.popFrom(q.day, until)
		}
		q.day = (q.day + 1) & (len(q.days) - 1)
		q.end += q.width
	}
	// There is no event within a year: search all days for the next one.
	best := -1
	for k, d := range q.days {
		if len(d) > 0 && (best < 0 || d[len(d)-1].before(&q.days[best][len(q.days[best])-1])) {
			best = k
		}
	}
	d := q.days[best]
	q.seek(d[len(d)-1].At)
	return q.popFrom(best, until)
}

// popFrom removes and returns the next event of a day, unless its time is after until.
func (q *Queue) popFrom(k int, until int64) (Event, bool) {
	d := q.days[k]
	e := d[len(d)-1]
	if e.At > until {
		return Event{}, false
	}
	d[len(d)-1] = Event{} // so that the event's function can be garbage-collected
	q.days[k] = d[:len(d)-1]
	q.size--
	q.last = e.At
	if q.size < len(q.days)/4 && len(q.days) > minDays {
		q.resize(len(q.days) / 2)
	}
	return e, true
}
