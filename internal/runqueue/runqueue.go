// Package runqueue lets goroutines of one kind compete for the processor with all others one at a time.
//
// The Go scheduler treats all runnable goroutines alike. If hundreds of them always have work, as those of clients that send at
// full speed do, each other goroutine waits behind all of them every time it becomes runnable. If the hundreds wait in a Queue
// instead, the others wait for only one of them.
package runqueue

import (
	"runtime"

	"dapplegate/internal/mailbox"
)

// Queue is a first-in, first-out queue for the processor. It is safe for concurrent use.
type Queue struct {
	waiting *mailbox.Mailbox[*Waiter]
	stopped <-chan struct{}
}

// Waiter is a place in a queue. One goroutine at a time may wait with it.
type Waiter struct {
	queue *Queue
	turn  chan struct{} // holds one value once the turn is granted
}

// New returns a queue that grants turns while Run runs. Once stopped is closed, nobody waits any more.
func New(stopped <-chan struct{}) *Queue {
	return &Queue{waiting: mailbox.New[*Waiter](), stopped: stopped}
}

// NewWaiter returns a waiter for the queue.
func (q *Queue) NewWaiter() *Waiter { return &Waiter{queue: q, turn: make(chan struct{}, 1)} }

// Run grants turns, in the order in which they were asked for, until the queue is stopped. Between two turns every other
// goroutine that is runnable gets to run.
func (q *Queue) Run() {
	var granted []*Waiter
	for {
		select {
		case <-q.stopped:
			return
		case <-q.waiting.Wake():
		}
		granted = q.waiting.Take(granted)
		for _, waiter := range granted {
			waiter.turn <- struct{}{}
			runtime.Gosched()
		}
	}
}

// Wait waits for a turn, which lasts until the goroutine blocks. A nil waiter does not wait.
func (w *Waiter) Wait() {
	if w == nil {
		return
	}
	w.queue.waiting.Put(w)
	select {
	case <-w.turn:
	case <-w.queue.stopped:
	}
}
