package retry

// Budget bounds the retries over all calls: each call earns a part of a retry, each retry spends a whole one.
type Budget struct {
	capacity float64
	perCall  float64
	balance  float64
}

// NewBudget returns a full budget of capacity retries, which earns perCall of a retry with each call.
func NewBudget(capacity, perCall float64) *Budget {
	return &Budget{capacity: capacity, perCall: perCall, balance: capacity}
}

// RecordCall counts a call's first attempt.
func (b *Budget) RecordCall() { b.balance = min(b.capacity, b.balance+b.perCall) }

// TakeRetry spends a retry, or returns false where none is left.
func (b *Budget) TakeRetry() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
