// Package retry decides on repeats of calls between the parts of a fleet: how long to wait, whether the budget
// allows another, and when to stop calling for a while. No I/O, no clock: times come in as microseconds.
package retry

// Policy bounds the repeats of one call. Times are microseconds.
type Policy struct {
	Attempts     int   // in all
	InitialDelay int64 // wait before the second try; doubles
	MaxDelay     int64
}

// Delay is how long to wait before try n, counted from 1 for the first repeat. It is spread over the whole of the
// doubled wait, so that callers that failed together do not come back together.
func (p Policy) Delay(n int, rnd float64) int64 {
	w := p.InitialDelay
	for range n - 1 {
		if w >= p.MaxDelay {
			break
		}
		w *= 2
	}
	return int64(rnd * float64(min(w, p.MaxDelay)))
}

// Budget bounds repeats over all calls: each call earns a part of one, each repeat takes one.
type Budget struct {
	most, earn, have float64
}

// NewBudget returns a full budget.
func NewBudget(most, earn float64) *Budget { return &Budget{most, earn, most} }

// RecordCall counts a first try.
func (b *Budget) RecordCall() { b.have = min(b.most, b.have+b.earn) }

// TakeRetry takes a repeat, or reports that there is none left.
func (b *Budget) TakeRetry() bool {
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}

// Breaker stops calls to a peer that fails again and again, and lets a single one through now and then.
type Breaker struct {
	Threshold            int   // failures in a row that open it
	InitialOpen, MaxOpen int64 // how long it stays open; doubles
	fails                int
	open                 int64 // its present length
	until                int64
	probing              bool
}

// Allow reports whether a call may be made now, and if not, when to ask again.
func (b *Breaker) Allow(now int64) (ok bool, at int64) {
	switch {
	case b.fails < b.Threshold:
		return true, 0
	case now < b.until:
		return false, b.until
	case b.probing:
		return false, now + b.InitialOpen
	}
	b.probing = true
	return true, 0
}

// Cancel takes an allowed call back that was not made.
func (b *Breaker) Cancel() { b.probing = false }

// Record takes in how an allowed call went.
func (b *Breaker) Record(now int64, ok bool, rnd float64) {
	b.probing = false
	if ok {
		b.fails, b.open = 0, 0
		return
	}
	b.fails++
	if b.fails >= b.Threshold {
		b.open = min(max(2*b.open, b.InitialOpen), b.MaxOpen)
		b.until = now + b.open/2 + int64(rnd*float64(b.open/2))
	}
}
