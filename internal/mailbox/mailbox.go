// Package mailbox provides unbounded queues of messages for goroutines that own their state and receive all input this way.
package mailbox

import "sync"

// Mailbox is a queue that any goroutine puts messages into and one goroutine, its owner, takes them from.
//
// It has no bound, so Put neither blocks nor drops: two owners that send to each other cannot deadlock, and no result is
// lost. What may pile up must be bounded where work is admitted, as by the limits on client connections and open calls.
type Mailbox[T any] struct {
	mu       sync.Mutex
	messages []T
	wake     chan struct{} // holds one value while a wake-up is pending
}

// New returns an empty mailbox.
func New[T any]() *Mailbox[T] {
	return &Mailbox[T]{wake: make(chan struct{}, 1)}
}

// Put adds a message. It never blocks, and is safe for concurrent use.
func (b *Mailbox[T]) Put(message T) {
	b.mu.Lock()
	b.messages = append(b.messages, message)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default: // the owner has a wake-up pending, and will find this message as well
	}
}

// Wake returns a channel that is readable when there may be messages to take. A wake-up may be spurious: another Take may
// have taken the messages.
func (b *Mailbox[T]) Wake() <-chan struct{} { return b.wake }

// Take removes and returns all messages, in the order of their Puts; none: an empty slice. Take reuses the memory of spare,
// which the caller must not use any more: the slice of an earlier Take, or nil.
func (b *Mailbox[T]) Take(spare []T) []T {
	clear(spare)
	b.mu.Lock()
	defer b.mu.Unlock()
	messages := b.messages
	b.messages = spare[:0]
	return messages
}
