// Package mailbox provides unbounded message queues for goroutines that own their state and receive all input as messages.
package mailbox

import "sync"

// Mailbox is an unbounded queue of messages. Any goroutine may put messages into it; one goroutine, its owner, takes them.
//
// Since it is unbounded, Put neither blocks nor drops a message: two owners that send to each other cannot deadlock, and no
// result is lost. The number of queued messages must be limited where work is admitted, for example by the limits on client
// connections and open calls.
type Mailbox[T any] struct {
	mu       sync.Mutex
	messages []T
	wake     chan struct{} // holds one value while a wake-up is pending
}

// New returns an empty mailbox.
func New[T any]() *Mailbox[T] {
	return &Mailbox[T]{wake: make(chan struct{}, 1)}
}

// Put adds a message. It never blocks and is safe for concurrent use.
func (m *Mailbox[T]) Put(message T) {
	m.mu.Lock()
	m.messages = append(m.messages, message)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default: // a wake-up is pending already, after which the owner takes this message as well
	}
}

// IsEmpty reports whether there are no messages to take.
func (m *Mailbox[T]) IsEmpty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.messages) == 0
}

// Wake returns a channel that is readable when there may be messages to take. A wake-up may be spurious, because an earlier
// Take may have taken the messages already.
func (m *Mailbox[T]) Wake() <-chan struct{} { return m.wake }

// Take removes and returns all messages, in the order in which they were put. The slice is empty if there are none. spare is
// a slice that an earlier Take returned, or nil. Take reuses its memory, so the caller must not use it any more.
func (m *Mailbox[T]) Take(spare []T) []T {
	clear(spare)
	m.mu.Lock()
	defer m.mu.Unlock()
	messages := m.messages
	m.messages = spare[:0]
	return messages
}
