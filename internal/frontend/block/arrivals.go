package block

import "poppyarch/internal/timing/clock"

// maxArrivalMarks is how many marks are kept of the input of one connection.
const maxArrivalMarks = 16

// arrivalMark tells that no more than bytes had arrived on a connection at a time.
type arrivalMark struct {
	bytes uint64
	at    clock.Micros
}

// arrivals estimates when the input of a connection has arrived, which may be long before it is read. It does no I/O and
// reads no clock. The zero value is that of a new connection.
type arrivals struct {
	consumed uint64 // bytes that have been read from the connection
	// marks is in order of time and of bytes. The first one is not behind the next byte that is scanned.
	marks [maxArrivalMarks]arrivalMark
	count int // number of marks
}

// observe records that unread bytes are waiting to be read from the connection now, and no more.
func (a *arrivals) observe(unread int, now clock.Micros) {
	mark := arrivalMark{bytes: a.consumed + uint64(unread), at: now}
	if a.count > 0 && a.marks[a.count-1].bytes >= mark.bytes {
		a.marks[a.count-1].at = now
		return
	}
	if a.count == maxArrivalMarks {
		a.thin()
	}
	a.marks[a.count] = mark
	a.count++
}

// thin drops every other mark, which makes the estimates of bytes behind them earlier.
func (a *arrivals) thin() {
	kept := 0
	for i := 0; i < a.count; i += 2 {
		a.marks[kept] = a.marks[i]
		kept++
	}
	a.count = kept
}

// read records that n bytes have been read from the connection.
func (a *arrivals) read(n int) { a.consumed += uint64(n) }

// arrivedAt returns the earliest time at which the last byte that was scanned may have arrived, if unscanned bytes of those
// that were read follow it. ok is false if that is not known. Later calls must not ask for earlier bytes.
func (a *arrivals) arrivedAt(unscanned int) (at clock.Micros, ok bool) {
	end := a.consumed - uint64(unscanned)
	passed := 0
	for passed < a.count && a.marks[passed].bytes < end {
		passed++
	}
	if passed == 0 {
		return 0, false
	}
	// The last mark before the byte stays the first one.
	copy(a.marks[:], a.marks[passed-1:a.count])
	a.count -= passed - 1
	return a.marks[0].at, true
}
