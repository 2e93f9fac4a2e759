package memory

import "testing"

func TestReserveStaysWithinTheLimit(t *testing.T) {
	b := NewBudget(100)
	if !b.Reserve(60) || b.Reserve(41) || !b.Reserve(40) {
		t.Error("Reserve does not allow exactly the limit")
	}
	b.Add(10)
	b.Release(60)
	if b.Used() != 50 || !b.Reserve(50) || b.Reserve(1) {
		t.Errorf("%d bytes are used, want 100", b.Used())
	}
}
