package clienthttp

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/logbuffer"
)

// TestConnectionLimitEvictsIdle reaches the limit with idle connections. A new connection must still be served, and the
// one that has been idle longest must be closed, after a response to a request that may be on its way.
func TestConnectionLimitEvictsIdle(t *testing.T) {
	s, d, addr := startServer(t, 2)
	go d.respondToAll()
	defer close(d.calls)
	_, _, first := roundTripOnNewConn(t, addr, validPut)
	awaitIdle(t, s, 1)
	_, _, second := roundTripOnNewConn(t, addr, validPut)
	awaitIdle(t, s, 2)
	if response, _, _ := roundTripOnNewConn(t, addr, validPut); response.StatusCode != http.StatusOK {
		t.Errorf("new connection over the limit: status %d", response.StatusCode)
	}
	setDeadline(t, first, time.Now().Add(testTimeout))
	if got, err := io.ReadAll(first); err != nil || string(got) != response503NoDelay {
		t.Errorf("connection that was idle longest: %q, %v, want %q and its end", got, err, response503NoDelay)
	}
	if response, _ := roundTrip(t, second, validPut); response.StatusCode != http.StatusOK {
		t.Errorf("connection that was used later: status %d", response.StatusCode)
	}
}

// TestConnectionLimitRejects reaches the limit with a request in flight. One more request must be rejected at once and
// its connection closed.
func TestConnectionLimitRejects(t *testing.T) {
	_, d, addr := startServer(t, 1)
	send(dial(t, addr), validPut)
	inFlight := <-d.calls
	response, _, _ := roundTripOnNewConn(t, addr, validPut)
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close || len(d.calls) != 0 {
		t.Errorf("status %d, closes %v, %d calls; want a rejection without a call to the dispatcher",
			response.StatusCode, response.Close, len(d.calls))
	}
	inFlight.Respond(servedResponse)
}

// TestStallInFirstBytes has a client send the first bytes of a further request and nothing more. Its connection must end
// within 3 s. net/http alone would wait for the first four bytes as long as its idle timeout, which is 4.8 s here.
func TestStallInFirstBytes(t *testing.T) {
	const endsWithin = 3 * time.Second
	addr := startServerWithDelay(t, requestReadTimeout, func(*Server) {})
	conn := dial(t, addr)
	roundTrip(t, conn, validGet)
	send(conn, "GE")
	begunAt := time.Now()
	setDeadline(t, conn, begunAt.Add(2*endsWithin))
	if _, err := io.ReadAll(conn); err != nil || time.Since(begunAt) > endsWithin {
		t.Errorf("connection ended after %v, %v; want it within %v", time.Since(begunAt), err, endsWithin)
	}
}

// TestPausesInFirstBytes has a client send the first bytes of a further request one by one, with pauses. Its connection
// must end with a response within 3 s of the first byte. A timeout that started anew with each byte would leave only
// net/http's idle timeout, 4.8 s here, to limit them together.
func TestPausesInFirstBytes(t *testing.T) {
	const endsWithin = 3 * time.Second
	const pause = 1900 * time.Millisecond
	addr := startServerWithDelay(t, requestReadTimeout, func(*Server) {})
	conn := dial(t, addr)
	roundTrip(t, conn, validGet)
	begunAt := time.Now()
	setDeadline(t, conn, begunAt.Add(testTimeout))
	go func() {
		for _, part := range []string{"G", "E", "T"} {
			send(conn, part)
			time.Sleep(pause)
		}
	}()
	got, err := io.ReadAll(conn)
	if took := time.Since(begunAt); err != nil || took > endsWithin {
		t.Errorf("connection ended after %v, %v; want it within %v", took, err, endsWithin)
	}
	if !strings.HasPrefix(string(got), "HTTP/1.1 503 ") {
		t.Errorf("got %q, want a rejection", got)
	}
}

// TestConnectionEndedLog checks the log line for the end of a connection, which operators use to find requests without a
// response: its fields, and that the reason is the first one that was recorded. A failed read is not logged as the
// reason, because it is assumed to be a consequence of the server's own close.
func TestConnectionEndedLog(t *testing.T) {
	for name, c := range map[string]struct {
		recorded     []closeReason
		shuttingDown bool
		state        connState
		wantReason   string
		wantState    string
	}{
		"client closed":         {[]closeReason{reasonClientClosed, reasonWriteFailed}, false, stateIdle, "CLIENT_CLOSED", "IDLE"},
		"after a response":      {nil, false, stateResponded, "CLOSED_BY_SERVER", "RESPONDED"},
		"failed read":           {[]closeReason{reasonReadFailed}, false, stateMalformed, "CLOSED_BY_SERVER", "MALFORMED"},
		"shutdown":              {[]closeReason{reasonNone}, true, stateInFlight, "SHUTDOWN", "IN_FLIGHT"},
		"reset during shutdown": {[]closeReason{reasonClientReset}, true, stateReceiving, "CLIENT_RESET", "RECEIVING"},
	} {
		t.Run(name, func(t *testing.T) {
			var log strings.Builder
			table := newConnTable(8, 8, slog.New(slog.NewTextHandler(&log, nil)))
			conn, _ := net.Pipe()
			added := table.add(conn)
			table.onConnState(added, http.StateActive)
			for _, reason := range c.recorded {
				added.recordCloseReason(reason)
			}
			added.state.Store(c.state)
			if c.shuttingDown {
				table.beginShutdown()
			}
			table.onConnState(added, http.StateClosed)
			want := fmt.Sprintf(`msg="connection ended" side=client peer=pipe reason=%s requests=1 request="" state=%s`,
				c.wantReason, c.wantState)
			if !strings.Contains(log.String(), want) {
				t.Errorf("logged %q, want %q", log.String(), want)
			}
			if len(table.open) != 0 {
				t.Error("connection is still in the table")
			}
		})
	}
}

// TestAnnouncedCloseIsLoggedAsResponded gets a response that announces the close of its connection. Operators who look
// for requests without a response must not find this one logged as in flight.
func TestAnnouncedCloseIsLoggedAsResponded(t *testing.T) {
	var log logbuffer.Buffer
	s := newTestServer(newFakeDispatcher(), maxTestConns)
	s.conns.log = slog.New(slog.NewTextHandler(&log, nil))
	l := listen(t)
	serve(t, s, l)
	d := s.dispatcher.(*fakeDispatcher)
	go func() { (<-d.calls).Respond(dispatcher.Response{Status: dispatcher.Duplicate}) }()
	_, _, conn := roundTripOnNewConn(t, l.Addr().String(), validGet)
	readUntilClosed(conn)
	for giveUpAt := time.Now().Add(testTimeout); !strings.Contains(log.String(), "connection ended"); {
		if time.Now().After(giveUpAt) {
			t.Fatal("end of the connection is not logged")
		}
		time.Sleep(time.Millisecond)
	}
	if got := log.String(); !strings.Contains(got, "state=RESPONDED") {
		t.Errorf("logged %q, want state=RESPONDED", got)
	}
}
