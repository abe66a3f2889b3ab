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

// TestRoundTripNotSent has mayStart, the check before the first byte, return false, as for a target that has begun to drain
// since the attempt was scheduled. No byte must be sent, and the attempt must be reported as not sent.
func TestRoundTripNotSent(t *testing.T) {
	hostEnd, targetEnd := net.Pipe()
	bytesSent := make(chan int, 1)
	go func() {
		b, _ := io.ReadAll(targetEnd)
		bytesSent <- len(b)
	}()
	queue := &targetQueue{
		hostConn:    &hostConn{Conn: hostEnd},
		association: &targetAssociation{adminLock: make(chan struct{}, 1), queueIDsInUse: map[uint16]bool{}},
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

// TestTargetRestart restarts a target at the same address. The new target does not know the earlier association and rejects
// its queues. The first rejection must end the association on the host side: otherwise no command would reach the target
// until a Keep Alive fails, which is sent only every 30 s in this test.
func TestTargetRestart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	target := serve(t, l, newFakeStorage(), targetSubsystem)
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
	serve(t, restarted, newFakeStorage(), targetSubsystem)
	h.read(2)
	h.expectServed("after the restart")
}
