package clienthttp

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// failingListener fails with each of its errors in turn, and with EMFILE until emfileUntil, before it accepts.
type failingListener struct {
	net.Listener
	mu          sync.Mutex
	errnos      []syscall.Errno
	emfileUntil time.Time
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.emfileUntil) {
		l.errnos = append(l.errnos, syscall.EMFILE)
	}
	if len(l.errnos) == 0 {
		return l.Listener.Accept()
	}
	errno := l.errnos[0]
	l.errnos = l.errnos[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// TestTransientAcceptErrors makes accept fail with errors that accept(2) documents as transient. The server must keep
// serving.
//
// net/http stops a server on every accept error that the net package does not call temporary, such as a lack of buffers.
// The process then ends with all requests in flight, and its last line is "accept4: no buffer space available".
func TestTransientAcceptErrors(t *testing.T) {
	l := listen(t)
	failing := &failingListener{Listener: l, errnos: []syscall.Errno{
		syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE,
		syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.ENOSR, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN,
		syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
		syscall.ETIMEDOUT,
	}}
	d := newFakeDispatcher()
	s := newTestServer(d, maxTestConns)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(failing) }()
	go d.respondToNext(1)
	expectServed(t, l.Addr().String(), validGet, 1)
	if err := s.http.Close(); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("server stopped with %v", err)
	}
}

// TestPermanentAcceptError makes accept fail with a permanent error, which must stop the server.
func TestPermanentAcceptError(t *testing.T) {
	s := newTestServer(newFakeDispatcher(), maxTestConns)
	failing := &failingListener{Listener: listen(t), errnos: []syscall.Errno{syscall.EINVAL}}
	if err := s.Serve(failing); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("server stopped with %v, want %v", err, syscall.EINVAL)
	}
}

// TestRequestInAcceptQueueCountsAsReceived makes accept fail for 0.3 s for lack of file descriptors. Meanwhile a client
// connects and sends a request, which is read 0.3 s later. A request that waited in the accept queue must count as
// received when it arrived.
//
// If its timeout ran from the read, its response would come after its client's timeout, and its target would be told a
// longer timeout than the client has left. The log would show "accept failed" and then the request with an age of 10 µs.
func TestRequestInAcceptQueueCountsAsReceived(t *testing.T) {
	const failsFor = 300 * time.Millisecond
	l := listen(t)
	addr := l.Addr().String()
	d := newFakeDispatcher()
	serve(t, newTestServer(d, maxTestConns), &failingListener{Listener: l, emfileUntil: time.Now().Add(failsFor)})

	queuedConn := dial(t, addr)
	sentAt := time.Now()
	send(queuedConn, validGet)
	call := <-d.calls
	if late := call.ReceivedAt.Sub(sentAt); late > failsFor/10 {
		t.Errorf("request counts as received %v after it was sent", late)
	}
	call.Respond(servedResponse)

	// Once the accept queue is empty, a request counts as received when it is read.
	time.Sleep(failsFor)
	newConn := dial(t, addr)
	sentAt = time.Now()
	send(newConn, validGet)
	call = <-d.calls
	if call.ReceivedAt.Before(sentAt) {
		t.Errorf("request counts as received %v before it was sent", sentAt.Sub(call.ReceivedAt))
	}
	call.Respond(servedResponse)
}

// slowListener delays each accept, as a busy machine may.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(l.delay)
	return l.Listener.Accept()
}

// TestRequestInAcceptQueueCountsAsReceivedWhileAcceptIsSlow makes accept fail for 0.3 s, and then delays it by 2 ms for
// each connection. An accept that takes a while must not be taken as a sign that the queue was empty: the requests that
// were still in the queue would count as received when they were read.
func TestRequestInAcceptQueueCountsAsReceivedWhileAcceptIsSlow(t *testing.T) {
	const failsFor = 300 * time.Millisecond
	l := listen(t)
	d := newFakeDispatcher()
	failing := &failingListener{Listener: l, emfileUntil: time.Now().Add(failsFor)}
	serve(t, newTestServer(d, maxTestConns), slowListener{failing, 2 * time.Millisecond})
	sentAt := map[string]time.Time{}
	for _, id := range []string{"id1", "id2", "id3"} {
		conn := dial(t, l.Addr().String())
		sentAt[id] = time.Now()
		send(conn, strings.Replace(validGet, "id1", id, 1))
	}
	for range sentAt {
		call := <-d.calls
		if late := call.ReceivedAt.Sub(sentAt[call.ClientRequestID]); late > failsFor/10 {
			t.Errorf("%s counts as received %v after it was sent", call.ClientRequestID, late)
		}
		call.Respond(servedResponse)
	}
}

// lateFailingListener waits and then fails in its first accept.
type lateFailingListener struct {
	net.Listener
	wait time.Duration
	once sync.Once
}

func (l *lateFailingListener) Accept() (conn net.Conn, err error) {
	l.once.Do(func() {
		time.Sleep(l.wait)
		err = &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.ECONNABORTED)}
	})
	if err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// TestRequestAfterFailedAcceptCountsAsReceivedWhenSent makes accept wait for long, as it does without clients, and then
// fail. A request that arrives during the failure must not count as received before it was sent: it would be rejected for
// lack of time.
func TestRequestAfterFailedAcceptCountsAsReceivedWhenSent(t *testing.T) {
	const waitTime = 300 * time.Millisecond
	l := listen(t)
	d := newFakeDispatcher()
	serve(t, newTestServer(d, maxTestConns), &lateFailingListener{Listener: l, wait: waitTime})
	time.Sleep(waitTime / 2)
	conn := dial(t, l.Addr().String())
	sentAt := time.Now()
	send(conn, validGet)
	call := <-d.calls
	if call.ReceivedAt.Before(sentAt) {
		t.Errorf("request counts as received %v before it was sent", sentAt.Sub(call.ReceivedAt))
	}
	call.Respond(servedResponse)
}

// TestRefusedConnectionsAreNotServed guards against connections far over the limit that each get a goroutine of net/http, of
// which clients that connect again at once make more than end.
func TestRefusedConnectionsAreNotServed(t *testing.T) {
	const refused = 20
	table := newConnTable(1, 1, slog.New(slog.DiscardHandler))
	for range 1 + maxConnsOverLimit {
		conn, _ := net.Pipe()
		table.add(conn).state.Store(stateInFlight)
	}
	l := listen(t)
	returned := make(chan net.Conn, 1)
	go func() {
		conn, _ := (&listener{Listener: l, table: table}).Accept() // ends with an error when the listener closes
		returned <- conn
	}()
	for range refused {
		conn := dial(t, l.Addr().String())
		setDeadline(t, conn, time.Now().Add(testTimeout))
		if got, err := io.ReadAll(conn); err != nil || string(got) != response503 {
			t.Fatalf("connection far over the limit: %q, %v, want %q and its end", got, err, response503)
		}
	}
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	if conn := <-returned; conn != nil {
		t.Error("a refused connection was passed on to be served")
	}
	if len(table.open) != 1+maxConnsOverLimit {
		t.Errorf("%d connections in the table, want %d", len(table.open), 1+maxConnsOverLimit)
	}
}
