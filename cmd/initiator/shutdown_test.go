package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
)

// startInitiator runs an initiator for the testbed until the context ends. prepare may change its parts before.
func (b *testbed) startInitiator(
	ctx context.Context, t *testing.T, options runOptions, prepare func(*initiator),
) (ended <-chan error) {
	t.Helper()
	cfg, operator := b.mustLoad(t, "")
	in, err := newInitiator(cfg, operator, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	prepare(in)
	result := make(chan error, 1)
	go func() { result <- in.run(ctx, options) }()
	b.waitUntilServed(t)
	return result
}

// holdRequest sends a request that the target holds until released is closed, and returns where its status goes.
func (b *testbed) holdRequest() (status <-chan int) {
	b.blocking.Store(true)
	result := make(chan int, 1)
	go func() {
		got, _ := b.request()
		result <- got
	}()
	<-b.received
	return result
}

// failingServer serves nothing, and fails when it is told to.
type failingServer struct{ fail chan error }

func (s failingServer) Serve(net.Listener) error { return <-s.fail }

func (failingServer) Shutdown(context.Context) error { return nil }

// TestServerFailureAnswersOpenRequests has one of two servers fail while the other has a request in flight.
//
// Rule: the request gets its response before the process ends with the server's error. Failure: the process ends at once, and
// its clients see their connections reset.
func TestServerFailureAnswersOpenRequests(t *testing.T) {
	const endsWithin = 5 * time.Second
	b := newTestbed(t)
	failing := failingServer{make(chan error, 1)}
	ended := b.startInitiator(context.Background(), t, runOptions{}, func(in *initiator) { in.servers[freeAddr(t)] = failing })
	status := b.holdRequest()
	errFailed := errors.New("the listener is gone")
	failing.fail <- errFailed
	select {
	case err := <-ended:
		t.Errorf("ended with a request in flight, and with %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(b.released)
	select {
	case got := <-status:
		if got != http.StatusOK {
			t.Errorf("the request in flight: status %d", got)
		}
	case <-time.After(endsWithin):
		t.Fatalf("the request in flight has no response after %v", endsWithin)
	}
	if err := <-ended; !errors.Is(err, errFailed) {
		t.Errorf("ended with %v, want %v", err, errFailed)
	}
}

// TestTerminationReachesSupersededInitiator ends the process while an initiator whose successor serves still has a request in
// flight, with a target that hangs.
//
// Rule: the request has its response before SIGKILL may come. Failure: the request keeps its own timeout, 20 s here, since only
// the successor is told that the process ends.
func TestTerminationReachesSupersededInitiator(t *testing.T) {
	b := newTestbed(t)
	defer close(b.released)
	processCtx, terminate := context.WithCancel(context.Background())
	defer terminate()
	ctx, stop := context.WithCancelCause(processCtx)
	schedule := dispatcher.NewShutdownSchedule(20 * time.Second)
	ended := b.startInitiator(ctx, t, runOptions{terminated: processCtx.Done()}, func(*initiator) {})
	status := b.holdRequest()
	stop(errSuperseded)
	select {
	case got := <-status:
		t.Fatalf("the request has status %d before the process ends", got)
	case <-time.After(100 * time.Millisecond):
	}
	terminate()
	select {
	case got := <-status:
		if got == 0 || got == http.StatusOK {
			t.Errorf("the request in flight: status %d", got)
		}
	case <-time.After(schedule.FinalAnswerBy + 150*time.Millisecond):
		t.Fatalf("no response %v after the process was to end", schedule.FinalAnswerBy)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
