package clienthttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
)

const readinessCheck = "GET " + readinessPath + " HTTP/1.1\r\nHost: a\r\n\r\n"

// startShutdown calls Shutdown in another goroutine and returns once it has begun. The channel receives its result.
func startShutdown(s *Server) (ended <-chan error) {
	result := make(chan error, 1)
	go func() { result <- s.Shutdown(context.Background()) }()
	for s.shutdownStartedAt.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	return result
}

// TestGracefulShutdown checks the steps of a shutdown: the server reports not ready at once, still serves new connections
// for a while, and finishes accepted requests before Shutdown returns.
func TestGracefulShutdown(t *testing.T) {
	s, d, addr := startServer(t, maxTestConns)
	if response, _, _ := roundTripOnNewConn(t, addr, readinessCheck); response.StatusCode != http.StatusOK {
		t.Fatalf("readiness check: status %d", response.StatusCode)
	}
	inFlightConn := dial(t, addr)
	var inFlight sync.WaitGroup
	inFlight.Go(func() {
		response, body, err := exchange(inFlightConn, validPut)
		if err != nil || response.StatusCode != http.StatusOK || body != "late" {
			t.Errorf("request accepted before the shutdown: %+v, %q, %v", response, body, err)
		}
	})
	call := <-d.calls
	ended := startShutdown(s)
	response, _, openConn := roundTripOnNewConn(t, addr, readinessCheck)
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readiness check during shutdown: status %d", response.StatusCode)
	}
	time.Sleep(dispatcher.AcceptGrace + 100*time.Millisecond)
	if conn, err := net.Dial("tcp", addr); err == nil {
		_ = conn.Close()
		t.Error("server still accepts connections after the grace")
	}
	expectServedDuringShutdown(t, s, d, openConn)
	select {
	case err := <-ended:
		t.Fatalf("Shutdown returned %v with a request in flight", err)
	case <-time.After(s.shutdownSchedule.ServeConnsFor):
	}
	call.Respond(dispatcher.Response{Payload: []byte("late")})
	inFlight.Wait()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// expectServedDuringShutdown expects a request on an open connection to be served, with a timeout within the time that is
// left.
func expectServedDuringShutdown(t *testing.T, s *Server, d *fakeDispatcher, openConn net.Conn) {
	t.Helper()
	timeout := make(chan time.Duration, 1)
	go func() {
		call := <-d.calls
		timeout <- call.ClientTimeout
		call.Respond(dispatcher.Response{Payload: []byte("kept")})
	}()
	longRequest := strings.Replace(validPut, "480", "9999", 1)
	if response, body := roundTrip(t, openConn, longRequest); response.StatusCode != http.StatusOK || body != "kept" {
		t.Errorf("request on an open connection: %d, %q", response.StatusCode, body)
	}
	if got, longest := <-timeout, s.shutdownSchedule.AnswerBy-dispatcher.AcceptGrace; got > longest {
		t.Errorf("client timeout %v, want at most the %v that are left", got, longest)
	}
}

// TestShutdownReadsPartialRequests shuts down with half a request read on a connection that was used before, and half a
// request read on a new one. Both must be read completely and get a response that closes their connection. If the
// shutdown closed the connections earlier, the requests would get no response.
func TestShutdownReadsPartialRequests(t *testing.T) {
	s, d, addr := startServer(t, maxTestConns)
	go d.respondToAll()
	defer close(d.calls)
	_, _, usedConn := roundTripOnNewConn(t, addr, validPut)
	awaitIdle(t, s, 1)
	newConn := dial(t, addr)
	ended := startShutdown(s)
	closingAt := s.shutdownStartedAt.Load().Add(s.shutdownSchedule.ServeConnsFor)
	dispatcher.WaitUntil(context.Background(), closingAt.Add(-requestReadTimeout/4))
	half := len(validPut) / 2
	for _, conn := range []net.Conn{usedConn, newConn} {
		send(conn, validPut[:half])
	}
	for !s.closeAfterResponse.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(4 * shutdownPollInterval)
	for name, conn := range map[string]net.Conn{"used": usedConn, "new": newConn} {
		response, _ := roundTrip(t, conn, validPut[half:])
		if response.StatusCode != http.StatusOK || !response.Close {
			t.Errorf("%s: status %d, closes %v; want 200 and a close", name, response.StatusCode, response.Close)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestStalledRequestEndsDuringShutdown has a client stop within the first bytes of a further request just before a
// shutdown. Its connection must end within 3 s of the first byte. If timeouts were no longer checked once the listener is
// closed, the connection would end only when the shutdown closes stalled ones, after 4.5 s here.
func TestStalledRequestEndsDuringShutdown(t *testing.T) {
	const endsWithin = 3 * time.Second
	s, d, addr := startServer(t, maxTestConns)
	go d.respondToNext(1)
	_, _, conn := roundTripOnNewConn(t, addr, validGet)
	begunAt := time.Now()
	send(conn, "GE")
	dispatcher.WaitUntil(context.Background(), begunAt.Add(requestClaimTimeout-dispatcher.AcceptGrace-50*time.Millisecond))
	ended := startShutdown(s)
	setDeadline(t, conn, begunAt.Add(testTimeout))
	_, err := io.ReadAll(conn)
	if took := time.Since(begunAt); err != nil || took > endsWithin {
		t.Errorf("connection ended after %v, %v; want it within %v", took, err, endsWithin)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
