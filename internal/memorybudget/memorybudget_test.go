package memorybudget

import (
	"sync"
	"testing"
)

// TestMemoryBudget checks that Acquire takes either all requested bytes or none, and never more than are free.
func TestMemoryBudget(t *testing.T) {
	budget := New(10)
	if !budget.Acquire(7) {
		t.Error("7 of 10 bytes were refused")
	}
	if budget.Acquire(4) {
		t.Error("4 bytes were acquired when 3 were free")
	}
	if !budget.Acquire(3) {
		t.Error("the last 3 bytes were refused")
	}
	budget.Release(7)
	if !budget.Acquire(7) {
		t.Error("7 released bytes were refused")
	}
}

// TestMemoryBudgetRefusalDoesNotAffectOthers checks that a call of Acquire that is refused never makes a concurrent one
// fail. That would happen if Acquire took the bytes first and returned them on refusal.
func TestMemoryBudgetRefusalDoesNotAffectOthers(t *testing.T) {
	const size, rounds = 100, 200_000
	budget := New(size)
	var workers sync.WaitGroup
	done := make(chan struct{})
	for range 2 {
		workers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if budget.Acquire(2 * size) {
					t.Error("acquired more bytes than the budget has")
					return
				}
			}
		})
	}
	refused := 0
	for range rounds {
		if !budget.Acquire(size) {
			refused++
			continue
		}
		budget.Release(size)
	}
	close(done)
	workers.Wait()
	if refused > 0 {
		t.Errorf("%d of %d calls within the budget were refused", refused, rounds)
	}
}
