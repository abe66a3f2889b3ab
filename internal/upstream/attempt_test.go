package upstream

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/httpmsg"
	"dapplegate/scheduler"
)

// TestCancelWhileDialingIsNotSent checks that an attempt cancelled before its first byte is reported as NotSent.
//
// It guards against a healthy target being ejected, with requests waiting 0.6 s for it, because clients closed their
// connections while their attempts were still dialing. Such attempts were reported as ConnectFailed, and three of them made
// the target an outlier. The log showed "attempt ended" reason=CONNECT_FAILED latency=0.4ms right after "request ended"
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
		t.Errorf("got status %v, want NOT_SENT", result.Status)
	}
}

// TestCancelledDialIsKept checks that a dial goes on when its attempt is cancelled because the client closed. Nothing of
// the attempt is sent, and the next attempt uses the connection.
func TestCancelledDialIsKept(t *testing.T) {
	server := newFakeTarget(t, respondOK)
	dialer := &delayedDialer{HTTPDialer: NewHTTPDialer(0), connected: make(chan bool), release: make(chan bool)}
	registry := newTestRegistryWith(dialer, testTimeout, server.Addr().String())
	registry.send(time.Minute)
	<-dialer.connected
	registry.Cancel(testTarget, "1")
	if result := registry.result(t); result.Status != scheduler.NotSent || result.RequestID != "1" {
		t.Errorf("got status %v for request %s, want NOT_SENT for request 1", result.Status, result.RequestID)
	}
	close(dialer.release)
	awaitNoBackgroundDial(registry.targetActor())
	registry.send(time.Minute)
	if result := registry.result(t); result.Status != scheduler.Succeeded {
		t.Errorf("second attempt: got status %v, want SUCCEEDED", result.Status)
	}
	if requests, connections := server.requests.Load(), server.connections.Load(); requests != 1 || connections != 1 {
		t.Errorf("target received %d requests on %d connections, want one request on one connection", requests, connections)
	}
}

// TestBackgroundDial checks dials that take longer than their attempts wait. If each dial were aborted with its attempt, no
// attempt would ever get a connection. Instead one dial goes on in the background, and its connection carries the next
// attempt. The actor of a removed target ends after its background dial, and no connection stays counted as open.
func TestBackgroundDial(t *testing.T) {
	const dialTimeout = 250 * time.Millisecond
	dialer := newBlockingDialer()
	registry := newTestRegistryWith(dialer, dialTimeout, "a:1")
	// Each step continues from the state that the previous one left.
	t.Run("second dial is aborted", func(t *testing.T) {
		for i := range 2 {
			registry.send(10 * time.Second)
			if result := registry.result(t); result.Status != scheduler.ConnectFailed {
				t.Fatalf("attempt %d: got status %v, want CONNECT_FAILED", i, result.Status)
			}
		}
		if started, failed := dialer.started.Load(), dialer.failed.Load(); started != 2 || failed != 1 {
			t.Errorf("%d dials started and %d aborted, want 2 started and 1 aborted", started, failed)
		}
	})
	if t.Failed() {
		return
	}
	t.Run("late connection carries the next attempt", func(t *testing.T) {
		actor := registry.targetActor()
		dialer.release <- true
		awaitNoBackgroundDial(actor)
		registry.send(10 * time.Second)
		if result := registry.result(t); result.Status != scheduler.Succeeded || dialer.started.Load() != 2 {
			t.Errorf("got status %v after %d dials, want SUCCEEDED after 2", result.Status, dialer.started.Load())
		}
	})
	if t.Failed() {
		return
	}
	t.Run("actor of a removed target ends after its dial", func(t *testing.T) {
		registry.Apply([]Endpoint{{ID: "m", Addr: "a:2"}}, true)
		registry.sendRead("x", "m", time.Minute)
		registry.result(t)
		registry.Apply(nil, true) // with a dial in the background
		for registry.totalOpenConns.Load() > 0 {
			time.Sleep(time.Millisecond) // until the dial has timed out
		}
	})
}

// TestConnectionClosedBeforeResult checks that the connection of an attempt that ends early is closed before the result is
// reported. Otherwise a target could receive a retry while the previous attempt is still active. An attempt can also be
// cancelled after its target was removed, or removed and added again.
func TestConnectionClosedBeforeResult(t *testing.T) {
	remove := func(registry *testRegistry, _ string) { registry.Apply(nil, true) }
	removeAndAdd := func(registry *testRegistry, addr string) {
		registry.Apply(nil, true)
		registry.Apply([]Endpoint{{ID: testTarget, Addr: addr}}, true)
	}
	for _, c := range []struct {
		name         string
		timeout      time.Duration
		cancel       bool
		beforeCancel func(registry *testRegistry, addr string) // called before the attempt is cancelled; may be nil
		want         scheduler.AttemptStatus
	}{
		{"timeout", 2 * time.Second, false, nil, scheduler.DeadlineExceeded},
		{"cancel", time.Minute, true, nil, scheduler.Cancelled},
		{"cancel after target was removed", time.Minute, true, remove, scheduler.Cancelled},
		{"cancel after target was removed and added again", time.Minute, true, removeAndAdd, scheduler.Cancelled},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, received, closed := newSilentTarget(t)
			registry := newTestRegistry(server.Addr().String())
			registry.send(c.timeout)
			if c.cancel {
				<-received
				if c.beforeCancel != nil {
					c.beforeCancel(registry, server.Addr().String())
				}
				registry.Cancel(testTarget, "1")
			}
			if result := registry.result(t); result.Status != c.want {
				t.Errorf("got status %v, want %v", result.Status, c.want)
			}
			select {
			case <-closed:
			case <-time.After(testTimeout):
				t.Error("connection was not closed")
			}
			registry.Apply(nil, true)
			registry.awaitRetired()
		})
	}
}

// newSilentTarget returns a target that never responds. The channels signal that a request has arrived, and that its
// connection was closed.
func newSilentTarget(t *testing.T) (server *fakeTarget, received, closed chan bool) {
	t.Helper()
	received = make(chan bool, 1)
	closed = make(chan bool, 1)
	server = newFakeTarget(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
		received <- true
		_, _ = conn.Read(make([]byte, 1)) // returns when the initiator closes the connection
		closed <- true
		return false
	})
	return server, received, closed
}

// TestNoAttemptStartsAtDrainingTarget checks that nothing is sent to a target that started draining after the attempt was
// scheduled, or while the attempt waited for its connection: the check right before the first byte sees the newer state.
func TestNoAttemptStartsAtDrainingTarget(t *testing.T) {
	server := newFakeTarget(t, respondOK)
	registry := newTestRegistry(server.Addr().String())
	registry.send(10 * time.Second)
	registry.result(t)
	registry.Apply([]Endpoint{{ID: testTarget, Addr: server.Addr().String(), State: scheduler.Draining}}, false)
	registry.send(10 * time.Second)
	if result := registry.result(t); result.Status != scheduler.NotSent || server.requests.Load() != 1 {
		t.Errorf("got status %v with %d requests at the target, want NOT_SENT with 1", result.Status, server.requests.Load())
	}

	// The same for an attempt that already has its connection.
	actor := newTestTarget(scheduler.Draining)
	near, far := net.Pipe()
	defer closeQuietly(far)
	attempt := newTestAttempt(&httpmsg.Request{Method: "GET", URI: "/"})
	result := actor.exchange(t.Context(), attempt, &pooledConn{Conn: newTestHTTPConn(near)})
	if result.Reusable() || result.Status != scheduler.NotSent {
		t.Errorf("right before the first byte: got status %v, reusable %v; want NOT_SENT, not reusable",
			result.Status, result.Reusable())
	}
}

// TestNoAttemptStartsAfterSendBy checks that nothing of an attempt is sent if its SendBy passes before it has a
// connection.
func TestNoAttemptStartsAfterSendBy(t *testing.T) {
	server := newFakeTarget(t, respondOK)
	registry := newTestRegistry(server.Addr().String())
	send := func(sendBy time.Time) dispatcher.AttemptResult {
		registry.Send(dispatcher.Attempt{
			RequestID: "r",
			Target:    testTarget,
			SendBy:    sendBy,
			Deadline:  time.Now().Add(time.Minute),
			Payload:   &httpmsg.Request{Method: "GET", URI: "/r/1", ID: "id"},
		})
		return registry.result(t)
	}
	if result := send(time.Now()); result.Status != scheduler.NotSent || server.requests.Load() != 0 {
		t.Errorf("after SendBy: got status %v with %d requests at the target, want NOT_SENT with none",
			result.Status, server.requests.Load())
	}
	if result := send(time.Now().Add(time.Minute)); result.Status != scheduler.Succeeded {
		t.Errorf("before SendBy: got status %v, want SUCCEEDED", result.Status)
	}
}

// TestDeadlineInQuarantineIsNotSent checks that an attempt is NotSent, and its connection stays in the pool, if its deadline
// passes while it waits for the end of the connection's quarantine.
//
// It guards against an attempt that tries to write all the same: the write fails because the deadline has passed, the
// attempt counts as ConnectFailed, and three of these make a healthy target an outlier.
func TestDeadlineInQuarantineIsNotSent(t *testing.T) {
	server := newFakeTarget(t, respondOK)
	conn, err := NewHTTPDialer(0).Dial(context.Background(), server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(conn)
	inQuarantine := &pooledConn{Conn: conn, uses: 1, returnedAt: time.Now().Add(testTimeout)}
	var result dispatcher.AttemptResult
	actor := newTarget(testTarget, Options{Logger: slog.New(slog.DiscardHandler)}, new(atomic.Int64), &quarantine{},
		func(r dispatcher.AttemptResult) { result = r })
	actor.update(server.Addr().String(), scheduler.Serving)
	deadline := time.Now().Add(time.Millisecond)
	ctx, cancelContext := context.WithDeadline(context.Background(), deadline)
	attempt := &inFlightAttempt{cancelContext: cancelContext, Attempt: dispatcher.Attempt{
		Target: testTarget, Deadline: deadline, Payload: &httpmsg.Request{Method: http.MethodGet, URI: "/"},
	}}
	actor.runAttempt(ctx, attempt, inQuarantine)
	if result.Status != scheduler.NotSent {
		t.Errorf("got status %v, want NOT_SENT", result.Status)
	}
	for _, m := range actor.mailbox.Take(nil) {
		if ended, ok := m.(attemptEnded); ok && ended.conn != inQuarantine {
			t.Error("connection was not returned to the pool")
		}
	}
	if !inQuarantine.IsIdle() || server.requests.Load() != 0 {
		t.Errorf("connection idle: %v, requests at the target: %d; want true and 0", inQuarantine.IsIdle(), server.requests.Load())
	}
}

// TestFailedDialIsLogged checks what is logged if a target refuses a connection: one line with the target and the error, and
// no "connection ended", since no connection was established.
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
		t.Errorf("got status %v, want CONNECT_FAILED", result.Status)
	}
	if got := log.String(); !strings.Contains(got, `msg="connection failed" side=target target=n`) ||
		!strings.Contains(got, "connection refused") || strings.Contains(got, "connection ended") {
		t.Errorf("log is %q, want a failed connection with its cause and no ended connection", got)
	}
}

// failingDialer fails with each of its errors in turn before it dials.
type failingDialer struct {
	HTTPDialer
	errnos chan syscall.Errno
}

func (d failingDialer) Dial(ctx context.Context, addr string) (Conn, error) {
	select {
	case errno := <-d.errnos:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", errno)}
	default:
		return d.HTTPDialer.Dial(ctx, addr)
	}
}

// TestLocalDialErrorIsNotAttributedToTarget guards against a healthy target that becomes an outlier because this machine lacks
// descriptors, memory, ports or a route for a moment.
func TestLocalDialErrorIsNotAttributedToTarget(t *testing.T) {
	server := newFakeTarget(t, respondOK)
	dialer := failingDialer{NewHTTPDialer(0), make(chan syscall.Errno, len(localDialErrors))}
	for _, errno := range localDialErrors {
		dialer.errnos <- errno
	}
	registry := newTestRegistryWith(dialer, testTimeout, server.Addr().String())
	registry.send(time.Minute)
	if result := registry.result(t); result.Status != scheduler.Succeeded {
		t.Errorf("got status %v, want SUCCEEDED", result.Status)
	}
}
