// Package timerwheel implements a hierarchical timing wheel for a large number of timers, most of which are rescheduled
// or stopped before they fire. Set and Stop take constant time. The wheel reads no clock and starts no goroutine; its
// owner passes the time to Advance.
package timerwheel

import "poppyarch/internal/timing/clock"

const (
	levels   = 4
	slotBits = 8
	slots    = 1 << slotBits // per level
	slotMask = slots - 1
)

// tickCount is a point in time in units of a wheel's tick.
type tickCount int64

// Timer is one entry of a Wheel. Its zero value is a stopped timer.
type Timer struct {
	ID         string       // identifies the timer to its owner; the wheel does not use it
	deadline   clock.Micros // the argument of Set, not rounded
	prev, next *Timer       // neighbours in the slot's ring
	slot       *Timer       // head of the slot's ring; nil if the timer is stopped
}

// Active reports whether the timer is set and has not fired.
func (t *Timer) Active() bool { return t.slot != nil }

// pushBack appends the timer to the ring of a slot.
func (t *Timer) pushBack(slot *Timer) {
	t.slot = slot
	t.prev = slot.prev
	t.next = slot
	slot.prev.next = t
	slot.prev = t
}

// unlink removes the timer from its ring.
func (t *Timer) unlink() {
	t.prev.next = t.next
	t.next.prev = t.prev
	t.prev = nil
	t.next = nil
	t.slot = nil
}

// initRing makes the timer the head of an empty ring.
func (t *Timer) initRing() {
	t.prev = t
	t.next = t
}

// Wheel holds timers. A timer fires at the first Advance at or after its deadline rounded up to a tick: never early,
// and late by less than a tick.
type Wheel struct {
	tick     clock.Micros         // width of a slot of the lowest level
	now      tickCount            // all timers due up to this tick have fired
	slot     [levels][slots]Timer // heads of the rings
	overflow Timer                // head of the ring of timers beyond the highest level
	count    int                  // active timers
}

// New returns an empty wheel that starts at time now. tick is its resolution.
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

// Len returns the number of active timers.
func (w *Wheel) Len() int { return w.count }

// Set makes a timer fire at deadline. It replaces the previous deadline of an active timer.
func (w *Wheel) Set(t *Timer, deadline clock.Micros) {
	w.Stop(t)
	t.deadline = deadline
	w.count++
	w.insert(t)
}

// Stop deactivates a timer. It has no effect on a stopped timer.
func (w *Wheel) Stop(t *Timer) {
	if !t.Active() {
		return
	}
	t.unlink()
	w.count--
}

// dueTick returns the tick at which a timer fires. It is rounded up, so that no timer fires early.
func (w *Wheel) dueTick(t *Timer) tickCount {
	return tickCount((t.deadline + w.tick - 1) / w.tick)
}

// insert links a timer into the slot of its deadline, at the lowest level whose range includes the deadline.
func (w *Wheel) insert(t *Timer) {
	due := max(w.dueTick(t), w.now+1)
	slot := &w.overflow
	for level := range levels {
		shift := slotBits * level
		// A slot is unambiguous only for deadlines within one turn of its level.
		if due>>shift-w.now>>shift < slots {
			slot = &w.slot[level][due>>shift&slotMask]
			break
		}
	}
	t.pushBack(slot)
}

// Advance moves the wheel's time to now, tick by tick, and calls fire for each timer whose deadline has passed. fire
// may set and stop timers.
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

// cascadeLevels moves timers to lower levels after those have completed a turn. It starts at the highest level, because
// a timer may descend several levels in one tick.
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

// cascade reinserts the timers of a slot. Timers that are due in the current tick go into the slot that
// is about to fire.
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

// Next returns a lower bound of the time at which the next timer fires. The owner calls Advance at that time at the
// latest; it is possible that no timer fires then. ok is false if no timer is active.
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
		if due&slotMask == 0 { // start of the next turn, when timers descend from a higher level
			break
		}
	}
	return clock.Micros(due) * w.tick, true
}
