package mailbox

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// TestTakeReturnsMessagesInOrder takes twice and checks that the second batch holds nothing of the first, although it reuses
// the memory of an earlier one.
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

// TestNoMessageIsLeftBehind
//
// An owner that misses a wake-up sleeps with messages in its mailbox, and their requests are never answered. Many goroutines
// put messages while the owner takes them: it must be woken until it has all.
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
			t.Fatalf("%d of %d messages after a minute", received, senders*messagesEach)
		}
	}
	sending.Wait()
}
