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

// TestPipelinedRequestCountsAsReceivedWhenSent has a client send several requests at once, or further ones while the
// first is in flight at a target that hangs. The second is read only after the first has its response. A request that may
// have waited behind another must count as received at the earliest time at which it may have arrived.
//
// If its timeout ran from the read of its last byte, its response would come long after its client's timeout, or never,
// and its target would be told a longer timeout than the client has left. The log would show an age of 10 µs for a
// request that was sent seconds before.
func TestPipelinedRequestCountsAsReceivedWhenSent(t *testing.T) {
	const inFlightFor = 300 * time.Millisecond
	for name, gap := range map[string]time.Duration{
		"all at once":            0,
		"shortly after":          20 * time.Millisecond,
		"while one is in flight": inFlightFor / 2,
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
				call.Respond(servedResponse)
			}
		})
	}
}

// beforeReadHook calls run before bytes that have arrived are read.
type beforeReadHook struct {
	syscall.RawConn
	run func()
}

func (r beforeReadHook) Read(f func(uintptr) bool) error {
	r.run()
	return r.RawConn.Read(f)
}

// TestRequestCountsAsReceivedWhenItArrived delays the process when a request has arrived and nothing has been read, on a
// new connection and on one that has been idle for a while. The request must count as received when it arrived, however
// many reads it takes.
//
// If it counted as received when the process continues, its target would be told a longer timeout than the client has
// left, and its response might come after its client's timeout. The log would show an age of 10 µs.
func TestRequestCountsAsReceivedWhenItArrived(t *testing.T) {
	const readDelay = 150 * time.Millisecond
	const idleFor = 100 * time.Millisecond
	const bodySize = 10_000
	longPut := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", validPutHead, bodySize, strings.Repeat("x", bodySize))
	for name, request := range map[string]string{"one read": validGet, "several reads": longPut} {
		t.Run(name, func(t *testing.T) {
			client, accepted := connPair(t)
			conn := newClientConn(accepted)
			rawConn := conn.rawConn
			for _, state := range []string{"new", "idle"} {
				conn.rawConn = beforeReadHook{rawConn, func() {
					time.Sleep(readDelay)
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
				if arrivedAfter < 0 || arrivedAfter > readDelay/2 {
					t.Errorf("%s: counts as received %v after it was sent, with a read delay of %v", state, arrivedAfter, readDelay)
				}
				conn.state.Store(stateResponded)
				conn.beginNextRequest()
				time.Sleep(idleFor)
			}
		})
	}
}

// TestRequestBehindAbortedReadCountsAsReceivedWhenItArrived has net/http end a background read before it has looked for
// bytes, as when the response comes at once, although the next request arrived long before. The aborted read must not be
// taken as one that found nothing: the request would count as received after it.
func TestRequestBehindAbortedReadCountsAsReceivedWhenItArrived(t *testing.T) {
	const waitTime = 100 * time.Millisecond
	client, accepted := connPair(t)
	conn := newClientConn(accepted)
	send(client, validGet)
	if _, err := io.ReadFull(conn, make([]byte, len(validGet))); err != nil {
		t.Fatal(err)
	}
	sentAt := time.Now()
	send(client, validPut)
	awaitUnread(t, accepted)
	time.Sleep(waitTime)
	if err := conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("background read ended with %v", err)
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	conn.state.Store(stateResponded)
	conn.beginNextRequest()
	if _, err := io.ReadFull(conn, make([]byte, len(validPut))); err != nil {
		t.Fatal(err)
	}
	if late := conn.requestArrival().Sub(sentAt); late > waitTime/2 {
		t.Errorf("request counts as received %v after it was sent", late)
	}
}

// afterReadHook calls run after bytes have been read, before the reader gets them.
type afterReadHook struct {
	syscall.RawConn
	run func()
}

func (r afterReadHook) Read(f func(uintptr) bool) error {
	err := r.RawConn.Read(f)
	r.run()
	return err
}

// TestEvictionAfterRead evicts an idle connection just after a request has been read on it, before any code that follows
// the read has run. The connection must no longer count as idle, so that it is not closed; otherwise the request would
// get no response. A connection that has been closed must return no more bytes.
func TestEvictionAfterRead(t *testing.T) {
	client, accepted := connPair(t)
	table := newConnTable(8, 8, slog.New(slog.DiscardHandler))
	c := table.add(accepted)
	rawConn := c.rawConn

	closed := false
	c.rawConn = afterReadHook{rawConn, func() { closed = lockAndEvict(table, c, stateIdle) }}
	send(client, "G")
	if n, err := c.Read(make([]byte, 8)); n != 1 || err != nil || closed {
		t.Errorf("read %d, %v; connection closed after the read: %v", n, err, closed)
	}

	c.state.Store(stateIdle)
	c.rawConn = afterReadHook{rawConn, func() {}}
	if !lockAndEvict(table, c, stateIdle) {
		t.Error("idle connection was not closed")
	}
	if n, err := c.Read(make([]byte, 8)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the close: read %d, %v", n, err)
	}
}

// pausedRawConn pauses each read after it has begun and before it takes any byte.
type pausedRawConn struct {
	syscall.RawConn
	begun, resume chan bool
}

func (r pausedRawConn) Read(f func(uintptr) bool) error {
	return r.RawConn.Read(func(fd uintptr) bool {
		r.begun <- true
		<-r.resume
		return f(fd)
	})
}

// TestEvictionDuringRead evicts an idle connection while a read on it has begun. Close waits for that read. If the read
// also waited for the eviction, there would be a deadlock with the table locked, and no connection could be accepted.
func TestEvictionDuringRead(t *testing.T) {
	_, accepted := connPair(t)
	table := newConnTable(8, 8, slog.New(slog.DiscardHandler))
	c := table.add(accepted)
	read := pausedRawConn{c.rawConn, make(chan bool), make(chan bool)}
	c.rawConn = read
	readEnded := make(chan error, 1)
	closed := make(chan bool, 1)
	go func() {
		_, err := c.Read(make([]byte, 8))
		readEnded <- err
	}()
	<-read.begun
	go func() { closed <- lockAndEvict(table, c, stateIdle) }()
	for c.state.Load() != stateClosed {
		time.Sleep(time.Millisecond)
	}
	read.resume <- true
	select {
	case ok := <-closed:
		if err := <-readEnded; !ok || !errors.Is(err, net.ErrClosed) {
			t.Errorf("closed %v, read ended with %v", ok, err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("eviction and read wait for each other")
	}
}

// expiredRawConn fails each read because its deadline has passed, as after a delay of the process.
type expiredRawConn struct {
	syscall.RawConn
}

func (expiredRawConn) Read(func(uintptr) bool) error {
	return os.ErrDeadlineExceeded
}

// TestRequestAtReadDeadlineIsRead has a client's first request arrive just before its deadline, while the process is
// delayed until after the deadline. The connection must be closed only if nothing has arrived. If the deadline alone
// decided, the connection would be closed although the request has arrived, and the request would get no response.
func TestRequestAtReadDeadlineIsRead(t *testing.T) {
	for name, c := range map[string]struct {
		sent      string
		wantError error
		wantState connState
	}{
		"request arrived": {"GET", nil, stateReceiving},
		"nothing arrived": {"", os.ErrDeadlineExceeded, stateClosed},
	} {
		t.Run(name, func(t *testing.T) {
			client, accepted := connPair(t)
			conn := newClientConn(accepted)
			conn.rawConn = expiredRawConn{conn.rawConn}
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
				t.Errorf("connection is %v, want %v", state, c.wantState)
			}
			if reason := conn.closeReason.Load(); c.wantState == stateClosed && (reason == nil || *reason != reasonNoFirstRequest) {
				t.Errorf("closed with reason %v, want %v", reason, reasonNoFirstRequest)
			}
		})
	}
}

// awaitUnread waits until bytes that the other end has sent have arrived.
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
