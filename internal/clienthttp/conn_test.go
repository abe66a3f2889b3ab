package clienthttp

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dapplegate/internal/socket"
)

// TestPipelinedRequestCountsAsReceivedWhenSent has a client send several requests at once, or further ones while the first
// is in flight at a target that hangs. The second is read only when the first has its response.
//
// Rule: a request that may have waited behind another counts as received when it may have arrived at the earliest. Failure:
// if its timeout runs from when its last byte is read, its response comes long after its client's timeout, or never, and its
// target is told more time than the client has left. The log has an age of 10 µs for a request sent seconds before.
func TestPipelinedRequestCountsAsReceivedWhenSent(t *testing.T) {
	const inFlightFor = 300 * time.Millisecond
	for name, gap := range map[string]time.Duration{
		"in one step":          0,
		"a little later":       20 * time.Millisecond,
		"while one is running": inFlightFor / 2,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, d, addr := startServer(t, maxTestConns)
			conn := dial(t, addr)
			var sentAt []time.Time
			for range 3 {
				sentAt = append(sentAt, time.Now())
				send(conn, validGet)
				time.Sleep(gap)
			}
			for i := range sentAt {
				call := <-d.calls
				if late := call.ReceivedAt.Sub(sentAt[i]); late > inFlightFor/10 {
					t.Errorf("request %d counts as received %v after it was sent", i, late)
				}
				time.Sleep(inFlightFor)
				call.Respond(servedX)
			}
		})
	}
}

// beforeRead runs a function before bytes are read that have arrived.
type beforeRead struct {
	syscall.RawConn
	run func()
}

func (r beforeRead) Read(f func(uintptr) bool) error {
	r.run()
	return r.RawConn.Read(f)
}

// TestRequestCountsAsReceivedWhenItArrived holds the process up when a request has arrived and nothing has been read, on a new
// connection and on one that has been idle for a while.
//
// Rule: the request counts as received when it arrived, however many reads it takes. Failure: it counts as received when the
// process goes on; its target is told more time than the client has left, and its response may come after its client's
// timeout. The log has an age of 10 µs.
func TestRequestCountsAsReceivedWhenItArrived(t *testing.T) {
	const heldUpFor = 150 * time.Millisecond
	const idleFor = 100 * time.Millisecond
	const bodySize = 10_000
	longPut := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", validPutHead, bodySize, strings.Repeat("x", bodySize))
	for name, request := range map[string]string{"one read": validGet, "several reads": longPut} {
		t.Run(name, func(t *testing.T) {
			client, accepted := connPair(t)
			conn := newClientConn(accepted)
			rawConn := conn.rawConn
			for _, state := range []string{"new", "idle"} {
				conn.rawConn = beforeRead{rawConn, func() {
					time.Sleep(heldUpFor)
					conn.rawConn = rawConn
				}}
				sentAt := time.Now()
				send(client, request)
				for received := 0; received < len(request); {
					n, err := conn.Read(make([]byte, readAheadSize))
					if err != nil {
						t.Fatal(err)
					}
					received += n
				}
				arrivedAfter := conn.requestArrival().Sub(sentAt)
				if arrivedAfter < 0 || arrivedAfter > heldUpFor/2 {
					t.Errorf("%s: counts as received %v after it was sent, with the process held up for %v", state, arrivedAfter, heldUpFor)
				}
				conn.state.Store(stateResponded)
				conn.beginNextRequest()
				time.Sleep(idleFor)
			}
		})
	}
}

// TestRequestBehindAbortedReadCountsAsReceivedWhenItArrived has net/http end a background read before it has looked for bytes,
// as when the response comes at once, while the next request has been there for long. Failure: the aborted read is taken
// for one that found nothing, and the request counts as received after it.
func TestRequestBehindAbortedReadCountsAsReceivedWhenItArrived(t *testing.T) {
	const waits = 100 * time.Millisecond
	client, accepted := connPair(t)
	conn := newClientConn(accepted)
	send(client, validGet)
	if _, err := io.ReadFull(conn, make([]byte, len(validGet))); err != nil {
		t.Fatal(err)
	}
	sentAt := time.Now()
	send(client, validPut)
	awaitUnread(t, accepted)
	time.Sleep(waits)
	if err := conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the background read ended with %v", err)
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	conn.state.Store(stateResponded)
	conn.beginNextRequest()
	if _, err := io.ReadFull(conn, make([]byte, len(validPut))); err != nil {
		t.Fatal(err)
	}
	if late := conn.requestArrival().Sub(sentAt); late > waits/2 {
		t.Errorf("the request counts as received %v after it was sent", late)
	}
}

// afterRead runs a function once bytes have been read, before the reader gets to see them.
type afterRead struct {
	syscall.RawConn
	run func()
}

func (r afterRead) Read(f func(uintptr) bool) error {
	err := r.RawConn.Read(f)
	r.run()
	return err
}

// TestEvictionAfterRead evicts an idle connection in the moment in which a request has been read on it, and nothing that
// follows the read has run.
//
// Rule: the connection no longer counts as idle then, and is not closed; a connection that has been closed gives no more
// bytes. Failure: the connection is closed over the request, which gets no response.
func TestEvictionAfterRead(t *testing.T) {
	client, accepted := connPair(t)
	table := newConnTable(8, 8, slog.New(slog.DiscardHandler))
	c := table.add(accepted)
	rawConn := c.rawConn

	closed := false
	c.rawConn = afterRead{rawConn, func() { closed = evictLocked(table, c, stateIdle) }}
	send(client, "G")
	if n, err := c.Read(make([]byte, 8)); n != 1 || err != nil || closed {
		t.Errorf("read %d, %v; closed over it: %v", n, err, closed)
	}

	c.state.Store(stateIdle)
	c.rawConn = afterRead{rawConn, func() {}}
	if !evictLocked(table, c, stateIdle) {
		t.Error("an idle connection was not closed")
	}
	if n, err := c.Read(make([]byte, 8)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the end: read %d, %v", n, err)
	}
}

// pausedRead stops a read when it has begun, before it takes any byte.
type pausedRead struct {
	syscall.RawConn
	begun, resume chan bool
}

func (r pausedRead) Read(f func(uintptr) bool) error {
	return r.RawConn.Read(func(fd uintptr) bool {
		r.begun <- true
		<-r.resume
		return f(fd)
	})
}

// TestEvictionDuringRead evicts an idle connection while a read on it has begun. Close waits for that read, so a read that
// waited for the eviction would be a deadlock, in which the table is locked and no connection can be accepted.
func TestEvictionDuringRead(t *testing.T) {
	_, accepted := connPair(t)
	table := newConnTable(8, 8, slog.New(slog.DiscardHandler))
	c := table.add(accepted)
	read := pausedRead{c.rawConn, make(chan bool), make(chan bool)}
	c.rawConn = read
	readEnded := make(chan error, 1)
	closed := make(chan bool, 1)
	go func() {
		_, err := c.Read(make([]byte, 8))
		readEnded <- err
	}()
	<-read.begun
	go func() { closed <- evictLocked(table, c, stateIdle) }()
	for c.state.Load() != stateClosed {
		time.Sleep(time.Millisecond)
	}
	read.resume <- true
	select {
	case ok := <-closed:
		if err := <-readEnded; !ok || !errors.Is(err, net.ErrClosed) {
			t.Errorf("closed %v, the read ended with %v", ok, err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the eviction and the read wait for each other")
	}
}

// readAfterDeadline is a socket whose reads find their deadline over, as after the process was held up.
type readAfterDeadline struct {
	syscall.RawConn
}

func (readAfterDeadline) Read(func(uintptr) bool) error {
	return os.ErrDeadlineExceeded
}

// TestRequestAtReadDeadlineIsRead has a client's first request arrive just before the time for it is over, while the process
// is held up until after that time.
//
// Rule: the connection is closed only if nothing has arrived. Failure: a deadline that ends the connection by the clock alone
// closes it over the request, which gets no response.
func TestRequestAtReadDeadlineIsRead(t *testing.T) {
	for name, c := range map[string]struct {
		sent      string
		wantError error
		wantState connState
	}{
		"request": {"GET", nil, stateReceiving},
		"nothing": {"", os.ErrDeadlineExceeded, stateClosed},
	} {
		t.Run(name, func(t *testing.T) {
			client, accepted := connPair(t)
			conn := newClientConn(accepted)
			conn.rawConn = readAfterDeadline{conn.rawConn}
			send(client, c.sent)
			if c.sent != "" {
				awaitUnread(t, accepted)
			}
			buffer := make([]byte, 8)
			n, err := conn.Read(buffer)
			if string(buffer[:n]) != c.sent || !errors.Is(err, c.wantError) {
				t.Errorf("read %q, %v; want %q, %v", buffer[:n], err, c.sent, c.wantError)
			}
			if state := conn.state.Load(); state != c.wantState {
				t.Errorf("the connection is %v, want %v", state, c.wantState)
			}
			if reason := conn.closeReason.Load(); c.wantState == stateClosed && (reason == nil || *reason != reasonNoFirstRequest) {
				t.Errorf("closed with reason %v, want %v", reason, reasonNoFirstRequest)
			}
		})
	}
}

// awaitUnread waits until what the other end has sent has arrived.
func awaitUnread(t *testing.T, conn net.Conn) {
	t.Helper()
	giveUpAt := time.Now().Add(testTimeout)
	for socket.IsOpenAndIdle(conn) {
		if time.Now().After(giveUpAt) {
			t.Fatalf("nothing arrived within %v", testTimeout)
		}
		time.Sleep(time.Millisecond)
	}
}
