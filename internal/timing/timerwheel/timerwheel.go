// Package timerwheel is a hierarchical timing wheel: a set of many timers of which most are moved or stopped before they
// fire. Set and Stop take constant time. It reads no clock and starts no goroutine; the owner says what time it is.
package timerwheel

import "poppyarch/internal/timing/clock"

const (
	levels   = 4
	slotBits = 8
	slots    = 1 << slotBits // of one level
	slotMask = slots - 1
)

// tickCount is a time in units of a wheel's tick.
type tickCount int64

// Timer is one entry of a Wheel. The zero value is stopped.
type Timer struct {
	ID         string       // for the owner; the wheel does not read it
	deadline   clock.Micros // as set
	prev, next *Timer       // in the slot's ring
	slot       *Timer       // head of the slot's ring; nil: stopped
}

// Active reports whether the timer waits to fire.
func (t *Timer) Active() bool { return t.slot != nil }

// pushBack appends the timer to the ring of a slot.
func (t *Timer) pushBack(slot *Timer) {
	t.slot = slot
	t.prev = slot.prev
	t.next = slot
	slot.prev.next = t
	slot.prev = t
}

// unlink takes the timer out of its ring.
func (t *Timer) unlink() {
	t.prev.next = t.next
	t.next.prev = t.prev
	t.prev = nil
	t.next = nil
	t.slot = nil
}

// initRing makes a Timer the head of an empty ring.
func (t *Timer) initRing() {
	t.prev = t
	t.next = t
}

// Wheel holds timers. A timer fires at the first Advance at or after its deadline rounded up to a tick: never early, and
// late by less than a tick.
type Wheel struct {
	tick     clock.Micros         // width of a slot of the lowest level
	now      tickCount            // everything up to here has fired
	slot     [levels][slots]Timer // heads of the rings
	overflow Timer                // head of the ring of timers beyond the highest level
	count    int                  // active timers
}

// New returns an empty wheel whose time is now. tick is its resolution.
func New(now, tick clock.Micros) *Wheel {
	w := &Wheel{tick: tick, now: tickCount(now / tick)}
	for level := range w.slot {
		for i := range w.slot[level] {
			w.slot[level][i].initRing()
		}
	}
	w.overflow.initRing()
	return w
}

// Len is the number of active timers.
func (w *Wheel) Len() int { return w.count }

// Set makes a timer fire at deadline, in place of any earlier setting.
func (w *Wheel) Set(t *Timer, deadline clock.Micros) {
	w.Stop(t)
	t.deadline = deadline
	w.count++
	w.insert(t)
}

// Stop deactivates a timer.
func (w *Wheel) Stop(t *Timer) {
	if !t.Active() {
		return
	}
	t.unlink()
	w.count--
}

// dueTick is the tick at which a timer fires. It is rounded up, so that no timer fires early.
func (w *Wheel) dueTick(t *Timer) tickCount {
	return tickCount((t.deadline + w.tick - 1) / w.tick)
}

// insert links a timer into the slot of its deadline, at the lowest level that reaches so far.
func (w *Wheel) insert(t *Timer) {
	due := max(w.dueTick(t), w.now+1)
	slot := &w.overflow
	for level := range levels {
		shift := slotBits * level
		// Within one turn of a level each slot holds a single tick.
		if due>>shift-w.now>>shift < slots {
			slot = &w.slot[level][due>>shift&slotMask]
			break
		}
	}
	t.pushBack(slot)
}

// Advance moves the time to now and calls fire for each timer whose deadline has passed, tick by tick. fire may set and
// stop timers.
func (w *Wheel) Advance(now clock.Micros, fire func(*Timer)) {
	end := tickCount(now / w.tick)
	for w.now < end {
		if w.count == 0 {
			w.now = end
			return
		}
		w.now++
		w.cascadeLevels()
		slot := &w.slot[0][w.now&slotMask]
		for slot.next != slot {
			t := slot.next
			w.Stop(t)
			fire(t)
		}
	}
}

// cascadeLevels moves timers to lower levels where a level has completed a turn. It begins at the top, since a timer may
// descend several levels at once.
func (w *Wheel) cascadeLevels() {
	for level := levels - 1; level > 0; level-- {
		shift := slotBits * level
		if w.now&(1<<shift-1) != 0 {
			continue
		}
		if level == levels-1 {
			w.cascade(&w.overflow)
		}
		w.cascade(&w.slot[level][w.now>>shift&slotMask])
	}
}

// cascade inserts the timers of a slot again. Those that are due in the present tick go into the slot that is about to fire.
func (w *Wheel) cascade(slot *Timer) {
	if slot.next == slot {
		return
	}
	first := slot.next
	slot.prev.next = nil
	slot.initRing()
	for t := first; t != nil; {
		next := t.next
		if w.dueTick(t) <= w.now {
			t.pushBack(&w.slot[0][w.now&slotMask])
		} else {
			w.insert(t)
		}
		t = next
	}
}

// Next is a time before which no timer fires; the owner advances then at the latest. It may be early. ok is false where no
// timer is active.
func (w *Wheel) Next() (at clock.Micros, ok bool) {
	if w.count == 0 {
		return 0, false
	}
	due := w.now + 1
	for ; due < w.now+slots; due++ {
		slot := &w.slot[0][due&slotMask]
		if slot.next != slot {
			break
		}
		if due&slotMask == 0 { // the next turn, at which timers descend from a higher level
			break
		}
	}
	return clock.Micros(due) * w.tick, true
}
