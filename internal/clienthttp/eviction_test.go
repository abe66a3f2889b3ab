package clienthttp

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestUselessConnectionsAreEvicted uses up the limit with connections that send nothing, stop within a head or a body, or
// are malformed and never end their body. Well-behaved clients must be served all the same, and a connection with a request
// in flight must stay.
func TestUselessConnectionsAreEvicted(t *testing.T) {
	const maxConns = 8
	const useless = maxConns - 1
	for name, raw := range map[string]string{
		"silent":      "",
		"half a head": validPutHead,
		"half a body": partialPut,
		"malformed":   strings.Replace(partialPut, "std", "odd", 1),
	} {
		t.Run(name, func(t *testing.T) {
			_, d, addr := startServer(t, maxConns)
			inFlight := dial(t, addr)
			send(inFlight, validPut)
			call := <-d.calls
			for range useless {
				send(dial(t, addr), raw)
			}
			time.Sleep(5 * silentTimeout)
			go d.respondToNext(useless)
			for range useless {
				if response, _, _ := roundTripOnNewConn(t, addr, validPut); response.StatusCode != http.StatusOK {
					t.Errorf("a well-behaved client got status %d", response.StatusCode)
				}
			}
			call.Respond(servedX)
			setDeadline(t, inFlight, time.Now().Add(testTimeout))
			response, err := http.ReadResponse(bufio.NewReader(inFlight), nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("the request in flight: %+v, %v", response, err)
			}
		})
	}
}

// TestIdleConnectionsAreEvictedEarly has clients send one request each and keep their connections. Clients that count these
// among their own few could not connect any more, and the limit would never be met, so idle connections are evicted well
// below it. Those with a request in flight may use all of it.
func TestIdleConnectionsAreEvictedEarly(t *testing.T) {
	const maxConns = 8
	const maxIdle = 3
	const once = 2 * maxIdle
	s, d, addr := startServer(t, maxConns)
	s.conns.mutex.Lock()
	s.conns.maxIdle = maxIdle
	s.conns.mutex.Unlock()
	go d.respondToNext(once)
	for range once {
		roundTripOnNewConn(t, addr, validPut)
		time.Sleep(2 * minIdleBeforeEviction)
	}
	s.conns.mutex.Lock()
	if open := len(s.conns.open); open > maxIdle {
		t.Errorf("%d idle connections are kept, want %d", open, maxIdle)
	}
	s.conns.mutex.Unlock()
	for i := range maxConns {
		send(dial(t, addr), validPut)
		select {
		case <-d.calls:
		case <-time.After(testTimeout):
			t.Fatalf("request %d on a connection of its own was not accepted", i)
		}
	}
}

// TestCompleteRequestIsNotEvicted closes connections, to make room or at the end of a shutdown, in the moment in which a
// request has been read completely and its handler has not claimed it.
//
// Such a request had its connection closed without a response: the table knew only that some of a request had been read,
// and took the client for a slow one, however lately its bytes had arrived.
func TestCompleteRequestIsNotEvicted(t *testing.T) {
	for name, closeConns := range map[string]func(*Server){
		"to make room": func(s *Server) {
			s.conns.mutex.Lock()
			defer s.conns.mutex.Unlock()
			for c := range s.conns.open {
				c.idleSince = c.idleSince.Add(-time.Minute) // as if it had been silent for long
			}
			if c, observed := s.conns.evictionCandidate(nil, true); c != nil {
				s.conns.evict(c, observed, reasonConnectionLimit)
			}
		},
		"at the end": func(s *Server) { s.conns.closeIdle(true) },
	} {
		t.Run(name, func(t *testing.T) {
			wantServed(t, startServerWithDelay(t, time.Minute, closeConns), validGet, 1)
		})
	}
}

// TestRequestReadAheadIsNotEvicted has a client's second request arrive along with its first, so that net/http reads both
// in one step. The connection is closed, to make room, as idle or for a shutdown, after the first response and before the
// handler of the second request claims it.
//
// Such a request had its connection closed without a response: the connection counted as idle from the first response on,
// though net/http had not used up what it had read ahead.
func TestRequestReadAheadIsNotEvicted(t *testing.T) {
	isSecond := false
	addr := startServerWithDelay(t, time.Minute, func(s *Server) {
		if isSecond {
			s.conns.closeIdle(false)
		}
		isSecond = true
	})
	wantServed(t, addr, validGet+validGet, 2)
}

// TestEvictionResponseDoesNotBlock evicts a connection with part of a request whose client reads nothing, so that the
// response over that request finds the send buffer full. The table is locked meanwhile and must not wait for space.
func TestEvictionResponseDoesNotBlock(t *testing.T) {
	_, accepted := connPair(t)
	fillSendBuffer(t, accepted)
	table := newConnTable(8, 8, slog.New(slog.DiscardHandler))
	c := table.add(accepted)
	c.state.Store(stateReceiving)
	closed := make(chan bool, 1)
	go func() { closed <- evictLocked(table, c, stateReceiving) }()
	select {
	case ok := <-closed:
		if !ok {
			t.Error("not closed")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the table waits for a client that does not read")
	}
}

// fillSendBuffer writes until there is no space for one more byte: the kernel takes some more of a small write than of a
// large one.
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

// slowToClose is a connection whose Close waits, as if the process were busy with something else first.
type slowToClose struct {
	*net.TCPConn
	resume chan bool
}

func (c slowToClose) Close() error {
	<-c.resume
	return c.TCPConn.Close()
}

// TestEvictionChecksAndEndsInOneStep evicts an idle connection while the process is held up before Close: the client must
// be told that the connection is over before that.
//
// In a burst of new connections a request had its connection closed without a response, 0.107 s after it was sent. An idle
// connection was checked for unread bytes, and the process was then busy with the burst for 0.18 s before it closed the
// connection: the request arrived in between. The check was a system call, after which other goroutines ran, and the end
// came at the Close, steps later. The log had a gap of 0.18 s, then "connection ended" with reason=CONNECTION_LIMIT
// state=CLOSED for connections that had been used before, one of them the client's; no line had the request.
func TestEvictionChecksAndEndsInOneStep(t *testing.T) {
	client, accepted := connPair(t)
	resume := make(chan bool)
	table := newConnTable(8, 8, slog.New(slog.DiscardHandler))
	c := table.add(slowToClose{accepted, resume})
	closed := make(chan bool, 1)
	go func() { closed <- evictLocked(table, c, stateIdle) }()
	setDeadline(t, client, time.Now().Add(2*time.Second))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("before the close: %v, want the client told that the connection is over", err)
	}
	resume <- true
	if !<-closed {
		t.Error("not closed")
	}
}
