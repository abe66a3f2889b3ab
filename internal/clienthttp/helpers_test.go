package clienthttp

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/propertytest"
)

const (
	// testTimeout limits each wait of a test. Nothing that a test waits for takes that long, even on a busy machine.
	testTimeout = 20 * time.Second
	// maxTestConns is a connection limit that the tests which use it never reach.
	maxTestConns = 64
	// maxTestRequestBytes is a limit on the memory for requests that the tests which use it never reach.
	maxTestRequestBytes = 16 << 20
)

const validPutHead = "PUT /put/x/7f3a9c21e0b4d655?q=1 HTTP/1.1\r\nHost: a\r\nRequest-Id: id1\r\nTier: std\r\n" +
	"Request-Timeout-Ms: 480\r\nIO-Info: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n"

const validPut = validPutHead + "Content-Length: 4\r\n\r\nbody"

const validGet = "GET /get/x/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nRequest-Id: id1\r\nTier: std\r\n" +
	"Request-Timeout-Ms: 4800\r\nIO-Info: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n\r\n"

// partialPut is validPut with an incomplete body.
const partialPut = validPutHead + "Content-Length: 9\r\n\r\nbo"

// servedResponse is a successful response with the data "x".
var servedResponse = dispatcher.Response{Payload: []byte("x")}

func TestMain(m *testing.M) { propertytest.Main(m) }

// fakeDispatcher passes submitted and cancelled calls to the test.
type fakeDispatcher struct {
	calls      chan *dispatcher.Call
	cancelled  chan *dispatcher.Call
	atCapacity bool // rejects every call
}

func newFakeDispatcher() *fakeDispatcher {
	return &fakeDispatcher{calls: make(chan *dispatcher.Call, 64), cancelled: make(chan *dispatcher.Call, 64)}
}

func (d *fakeDispatcher) Submit(call *dispatcher.Call) bool {
	if d.atCapacity {
		return false
	}
	d.calls <- call
	return true
}

func (d *fakeDispatcher) Cancel(call *dispatcher.Call) { d.cancelled <- call }

// respondToNext waits for count calls, and responds to each with servedResponse.
func (d *fakeDispatcher) respondToNext(count int) {
	for range count {
		(<-d.calls).Respond(servedResponse)
	}
}

// respondToAll responds to each call with servedResponse, until the calls channel is closed.
func (d *fakeDispatcher) respondToAll() {
	for call := range d.calls {
		call.Respond(servedResponse)
	}
}

// newTestServer returns a server that has not been started.
func newTestServer(d Dispatcher, maxConns int) *Server {
	return New(d, Options{
		Classes:         map[string]bool{"get": true, "put": true},
		Plans:           map[string]bool{"std": true},
		MaxConns:        maxConns,
		EvictIdleAbove:  maxConns,
		MaxRequestBytes: maxTestRequestBytes,
		MaxDeadline:     5 * time.Second,
		Logger:          slog.New(slog.DiscardHandler),
	})
}

// listen returns a listener on the loopback interface, which is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// serve runs the server on the listener until the end of the test.
func serve(t *testing.T, s *Server, l net.Listener) {
	t.Helper()
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.http.Close() })
}

// startServer starts a server that runs until the end of the test.
func startServer(t *testing.T, maxConns int) (s *Server, d *fakeDispatcher, addr string) {
	t.Helper()
	d = newFakeDispatcher()
	s = newTestServer(d, maxConns)
	l := listen(t)
	serve(t, s, l)
	return s, d, l.Addr().String()
}

// startServerWithDelay starts a server made by newServerWithDelay and returns its address.
func startServerWithDelay(t *testing.T, readTimeout time.Duration, delay func(*Server)) (addr string) {
	t.Helper()
	l := listen(t)
	serve(t, newServerWithDelay(readTimeout, delay), l)
	return l.Addr().String()
}

// newServerWithDelay returns a server that responds to all requests with servedResponse. It calls delay after net/http
// has read the head of a request and before the handler runs, as if the process had been delayed there.
func newServerWithDelay(readTimeout time.Duration, delay func(*Server)) *Server {
	const responseTime = 20 * time.Millisecond
	d := newFakeDispatcher()
	s := newTestServer(d, maxTestConns)
	s.http.ReadTimeout = readTimeout
	s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		delay(s)
		s.ServeHTTP(w, r)
	})
	go func() {
		for call := range d.calls {
			time.AfterFunc(responseTime, func() { call.Respond(servedResponse) })
		}
	}()
	return s
}

// dial opens a connection to the address, which is closed at the end of the test.
func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// setDeadline sets the deadline of the test's reads and writes on the connection. Any goroutine may call it.
func setDeadline(t *testing.T, conn net.Conn, deadline time.Time) {
	t.Helper()
	if err := conn.SetDeadline(deadline); err != nil {
		t.Error(err)
	}
}

// send writes to a connection that the server may already have closed. It ignores errors: the test reads the response.
func send(conn net.Conn, raw string) {
	_, _ = io.WriteString(conn, raw)
}

// readUntilClosed discards what the server writes, until the server closes or resets the connection.
func readUntilClosed(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
}

// exchange writes raw bytes to a connection and reads one response. If the body ends early, it returns the part that
// arrived. Any goroutine may call it.
func exchange(conn net.Conn, raw string) (response *http.Response, body string, err error) {
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return nil, "", err
	}
	send(conn, raw)
	response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	content, _ := io.ReadAll(response.Body)
	return response, string(content), nil
}

// roundTrip calls exchange and fails the test on an error. Only the test's own goroutine may call it.
func roundTrip(t *testing.T, conn net.Conn, raw string) (response *http.Response, body string) {
	t.Helper()
	response, body, err := exchange(conn, raw)
	if err != nil {
		t.Fatalf("%q: %v", raw, err)
	}
	return response, body
}

// roundTripOnNewConn calls roundTrip on a new connection, which it also returns.
func roundTripOnNewConn(t *testing.T, addr, raw string) (response *http.Response, body string, conn *net.TCPConn) {
	t.Helper()
	conn = dial(t, addr)
	response, body = roundTrip(t, conn, raw)
	return response, body, conn
}

// expectServed writes raw bytes to a new connection, and expects the given number of responses with the data "x".
func expectServed(t *testing.T, addr, raw string, responses int) {
	t.Helper()
	conn := dial(t, addr)
	setDeadline(t, conn, time.Now().Add(testTimeout))
	send(conn, raw)
	reader := bufio.NewReader(conn)
	for i := range responses {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if body, _ := io.ReadAll(response.Body); response.StatusCode != http.StatusOK || string(body) != "x" {
			t.Errorf("response %d: status %d, body %q", i, response.StatusCode, body)
		}
	}
}

// connPair returns both ends of a connection over the loopback interface.
func connPair(t *testing.T) (client, accepted *net.TCPConn) {
	t.Helper()
	l := listen(t)
	client = dial(t, l.Addr().String())
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return client, conn.(*net.TCPConn)
}

// lockAndEvict evicts a connection with closeIfUnchanged, with the table locked as closeIfUnchanged requires.
func lockAndEvict(table *connTable, c *clientConn, observed connState) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.closeIfUnchanged(c, observed, reasonConnectionLimit)
}

// awaitIdle waits until the given number of connections are idle. net/http reports a connection as idle only after it has
// written the response, so a client may have the response earlier.
func awaitIdle(t *testing.T, s *Server, want int) {
	t.Helper()
	giveUpAt := time.Now().Add(testTimeout)
	for countIdle(s) != want {
		if time.Now().After(giveUpAt) {
			t.Fatalf("%d connections are idle after %v, want %d", countIdle(s), testTimeout, want)
		}
		time.Sleep(time.Millisecond)
	}
}

func countIdle(s *Server) int {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	count := 0
	for _, c := range s.conns.open {
		if c.state.Load() == stateIdle {
			count++
		}
	}
	return count
}
