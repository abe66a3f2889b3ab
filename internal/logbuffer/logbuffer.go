// Package logbuffer collects a log in memory, for tests that read it while it is written.
package logbuffer

import (
	"strings"
	"sync"
)

// Buffer is a log. Its zero value is empty. It is safe for concurrent use.
type Buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer. It never fails.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns what has been written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
