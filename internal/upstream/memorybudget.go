package upstream

import "sync/atomic"

// memoryBudget bounds the response bodies that all connections of a dialer are reading at one time, in bytes. It is safe for
// concurrent use.
type memoryBudget struct {
	free atomic.Int64
}

func newMemoryBudget(bytes int64) *memoryBudget {
	budget := &memoryBudget{}
	budget.free.Store(bytes)
	return budget
}

// acquire takes bytes from the budget, or none if there are fewer.
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

// release returns bytes that were acquired.
func (b *memoryBudget) release(bytes int64) { b.free.Add(bytes) }
