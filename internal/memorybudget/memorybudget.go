// Package memorybudget limits how many bytes several goroutines hold at the same time.
package memorybudget

import "sync/atomic"

// Budget is a number of bytes that its users share. It is safe for concurrent use.
type Budget struct {
	free atomic.Int64
}

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget {
	budget := &Budget{}
	budget.free.Store(bytes)
	return budget
}

// Acquire takes bytes from the budget. If fewer are free, it takes none and returns false.
func (b *Budget) Acquire(bytes int64) bool {
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

// Release returns acquired bytes to the budget.
func (b *Budget) Release(bytes int64) { b.free.Add(bytes) }

// Free returns how many bytes are not acquired.
func (b *Budget) Free() int64 { return b.free.Load() }
