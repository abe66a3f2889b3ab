package clienthttp

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestConnectionLimitEvictsIdle uses up the limit with idle connections: a new one is served all the same, and the one idle
// longest is closed.
func TestConnectionLimitEvictsIdle(t *testing.T) {
	s, d, addr := startServer(t, 2)
	go d.respondToAll()
	defer close(d.calls)
	_, _, first := roundTripOnNewConn(t, addr, validPut)
	awaitIdle(t, s, 1)
	_, _, second := roundTripOnNewConn(t, addr, validPut)
	awaitIdle(t, s, 2)
	if response, _, _ := roundTripOnNewConn(t, addr, validPut); response.StatusCode != http.StatusOK {
		t.Errorf("over the limit: status %d", response.StatusCode)
	}
	setDeadline(t, first, time.Now().Add(testTimeout))
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection idle longest: %v, want it closed", err)
	}
	if response, _ := roundTrip(t, second, validPut); response.StatusCode != http.StatusOK {
		t.Errorf("the one used later: status %d", response.StatusCode)
	}
}

// TestConnectionLimitRejects uses up the limit with a request in flight: one more is rejected at once, and its connection
// closed.
func TestConnectionLimitRejects(t *testing.T) {
	_, d, addr := startServer(t, 1)
	send(dial(t, addr), validPut)
	inFlight := <-d.calls
	response, _, _ := roundTripOnNewConn(t, addr, validPut)
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close || len(d.calls) != 0 {
		t.Errorf("status %d, closes %v, %d calls; want a rejection that reaches no dispatcher",
			response.StatusCode, response.Close, len(d.calls))
	}
	inFlight.Respond(servedX)
}

// TestStallInFirstBytes has a client send the first bytes of a further request and nothing more: its connection must end
// within 3 s. net/http gave it the 4.8 s of an idle connection, which bounds its reading of the first four bytes.
func TestStallInFirstBytes(t *testing.T) {
	const endsWithin = 3 * time.Second
	addr := startServerWithDelay(t, requestTimeout, func(*Server) {})
	conn := dial(t, addr)
	roundTrip(t, conn, validGet)
	send(conn, "GE")
	begunAt := time.Now()
	setDeadline(t, conn, begunAt.Add(2*endsWithin))
	if _, err := io.ReadAll(conn); err != nil || time.Since(begunAt) > endsWithin {
		t.Errorf("the end came after %v, %v; want it within %v", time.Since(begunAt), err, endsWithin)
	}
}
