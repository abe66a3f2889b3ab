package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"dapplegate/internal/httpmsg"
	"dapplegate/scheduler"
)

// deadlineRecorder remembers the deadline set last.
type deadlineRecorder struct {
	net.Conn
	deadline time.Time
}

func (r *deadlineRecorder) SetDeadline(t time.Time) error {
	r.deadline = t
	return r.Conn.SetDeadline(t)
}

// TestDeadlineClearedAfterAttempt
//
// Once an attempt's deadline was left on its connection. When it had passed, the check of the idle connection
// failed, the healthy connection was closed for it, and nearly every request paid for a handshake.
func TestDeadlineClearedAfterAttempt(t *testing.T) {
	actor := newTestTarget(scheduler.Serving)
	near, far := net.Pipe()
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			respond(far, "200 OK", "x")
		}
	}()
	recorder := &deadlineRecorder{Conn: near}
	attempt := newTestAttempt(&httpmsg.Request{Method: "GET", URI: "/"})
	result := actor.exchange(t.Context(), attempt, &pooledConn{Conn: newTestHTTPConn(recorder)})
	if !result.Reusable() || !recorder.deadline.IsZero() {
		t.Errorf("reusable %v (%s), deadline left %v; want it reusable with none", result.Reusable(), result.CloseReason,
			recorder.deadline)
	}
}

// TestStaleConnection checks that a connection which the target closed while it was idle is not written to.
func TestStaleConnection(t *testing.T) {
	closed := make(chan bool)
	server := newFakeTarget(t, func(n int32, _ *http.Request, conn net.Conn) bool {
		respond(conn, "200 OK", "")
		if n == 1 {
			go func() {
				time.Sleep(20 * time.Millisecond)
				closeQuietly(conn)
				close(closed)
			}()
		}
		return true
	})
	registry := newTestRegistry(server.Addr().String())
	registry.send(10 * time.Second)
	registry.result(t)
	<-closed
	time.Sleep(20 * time.Millisecond) // for the close to arrive
	registry.send(10 * time.Second)
	if result := registry.result(t); result.Status != scheduler.Succeeded || server.requests.Load() != 2 {
		t.Errorf("status %v after %d requests, want it served by the second", result.Status, server.requests.Load())
	}
}

// TestDuplicateResponse
//
// A target answers a request twice, the second time when the next request is on its way already. That one
// must not be served with the copy: the connection is in quarantine when it would be chosen, and another one
// is opened. Where there are enough connections, quarantine is no reason for a further one.
func TestDuplicateResponse(t *testing.T) {
	next := make(chan bool)
	server := newFakeTarget(t, func(n int32, _ *http.Request, conn net.Conn) bool {
		if n > 1 {
			next <- true // the copy is sent before this response
			<-next
			return respond(conn, "200 OK", "second")
		}
		go func() {
			<-next
			respond(conn, "200 OK", "first")
			next <- true
		}()
		return respond(conn, "200 OK", "first")
	})
	registry := newTestRegistry(server.Addr().String())
	for _, want := range []string{"first", "second"} {
		registry.send(10 * time.Second)
		if result := registry.result(t); result.Status != scheduler.Succeeded || string(result.Payload.([]byte)) != want {
			t.Errorf("status %v, body %q, want %q", result.Status, result.Payload, want)
		}
	}

	plain := newFakeTarget(t, respondOK)
	registry = newTestRegistry(plain.Addr().String())
	for range 20 {
		registry.send(10 * time.Second)
		registry.result(t)
	}
	if n := plain.connections.Load(); n > maxConnsForQuarantine {
		t.Errorf("%d connections for requests one after another, want %d at most", n, maxConnsForQuarantine)
	}
}

// TestConnectionLimits checks both bounds: on the connections to one target, and to all of them together.
func TestConnectionLimits(t *testing.T) {
	release := make(chan bool)
	server := newFakeTarget(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
		<-release
		return respond(conn, "200 OK", "")
	})
	registry := newTestRegistry(server.Addr().String())
	registry.Apply([]Endpoint{{ID: "m", Addr: server.Addr().String()}}, false)
	for _, targetID := range []string{testTarget, "m"} {
		for i := range 5 {
			registry.sendRead(fmt.Sprint("r", targetID, i), targetID, time.Minute)
		}
	}
	for range 4 { // the fifth at one target, and all past two at the other
		if result := registry.result(t); result.Status != scheduler.ConnectFailed {
			t.Errorf("past the bounds: status %v, want no connection", result.Status)
		}
	}
	close(release)
	for range 6 {
		if result := registry.result(t); result.Status != scheduler.Succeeded {
			t.Errorf("within the bounds: status %v, want it served", result.Status)
		}
	}
}
