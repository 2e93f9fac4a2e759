// Package memory accounts for the memory that clients make a broker hold.
package memory

import "sync/atomic"

// Budget limits a number of bytes. Its methods may be called by any goroutine.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve counts n bytes until Release is called, and reports true. If they would exceed the limit, it counts nothing and
// reports false.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Add counts n bytes until Release is called, whether or not they exceed the limit.
func (b *Budget) Add(n int64) { b.used.Add(n) }

// Release ends the count of n bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the number of bytes that are counted.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }
