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

// startShutdown calls Shutdown, and returns once it has begun.
func startShutdown(s *Server) (ended <-chan error) {
	result := make(chan error, 1)
	go func() { result <- s.Shutdown(context.Background()) }()
	for s.shutdownStartedAt.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	return result
}

// TestGracefulShutdown checks the order of a shutdown: not ready at once, new connections served meanwhile, and what was
// accepted finished before Shutdown returns.
func TestGracefulShutdown(t *testing.T) {
	s, d, addr := startServer(t, maxTestConns)
	if response, _, _ := roundTripOnNewConn(t, addr, readinessCheck); response.StatusCode != http.StatusOK {
		t.Fatalf("ready: %d", response.StatusCode)
	}
	inFlightConn := dial(t, addr)
	var inFlight sync.WaitGroup
	inFlight.Go(func() {
		response, body, err := exchange(inFlightConn, validPut)
		if err != nil || response.StatusCode != http.StatusOK || body != "late" {
			t.Errorf("accepted before the shutdown: %+v, %q, %v", response, body, err)
		}
	})
	call := <-d.calls
	ended := startShutdown(s)
	response, _, openConn := roundTripOnNewConn(t, addr, readinessCheck)
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("ready during shutdown: %d", response.StatusCode)
	}
	time.Sleep(dispatcher.AcceptGrace + 100*time.Millisecond)
	if conn, err := net.Dial("tcp", addr); err == nil {
		_ = conn.Close()
		t.Error("still accepting after the grace")
	}
	wantServedDuringShutdown(t, s, d, openConn)
	select {
	case err := <-ended:
		t.Fatalf("ended with a request in flight, and with %v", err)
	case <-time.After(s.shutdownSchedule.ServeConnsFor):
	}
	call.Respond(dispatcher.Response{Payload: []byte("late")})
	inFlight.Wait()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// wantServedDuringShutdown wants a request on an open connection served, within the time that is left.
func wantServedDuringShutdown(t *testing.T, s *Server, d *fakeDispatcher, openConn net.Conn) {
	t.Helper()
	timeout := make(chan time.Duration, 1)
	go func() {
		call := <-d.calls
		timeout <- call.ClientTimeout
		call.Respond(dispatcher.Response{Payload: []byte("kept")})
	}()
	longRequest := strings.Replace(validPut, "480", "9999", 1)
	if response, body := roundTrip(t, openConn, longRequest); response.StatusCode != http.StatusOK || body != "kept" {
		t.Errorf("on a connection from before: %d, %q", response.StatusCode, body)
	}
	if got, longest := <-timeout, s.shutdownSchedule.AnswerBy-dispatcher.AcceptGrace; got > longest {
		t.Errorf("it may take %v, past the end of %v", got, longest)
	}
}

// TestShutdownReadsPartialRequests shuts down with half a request read on a connection that was used before, and half on a
// new one.
//
// Rule: both are read completely, and get a response that closes their connection. Failure: their connections are closed,
// and the requests get no response.
func TestShutdownReadsPartialRequests(t *testing.T) {
	s, d, addr := startServer(t, maxTestConns)
	go d.respondToAll()
	defer close(d.calls)
	_, _, used := roundTripOnNewConn(t, addr, validPut)
	awaitIdle(t, s, 1)
	fresh := dial(t, addr)
	ended := startShutdown(s)
	closingAt := s.shutdownStartedAt.Load().Add(s.shutdownSchedule.ServeConnsFor)
	dispatcher.WaitUntil(context.Background(), closingAt.Add(-requestReadTimeout/4))
	half := len(validPut) / 2
	for _, conn := range []net.Conn{used, fresh} {
		send(conn, validPut[:half])
	}
	for !s.closeAfterResponse.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(4 * shutdownPollInterval)
	for name, conn := range map[string]net.Conn{"used": used, "new": fresh} {
		response, _ := roundTrip(t, conn, validPut[half:])
		if response.StatusCode != http.StatusOK || !response.Close {
			t.Errorf("%s: status %d, closes %v; want it served and closed", name, response.StatusCode, response.Close)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestStalledRequestEndsDuringShutdown has a client stop in the first bytes of a further request just before a shutdown.
//
// Rule: its connection ends within 3 s of the first byte. Failure: the timeouts of requests are not checked any more once the
// listener is closed, and the connection ends only when the shutdown closes those that have stalled, 4.5 s here.
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
		t.Errorf("the end came after %v, %v; want it within %v", took, err, endsWithin)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
