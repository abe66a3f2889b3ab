package nvme

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/scheduler"
)

// TestNotSent has the last check before the first byte say no, as for a target that has begun to drain since the attempt was
// scheduled: not a byte is sent, and the attempt is reported as not sent.
func TestNotSent(t *testing.T) {
	near, far := net.Pipe()
	bytesSent := make(chan int, 1)
	go func() {
		b, _ := io.ReadAll(far)
		bytesSent <- len(b)
	}()
	queue := &targetQueue{
		hostConn:    &hostConn{Conn: near},
		association: &targetAssociation{adminLock: make(chan struct{}, 1), queuesInUse: map[uint16]bool{}},
	}
	attempt := dispatcher.Attempt{
		Deadline: time.Now().Add(testTimeout),
		Payload:  &IORequest{NamespaceID: 1, Blocks: 1, DataLen: blockSize},
	}
	result := queue.RoundTrip(attempt, func() bool { return false })
	if err := queue.Close(); err != nil {
		t.Error(err)
	}
	if n := <-bytesSent; result.Status != scheduler.NotSent || result.Reusable() || n != 0 {
		t.Errorf("status %v, reusable %v, %d bytes sent; want not sent", result.Status, result.Reusable(), n)
	}
}

// TestTargetRestarts restarts a target at its address. It does not know the association of before: the first queue that it
// refuses must end that, or no command would reach the target until the next keep-alive, a minute later here.
func TestTargetRestarts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	target := serve(t, l, newStorage(), targetNQN)
	in := startInitiator(t, false, 5*time.Second, addr)
	h := connectHost(t, in.addr, false)
	h.read(1)
	h.expectServed("before the restart")
	if err := target.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	restarted, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	serve(t, restarted, newStorage(), targetNQN)
	h.read(2)
	h.expectServed("after the restart")
}
