package retry

// Budget limits retries over all calls: each call earns a fraction of a retry, and each retry spends one.
type Budget struct {
	capacity float64
	perCall  float64
	balance  float64
}

// NewBudget returns a full budget of capacity retries that earns perCall retries with each call.
func NewBudget(capacity, perCall float64) *Budget {
	return &Budget{capacity: capacity, perCall: perCall, balance: capacity}
}

// RecordCall records the first attempt of a call.
func (b *Budget) RecordCall() { b.balance = min(b.capacity, b.balance+b.perCall) }

// TakeRetry spends a retry, or returns false if none is left.
func (b *Budget) TakeRetry() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
