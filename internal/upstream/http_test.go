package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dapplegate/internal/httpmsg"
	"dapplegate/internal/memorybudget"
	"dapplegate/scheduler"
)

// TestRequestHeadSamples checks the encoded heads of attempts against samples from the protocol's specification. Method, URI
// and ID are forwarded unchanged.
func TestRequestHeadSamples(t *testing.T) {
	const host = "10.1.0.18:8080"
	write := &httpmsg.Request{Method: "PUT", URI: "/checkout/7f3a9c21e0b4d655?q=1", ID: "9b1f03aa5c7e2d41", Body: []byte("body")}
	want := "PUT /checkout/7f3a9c21e0b4d655?q=1 HTTP/1.1\r\nHost: 10.1.0.18:8080\r\nRequest-Id: 9b1f03aa5c7e2d41\r\n" +
		"Request-Timeout-Ms: 480\r\nContent-Length: 4\r\n\r\n"
	if got := string(appendRequestHead(nil, write, host, 480*time.Millisecond)); got != want {
		t.Errorf("head of a write is %q, want %q", got, want)
	}
	read := &httpmsg.Request{Method: "GET", URI: "/checkout/7f3a9c21e0b4d655", ID: "9b1f03aa5c7e2d41"}
	want = "GET /checkout/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: 10.1.0.18:8080\r\nRequest-Id: 9b1f03aa5c7e2d41\r\n" +
		"Request-Timeout-Ms: 1\r\n\r\n"
	if got := string(appendRequestHead(nil, read, host, time.Millisecond)); got != want {
		t.Errorf("head of a read is %q, want %q", got, want)
	}
}

// TestResponseSamples parses sample responses from the protocol's specification.
func TestResponseSamples(t *testing.T) {
	for _, c := range []struct {
		in          string
		status      scheduler.AttemptStatus
		loadReport  scheduler.LoadReport
		volumeUsage int
		body        string
	}{
		{"HTTP/1.1 200 OK\r\nServer-Load: inflight=7,queue=2,util=0.61\r\nVolume-Load: 86\r\nContent-Length: 4\r\n\r\ndata",
			scheduler.Succeeded, scheduler.LoadReport{QueueDepth: 2, InFlight: 7}, 87, "data"},
		{"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", scheduler.Errored, scheduler.LoadReport{}, 0, ""},
		{"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", scheduler.Rejected, scheduler.LoadReport{}, 0, ""},
		{"HTTP/1.1 504 Gateway Timeout\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", scheduler.Rejected, scheduler.LoadReport{}, 0, ""},
		{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", scheduler.Errored, scheduler.LoadReport{}, 0, ""},
	} {
		got, err := readResponse(c.in)
		if err != nil {
			t.Errorf("%q: %v", c.in, err)
			continue
		}
		var loadReport scheduler.LoadReport
		if got.loadReport != nil {
			loadReport = *got.loadReport
		}
		if got.status() != c.status || loadReport != c.loadReport || got.volumeUsage != c.volumeUsage || string(got.body) != c.body {
			t.Errorf("%q: got %+v with status %v", c.in, got, got.status())
		}
	}
}

// TestAttemptStatus checks the status that each kind of response leads to. In particular, Not-Started is honored only with
// 503 and 504, and an attempt whose connection ends after the last byte of the request may have executed.
func TestAttemptStatus(t *testing.T) {
	for _, c := range []struct {
		name, head string // if head is empty, the target closes the connection without a response
		want       scheduler.AttemptStatus
	}{
		{"success", "200 OK", scheduler.Succeeded},
		{"error", "500 Internal Server Error", scheduler.Errored},
		{"error with Not-Started", "500 Internal Server Error\r\nNot-Started: 1", scheduler.Errored},
		{"rejected", "503 Service Unavailable\r\nNot-Started: 1", scheduler.Rejected},
		{"deadline exceeded at the target", "504 Gateway Timeout\r\nNot-Started: 1", scheduler.Rejected},
		{"unavailable without Not-Started", "503 Service Unavailable", scheduler.Errored},
		{"no response", "", scheduler.ConnectionReset},
	} {
		server := newFakeTarget(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
			return c.head != "" && respond(conn, c.head, "")
		})
		registry := newTestRegistry(server.Addr().String())
		registry.send(10 * time.Second)
		if result := registry.result(t); result.Status != c.want {
			t.Errorf("%s: got status %v, want %v", c.name, result.Status, c.want)
		}
	}
}

// TestUnusableResponses checks the handling of invalid responses. The attempt may have executed, no part of the response is
// passed on, and the connection is not used again. A response that stops midway does not delay the result until the
// deadline. If a second copy of the response follows, the response is used and the connection is closed. Any other bytes behind
// a response with a length may be the rest of its body.
func TestUnusableResponses(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
	const informational = "HTTP/1.1 103 Early Hints\r\n\r\n"
	const ok, unusable = scheduler.Succeeded, scheduler.ConnectionReset
	for _, c := range []struct {
		name, response string
		want           scheduler.AttemptStatus
		connections    int32 // number of connections that two attempts need
	}{
		{"complete", good, ok, 1},
		{"no HTTP", "\x00\xffnoise\r\n\r\n", unusable, 2},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nx", unusable, 2},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy", unusable, 2},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nx", unusable, 2},
		{"stops in head", "HTTP/1.1 200 OK\r\nConte", unusable, 2},
		{"stops in body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", unusable, 2},
		{"endless head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 5<<20), unusable, 2},
		{"claims 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", unusable, 2},
		{"1xx before the response", strings.Repeat(informational, maxInformational) + good, ok, 1},
		{"too many 1xx", strings.Repeat(informational, maxInformational+1) + good, unusable, 2},
		{"second copy", good + good, ok, 2},
		{"length too short", good + "yz", unusable, 2},
		{"length 0 and a body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nx", unusable, 2},
		{"noise behind", good + "\x00\xffnoise\r\n\r\n", unusable, 2},
		{"another response behind", good + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", unusable, 2},
		{"chunked with noise behind", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nnoise", ok, 2},
		{"invalid reports", strings.Replace(good, "Cont", "Server-Load: inflight=x,queue=1e99\r\nVolume-Load: -7\r\nCont", 1), ok, 1},
	} {
		t.Run(c.name, func(t *testing.T) { testResponse(t, c.response, c.want, c.connections) })
	}
}

// TestTruncatedLongResponseIsNotServed guards against a response whose stated length is too short, and of which more than the
// read buffer holds has arrived.
func TestTruncatedLongResponseIsNotServed(t *testing.T) {
	body := strings.Repeat("x", 100<<10)
	server := newFakeTarget(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)/2, body)
		return err == nil
	})
	registry := newTestRegistry(server.Addr().String())
	registry.send(10 * time.Second)
	if result := registry.result(t); result.Status != scheduler.ConnectionReset || result.Payload != nil {
		t.Errorf("got %v, want status %v and no body", result.Status, scheduler.ConnectionReset)
	}
}

// testResponse runs two attempts at a target that sends the given response to each. The body of a successful response must
// be "x".
func testResponse(t *testing.T, response string, want scheduler.AttemptStatus, connections int32) {
	var sent atomic.Int64
	server := newFakeTarget(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
		sent.Add(sendInParts(conn, response))
		return true
	})
	registry := newTestRegistry(server.Addr().String())
	for range 2 {
		start := time.Now()
		registry.send(10 * time.Second)
		result := registry.result(t)
		if result.Status != want || result.LoadReport != nil || result.VolumeUsage != 0 {
			t.Errorf("got %+v, want status %v and no reports", result, want)
		}
		if result.Status == scheduler.Succeeded && string(result.Payload.([]byte)) != "x" {
			t.Errorf("got body %q, want \"x\"", result.Payload)
		}
		if elapsed := time.Since(start); elapsed > 5*time.Second {
			t.Errorf("result took %v", elapsed)
		}
		time.Sleep(quarantineTime + 5*time.Millisecond) // until all that follows the response has arrived
	}
	if n := sent.Load(); n > 20<<20 {
		t.Errorf("initiator accepted %d bytes in two attempts", n)
	}
	if got := server.connections.Load(); got != connections {
		t.Errorf("%d connections for two attempts, want %d", got, connections)
	}
}

// sendInParts writes the response through a small buffer, so that little more is sent than the other side reads, and returns
// the number of bytes sent.
func sendInParts(conn net.Conn, response string) int64 {
	_ = conn.(*net.TCPConn).SetWriteBuffer(4 << 10) // an error is harmless: the count only gets higher
	sent := 0
	for part := range slices.Chunk([]byte(response), 4<<10) {
		n, _ := conn.Write(part)
		sent += n
	}
	return int64(sent)
}

// TestResponseWithoutLength checks responses without Content-Length: such a response is complete if the target closes the
// connection after it, and truncated if it ends with a reset or stalls.
func TestResponseWithoutLength(t *testing.T) {
	closeConn := func(*net.TCPConn) bool { return false }
	halfClose := func(conn *net.TCPConn) bool { return conn.CloseWrite() == nil }
	reset := func(conn *net.TCPConn) bool { _ = conn.SetLinger(0); return false }
	stall := func(*net.TCPConn) bool { return true }
	for _, c := range []struct {
		name   string
		end    func(*net.TCPConn) bool // returns whether the connection stays open
		want   scheduler.AttemptStatus
		header string
	}{
		{"closed", closeConn, scheduler.Succeeded, ""},
		{"closed after Connection: close", closeConn, scheduler.Succeeded, "Connection: close\r\n"},
		{"half closed", halfClose, scheduler.Succeeded, ""},
		{"reset", reset, scheduler.ConnectionReset, ""},
		{"stalled", stall, scheduler.ConnectionReset, ""},
	} {
		server := newFakeTarget(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.header+"\r\ncomplete")
			return err == nil && c.end(conn.(*net.TCPConn))
		})
		registry := newTestRegistry(server.Addr().String())
		for range 2 {
			registry.send(10 * time.Second)
			result := registry.result(t)
			body, _ := result.Payload.([]byte)
			if result.Status != c.want || result.Status == scheduler.Succeeded && string(body) != "complete" {
				t.Errorf("%s: got status %v and body %q, want status %v", c.name, result.Status, body, c.want)
			}
		}
		if n := server.connections.Load(); n != 2 {
			t.Errorf("%s: %d connections for two attempts, want 2", c.name, n)
		}
	}
}

// TestLargeResponses checks that a response is accepted although it is larger than a request may be and arrives in parts
// with pauses between them. If two such responses arrive at the same time and the budget has memory for one, the other one
// fails. Afterwards the whole budget is free again.
func TestLargeResponses(t *testing.T) {
	const budget = 500 << 10
	body := strings.Repeat("x", 400<<10)
	server := newFakeTarget(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
		message := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		for part := range slices.Chunk([]byte(message), 100<<10) {
			if _, err := conn.Write(part); err != nil {
				return false
			}
			time.Sleep(stallTimeout / 3)
		}
		return true
	})
	dialer := HTTPDialer{memorybudget.New(budget)}
	registry := newTestRegistryWith(dialer, testTimeout, server.Addr().String())
	send := func(requestID string) { registry.sendRead(requestID, testTarget, testTimeout) }
	send("1")
	if result := registry.result(t); result.Status != scheduler.Succeeded || string(result.Payload.([]byte)) != body {
		t.Errorf("large response in parts: got status %v, want SUCCEEDED and the sent body", result.Status)
	}
	send("2")
	send("3")
	first, second := registry.result(t), registry.result(t)
	// Not ConnectionReset: the target has responded, and a lack of memory in this process says nothing about it.
	if first.Status != scheduler.Cancelled || second.Status != scheduler.Succeeded {
		t.Errorf("two responses with memory for one: got statuses %v and %v, want CANCELLED and SUCCEEDED",
			first.Status, second.Status)
	}
	if available := dialer.budget.Free(); available != budget {
		t.Errorf("%d bytes of the budget are free afterwards, want %d", available, budget)
	}
}

// TestTooLargeResponseReason checks that a response is logged as too large whether its head, its announced length or its
// body exceeds the limit.
func TestTooLargeResponseReason(t *testing.T) {
	for _, c := range []struct{ name, response string }{
		{"head", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 2*maxHeadBytes)},
		{"length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxBodyBytes+1)},
		{"body", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("b", maxBodyBytes+1)},
	} {
		conn := withoutDeadlines{strings.NewReader(c.response)}
		reader := newResponseReader(conn, time.Now().Add(time.Minute), memorybudget.New(2*maxBodyBytes))
		_, err := reader.read(http.MethodGet)
		if err == nil {
			t.Errorf("%s: response was accepted", c.name)
			continue
		}
		if result := reader.failureResult(err); result.Status != scheduler.ConnectionReset || result.CloseReason != ReasonResponseTooLarge {
			t.Errorf("%s: got status %v and reason %s", c.name, result.Status, result.CloseReason)
		}
	}
}

// TestPartialWrite checks that an attempt has status ConnectFailed, and so cannot have executed, if the connection ends
// before the last byte of the request.
func TestPartialWrite(t *testing.T) {
	actor := newTestTarget(scheduler.Serving)
	near, far := net.Pipe()
	go func() {
		defer closeQuietly(far)
		_, _ = io.ReadFull(far, make([]byte, 20))
	}()
	attempt := newTestAttempt(&httpmsg.Request{Method: "PUT", URI: "/", Body: make([]byte, 1000)})
	result := actor.exchange(t.Context(), attempt, &pooledConn{Conn: newTestHTTPConn(near)})
	if result.Reusable() || result.Status != scheduler.ConnectFailed {
		t.Errorf("got status %v, reusable %v; want CONNECT_FAILED, not reusable", result.Status, result.Reusable())
	}
}

// TestTruncatedResponses checks that a response with a length that is truncated at any point is never accepted as complete,
// and that random bytes never make the parser panic.
func TestTruncatedResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.StringN(0, 200, 300).Draw(t, "body")
		message := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Load: inflight=3\r\nVolume-Load: 85\r\nContent-Length: %d\r\n\r\n%s",
			len(body), body)
		complete, err := readResponse(message)
		if err != nil || string(complete.body) != body || complete.volumeUsage != 86 || complete.loadReport.InFlight != 3 {
			t.Fatalf("complete response: got %+v, error %v", complete, err)
		}
		cut := rapid.IntRange(0, len(message)-1).Draw(t, "cut")
		if got, err := readResponse(message[:cut]); err == nil {
			t.Fatalf("response truncated at %d was accepted: %+v", cut, got)
		}
		garbage := string(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
		_, _ = readResponse(garbage) // must not panic
		parseLoadReport(garbage)
	})
}
