package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/httpmsg"
	"dapplegate/internal/memorybudget"
	"dapplegate/internal/propertytest"
	"dapplegate/scheduler"
)

const (
	// testTimeout limits each wait of a test. Nothing that a test waits for takes that long, even on a busy machine.
	testTimeout = 20 * time.Second
	// testTarget is the ID of a testRegistry's target.
	testTarget = "n"
	// testMaxConnsPerTarget and testMaxConns are the limits on the connections of a testRegistry.
	testMaxConnsPerTarget = 4
	testMaxConns          = 6
)

func TestMain(m *testing.M) { propertytest.Main(m) }

// fakeTarget is an HTTP target that passes each request to a requestHandler.
type fakeTarget struct {
	net.Listener
	connections atomic.Int32 // accepted
	requests    atomic.Int32 // received
}

// requestHandler responds to the target's n-th request, counted from 1, on the connection on which the request arrived. It
// returns false to have the connection closed.
type requestHandler func(n int32, request *http.Request, conn net.Conn) bool

func newFakeTarget(t *testing.T, handle requestHandler) *fakeTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(listener) })
	f := &fakeTarget{Listener: listener}
	go f.acceptAll(handle)
	return f
}

func (f *fakeTarget) acceptAll(handle requestHandler) {
	for {
		conn, err := f.Accept()
		if err != nil {
			return
		}
		f.connections.Add(1)
		go f.serve(conn, handle)
	}
}

func (f *fakeTarget) serve(conn net.Conn, handle requestHandler) {
	defer closeQuietly(conn)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !handle(f.requests.Add(1), request, conn) {
			return
		}
	}
}

// respondOK is a requestHandler that responds with 200 OK.
func respondOK(_ int32, _ *http.Request, conn net.Conn) bool { return respond(conn, "200 OK", "") }

// respond writes a response with a body. The head is the rest of the status line, optionally followed by headers. It returns
// false if the write fails.
func respond(conn net.Conn, head, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}

// closeQuietly closes c and ignores an error.
func closeQuietly(c io.Closer) { _ = c.Close() }

// testRegistry is a registry with one target that collects the results of attempts.
type testRegistry struct {
	*Registry
	results chan dispatcher.AttemptResult
	sent    int
}

func newTestRegistry(addr string) *testRegistry {
	return newTestRegistryWith(NewHTTPDialer(0), testTimeout, addr)
}

func newTestRegistryWith(dialer Dialer, dialTimeout time.Duration, addr string) *testRegistry {
	r := &testRegistry{results: make(chan dispatcher.AttemptResult, 64)}
	options := Options{
		Dialer:            dialer,
		DialTimeout:       dialTimeout,
		IdleTimeout:       time.Minute,
		MaxConnsPerTarget: testMaxConnsPerTarget,
		MaxConns:          testMaxConns,
		Logger:            slog.New(slog.DiscardHandler),
	}
	r.Registry = NewRegistry(options, func(result dispatcher.AttemptResult) { r.results <- result })
	r.Apply([]Endpoint{{ID: testTarget, Addr: addr}}, true)
	return r
}

// send starts an attempt of a write at testTarget. The request ID is the number of calls so far.
func (r *testRegistry) send(timeout time.Duration) {
	r.sent++
	r.Send(dispatcher.Attempt{
		RequestID: fmt.Sprint(r.sent),
		Target:    testTarget,
		Deadline:  time.Now().Add(timeout),
		Payload:   &httpmsg.Request{Method: "PUT", URI: "/w/1", ID: "id", Body: []byte("body")},
	})
}

// sendRead starts an attempt of a read at a target.
func (r *testRegistry) sendRead(requestID, targetID string, timeout time.Duration) {
	r.Send(dispatcher.Attempt{
		RequestID: requestID,
		Target:    targetID,
		Deadline:  time.Now().Add(timeout),
		Payload:   &httpmsg.Request{Method: "GET", URI: "/r/1", ID: "id"},
	})
}

// result returns the next result. It waits up to testTimeout.
func (r *testRegistry) result(t *testing.T) dispatcher.AttemptResult {
	t.Helper()
	select {
	case result := <-r.results:
		return result
	case <-time.After(testTimeout):
		t.Fatal("no result within testTimeout")
		return dispatcher.AttemptResult{}
	}
}

// targetActor returns the actor of testTarget.
func (r *testRegistry) targetActor() *target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targets[testTarget]
}

// awaitNoBackgroundDial waits until the actor has no background dial.
func awaitNoBackgroundDial(actor *target) {
	for actor.backgroundDialActive.Load() {
		time.Sleep(time.Millisecond)
	}
}

// awaitRetired waits until the actors of all removed targets have ended.
func (r *testRegistry) awaitRetired() {
	for {
		r.mu.Lock()
		remaining := len(r.retired)
		r.mu.Unlock()
		if remaining == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// newTestTarget returns an actor in a state, without starting its run.
func newTestTarget(state scheduler.TargetState) *target {
	options := Options{Logger: slog.New(slog.DiscardHandler)}
	actor := newTarget(testTarget, options, nil, &quarantine{}, func(dispatcher.AttemptResult) {})
	actor.update("a:1", state)
	return actor
}

// newTestAttempt returns an attempt of a request with a distant deadline.
func newTestAttempt(request *httpmsg.Request) *inFlightAttempt {
	return &inFlightAttempt{Attempt: dispatcher.Attempt{Deadline: time.Now().Add(time.Minute), Payload: request}}
}

func newTestHTTPConn(conn net.Conn) *httpConn {
	return &httpConn{Conn: conn, budget: memorybudget.New(2 * maxBodyBytes)}
}

// withoutDeadlines is a deadlineReader that ignores deadlines.
type withoutDeadlines struct{ io.Reader }

func (withoutDeadlines) SetReadDeadline(time.Time) error { return nil }

// readResponse parses the response to a GET. The target sent the given bytes and then closed the connection.
func readResponse(sent string) (*response, error) {
	conn := withoutDeadlines{strings.NewReader(sent)}
	return newResponseReader(conn, time.Now().Add(time.Minute), memorybudget.New(2*maxBodyBytes)).read("GET")
}

// blockingDialer blocks each dial until the test releases it or its context is done.
type blockingDialer struct {
	started, failed atomic.Int32
	release         chan bool // each value lets one dial succeed
}

func newBlockingDialer() *blockingDialer { return &blockingDialer{release: make(chan bool)} }

func (d *blockingDialer) Dial(ctx context.Context, _ string) (Conn, error) {
	d.started.Add(1)
	select {
	case <-d.release:
		return alwaysOKConn{}, nil
	case <-ctx.Done():
		d.failed.Add(1)
		return nil, ctx.Err()
	}
}

// alwaysOKConn is a connection on which every attempt succeeds.
type alwaysOKConn struct{}

func (alwaysOKConn) RoundTrip(dispatcher.Attempt, func() bool) RoundTripResult {
	return RoundTripResult{AttemptResult: dispatcher.AttemptResult{Status: scheduler.Succeeded}}
}
func (alwaysOKConn) IsIdle() bool { return true }
func (alwaysOKConn) Close() error { return nil }

// delayedDialer connects at once, but its Dial returns only when the test releases it.
type delayedDialer struct {
	HTTPDialer
	connected, release chan bool
}

func (d *delayedDialer) Dial(ctx context.Context, addr string) (Conn, error) {
	conn, err := d.HTTPDialer.Dial(ctx, addr)
	d.connected <- true
	<-d.release
	return conn, err
}
