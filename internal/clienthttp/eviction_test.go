package clienthttp

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestConnectionsWithoutValidRequestAreEvicted reaches the limit with connections that send nothing, stop within a head
// or a body, or send a malformed request without the end of its body. Well-behaved clients must still be served, and a
// connection with a request in flight must stay open.
func TestConnectionsWithoutValidRequestAreEvicted(t *testing.T) {
	const maxConns = 8
	const evictable = maxConns - 1
	for name, raw := range map[string]string{
		"silent":       "",
		"partial head": validPutHead,
		"partial body": partialPut,
		"malformed":    strings.Replace(partialPut, "std", "odd", 1),
	} {
		t.Run(name, func(t *testing.T) {
			_, d, addr := startServer(t, maxConns)
			inFlight := dial(t, addr)
			send(inFlight, validPut)
			call := <-d.calls
			for range evictable {
				send(dial(t, addr), raw)
			}
			time.Sleep(5 * silentTimeout)
			go d.respondToNext(evictable)
			for range evictable {
				if response, _, _ := roundTripOnNewConn(t, addr, validPut); response.StatusCode != http.StatusOK {
					t.Errorf("well-behaved client got status %d", response.StatusCode)
				}
			}
			call.Respond(servedResponse)
			setDeadline(t, inFlight, time.Now().Add(testTimeout))
			response, err := http.ReadResponse(bufio.NewReader(inFlight), nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("request in flight: %+v, %v", response, err)
			}
		})
	}
}

// TestIdleConnectionsAreEvictedEarly has clients send one request each and keep their connections open. Idle connections
// must be evicted above evictIdleAbove, for the reason given at connTable, while requests in flight may use all of
// maxConns.
func TestIdleConnectionsAreEvictedEarly(t *testing.T) {
	const maxConns = 8
	const evictIdleAbove = 3
	const clients = 2 * evictIdleAbove
	s, d, addr := startServer(t, maxConns)
	s.conns.mu.Lock()
	s.conns.evictIdleAbove = evictIdleAbove
	s.conns.mu.Unlock()
	go d.respondToNext(clients)
	for range clients {
		roundTripOnNewConn(t, addr, validPut)
		time.Sleep(2 * minIdleBeforeEviction)
	}
	s.conns.mu.Lock()
	if open := len(s.conns.open); open > evictIdleAbove {
		t.Errorf("%d idle connections are open, want %d", open, evictIdleAbove)
	}
	s.conns.mu.Unlock()
	for i := range maxConns {
		send(dial(t, addr), validPut)
		select {
		case <-d.calls:
		case <-time.After(testTimeout):
			t.Fatalf("request %d on a new connection was not accepted", i)
		}
	}
}

// TestCompleteRequestIsNotEvicted closes connections, to make room or at the end of a shutdown, when a request has been
// read completely and its handler has not claimed it yet. The connection must stay open, however long it was idle before
// the request.
//
// If the table took the client for one that has stopped within its request and closed the connection, a request that was
// about to be served would get no response.
func TestCompleteRequestIsNotEvicted(t *testing.T) {
	// Makes the connection look idle for long before the request. The time of the last read is left as it is, because on a
	// busy machine it is long ago anyway.
	makeIdleForLong := func(s *Server) {
		s.conns.mu.Lock()
		defer s.conns.mu.Unlock()
		for _, c := range s.conns.open {
			c.idleSince = c.idleSince.Add(-time.Minute)
		}
	}
	for name, closeConns := range map[string]func(*Server){
		"to make room": func(s *Server) {
			makeIdleForLong(s)
			s.conns.mu.Lock()
			defer s.conns.mu.Unlock()
			for _, candidate := range s.conns.evictionCandidates(nil, true) {
				s.conns.closeIfUnchanged(candidate.conn, candidate.observed, reasonConnectionLimit)
			}
		},
		"end of shutdown": func(s *Server) {
			makeIdleForLong(s)
			s.conns.closeIdle(true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			expectServed(t, startServerWithDelay(t, time.Minute, closeConns), validGet, 1)
		})
	}
}

// TestRequestReadAheadIsNotEvicted has a client's second request arrive along with its first, so that both are read from
// the socket in one step. Idle connections are closed when the first request has its response, and when net/http has
// parsed the second.
//
// A connection with a request that was read ahead must not count as idle until net/http reads again. If it counted as
// idle from the first response on, it would be closed without a response to the second request.
func TestRequestReadAheadIsNotEvicted(t *testing.T) {
	s := newServerWithDelay(time.Minute, func(*Server) {})
	hasResponded := false
	s.http.ConnState = func(conn net.Conn, state http.ConnState) {
		s.conns.onConnState(conn, state)
		hasResponded = hasResponded || state == http.StateIdle
		if hasResponded {
			s.conns.closeIdle(false)
		}
	}
	l := listen(t)
	serve(t, s, l)
	expectServed(t, l.Addr().String(), validGet+validGet, 2)
}

// TestRequestReadAheadIsNotEvictedBeforeClaim has a client's second request arrive along with its first, and closes idle
// connections after the handler of the second has begun and before it claims the request.
//
// net/http starts a background read before it calls the handler. If that read made the connection idle, it would be
// closed, and the second request would get no response. The test waits for that read to begin.
func TestRequestReadAheadIsNotEvictedBeforeClaim(t *testing.T) {
	const backgroundReadBegins = 10 * time.Millisecond // after the call of the handler, at the latest
	isSecond := false
	addr := startServerWithDelay(t, time.Minute, func(s *Server) {
		if isSecond {
			time.Sleep(backgroundReadBegins)
			s.conns.closeIdle(false)
		}
		isSecond = true
	})
	expectServed(t, addr, validGet+validGet, 2)
}

// TestEvictionResponseDoesNotBlock evicts a connection with part of a request whose client reads nothing, so that the
// response to that request finds the send buffer full. The table is locked meanwhile and must not wait for space.
func TestEvictionResponseDoesNotBlock(t *testing.T) {
	_, accepted := connPair(t)
	fillSendBuffer(t, accepted)
	table := newConnTable(8, 8, slog.New(slog.DiscardHandler))
	c := table.add(accepted)
	c.state.Store(stateReceiving)
	closed := make(chan bool, 1)
	go func() { closed <- lockAndEvict(table, c, stateReceiving) }()
	select {
	case ok := <-closed:
		if !ok {
			t.Error("connection was not closed")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("table waits for a client that does not read")
	}
}

// fillSendBuffer writes until there is no space for one more byte. It ends with single bytes, because the kernel still
// accepts some small writes after it has stopped accepting large ones.
func fillSendBuffer(t *testing.T, conn net.Conn) {
	t.Helper()
	for _, size := range []int{64 << 10, 1} {
		if err := conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		for {
			if _, err := conn.Write(make([]byte, size)); err != nil {
				break
			}
		}
	}
	if err := conn.SetWriteDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
}

// slowCloseConn is a connection whose Close waits for resume, as if the process were busy.
type slowCloseConn struct {
	*net.TCPConn
	resume chan bool
}

func (c slowCloseConn) Close() error {
	<-c.resume
	return c.TCPConn.Close()
}

// TestEvictionShutsDownBeforeClose evicts an idle connection while the process is delayed before Close. The check for
// unread bytes and the shutdown are one step, so the client must see a 503 response and the end of the connection before
// Close.
//
// In a burst of new connections, the process may be busy between the check and Close. A request that arrived in between
// would have its connection closed without a response. The log would show a gap, then "connection ended" with
// reason=CONNECTION_LIMIT state=CLOSED for the connection, and no line with the request.
func TestEvictionShutsDownBeforeClose(t *testing.T) {
	for name, c := range map[string]struct {
		hasResponded bool
		want         string
	}{
		"used before": {true, response503NoDelay},
		"new":         {false, response503},
	} {
		t.Run(name, func(t *testing.T) {
			client, accepted := connPair(t)
			resume := make(chan bool)
			table := newConnTable(8, 8, slog.New(slog.DiscardHandler))
			conn := table.add(slowCloseConn{accepted, resume})
			conn.hasResponded.Store(c.hasResponded)
			closed := make(chan bool, 1)
			go func() { closed <- lockAndEvict(table, conn, stateIdle) }()
			setDeadline(t, client, time.Now().Add(2*time.Second))
			if got, err := io.ReadAll(client); err != nil || string(got) != c.want {
				t.Errorf("before the close: %q, %v; want %q and the end of the connection", got, err, c.want)
			}
			resume <- true
			if !<-closed {
				t.Error("connection was not closed")
			}
		})
	}
}

// TestNewConnectionIsClosedWith503 closes new connections on which nothing has been read, in each possible way. Their
// clients are delayed, as on a busy machine, and send a request only after the close. They must find a 503 response,
// which they can act on, and not just the end of the connection.
//
// The request may be the client's first. Unlike a request on a connection that was used before, the client does not send
// it again by itself. Without the response the client would see "unexpected EOF" on a connection established a moment
// before, and the log would show the connection with reason=CONNECTION_LIMIT and requests=0.
func TestNewConnectionIsClosedWith503(t *testing.T) {
	const maxConns = 2
	// fill opens as many connections as the limit allows, with a request in flight on each.
	fill := func(t *testing.T, addr string, d *fakeDispatcher) {
		t.Helper()
		for range maxConns {
			send(dial(t, addr), validGet)
			<-d.calls
		}
	}
	for name, closeConn := range map[string]func(t *testing.T, s *Server, d *fakeDispatcher, addr string){
		"evicted as new": func(t *testing.T, _ *Server, d *fakeDispatcher, addr string) { fill(t, addr, d) },
		"evicted as silent": func(t *testing.T, _ *Server, d *fakeDispatcher, addr string) {
			time.Sleep(2 * silentTimeout)
			fill(t, addr, d)
		},
		"shutdown": func(_ *testing.T, s *Server, _ *fakeDispatcher, _ string) { s.conns.closeIdle(false) },
		"no first request": func(*testing.T, *Server, *fakeDispatcher, string) {
			time.Sleep(requestReadTimeout + timeoutCheckInterval)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, d, addr := startServer(t, maxConns)
			conn := dial(t, addr)
			awaitIdle(t, s, 1)
			closeConn(t, s, d, addr)
			for s.isOpen(conn.LocalAddr()) {
				time.Sleep(time.Millisecond)
			}
			expectServiceUnavailable(t, conn)
		})
	}
}

// isOpen reports whether the table holds the connection of the client with the given address.
func (s *Server) isOpen(client net.Addr) bool {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	for _, c := range s.conns.open {
		if c.RemoteAddr().String() == client.String() {
			return true
		}
	}
	return false
}

// expectServiceUnavailable sends a request on a connection that the server has closed, and expects a 503 with a Retry-After
// header.
func expectServiceUnavailable(t *testing.T, conn net.Conn) {
	t.Helper()
	response, _, err := exchange(conn, validGet)
	if err != nil {
		t.Fatalf("client got %v, want a 503 response", err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("status %d, headers %v, closes %v; want 503, a Retry-After header and a close",
			response.StatusCode, response.Header, response.Close)
	}
}

// TestConnectionFarOverLimitIsClosedWith503 opens more connections than are accepted over the limit, with requests in
// flight on all that may stay open. Each must get a 503 response, for the reason given at
// TestNewConnectionIsClosedWith503.
func TestConnectionFarOverLimitIsClosedWith503(t *testing.T) {
	const maxConns = 2
	s, d, addr := startServer(t, maxConns)
	for range maxConns {
		send(dial(t, addr), validGet)
		<-d.calls
	}
	var conns []net.Conn
	s.conns.mu.Lock() // so that none of them is served before all are open
	for range maxConnsOverLimit + 8 {
		conn := dial(t, addr)
		send(conn, validGet)
		conns = append(conns, conn)
	}
	s.conns.mu.Unlock()
	for _, conn := range conns {
		setDeadline(t, conn, time.Now().Add(testTimeout))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("got %+v, %v", response, err)
		}
	}
}
