package upstream

import "sync/atomic"

// memoryBudget limits the total size, in bytes, of the response bodies that all connections of a dialer are reading at the
// same time. It is safe for concurrent use.
type memoryBudget struct {
	free atomic.Int64
}

func newMemoryBudget(bytes int64) *memoryBudget {
	budget := &memoryBudget{}
	budget.free.Store(bytes)
	return budget
}

// acquire takes bytes from the budget. If fewer are free, it takes none and returns false.
func (b *memoryBudget) acquire(bytes int64) bool {
	for {
		free := b.free.Load()
		if free < bytes {
			return false
		}
		if b.free.CompareAndSwap(free, free-bytes) {
			return true
		}
	}
}

// release returns acquired bytes to the budget.
func (b *memoryBudget) release(bytes int64) { b.free.Add(bytes) }
