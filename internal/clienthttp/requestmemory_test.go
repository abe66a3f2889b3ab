package clienthttp

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/memorybudget"
)

// startServerWithMemory starts a server that has the given number of bytes for requests in flight.
func startServerWithMemory(t *testing.T, bytes int64) (s *Server, d *fakeDispatcher, addr string) {
	t.Helper()
	d = newFakeDispatcher()
	s = newTestServer(d, maxTestConns)
	s.requestBudget = memorybudget.New(bytes)
	l := listen(t)
	serve(t, s, l)
	return s, d, l.Addr().String()
}

// putHeadWithLength returns the head of a write that declares a body of the given length.
func putHeadWithLength(length int) string {
	return validPutHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
}

// expectFree waits until the given number of bytes is free.
func expectFree(t *testing.T, s *Server, bytes int64) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); s.requestBudget.Free() != bytes; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are free, want %d", s.requestBudget.Free(), bytes)
		}
	}
}

// TestRequestsInFlightStayWithinMemory guards against bodies and long heads of requests in flight that fill the memory.
func TestRequestsInFlightStayWithinMemory(t *testing.T) {
	const memory, large = 100 << 10, 64 << 10
	largePut := putHeadWithLength(large) + strings.Repeat("b", large)
	longHead := strings.Replace(validGet, "/x/", "/"+strings.Repeat("p", 8<<10)+"/", 1)
	s, d, addr := startServerWithMemory(t, memory)
	send(dial(t, addr), largePut)
	inFlight := []*dispatcher.Call{<-d.calls}

	response, _, conn := roundTripOnNewConn(t, addr, largePut)
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || response.Close {
		t.Errorf("a body without room: status %d, Retry-After %q, closes %v; want a rejection on a connection that stays open",
			response.StatusCode, response.Header.Get("Retry-After"), response.Close)
	}
	for range 4 { // with the body 97 KiB, so that there is no room for a fifth
		send(dial(t, addr), longHead)
		inFlight = append(inFlight, <-d.calls)
	}
	if response, _, _ := roundTripOnNewConn(t, addr, longHead); response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a long head without room: status %d", response.StatusCode)
	}
	for _, call := range inFlight {
		call.Respond(servedResponse)
	}
	go d.respondToAll()
	defer close(d.calls)
	expectFree(t, s, memory)
	if response, _ := roundTrip(t, conn, largePut); response.StatusCode != http.StatusOK {
		t.Errorf("the same request once there is room: status %d", response.StatusCode)
	}
	expectFree(t, s, memory)
}

// TestDeclaredBodiesTakeLittleMemory guards against clients that declare a body, do not send it, and so keep the writes of
// others out.
func TestDeclaredBodiesTakeLittleMemory(t *testing.T) {
	const clients, memory = 20, 200 << 10
	s, d, addr := startServerWithMemory(t, memory)
	for range clients {
		send(dial(t, addr), putHeadWithLength(64<<10))
	}
	for deadline := time.Now().Add(testTimeout); s.requestBudget.Free() > memory-clients*firstBodyPart; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are free after %d heads", s.requestBudget.Free(), clients)
		}
	}
	go d.respondToNext(1)
	put := putHeadWithLength(32<<10) + strings.Repeat("b", 32<<10)
	if response, _, _ := roundTripOnNewConn(t, addr, put); response.StatusCode != http.StatusOK {
		t.Errorf("a write beside %d declared bodies: status %d", clients, response.StatusCode)
	}
}
