package main

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
)

// TestShutdownServesOpenRequests stops an initiator while a request is in flight. That request must be served before the
// initiator ends, and none after that.
func TestShutdownServesOpenRequests(t *testing.T) {
	b := newTestbed(t)
	cfg, operator := b.mustLoad(t, "")
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, cfg, operator, discardLog, runOptions{}) }()
	b.waitUntilServed(t)

	b.blocking.Store(true)
	response := make(chan string, 1)
	go func() {
		status, body := b.request()
		response <- fmt.Sprint(status, " ", body)
	}()
	<-b.received
	stop()
	time.Sleep(dispatcher.AcceptGrace + 150*time.Millisecond) // by then, new connections are no longer accepted
	close(b.released)
	if got := <-response; got != "200 "+targetBody {
		t.Errorf("the request in flight: %s, want status 200 and the target's body", got)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if status, _ := b.request(); status != 0 {
		t.Errorf("a request after the initiator has ended: status %d, want no response", status)
	}
}
