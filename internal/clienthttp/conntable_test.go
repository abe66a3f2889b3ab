package clienthttp

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
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
	inFlight.Respond(servedResponse)
}

// TestStallInFirstBytes has a client send the first bytes of a further request and nothing more.
//
// Rule: its connection ends within 3 s. Failure: net/http gives the first four bytes of a further request as long as its
// timeout for idle connections, which is 4.8 s here.
func TestStallInFirstBytes(t *testing.T) {
	const endsWithin = 3 * time.Second
	addr := startServerWithDelay(t, requestReadTimeout, func(*Server) {})
	conn := dial(t, addr)
	roundTrip(t, conn, validGet)
	send(conn, "GE")
	begunAt := time.Now()
	setDeadline(t, conn, begunAt.Add(2*endsWithin))
	if _, err := io.ReadAll(conn); err != nil || time.Since(begunAt) > endsWithin {
		t.Errorf("the end came after %v, %v; want it within %v", time.Since(begunAt), err, endsWithin)
	}
}

// TestPausesInFirstBytes has a client send the first bytes of a further request one by one, with pauses.
//
// Rule: its connection ends within 3 s of the first, with a response. Failure: each byte gives the client the time for a pause
// anew, and only net/http's timeout for idle connections, 4.8 s here, bounds them together.
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
		t.Errorf("the end came after %v, %v; want it within %v", took, err, endsWithin)
	}
	if !strings.HasPrefix(string(got), "HTTP/1.1 503 ") {
		t.Errorf("got %q, want a rejection", got)
	}
}

// TestConnectionEndedLog checks the log line that says why a connection ended, by which operators find requests that got no
// response: its fields, and the reason that was noted first. A read that fails is not logged as the reason, since it is taken
// to follow from this side's close.
func TestConnectionEndedLog(t *testing.T) {
	for name, c := range map[string]struct {
		noted        []closeReason
		shuttingDown bool
		state        connState
		wantReason   string
		wantState    string
	}{
		"client closed":     {[]closeReason{reasonClientClosed, reasonWriteFailed}, false, stateIdle, "CLIENT_CLOSED", "IDLE"},
		"after a response":  {nil, false, stateResponded, "CLOSED_BY_SERVER", "RESPONDED"},
		"read after close":  {[]closeReason{reasonReadFailed}, false, stateMalformed, "CLOSED_BY_SERVER", "MALFORMED"},
		"shutdown":          {[]closeReason{reasonNone}, true, stateInFlight, "SHUTDOWN", "IN_FLIGHT"},
		"client at the end": {[]closeReason{reasonClientReset}, true, stateReceiving, "CLIENT_RESET", "RECEIVING"},
	} {
		t.Run(name, func(t *testing.T) {
			var log strings.Builder
			table := newConnTable(8, 8, slog.New(slog.NewTextHandler(&log, nil)))
			conn, _ := net.Pipe()
			added := table.add(conn)
			table.onConnState(added, http.StateActive)
			for _, reason := range c.noted {
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
				t.Error("the connection is still in the table")
			}
		})
	}
}

// TestAnnouncedCloseIsLoggedAsResponded gets a response that announces the end of its connection. An operator who looks for
// requests without a response must not find this one as in flight.
func TestAnnouncedCloseIsLoggedAsResponded(t *testing.T) {
	var log lockedBuffer
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
			t.Fatal("the end of the connection is not logged")
		}
		time.Sleep(time.Millisecond)
	}
	if got := log.String(); !strings.Contains(got, "state=RESPONDED") {
		t.Errorf("logged %q, want the request as responded", got)
	}
}

// lockedBuffer is a log that is read while it is written.
type lockedBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}
