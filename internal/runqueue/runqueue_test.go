package runqueue

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const busyGoroutines = 200

// useProcessor keeps the processor busy for some time.
func useProcessor() {
	end := time.Now().Add(50 * time.Microsecond)
	for now := time.Now(); now.Before(end); now = time.Now() {
		continue
	}
}

// startBusy starts goroutines that take a turn again as soon as they have used the one before, and count their turns.
func startBusy(queue *Queue, done <-chan struct{}, running *sync.WaitGroup) (turns *atomic.Int64) {
	turns = &atomic.Int64{}
	for range busyGoroutines {
		running.Go(func() {
			waiter := queue.NewWaiter()
			for {
				select {
				case <-done:
					return
				default:
				}
				waiter.Wait()
				turns.Add(1)
				useProcessor()
			}
		})
	}
	return turns
}

// TestOtherGoroutineDoesNotWaitForAllInQueue guards against a goroutine that waits for each of many busy ones before it runs.
func TestOtherGoroutineDoesNotWaitForAllInQueue(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const rounds, maxTurnsPerRound = 300, 4
	stopped := make(chan struct{})
	queue := New(stopped)
	var running sync.WaitGroup
	running.Go(queue.Run)
	turns := startBusy(queue, stopped, &running)
	runtime.Gosched()
	before := turns.Load()
	for range rounds {
		runtime.Gosched()
	}
	granted := turns.Load() - before
	close(stopped)
	running.Wait()
	if granted == 0 || granted > rounds*maxTurnsPerRound {
		t.Errorf("%d turns were granted while another goroutine ran %d times, want 1 to %d", granted, rounds, rounds*maxTurnsPerRound)
	}
}

// TestTurnsAreGrantedInOrder guards against a goroutine in the queue that others overtake again and again.
func TestTurnsAreGrantedInOrder(t *testing.T) {
	stopped := make(chan struct{})
	defer close(stopped)
	queue := New(stopped)
	var waiters []*Waiter
	for range busyGoroutines {
		waiter := queue.NewWaiter()
		queue.waiting.Put(waiter)
		waiters = append(waiters, waiter)
	}
	go queue.Run()
	<-waiters[len(waiters)-1].turn
	for i, waiter := range waiters[:len(waiters)-1] {
		if len(waiter.turn) != 1 {
			t.Fatalf("waiter %d of %d has no turn, but the last one had", i, len(waiters))
		}
	}
}

// TestStoppedQueueKeepsNobodyWaiting guards against a connection that still waits for its turn when its server has stopped.
func TestStoppedQueueKeepsNobodyWaiting(t *testing.T) {
	stopped := make(chan struct{})
	waiter := New(stopped).NewWaiter()
	returned := make(chan struct{})
	go func() {
		waiter.Wait() // Run does not run
		waiter.Wait()
		close(returned)
	}()
	close(stopped)
	select {
	case <-returned:
	case <-time.After(5 * time.Second):
		t.Error("a goroutine still waits after the queue has stopped")
	}
}
