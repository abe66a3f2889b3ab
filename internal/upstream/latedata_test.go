package upstream

import (
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/logbuffer"
	"dapplegate/scheduler"
)

// TestLateCopyMakesQuarantineLonger has a target send a copy of its response after the quarantine, while the connection is idle.
// The copy must end the connection, be logged with its delay, and make the quarantine longer for a while.
func TestLateCopyMakesQuarantineLonger(t *testing.T) {
	const copyDelay = 2 * quarantineTime
	copied := make(chan bool)
	server := newFakeTarget(t, func(n int32, _ *http.Request, conn net.Conn) bool {
		if n > 1 {
			return respond(conn, "200 OK", "second")
		}
		go func() {
			time.Sleep(copyDelay)
			respond(conn, "200 OK", "first")
			close(copied)
		}()
		return respond(conn, "200 OK", "first")
	})
	var log logbuffer.Buffer
	registry := &testRegistry{results: make(chan dispatcher.AttemptResult, 1)}
	registry.Registry = NewRegistry(Options{
		Dialer:            NewHTTPDialer(0),
		DialTimeout:       testTimeout,
		IdleTimeout:       time.Minute,
		MaxConnsPerTarget: testMaxConnsPerTarget,
		MaxConns:          testMaxConns,
		Logger:            slog.New(slog.NewTextHandler(&log, nil)),
	}, func(result dispatcher.AttemptResult) { registry.results <- result })
	registry.Apply([]Endpoint{{ID: testTarget, Addr: server.Addr().String()}}, true)
	registry.send(time.Minute)
	registry.result(t)
	<-copied
	time.Sleep(20 * time.Millisecond) // until the copy has arrived
	registry.send(time.Minute)
	if result := registry.result(t); result.Status != scheduler.Succeeded || string(result.Payload.([]byte)) != "second" {
		t.Errorf("got status %v and body %q, want SUCCEEDED and the second response", result.Status, result.Payload)
	}
	got := log.String()
	if !strings.Contains(got, `msg="unrequested data" side=target target=n after_response=`) ||
		!strings.Contains(got, "reason=UNREQUESTED_DATA") {
		t.Errorf("log is %q, want the delay of the copy and the reason of the close", got)
	}
	if got := registry.quarantine.duration(time.Now()); got < copyDelay || got > maxQuarantineTime {
		t.Errorf("quarantine of %v afterwards, want %v to %v", got, copyDelay, maxQuarantineTime)
	}
	if got := registry.quarantine.duration(time.Now().Add(lateDataMemory)); got != quarantineTime {
		t.Errorf("quarantine of %v after %v, want %v", got, lateDataMemory, quarantineTime)
	}
}
