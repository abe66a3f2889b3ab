package clienthttp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
)

// failingListener fails with each of its errors, and for want of descriptors up to a time, before it accepts.
type failingListener struct {
	net.Listener
	mu    sync.Mutex
	errs  []error
	until time.Time
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.until) {
		l.errs = append(l.errs, syscall.EMFILE)
	}
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// TestAcceptFailsForAMoment
//
// Symptom: all requests that an initiator had taken were lost with it.
// Sequence: accept fails for a moment in one of the ways that accept(2) documents, such as for want of buffers.
// Cause: net/http ends a server on each error of accept that Go does not call temporary, and the program ended with it.
// Settled by the log: the process's last line is "accept4: no buffer space available".
func TestAcceptFailsForAMoment(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: l, errs: []error{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE,
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN,
		syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT}}
	s, b, _ := newFront(t, 64)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(failing) }()
	go func() { (<-b.jobs).Respond(dispatcher.Response{Payload: []byte("x")}) }()
	wantServed(t, l.Addr().String(), goodRead, 1)
	s.http.Close()
	<-ended
}

// TestAcceptFailsForGood has accept fail in a way that no wait mends: the server ends with it.
func TestAcceptFailsForGood(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s, _, _ := newFront(t, 64)
	if err := s.Serve(&failingListener{Listener: l, errs: []error{syscall.EINVAL}}); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("ended with %v, want %v", err, syscall.EINVAL)
	}
}

// TestRequestBehindAFailingAcceptHasArrived
//
// Symptom: a request had its answer after its client's time was over, and its target was told more time than the client had left.
// Sequence: accept fails for 0.3 s, for want of descriptors. A client connects and asks meanwhile; its connection waits at the
// listener, and its request is read 0.3 s later.
// Cause: a request's time was counted from when it was read, as if nothing could have waited before the connection was taken.
// Settled by the log: "accept failed", and "request accepted" with age=10µs for a request that was sent 0.3 s before.
func TestRequestBehindAFailingAcceptHasArrived(t *testing.T) {
	const failsFor = 300 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: l, until: time.Now().Add(failsFor)}
	s, b, _ := newFront(t, 64)
	go s.Serve(failing)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	sent := time.Now()
	io.WriteString(c, goodRead)
	j := <-b.jobs
	if late := j.ReceivedAt.Sub(sent); late > failsFor/10 {
		t.Errorf("the request came %v after it was sent", late)
	}
	j.Respond(dispatcher.Response{Payload: []byte("x")})
	// Once the listener has nothing left that waited, a connection is as new as it looks.
	time.Sleep(failsFor)
	fresh, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer fresh.Close()
	sent = time.Now()
	io.WriteString(fresh, goodRead)
	j = <-b.jobs
	if j.ReceivedAt.Before(sent) {
		t.Errorf("the request came %v before it was sent", sent.Sub(j.ReceivedAt))
	}
	j.Respond(dispatcher.Response{Payload: []byte("x")})
}
