package mailbox

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// TestTakeReturnsMessagesInOrder takes several batches and checks that each has only the messages put since the last Take,
// although Take reuses the memory of an earlier batch.
func TestTakeReturnsMessagesInOrder(t *testing.T) {
	box := New[int]()
	var spare []int
	for _, batch := range [][]int{{1, 2, 3}, {4}, {}, {5, 6}} {
		for _, message := range batch {
			box.Put(message)
		}
		got := box.Take(spare)
		if !slices.Equal(got, batch) {
			t.Errorf("took %v, want %v", got, batch)
		}
		spare = got
	}
}

// TestNoMessageIsLeftBehind has many goroutines put messages while the owner takes them, and checks that the owner is woken
// until it has all of them. An owner that misses a wake-up would sleep with messages in its mailbox, and the requests they
// belong to would never get a response.
func TestNoMessageIsLeftBehind(t *testing.T) {
	const senders, messagesEach = 8, 1000
	box := New[int]()
	var sending sync.WaitGroup
	for range senders {
		sending.Go(func() {
			for i := range messagesEach {
				box.Put(i)
			}
		})
	}
	timeout := time.After(time.Minute)
	var spare []int
	for received := 0; received < senders*messagesEach; {
		select {
		case <-box.Wake():
			spare = box.Take(spare)
			received += len(spare)
		case <-timeout:
			t.Fatalf("received %d of %d messages within a minute", received, senders*messagesEach)
		}
	}
	sending.Wait()
}
