package socket

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// testTimeout limits each wait of a test. Nothing that a test waits for takes that long, even on a busy machine.
const testTimeout = 10 * time.Second

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dial(t *testing.T, l net.Listener) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

// connPair returns both ends of a connection over the loopback interface.
func connPair(t *testing.T) (client, accepted *net.TCPConn) {
	t.Helper()
	l := listen(t)
	client = dial(t, l)
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return client, conn.(*net.TCPConn)
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// await waits until the condition holds, since an action at one end of a connection takes a moment to show at the other.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	giveUpAt := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(giveUpAt) {
			t.Fatalf("timed out after %v, waiting until %s", testTimeout, what)
		}
		time.Sleep(time.Millisecond)
	}
}

func alwaysConfirm() bool { return true }

// TestIsOpenAndIdle checks the three states of a pooled connection (idle, with unread bytes, closed by the peer), and that
// IsOpenAndIdle consumes no bytes.
func TestIsOpenAndIdle(t *testing.T) {
	client, accepted := connPair(t)
	if !IsOpenAndIdle(accepted) {
		t.Error("an open connection with nothing unread is not idle")
	}
	write(t, client, "ab")
	await(t, "the connection has unread bytes", func() bool { return !IsOpenAndIdle(accepted) })
	buffer := make([]byte, 2)
	if _, err := io.ReadFull(accepted, buffer); err != nil || string(buffer) != "ab" {
		t.Errorf("read %q, %v after IsOpenAndIdle", buffer, err)
	}
	if !IsOpenAndIdle(accepted) {
		t.Error("not idle after all bytes were read")
	}
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	await(t, "the close is detected", func() bool { return !IsOpenAndIdle(accepted) })
}

// TestShutdownIfIdle shuts an idle connection down and checks that the client gets the final message and then end of file.
func TestShutdownIfIdle(t *testing.T) {
	client, accepted := connPair(t)
	if !ShutdownIfIdle(accepted, "bye", alwaysConfirm) {
		t.Fatal("the idle connection was not shut down")
	}
	if got, err := io.ReadAll(client); err != nil || string(got) != "bye" {
		t.Errorf("the client read %q, %v", got, err)
	}
}

// TestShutdownIfIdleKeepsConnWithUnreadBytes checks that a connection on which a byte has arrived stays open, and that
// confirm is not called. The byte may belong to a request, which would get no response.
func TestShutdownIfIdleKeepsConnWithUnreadBytes(t *testing.T) {
	client, accepted := connPair(t)
	write(t, client, "G")
	await(t, "the byte arrives", func() bool { return !IsOpenAndIdle(accepted) })
	confirmed := false
	confirm := func() bool {
		confirmed = true
		return true
	}
	if ShutdownIfIdle(accepted, "bye", confirm) || confirmed {
		t.Errorf("shut down with a byte unread, or confirm was called: %v", confirmed)
	}
	expectOpen(t, client, accepted)
}

// TestShutdownIfIdleNeedsConfirmation checks that a connection stays open if confirm returns false.
func TestShutdownIfIdleNeedsConfirmation(t *testing.T) {
	client, accepted := connPair(t)
	if ShutdownIfIdle(accepted, "bye", func() bool { return false }) {
		t.Error("shut down although confirm returned false")
	}
	expectOpen(t, client, accepted)
}

// expectOpen writes a byte at the accepted end and fails the test unless it is the next byte that the client reads.
func expectOpen(t *testing.T, client, accepted net.Conn) {
	t.Helper()
	write(t, accepted, "x")
	buffer := make([]byte, 1)
	if _, err := io.ReadFull(client, buffer); err != nil || string(buffer) != "x" {
		t.Errorf("the client read %q, %v; want an open connection", buffer, err)
	}
}

// TestClosedByPeer has the client write and then close its write side. The close must be detected while the client's bytes
// are still unread.
func TestClosedByPeer(t *testing.T) {
	client, accepted := connPair(t)
	write(t, client, "request")
	await(t, "the bytes arrive", func() bool { return !IsOpenAndIdle(accepted) })
	if ClosedByPeer(accepted) {
		t.Error("reported as closed before the client closed it")
	}
	if err := client.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	await(t, "the close is detected behind unread bytes", func() bool { return ClosedByPeer(accepted) })
	if err := accepted.Close(); err != nil {
		t.Fatal(err)
	}
	if !ClosedByPeer(accepted) {
		t.Error("a connection closed on this side is reported as open")
	}
}

// TestCloseListenerWhenEmpty has clients wait in the accept queue while the accepting goroutine is delayed. All must be
// accepted before the listener closes, because the kernel resets the connections that are still in the queue then.
func TestCloseListenerWhenEmpty(t *testing.T) {
	const clients = 4
	l := listen(t)
	for range clients {
		dial(t, l)
	}
	closed := make(chan error, 1)
	go func() { closed <- CloseListenerWhenEmpty(l, time.Now().Add(testTimeout)) }()
	for i := range clients {
		time.Sleep(20 * time.Millisecond) // delays the accepting goroutine
		conn, err := l.Accept()
		if err != nil {
			t.Fatalf("accepted %d of %d connections: %v", i, clients, err)
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after the listener closed: %v, want %v", err, net.ErrClosed)
	}
}

// TestCloseListenerAtDeadline accepts no connections. The listener must still be closed at the deadline, and the client's
// connection reset.
func TestCloseListenerAtDeadline(t *testing.T) {
	const wait = 50 * time.Millisecond
	l := listen(t)
	client := dial(t, l)
	startedAt := time.Now()
	if err := CloseListenerWhenEmpty(l, startedAt.Add(wait)); err != nil {
		t.Error(err)
	}
	if took := time.Since(startedAt); took < wait {
		t.Errorf("closed after %v, before the deadline, with a connection in the accept queue", took)
	}
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the client read %v, want %v", err, syscall.ECONNRESET)
	}
}

// TestNoSystemSocket checks that a connection without a system socket counts as open with nothing unread.
func TestNoSystemSocket(t *testing.T) {
	conn, peer := net.Pipe()
	t.Cleanup(func() {
		_ = conn.Close()
		_ = peer.Close()
	})
	if !IsOpenAndIdle(conn) || ClosedByPeer(conn) || !ShutdownIfIdle(conn, "", alwaysConfirm) {
		t.Errorf("idle %v, closed by peer %v, or not shut down", IsOpenAndIdle(conn), ClosedByPeer(conn))
	}
}

// TestSinceLastData checks that the time since the last bytes arrived is known both before and after they are read, and that
// the result is never longer than the true time.
func TestSinceLastData(t *testing.T) {
	const sleep = 60 * time.Millisecond
	client, accepted := connPair(t)
	rawConn, err := accepted.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	sentAt := time.Now()
	write(t, client, "ab")
	check := func(when string) {
		t.Helper()
		elapsed, ok := SinceLastData(rawConn)
		if upperBound := time.Since(sentAt); !ok || elapsed < sleep/2 || elapsed > upperBound {
			t.Errorf("%s: elapsed %v, ok %v; want at least half the sleep, at most %v", when, elapsed, ok, upperBound)
		}
	}
	time.Sleep(sleep)
	check("before the read")
	if _, err := io.ReadFull(accepted, make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	check("after the read")
	if err := accepted.Close(); err != nil {
		t.Fatal(err)
	}
	if elapsed, ok := SinceLastData(rawConn); ok {
		t.Errorf("elapsed %v, ok true on a closed connection; want ok false", elapsed)
	}
}

// TestUnreadBytes checks that unread bytes are counted, also after a shutdown.
func TestUnreadBytes(t *testing.T) {
	client, accepted := connPair(t)
	if unread := UnreadBytes(accepted); unread != 0 {
		t.Errorf("%d bytes are unread on a new connection", unread)
	}
	if !ShutdownIfIdle(accepted, "", func() bool {
		write(t, client, "GET")
		await(t, "the bytes arrive", func() bool { return UnreadBytes(accepted) == len("GET") })
		return true
	}) {
		t.Fatal("the connection was not shut down")
	}
	if unread := UnreadBytes(accepted); unread != len("GET") {
		t.Errorf("%d bytes are unread after the shutdown, want %d", unread, len("GET"))
	}
}

// TestWriteWhileStopsBetweenParts checks that a write which has to wait for room is checked again before it continues, and
// that nothing is written if the first check fails.
func TestWriteWhileStopsBetweenParts(t *testing.T) {
	client, accepted := connPair(t)
	if err := accepted.SetWriteDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	large := make([]byte, 16<<20) // more than fits into the buffers of both ends
	stop := make(chan struct{})
	checks := 0
	parts := func(int) bool {
		checks++
		select {
		case <-stop:
			return false
		default:
			return true
		}
	}
	time.AfterFunc(50*time.Millisecond, func() {
		close(stop)
		_, _ = io.CopyN(io.Discard, client, int64(len(large)/4)) // makes room
	})
	written, err := WriteWhile(accepted, large, parts)
	if err != nil || written == 0 || written == len(large) || checks < 2 {
		t.Errorf("wrote %d of %d bytes with %d checks, %v", written, len(large), checks, err)
	}
	if written, err := WriteWhile(accepted, large, func(int) bool { return false }); written != 0 || err != nil {
		t.Errorf("wrote %d bytes although the check failed, %v", written, err)
	}
}

// TestWriteWhileWritesAll checks that all data arrives, and that a broken connection is reported.
func TestWriteWhileWritesAll(t *testing.T) {
	client, accepted := connPair(t)
	always := func(int) bool { return true }
	if written, err := WriteWhile(accepted, []byte("data"), always); written != len("data") || err != nil {
		t.Fatalf("wrote %d bytes, %v", written, err)
	}
	buffer := make([]byte, len("data"))
	if _, err := io.ReadFull(client, buffer); err != nil || string(buffer) != "data" {
		t.Errorf("read %q, %v", buffer, err)
	}
	if err := client.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	await(t, "the reset arrives", func() bool { return ClosedByPeer(accepted) })
	if _, err := WriteWhile(accepted, []byte("data"), always); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("after a reset the write returned %v", err)
	}
}
