package clienthttp

import (
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// failingListener fails with each of its errors, and with EMFILE until a time, before it accepts.
type failingListener struct {
	net.Listener
	mutex       sync.Mutex
	errnos      []syscall.Errno
	emfileUntil time.Time
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
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

// TestTransientAcceptErrors has accept fail in each way that accept(2) documents as transient.
//
// Rule: an error of accept that passes by itself does not end the server. Failure: net/http ends a server on each error of
// accept that the net package does not call temporary, such as a lack of buffers, and all requests in flight end with the
// process, whose last line is "accept4: no buffer space available".
func TestTransientAcceptErrors(t *testing.T) {
	l := listen(t)
	failing := &failingListener{Listener: l, errnos: []syscall.Errno{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE,
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN,
		syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT,
	}}
	d := newFakeDispatcher()
	s := newTestServer(d, maxTestConns)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(failing) }()
	go d.respondToNext(1)
	wantServed(t, l.Addr().String(), validGet, 1)
	if err := s.http.Close(); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// TestPermanentAcceptError has accept fail with an error that does not pass: the server ends with it.
func TestPermanentAcceptError(t *testing.T) {
	s := newTestServer(newFakeDispatcher(), maxTestConns)
	failing := &failingListener{Listener: listen(t), errnos: []syscall.Errno{syscall.EINVAL}}
	if err := s.Serve(failing); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("ended with %v, want %v", err, syscall.EINVAL)
	}
}

// TestRequestInAcceptQueueCountsAsReceived has accept fail for 0.3 s for lack of file descriptors, while a client connects
// and sends a request, which is read 0.3 s later.
//
// Rule: a request that may have waited in the accept queue counts as received when accept began to fail. Failure: if its
// timeout runs from when it is read, its response comes after its client's timeout, and its target is told more time than
// the client has left. The log has "accept failed", and then the request with an age of 10 µs.
func TestRequestInAcceptQueueCountsAsReceived(t *testing.T) {
	const failsFor = 300 * time.Millisecond
	l := listen(t)
	addr := l.Addr().String()
	d := newFakeDispatcher()
	serve(t, newTestServer(d, maxTestConns), &failingListener{Listener: l, emfileUntil: time.Now().Add(failsFor)})

	queued := dial(t, addr)
	sentAt := time.Now()
	send(queued, validGet)
	call := <-d.calls
	if late := call.ReceivedAt.Sub(sentAt); late > failsFor/10 {
		t.Errorf("the request counts as received %v after it was sent", late)
	}
	call.Respond(servedResponse)

	// Once the accept queue is empty, a request counts as received when it is read.
	time.Sleep(failsFor)
	fresh := dial(t, addr)
	sentAt = time.Now()
	send(fresh, validGet)
	call = <-d.calls
	if call.ReceivedAt.Before(sentAt) {
		t.Errorf("the request counts as received %v before it was sent", sentAt.Sub(call.ReceivedAt))
	}
	call.Respond(servedResponse)
}

// slowListener holds each accept up before it begins, as a busy machine may.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(l.delay)
	return l.Listener.Accept()
}

// TestRequestInAcceptQueueCountsAsReceivedWhileAcceptIsSlow has accept fail as above, and then holds it up for 2 ms for each
// connection. Failure: an accept that took a while was held to have found the queue empty, and the requests that were still
// in it counted as received when they were read.
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

// lateFailingListener waits in its first accept, and then fails.
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

// TestRequestAfterFailedAcceptCountsAsReceivedWhenSent has accept wait for long, as it does without clients, and then fail. A
// request that arrives just then must not count as received before it was sent: it would be rejected for lack of time.
func TestRequestAfterFailedAcceptCountsAsReceivedWhenSent(t *testing.T) {
	const waits = 300 * time.Millisecond
	l := listen(t)
	d := newFakeDispatcher()
	serve(t, newTestServer(d, maxTestConns), &lateFailingListener{Listener: l, wait: waits})
	time.Sleep(waits / 2)
	conn := dial(t, l.Addr().String())
	sentAt := time.Now()
	send(conn, validGet)
	call := <-d.calls
	if call.ReceivedAt.Before(sentAt) {
		t.Errorf("the request counts as received %v before it was sent", sentAt.Sub(call.ReceivedAt))
	}
	call.Respond(servedResponse)
}
