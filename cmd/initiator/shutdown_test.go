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

// startInitiator starts an initiator for the testbed and waits until it serves. prepare may change the initiator before it
// runs. The initiator runs until ctx is done; the returned channel receives its error.
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

// holdRequest sends a request that the target holds until b.released is closed. It returns once the target has the request,
// with a channel that receives the status of the response.
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

// failingServer serves nothing. Its Serve returns the error that is sent to fail.
type failingServer struct{ fail chan error }

func (s failingServer) Serve(net.Listener) error { return <-s.fail }

func (failingServer) Shutdown(context.Context) error { return nil }

// TestServerFailureAnswersOpenRequests makes one of two servers fail while the other has a request in flight. The request
// must get its response before the process ends with the server's error. The test guards against a process that ends at
// once, which resets the connections of its clients.
func TestServerFailureAnswersOpenRequests(t *testing.T) {
	const responseTimeout = 5 * time.Second
	b := newTestbed(t)
	failing := failingServer{make(chan error, 1)}
	ended := b.startInitiator(context.Background(), t, runOptions{}, func(in *initiator) { in.servers[freeAddr(t)] = failing })
	status := b.holdRequest()
	errFailed := errors.New("the listener has failed")
	failing.fail <- errFailed
	select {
	case err := <-ended:
		t.Errorf("ended with a request in flight: %v, want it to wait for the response", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(b.released)
	select {
	case got := <-status:
		if got != http.StatusOK {
			t.Errorf("the request in flight: status %d, want 200", got)
		}
	case <-time.After(responseTimeout):
		t.Fatalf("the request in flight has no response after %v", responseTimeout)
	}
	if err := <-ended; !errors.Is(err, errFailed) {
		t.Errorf("ended with %v, want %v", err, errFailed)
	}
}

// TestTerminationReachesSupersededInitiator terminates the process while a superseded initiator still has a request in
// flight on a target that hangs. The request must have its response before SIGKILL may come. The test guards against a
// termination that only the successor learns of: the request would then keep its own timeout, 20 s here.
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
		t.Fatalf("the request has status %d before the process is terminated, want no response yet", got)
	case <-time.After(100 * time.Millisecond):
	}
	terminate()
	select {
	case got := <-status:
		if got == 0 || got == http.StatusOK {
			t.Errorf("the request in flight: status %d, want an error status", got)
		}
	case <-time.After(schedule.FinalAnswerBy + 150*time.Millisecond):
		t.Fatalf("the request in flight has no response %v after the termination", schedule.FinalAnswerBy)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
