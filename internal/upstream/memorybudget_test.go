package upstream

import (
	"sync"
	"testing"
)

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

// TestMemoryBudgetRefusesOneWithoutAnother asks for more than there is again and again, beside one that always fits. Failure:
// the bytes of the large one are taken for a moment before it is refused, and the other is refused with it.
func TestMemoryBudgetRefusesOneWithoutAnother(t *testing.T) {
	const size, rounds = 100, 200_000
	budget := newMemoryBudget(size)
	var asking sync.WaitGroup
	done := make(chan struct{})
	for range 2 {
		asking.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if budget.acquire(2 * size) {
					t.Error("more was acquired than there is")
					return
				}
			}
		})
	}
	refused := 0
	for range rounds {
		if !budget.acquire(size) {
			refused++
			continue
		}
		budget.release(size)
	}
	close(done)
	asking.Wait()
	if refused > 0 {
		t.Errorf("%d of %d that fit were refused", refused, rounds)
	}
}
