package clienthttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/httpmsg"
)

// TestResponses submits a complete request to the dispatcher, and returns each kind of response to the client.
func TestResponses(t *testing.T) {
	_, d, addr := startServer(t, maxTestConns)
	for _, c := range []struct {
		response   dispatcher.Response
		status     int
		retryAfter string
		body       string
	}{
		{dispatcher.Response{Payload: []byte("data")}, 200, "", "data"},
		{dispatcher.Response{Status: dispatcher.Rejected, RetryAfter: 250 * time.Millisecond}, 503, "0.250",
			"refused: trying again is harmless\n"},
		{dispatcher.Response{Status: dispatcher.Rejected}, 503, "", "refused: trying again is harmless\n"},
		{dispatcher.Response{Status: dispatcher.Duplicate}, 409, "",
			"Request-Id: a request of that id is open or may have run\n"},
		{dispatcher.Response{Status: dispatcher.Failed}, 502, "", "failed: it may have run\n"},
	} {
		go func() { (<-d.calls).Respond(c.response) }()
		response, body, _ := roundTripOnNewConn(t, addr, validPut)
		retryAfter := response.Header.Get("Retry-After")
		if response.StatusCode != c.status || body != c.body || retryAfter != c.retryAfter {
			t.Errorf("%+v: status %d, Retry-After %q, body %q", c.response, response.StatusCode, retryAfter, body)
		}
	}
	go func() {
		call := <-d.calls
		forwarded := call.Payload.(*httpmsg.Request)
		text := fmt.Sprint(call.Class, call.Plan, call.Volume, call.Extent, call.Units, call.Shard, call.Initiators,
			call.ClientTimeout, forwarded.Method, forwarded.URI, forwarded.ID, string(forwarded.Body))
		call.Respond(dispatcher.Response{Payload: []byte(text)})
	}()
	want := fmt.Sprint("put", "std", "00000003b4d60021", "7f3a9c21e0b4d655", 2.0, 5, 3,
		480*time.Millisecond, "PUT", "/put/x/7f3a9c21e0b4d655?q=1", "id1", "body")
	if _, body, _ := roundTripOnNewConn(t, addr, validPut); body != want {
		t.Errorf("received %q, want %q", body, want)
	}
}

// TestReadinessNeedsEndpointList checks that the server does not report ready before there is a target to forward to.
func TestReadinessNeedsEndpointList(t *testing.T) {
	s := newTestServer(newFakeDispatcher(), maxTestConns)
	hasList := false
	s.options.Ready = func() bool { return hasList }
	for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, readinessPath, nil))
		if recorder.Code != want {
			t.Errorf("has an endpoint list %v: status %d, want %d", hasList, recorder.Code, want)
		}
		hasList = true
	}
}

// TestZeroTimeoutKeepsConnection sends a late retry that has no whole millisecond left. It is not a malformed request,
// which would close the connection: the dispatcher rejects it, and the connection stays open.
func TestZeroTimeoutKeepsConnection(t *testing.T) {
	_, d, addr := startServer(t, maxTestConns)
	go func() { (<-d.calls).Respond(dispatcher.Response{Status: dispatcher.Rejected}) }()
	response, _, conn := roundTripOnNewConn(t, addr, strings.Replace(validPut, "480", "0", 1))
	if response.StatusCode != http.StatusServiceUnavailable || response.Close {
		t.Errorf("status %d, closes %v; want a rejection on a connection that stays open", response.StatusCode, response.Close)
	}
	go d.respondToNext(1)
	if response, _ := roundTrip(t, conn, validPut); response.StatusCode != http.StatusOK {
		t.Errorf("the next request: status %d", response.StatusCode)
	}
}

// TestHandlerAbortsWhenClientCloses has the client close while its request is in flight. The handler must abort the
// connection: if it returned without a response, net/http would write an empty 200, which no target gave.
func TestHandlerAbortsWhenClientCloses(t *testing.T) {
	d := newFakeDispatcher()
	s := newTestServer(d, maxTestConns)
	ctx, clientCloses := context.WithCancel(context.Background())
	request := httptest.NewRequest(http.MethodGet, "/get/7f3a9c21e0b4d655", nil).WithContext(ctx)
	request.Header.Set("Request-Id", "i")
	request.Header.Set("Tier", "std")
	request.Header.Set("Request-Timeout-Ms", "480")
	request.Header.Set("IO-Info", "volume=00000003b4d60021,units=2,shard=5,hosts=3")
	go func() {
		<-d.calls
		clientCloses()
	}()
	defer func() {
		if err, _ := recover().(error); !errors.Is(err, http.ErrAbortHandler) {
			t.Errorf("handler ended with %v, want it to abort the connection", err)
		}
	}()
	s.ServeHTTP(httptest.NewRecorder(), request)
}

// expectCancelled expects the given call, and no other, to be cancelled.
func expectCancelled(t *testing.T, d *fakeDispatcher, call *dispatcher.Call) {
	t.Helper()
	select {
	case cancelled := <-d.cancelled:
		if cancelled != call {
			t.Error("wrong call was cancelled")
		}
	case <-time.After(testTimeout):
		t.Fatal("call was not cancelled")
	}
}

// TestClientCloseCancelsCall has a client close with a request in flight, whose call must be cancelled.
func TestClientCloseCancelsCall(t *testing.T) {
	_, d, addr := startServer(t, maxTestConns)
	conn := dial(t, addr)
	send(conn, validPut)
	call := <-d.calls
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	expectCancelled(t, d, call)
}

// pipelinedRequests is a number of pipelined requests that exceeds what the server reads ahead.
const pipelinedRequests = 40

// TestClientCloseBehindPipelinedRequests has a client send more requests at once than the server reads ahead, and close.
// The request in flight must be cancelled, and none of the others accepted.
//
// The close follows unread requests, where net/http does not detect it. Requests could then be forwarded for a client
// that has closed.
func TestClientCloseBehindPipelinedRequests(t *testing.T) {
	_, d, addr := startServer(t, maxTestConns)
	conn := dial(t, addr)
	send(conn, strings.Repeat(validPut, pipelinedRequests))
	call := <-d.calls
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	expectCancelled(t, d, call)
	readUntilClosed(conn) // the server resets the connection, because of the bytes that it did not read
	if accepted := len(d.calls); accepted > 0 {
		t.Errorf("%d more requests were accepted", accepted)
	}
}

// TestPipelinedRequestsAreServed has a client send more requests at once than the server reads ahead, and keep its
// connection open. All must be served, including those that are in flight for longer than the interval of the checks for
// a close.
func TestPipelinedRequestsAreServed(t *testing.T) {
	_, d, addr := startServer(t, maxTestConns)
	conn := dial(t, addr)
	send(conn, strings.Repeat(validPut, pipelinedRequests))
	reader := bufio.NewReader(conn)
	for i := range pipelinedRequests {
		call := <-d.calls
		if i%8 == 0 {
			time.Sleep(2 * closeCheckInterval)
		}
		call.Respond(servedResponse)
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %+v, %v", i, response, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
	}
}

// TestClientCloseBetweenPipelinedRequests has a client send many requests at once, and close just before the first gets
// its response. The requests that have been read ahead must not be accepted any more.
func TestClientCloseBetweenPipelinedRequests(t *testing.T) {
	_, d, addr := startServer(t, maxTestConns)
	conn := dial(t, addr)
	send(conn, strings.Repeat(validPut, pipelinedRequests))
	call := <-d.calls
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Millisecond) // for the close to arrive, before the first check for it
	call.Respond(servedResponse)
	readUntilClosed(conn)
	if accepted := len(d.calls); accepted > 0 {
		t.Errorf("%d more requests were accepted", accepted)
	}
}

// TestSlowClients has clients send nothing or too little, one of them after a first request. Each must get an error or a
// close within 3 s, and a request in flight for longer must not be affected. Without a timeout, each slow client would
// keep a connection forever.
//
// The client of a malformed request gets its error at once, and the end of the connection with it.
func TestSlowClients(t *testing.T) {
	const endsWithin = 3 * time.Second
	_, d, addr := startServer(t, maxTestConns)
	var clients sync.WaitGroup
	for _, c := range []struct {
		name, raw string
		want      string // part of what the server writes
		endsIn    time.Duration
	}{
		{"silent", "", "", endsWithin},
		{"partial head", validPutHead, "", endsWithin},
		{"partial body", partialPut, " 408 ", endsWithin},
		{"malformed head with a partial body", strings.Replace(partialPut, "std", "odd", 1), " 422 ", requestReadTimeout / 2},
		{"idle", validPut, " 200 ", endsWithin},
	} {
		conn := dial(t, addr)
		clients.Go(func() {
			begunAt := time.Now()
			setDeadline(t, conn, begunAt.Add(testTimeout))
			send(conn, c.raw)
			got, err := io.ReadAll(conn)
			if took := time.Since(begunAt); err != nil || took > c.endsIn {
				t.Errorf("%s: connection ended after %v: %v", c.name, took, err)
			}
			if !strings.Contains(string(got), c.want) {
				t.Errorf("%s: got %q, want %s", c.name, got, c.want)
			}
		})
	}
	d.respondToNext(1) // the idle client's
	inFlight := dial(t, addr)
	clients.Go(func() {
		response, _, err := exchange(inFlight, strings.Replace(validPut, "480", "9999", 1))
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("request in flight for long: %+v, %v", response, err)
		}
	})
	call := <-d.calls
	time.Sleep(requestReadTimeout + 200*time.Millisecond)
	call.Respond(servedResponse)
	clients.Wait()
	if accepted, cancelled := len(d.calls), len(d.cancelled); accepted+cancelled > 0 {
		t.Errorf("%d more calls were accepted, %d cancelled", accepted, cancelled)
	}
}

// TestReadTimeoutDoesNotCancel lets the read timeout of a request pass between its last byte and its handler. net/http
// must lift that deadline before its background read. Otherwise it would take the timeout for a close by the client, and
// the request would get no response.
func TestReadTimeoutDoesNotCancel(t *testing.T) {
	const readTimeout = 50 * time.Millisecond
	addr := startServerWithDelay(t, readTimeout, func(*Server) { time.Sleep(2 * readTimeout) })
	expectServed(t, addr, validGet, 1)
}

// TestHugeBody sends a body far beyond the limit. The server must read all of it without keeping it. If it left bytes
// unread, a reset would keep the client, which is still sending, from reading its response. If it kept the body, memory
// could run out.
func TestHugeBody(t *testing.T) {
	const size = 60 << 20
	const maxAllocated = 8 << 20
	_, _, addr := startServer(t, maxTestConns)
	conn := dial(t, addr)
	setDeadline(t, conn, time.Now().Add(testTimeout))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	send(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", validPutHead, size))
	sendZeros(t, conn, size)
	runtime.ReadMemStats(&after)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got %+v, %v", response, err)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
		t.Errorf("%d bytes were allocated", allocated)
	}
}

// TestLingeringConnectionsEnd has clients of malformed requests keep their connections open, or close them. Each connection must
// leave the table: when its client closes, after lingerTimeout, or when it is evicted for another. A connection that stayed
// would take one of the few that the server accepts.
func TestLingeringConnectionsEnd(t *testing.T) {
	const maxConns = 3
	malformed := strings.Replace(validGet, "std", "odd", 1)
	s, d, addr := startServer(t, maxConns)
	go d.respondToAll()
	defer close(d.calls)
	openConns := func() int {
		s.conns.mu.Lock()
		defer s.conns.mu.Unlock()
		return len(s.conns.open)
	}
	awaitOpen := func(want int, within time.Duration) {
		t.Helper()
		for giveUpAt := time.Now().Add(within); openConns() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(giveUpAt) {
				t.Fatalf("%d connections are open after %v, want %d", openConns(), within, want)
			}
		}
	}
	_, _, first := roundTripOnNewConn(t, addr, malformed)
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	awaitOpen(0, testTimeout)
	for range maxConns {
		_, _, _ = roundTripOnNewConn(t, addr, malformed)
	}
	expectServed(t, addr, validGet, 1) // evicts one of them
	if open := openConns(); open > maxConns {
		t.Errorf("%d connections are open, want at most %d", open, maxConns)
	}
	awaitOpen(0, lingerTimeout+keepAliveTimeout+testTimeout)
}

func sendZeros(t *testing.T, conn net.Conn, size int) {
	t.Helper()
	part := make([]byte, 64<<10)
	for sent := 0; sent < size; sent += len(part) {
		if _, err := conn.Write(part); err != nil {
			t.Fatalf("after %d bytes: %v", sent, err)
		}
	}
}
