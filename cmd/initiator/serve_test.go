package main

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
)

// TestShutdownServesOpenRequests runs a whole initiator and stops it while a request is in flight: that request is served
// before the initiator ends, and none is served after it.
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
	time.Sleep(dispatcher.AcceptGrace + 150*time.Millisecond) // new connections are not accepted any more
	close(b.released)
	if got := <-response; got != "200 "+targetBody {
		t.Errorf("the request that was in flight: %s", got)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if status, _ := b.request(); status != 0 {
		t.Errorf("served after the end: %d", status)
	}
}
