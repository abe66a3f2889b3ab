package upstream

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/httpmsg"
	"dapplegate/scheduler"
)

// TestCancelWhileDialingIsNotSent
//
// Symptom: after some clients had left, requests to a healthy target waited 0.6 s.
// Sequence: clients leave while the connections for their attempts are being dialed. Each attempt was
// reported as one that could not connect; after three of them the target counted as an outlier and was
// ejected for a while.
// Cause: an attempt that was cancelled before its first byte was reported as ConnectFailed, not as NotSent.
// Settled by the log: "attempt ended" reason=CONNECT_FAILED latency=0.4ms, right after "request ended"
// reason=CLIENT_CLOSED.
func TestCancelWhileDialingIsNotSent(t *testing.T) {
	dialer := newBlockingDialer()
	registry := newTestRegistryWith(dialer, testTimeout, "a:1")
	registry.send(time.Minute)
	for dialer.started.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	registry.Cancel(testTarget, "1")
	if result := registry.result(t); result.Status != scheduler.NotSent {
		t.Errorf("status %v, want it not sent", result.Status)
	}
}

// TestCancelledDialIsKept
//
// A client leaves while its attempt's connection is being made. Nothing of the attempt is sent, on that
// connection or on another, and the dial is not wasted: the next attempt has its connection.
func TestCancelledDialIsKept(t *testing.T) {
	server := newFakeTarget(t, respondOK)
	dialer := &heldDialer{HTTPDialer: NewHTTPDialer(0), connected: make(chan bool), release: make(chan bool)}
	registry := newTestRegistryWith(dialer, testTimeout, server.Addr().String())
	registry.send(time.Minute)
	<-dialer.connected
	registry.Cancel(testTarget, "1")
	if result := registry.result(t); result.Status != scheduler.NotSent || result.RequestID != "1" {
		t.Errorf("status %v of request %s, want it not sent", result.Status, result.RequestID)
	}
	close(dialer.release)
	awaitNoBackgroundDial(registry.targetActor())
	registry.send(time.Minute)
	if result := registry.result(t); result.Status != scheduler.Succeeded {
		t.Errorf("afterwards: status %v", result.Status)
	}
	if requests, connections := server.requests.Load(), server.connections.Load(); requests != 1 || connections != 1 {
		t.Errorf("afterwards: %d requests on %d connections, want one on one", requests, connections)
	}
}

// TestBackgroundDial
//
// Connections come up more slowly than their attempts wait. If each dial were given up with its attempt, no
// attempt would ever get a connection. The first dial goes on, beside no other, and its connection carries
// the next attempt. A target that is removed ends with its dial, and nothing stays counted as open.
func TestBackgroundDial(t *testing.T) {
	const dialTimeout = 250 * time.Millisecond
	dialer := newBlockingDialer()
	registry := newTestRegistryWith(dialer, dialTimeout, "a:1")
	// Each step goes on from the state that the one before it has left.
	t.Run("the second dial is given up", func(t *testing.T) {
		for i := range 2 {
			registry.send(10 * time.Second)
			if result := registry.result(t); result.Status != scheduler.ConnectFailed {
				t.Fatalf("attempt %d: status %v, want no connection", i, result.Status)
			}
		}
		if started, failed := dialer.started.Load(), dialer.failed.Load(); started != 2 || failed != 1 {
			t.Errorf("%d dials, %d given up; want the second given up beside the first", started, failed)
		}
	})
	if t.Failed() {
		return
	}
	t.Run("a late connection carries the next attempt", func(t *testing.T) {
		actor := registry.targetActor()
		dialer.release <- true
		awaitNoBackgroundDial(actor)
		registry.send(10 * time.Second)
		if result := registry.result(t); result.Status != scheduler.Succeeded || dialer.started.Load() != 2 {
			t.Errorf("status %v, %d dials", result.Status, dialer.started.Load())
		}
	})
	if t.Failed() {
		return
	}
	t.Run("a removed target ends with its dial", func(t *testing.T) {
		registry.Apply([]Endpoint{{ID: "m", Addr: "a:2"}}, true)
		registry.sendRead("x", "m", time.Minute)
		registry.result(t)
		registry.Apply(nil, true) // with a dial in the background
		for registry.openConns.Load() > 0 {
			time.Sleep(time.Millisecond) // until the dial has timed out
		}
	})
}

// TestConnectionClosedBeforeResult
//
// A target must not see a retry while the attempt before it is still on its connection. However an attempt
// ends early, the target sees the connection end; and a cancelled attempt is found also at a target that has
// been removed meanwhile, or removed and listed anew.
func TestConnectionClosedBeforeResult(t *testing.T) {
	remove := func(registry *testRegistry, _ string) { registry.Apply(nil, true) }
	listAnew := func(registry *testRegistry, addr string) {
		registry.Apply(nil, true)
		registry.Apply([]Endpoint{{ID: testTarget, Addr: addr}}, true)
	}
	for _, c := range []struct {
		name    string
		timeout time.Duration
		cancel  bool
		before  func(registry *testRegistry, addr string) // before it is cancelled; may be nil
		want    scheduler.AttemptStatus
	}{
		{"timeout", 2 * time.Second, false, nil, scheduler.DeadlineExceeded},
		{"cancel", time.Minute, true, nil, scheduler.Cancelled},
		{"cancel at a removed target", time.Minute, true, remove, scheduler.Cancelled},
		{"cancel at a target listed anew", time.Minute, true, listAnew, scheduler.Cancelled},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, received, closed := newSilentTarget(t)
			registry := newTestRegistry(server.Addr().String())
			registry.send(c.timeout)
			if c.cancel {
				<-received
				if c.before != nil {
					c.before(registry, server.Addr().String())
				}
				registry.Cancel(testTarget, "1")
			}
			if result := registry.result(t); result.Status != c.want {
				t.Errorf("status %v, want %v", result.Status, c.want)
			}
			select {
			case <-closed:
			case <-time.After(testTimeout):
				t.Error("the connection stayed open")
			}
			registry.Apply(nil, true)
			registry.awaitRetired()
		})
	}
}

// newSilentTarget returns a target that never answers. The channels signal when a request has arrived, and when
// its connection was closed.
func newSilentTarget(t *testing.T) (server *fakeTarget, received, closed chan bool) {
	t.Helper()
	received = make(chan bool, 1)
	closed = make(chan bool, 1)
	server = newFakeTarget(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
		received <- true
		_, _ = conn.Read(make([]byte, 1)) // until the initiator closes
		closed <- true
		return false
	})
	return server, received, closed
}

// TestDrainingTargetGetsNoFirstByte
//
// An attempt is decided on, or waits for its connection, while a list arrives in which its target is draining. It
// must not start there: the check right before the first byte sees the newer state.
func TestDrainingTargetGetsNoFirstByte(t *testing.T) {
	server := newFakeTarget(t, respondOK)
	registry := newTestRegistry(server.Addr().String())
	registry.send(10 * time.Second)
	registry.result(t)
	registry.Apply([]Endpoint{{ID: testTarget, Addr: server.Addr().String(), State: scheduler.Draining}}, false)
	registry.send(10 * time.Second)
	if result := registry.result(t); result.Status != scheduler.NotSent || server.requests.Load() != 1 {
		t.Errorf("status %v, %d requests reached the target; want none after the first", result.Status, server.requests.Load())
	}

	// The same with the connection in hand.
	actor := newTestTarget(scheduler.Draining)
	near, far := net.Pipe()
	defer closeQuietly(far)
	attempt := newTestAttempt(&httpmsg.Request{Method: "GET", URI: "/"})
	result := actor.exchange(t.Context(), attempt, &pooledConn{Conn: newTestHTTPConn(near)})
	if result.Reusable() || result.Status != scheduler.NotSent {
		t.Errorf("right before the first byte: status %v, reusable %v; want it not sent", result.Status, result.Reusable())
	}
}

// TestAttemptPastStartBy has an attempt's connection come up when it may not start any more: nothing of it is
// sent.
func TestAttemptPastStartBy(t *testing.T) {
	server := newFakeTarget(t, respondOK)
	registry := newTestRegistry(server.Addr().String())
	send := func(startBy time.Time) dispatcher.AttemptResult {
		registry.Send(dispatcher.Attempt{
			RequestID: "r",
			Target:    testTarget,
			StartBy:   startBy,
			Deadline:  time.Now().Add(time.Minute),
			Payload:   &httpmsg.Request{Method: "GET", URI: "/r/1", ID: "id"},
		})
		return registry.result(t)
	}
	if result := send(time.Now()); result.Status != scheduler.NotSent || server.requests.Load() != 0 {
		t.Errorf("too late: status %v, %d requests reached the target", result.Status, server.requests.Load())
	}
	if result := send(time.Now().Add(time.Minute)); result.Status != scheduler.Succeeded {
		t.Errorf("in time: status %v", result.Status)
	}
}

// TestDeadlineInQuarantineIsNotSent has the deadline of an attempt come while it waits for the end of its connection's
// quarantine.
//
// Rule: nothing was sent, which says nothing about the target, and the connection stays in the pool. Failure: the attempt still
// tries to write, the write fails for its deadline, and it counts as a connection that failed; after three of them a healthy
// target is an outlier.
func TestDeadlineInQuarantineIsNotSent(t *testing.T) {
	server := newFakeTarget(t, respondOK)
	conn, err := NewHTTPDialer(0).Dial(context.Background(), server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(conn)
	inQuarantine := &pooledConn{Conn: conn, uses: 1, returnedAt: time.Now().Add(testTimeout)}
	var result dispatcher.AttemptResult
	actor := newTarget(testTarget, Options{Logger: slog.New(slog.DiscardHandler)}, new(atomic.Int64),
		func(r dispatcher.AttemptResult) { result = r })
	actor.update(server.Addr().String(), scheduler.Serving)
	deadline := time.Now().Add(time.Millisecond)
	ctx, stop := context.WithDeadline(context.Background(), deadline)
	attempt := &inFlightAttempt{stop: stop, Attempt: dispatcher.Attempt{
		Target: testTarget, Deadline: deadline, Payload: &httpmsg.Request{Method: http.MethodGet, URI: "/"},
	}}
	actor.runAttempt(ctx, attempt, inQuarantine)
	if result.Status != scheduler.NotSent {
		t.Errorf("status %v, want it not sent", result.Status)
	}
	for _, m := range actor.mailbox.Take(nil) {
		if released, ok := m.(attemptReleased); ok && released.conn != inQuarantine {
			t.Error("the connection was closed")
		}
	}
	if !inQuarantine.IsIdle() || server.requests.Load() != 0 {
		t.Errorf("idle %v, %d requests reached the target", inQuarantine.IsIdle(), server.requests.Load())
	}
}

// TestFailedDialIsLogged has a target refuse the connection of an attempt. An operator must see why, in one line that names the
// target, and no end of a connection that never came up.
func TestFailedDialIsLogged(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeQuietly(listener)
	var log strings.Builder
	results := make(chan dispatcher.AttemptResult, 1)
	registry := NewRegistry(Options{
		Dialer:            NewHTTPDialer(0),
		DialTimeout:       testTimeout,
		IdleTimeout:       time.Minute,
		MaxConnsPerTarget: testMaxConnsPerTarget,
		MaxConns:          testMaxConns,
		Logger:            slog.New(slog.NewTextHandler(&log, nil)),
	}, func(result dispatcher.AttemptResult) { results <- result })
	registry.Apply([]Endpoint{{ID: testTarget, Addr: listener.Addr().String()}}, true)
	registry.Send(dispatcher.Attempt{RequestID: "1", Target: testTarget, Deadline: time.Now().Add(testTimeout)})
	if result := <-results; result.Status != scheduler.ConnectFailed {
		t.Errorf("status %v, want no connection", result.Status)
	}
	if got := log.String(); !strings.Contains(got, `msg="connection failed" side=target target=n`) ||
		!strings.Contains(got, "connection refused") || strings.Contains(got, "connection ended") {
		t.Errorf("logged %q", got)
	}
}
