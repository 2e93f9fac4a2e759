// Package timerwheel is a hierarchical timing wheel: many timers of which most are moved or stopped before they fire. It has
// no clock and no goroutine; the owner says what time it is. Times are microseconds.
package timerwheel

const (
	levels = 4
	bits   = 8
	slots  = 1 << bits
	mask   = slots - 1
)

// Timer is one entry. The zero value is stopped.
type Timer struct {
	ID         string
	At         int64
	prev, next *Timer
	list       *Timer // head of the slot it is in; nil: stopped
}

// Active reports whether it waits to fire.
func (t *Timer) Active() bool { return t.list != nil }

// Wheel holds timers. A timer fires at the first Advance at or after its time, early by nothing and late by less than a
// tick's width.
type Wheel struct {
	tick  int64 // width of a slot of the lowest level
	now   int64 // in ticks: everything up to here has fired
	slot  [levels][slots]Timer
	far   Timer // beyond the highest level
	count int
}

// New returns an empty wheel that begins at now. width is the finest distance that it keeps apart.
func New(now, width int64) *Wheel {
	w := &Wheel{tick: width, now: now / width}
	for l := range w.slot {
		for s := range w.slot[l] {
			h := &w.slot[l][s]
			h.prev, h.next = h, h
		}
	}
	w.far.prev, w.far.next = &w.far, &w.far
	return w
}

// Len counts the timers that wait.
func (w *Wheel) Len() int { return w.count }

// Set has a timer fire at at, whatever was set before.
func (w *Wheel) Set(t *Timer, at int64) {
	w.Stop(t)
	t.At = at
	w.count++
	w.put(t)
}

// Stop takes a timer out.
func (w *Wheel) Stop(t *Timer) {
	if t.list == nil {
		return
	}
	t.prev.next, t.next.prev = t.next, t.prev
	t.prev, t.next, t.list = nil, nil, nil
	w.count--
}

// put files a timer by how far off it is. Times are rounded up, so that none fires early.
func (w *Wheel) put(t *Timer) {
	due := (t.At + w.tick - 1) / w.tick
	due = max(due, w.now+1)
	h := &w.far
	for l := range levels {
		// In a level the slots ahead of now within one turn are free of mix-ups.
		if due>>(bits*l)-w.now>>(bits*l) < slots {
			h = &w.slot[l][due>>(bits*l)&mask]
			break
		}
	}
	t.prev, t.next, t.list = h.prev, h, h
	h.prev.next = t
	h.prev = t
}

// Advance goes on to now and calls fire for every timer whose time has come, in the order of their ticks. fire may set
// and stop timers.
func (w *Wheel) Advance(now int64, fire func(*Timer)) {
	end := now / w.tick
	for w.now < end {
		if w.count == 0 {
			w.now = end
			return
		}
		w.now++
		// Where a level has come round, its next slot is spread over the levels below; from the top, so that what
		// falls through falls all the way.
		for l := levels - 1; l > 0; l-- {
			if w.now&(1<<(bits*l)-1) == 0 {
				if l == levels-1 {
					w.spread(&w.far)
				}
				w.spread(&w.slot[l][w.now>>(bits*l)&mask])
			}
		}
		h := &w.slot[0][w.now&mask]
		for h.next != h {
			t := h.next
			w.Stop(t)
			fire(t)
		}
	}
}

// spread files a slot's timers anew. Those that are due in this very tick go to the slot that is about to fire.
func (w *Wheel) spread(h *Timer) {
	list := h.next
	last := h.prev
	if list == h {
		return
	}
	h.prev, h.next = h, h
	last.next = nil
	for t := list; t != nil; {
		next := t.next
		if (t.At+w.tick-1)/w.tick <= w.now {
			s := &w.slot[0][w.now&mask]
			t.prev, t.next, t.list = s.prev, s, s
			s.prev.next = t
			s.prev = t
		} else {
			w.put(t)
		}
		t = next
	}
}

// Next is a time up to which nothing fires; the owner advances at it at the latest. ok is false where no timer waits.
func (w *Wheel) Next() (at int64, ok bool) {
	if w.count == 0 {
		return 0, false
	}
	for d := int64(1); d < slots; d++ {
		if h := &w.slot[0][(w.now+d)&mask]; h.next != h {
			return (w.now + d) * w.tick, true
		}
		if (w.now+d)&mask == 0 { // here a higher level comes down
			return (w.now + d) * w.tick, true
		}
	}
	return (w.now + slots) * w.tick, true
}
