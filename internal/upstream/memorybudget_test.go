package upstream

import "testing"

// TestMemoryBudget checks that acquire takes all bytes or none, and never more than the budget has.
func TestMemoryBudget(t *testing.T) {
	budget := newMemoryBudget(10)
	if !budget.acquire(7) {
		t.Error("7 of 10 bytes were refused")
	}
	if budget.acquire(4) {
		t.Error("4 bytes were given where 3 are left")
	}
	if !budget.acquire(3) {
		t.Error("the last 3 bytes were refused")
	}
	budget.release(7)
	if !budget.acquire(7) {
		t.Error("7 bytes that were released were refused")
	}
}
