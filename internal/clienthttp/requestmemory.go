package clienthttp

import (
	"errors"
	"net/http"

	"dapplegate/internal/memorybudget"
)

// errOutOfMemory is the error of a request for which Options.MaxRequestBytes leaves no room.
var errOutOfMemory = errors.New("the requests in flight take all memory for requests")

// requestMemory is the memory that a request takes from the budget for the requests in flight: its head, and its body as far
// as that has arrived.
type requestMemory struct {
	budget   *memorybudget.Budget
	acquired int64
}

// acquire takes further bytes from the budget. If fewer are free, it takes none and returns errOutOfMemory. Without a budget
// there is no limit.
func (m *requestMemory) acquire(bytes int64) error {
	if m.budget != nil && !m.budget.Acquire(bytes) {
		return errOutOfMemory
	}
	m.acquired += bytes
	return nil
}

// release returns all that was taken.
func (m *requestMemory) release() {
	if m.budget != nil {
		m.budget.Release(m.acquired)
	}
	m.acquired = 0
}

// headBytes returns the approximate size of a request's head.
func headBytes(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return int64(size)
}
