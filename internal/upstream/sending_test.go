package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/httpmsg"
	"dapplegate/scheduler"
)

const (
	// sendTime is how long an attempt may be sent, or how long it lasts, in the tests of this file.
	sendTime = 200 * time.Millisecond
	// resumeAfter is how long after that the target reads on.
	resumeAfter = 100 * time.Millisecond
)

// pausingTarget is a target that takes a connection and reads nothing from it until it resumes.
type pausingTarget struct {
	net.Listener
	accepted chan net.Conn
}

// newPausingTarget starts a target whose connections have a receive buffer of the given size, and short segments, so that they
// hold no more than over a network.
func newPausingTarget(t *testing.T, receiveBuffer int) *pausingTarget {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var optionError error
		err := conn.Control(func(fd uintptr) {
			optionError = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400))
		})
		return errors.Join(err, optionError)
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(listener) })
	target := &pausingTarget{Listener: listener, accepted: make(chan net.Conn, 1)}
	go func() {
		if conn, err := listener.Accept(); err == nil {
			target.accepted <- conn
		}
	}()
	return target
}

// readsWholeRequest reads on, and reports whether a whole request arrives.
func (p *pausingTarget) readsWholeRequest(t *testing.T) bool {
	t.Helper()
	conn := <-p.accepted
	defer closeQuietly(conn)
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("the rest of the request neither arrives nor is given up")
	}
	return err == nil
}

// testUnsentIsDiscarded sends a long write to a target that reads nothing until the attempt has ended, for each size of its
// receive buffer and a body that does not fit into it. Nothing more of the attempt may reach the target. limit sets what ends
// the attempt, and end may end it otherwise.
func testUnsentIsDiscarded(t *testing.T, limit func(*dispatcher.Attempt), end func(*testRegistry),
	want ...scheduler.AttemptStatus) {
	t.Helper()
	for _, size := range []struct{ receiveBuffer, body int }{
		{2 << 10, 16 << 10}, {2 << 10, 64 << 10}, {4 << 10, 64 << 10}, {16 << 10, 64 << 10}, {64 << 10, 8 << 20},
	} {
		t.Run(fmt.Sprintf("buffer %d body %d", size.receiveBuffer, size.body), func(t *testing.T) {
			target := newPausingTarget(t, size.receiveBuffer)
			registry := newTestRegistry(target.Addr().String())
			attempt := dispatcher.Attempt{
				RequestID: "1",
				Target:    testTarget,
				Deadline:  time.Now().Add(time.Minute),
				Payload:   &httpmsg.Request{Method: "PUT", URI: "/w/1", ID: "id", Body: []byte(strings.Repeat("b", size.body))},
			}
			limit(&attempt)
			registry.Send(attempt)
			time.Sleep(sendTime)
			end(registry)
			result := registry.result(t)
			time.Sleep(resumeAfter)
			if target.readsWholeRequest(t) {
				t.Errorf("the target got the whole request after the end of the attempt, which ended as %v", result.Status)
			}
			for _, status := range want {
				if result.Status == status {
					return
				}
			}
			t.Errorf("got status %v, want one of %v", result.Status, want)
		})
	}
}

// TestRepeatIsNotCompletedAfterItsWindow guards against a repeat that is executed a second time, because its last bytes leave
// this machine when targets no longer discard it.
func TestRepeatIsNotCompletedAfterItsWindow(t *testing.T) {
	testUnsentIsDiscarded(t, func(a *dispatcher.Attempt) { a.SendBy = time.Now().Add(sendTime) }, func(*testRegistry) {},
		scheduler.NotSent, scheduler.DeadlineExceeded)
}

// TestAttemptIsNotCompletedAfterCancel guards against an attempt whose last bytes wait in the send buffer and arrive long after
// its client has closed.
func TestAttemptIsNotCompletedAfterCancel(t *testing.T) {
	testUnsentIsDiscarded(t, func(*dispatcher.Attempt) {}, func(r *testRegistry) { r.Cancel(testTarget, "1") },
		scheduler.NotSent, scheduler.Cancelled)
}

// TestAttemptIsNotCompletedAfterDeadline guards against the same after the attempt's deadline.
func TestAttemptIsNotCompletedAfterDeadline(t *testing.T) {
	testUnsentIsDiscarded(t, func(a *dispatcher.Attempt) { a.Deadline = time.Now().Add(sendTime) }, func(*testRegistry) {},
		scheduler.ConnectFailed, scheduler.DeadlineExceeded)
}
