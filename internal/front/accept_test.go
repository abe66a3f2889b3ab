package front

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"

	"spindlehitch/internal/core"
)

// failingListener fails with each of its errors before it accepts.
type failingListener struct {
	net.Listener
	mu   sync.Mutex
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
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
	go func() { (<-b.jobs).Done(core.Answer{Payload: []byte("x")}) }()
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
