package upstream

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/httpmsg"
	"dapplegate/scheduler"
)

// fakeConn is a connection that is idle unless the test sets busy.
type fakeConn struct{ busy, closed bool }

func (*fakeConn) RoundTrip(dispatcher.Attempt, func() bool) RoundTripResult {
	panic("unexpected call of RoundTrip")
}
func (c *fakeConn) IsIdle() bool { return !c.busy }
func (c *fakeConn) Close() error { c.closed = true; return nil }

// newTestPool returns a pool that may have maxConns connections and shares totalOpenConns with no other pool.
func newTestPool(maxConns int) *connPool {
	return &connPool{
		options:        Options{IdleTimeout: time.Minute, MaxConnsPerTarget: maxConns, MaxConns: maxConns},
		log:            connLog{logger: slog.New(slog.DiscardHandler)},
		quarantine:     &quarantine{},
		totalOpenConns: &atomic.Int64{},
	}
}

// addIdle adds a connection that carried an attempt and was returned to the pool idleTime ago.
func addIdle(t *testing.T, p *connPool, idleTime time.Duration) *pooledConn {
	t.Helper()
	if !p.reserveSlot() {
		t.Fatal("pool is full")
	}
	c := &pooledConn{Conn: &fakeConn{}, uses: 1}
	p.put(c)
	c.returnedAt = time.Now().Add(-idleTime)
	return c
}

// expectAcquire checks the results of acquire; a nil connection means that the attempt must dial one.
func expectAcquire(t *testing.T, p *connPool, want *pooledConn, wantOK bool) {
	t.Helper()
	if got, ok := p.acquire(); got != want || ok != wantOK {
		t.Errorf("acquire returned %p, %v; want %p, %v", got, ok, want, wantOK)
	}
}

// TestAcquireOrder checks the order of preference in which acquire chooses a connection: the most recently used one that is
// not in quarantine, a new one if few are open, the one whose quarantine ends first, and a new one within the limit.
func TestAcquireOrder(t *testing.T) {
	const inQuarantine = -time.Hour // a return in the future, so that the quarantine lasts however slow the test is
	pool := newTestPool(maxConnsForQuarantine + 1)
	older := addIdle(t, pool, time.Hour)
	newer := addIdle(t, pool, time.Minute)
	firstReturned := addIdle(t, pool, inQuarantine)
	expectAcquire(t, pool, newer, true)
	expectAcquire(t, pool, older, true)
	expectAcquire(t, pool, nil, true)
	if pool.openConns != maxConnsForQuarantine {
		t.Fatalf("%d connections are open, want %d", pool.openConns, maxConnsForQuarantine)
	}
	expectAcquire(t, pool, firstReturned, true)
	expectAcquire(t, pool, nil, true)
	expectAcquire(t, pool, nil, false)
	if openConns, total := pool.openConns, pool.totalOpenConns.Load(); openConns != pool.options.MaxConns ||
		total != int64(openConns) {
		t.Errorf("%d connections are open and the total is %d, want %d for both", openConns, total, pool.options.MaxConns)
	}
}

// TestAcquireClosesUnusable checks that acquire closes a pooled connection that has unread bytes, and releases its slot.
func TestAcquireClosesUnusable(t *testing.T) {
	pool := newTestPool(1)
	c := addIdle(t, pool, time.Minute)
	conn := c.Conn.(*fakeConn)
	conn.busy = true
	expectAcquire(t, pool, nil, true) // replaces the closed connection
	if !conn.closed || pool.openConns != 1 || len(pool.idle) != 0 {
		t.Errorf("closed %v, %d open, %d idle; want true, 1 open, 0 idle", conn.closed, pool.openConns, len(pool.idle))
	}
}

// deadlineRecorder records the last deadline that was set.
type deadlineRecorder struct {
	net.Conn
	deadline time.Time
}

func (r *deadlineRecorder) SetDeadline(t time.Time) error {
	r.deadline = t
	return r.Conn.SetDeadline(t)
}

func (r *deadlineRecorder) SetReadDeadline(t time.Time) error {
	r.deadline = t
	return r.Conn.SetReadDeadline(t)
}

func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	r.deadline = t
	return r.Conn.SetWriteDeadline(t)
}

// TestDeadlineClearedAfterAttempt checks that an attempt leaves no deadline on its connection.
//
// It guards against a pool that closes healthy connections: the check of an idle connection failed because the deadline of
// its last attempt had passed, and nearly every request needed a new connection.
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
		t.Errorf("reusable %v (close reason %q), deadline %v; want a reusable connection without one",
			result.Reusable(), result.CloseReason, recorder.deadline)
	}
}

// TestStaleConnection checks that nothing is sent on a connection that the target closed while it was idle.
func TestStaleConnection(t *testing.T) {
	const (
		closeDelay   = 20 * time.Millisecond // enough for the response to arrive and the connection to return to the pool
		closeArrival = 20 * time.Millisecond // enough for the close to arrive
	)
	closed := make(chan bool)
	server := newFakeTarget(t, func(n int32, _ *http.Request, conn net.Conn) bool {
		respond(conn, "200 OK", "")
		if n == 1 {
			go func() {
				time.Sleep(closeDelay)
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
	time.Sleep(closeArrival)
	registry.send(10 * time.Second)
	if result := registry.result(t); result.Status != scheduler.Succeeded || server.requests.Load() != 2 {
		t.Errorf("got status %v after %d requests, want SUCCEEDED after 2", result.Status, server.requests.Load())
	}
}

// TestDuplicateResponse checks that a second copy of a response is not taken for the response to the next request, which has
// already been sent when the copy arrives: the first connection is in quarantine, so the second request uses a new one. It
// also checks that quarantine opens no more than maxConnsForQuarantine connections.
func TestDuplicateResponse(t *testing.T) {
	secondArrived := make(chan struct{})
	copySent := make(chan struct{})
	server := newFakeTarget(t, func(n int32, _ *http.Request, conn net.Conn) bool {
		if n > 1 {
			close(secondArrived)
			<-copySent
			return respond(conn, "200 OK", "second")
		}
		go func() {
			<-secondArrived
			respond(conn, "200 OK", "first")
			close(copySent)
		}()
		return respond(conn, "200 OK", "first")
	})
	registry := newTestRegistry(server.Addr().String())
	for _, want := range []string{"first", "second"} {
		registry.send(10 * time.Second)
		if result := registry.result(t); result.Status != scheduler.Succeeded || string(result.Payload.([]byte)) != want {
			t.Errorf("got status %v and body %q, want SUCCEEDED and %q", result.Status, result.Payload, want)
		}
	}

	const requestsInARow = 20
	secondServer := newFakeTarget(t, respondOK)
	registry = newTestRegistry(secondServer.Addr().String())
	for range requestsInARow {
		registry.send(10 * time.Second)
		registry.result(t)
	}
	if n := secondServer.connections.Load(); n > maxConnsForQuarantine {
		t.Errorf("%d connections for consecutive requests, want at most %d", n, maxConnsForQuarantine)
	}
}

// TestConnectionLimits checks both limits: on the connections to one target, and on those to all targets together.
func TestConnectionLimits(t *testing.T) {
	const (
		attemptsPerTarget = testMaxConnsPerTarget + 1
		beyondLimits      = 2*attemptsPerTarget - testMaxConns // one attempt at the first target, the others at the second
	)
	release := make(chan bool)
	server := newFakeTarget(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
		<-release
		return respond(conn, "200 OK", "")
	})
	registry := newTestRegistry(server.Addr().String())
	registry.Apply([]Endpoint{{ID: "m", Addr: server.Addr().String()}}, false)
	for _, targetID := range []string{testTarget, "m"} {
		for i := range attemptsPerTarget {
			registry.sendRead(fmt.Sprint("r", targetID, i), targetID, time.Minute)
		}
	}
	for range beyondLimits {
		// Not ConnectFailed: a limit of this process says nothing about the target.
		if result := registry.result(t); result.Status != scheduler.NotSent {
			t.Errorf("beyond the limits: got status %v, want NOT_SENT", result.Status)
		}
	}
	close(release)
	for range testMaxConns {
		if result := registry.result(t); result.Status != scheduler.Succeeded {
			t.Errorf("within the limits: got status %v, want SUCCEEDED", result.Status)
		}
	}
}
