package socket

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// waitLimit is longer than anything takes that a test waits for, also on a busy machine.
const waitLimit = 10 * time.Second

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
	if err := conn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

// connPair returns both ends of a connection over the loopback.
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

// await waits until the condition holds: what one end does takes a moment to show at the other.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	giveUpAt := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(giveUpAt) {
			t.Fatalf("not within %v: %s", waitLimit, what)
		}
		time.Sleep(time.Millisecond)
	}
}

func agree() bool { return true }

// TestIsQuiet checks the three states of a pooled connection, and that the look takes nothing from it.
func TestIsQuiet(t *testing.T) {
	client, accepted := connPair(t)
	if !IsOpenAndIdle(accepted) {
		t.Error("an open connection with nothing unread is not quiet")
	}
	write(t, client, "ab")
	await(t, "unread bytes show", func() bool { return !IsOpenAndIdle(accepted) })
	buffer := make([]byte, 2)
	if _, err := io.ReadFull(accepted, buffer); err != nil || string(buffer) != "ab" {
		t.Errorf("read %q, %v after the look", buffer, err)
	}
	if !IsOpenAndIdle(accepted) {
		t.Error("not quiet after all was read")
	}
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	await(t, "the close shows", func() bool { return !IsOpenAndIdle(accepted) })
}

// TestShutdownIfQuiet shuts an idle connection down: the client gets the final message and the end.
func TestShutdownIfQuiet(t *testing.T) {
	client, accepted := connPair(t)
	if !ShutdownIfIdle(accepted, "bye", agree) {
		t.Fatal("not shut down")
	}
	if got, err := io.ReadAll(client); err != nil || string(got) != "bye" {
		t.Errorf("the client read %q, %v", got, err)
	}
}

// TestShutdownKeepsUnreadBytes wants a connection left open on which a byte has arrived: it may be a request, which would get
// no response. confirm is not called.
func TestShutdownKeepsUnreadBytes(t *testing.T) {
	client, accepted := connPair(t)
	write(t, client, "G")
	await(t, "the byte arrives", func() bool { return !IsOpenAndIdle(accepted) })
	confirmed := false
	confirm := func() bool {
		confirmed = true
		return true
	}
	if ShutdownIfIdle(accepted, "bye", confirm) || confirmed {
		t.Errorf("shut down over an unread byte, or confirm was called: %v", confirmed)
	}
	wantOpen(t, client, accepted)
}

// TestShutdownNeedsConfirmation wants a connection left open if confirm returns false.
func TestShutdownNeedsConfirmation(t *testing.T) {
	client, accepted := connPair(t)
	if ShutdownIfIdle(accepted, "bye", func() bool { return false }) {
		t.Error("shut down though confirm returned false")
	}
	wantOpen(t, client, accepted)
}

// wantOpen wants what the accepted end writes to be the next that the client reads.
func wantOpen(t *testing.T, client, accepted net.Conn) {
	t.Helper()
	write(t, accepted, "x")
	buffer := make([]byte, 1)
	if _, err := io.ReadFull(client, buffer); err != nil || string(buffer) != "x" {
		t.Errorf("the client read %q, %v; want an open connection", buffer, err)
	}
}

// TestIsPeerClosed has the client write and then close: the close must show while its bytes are still unread.
func TestIsPeerClosed(t *testing.T) {
	client, accepted := connPair(t)
	write(t, client, "request")
	await(t, "the bytes arrive", func() bool { return !IsOpenAndIdle(accepted) })
	if ClosedByPeer(accepted) {
		t.Error("closed before the client closed")
	}
	if err := client.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	await(t, "the close shows behind unread bytes", func() bool { return ClosedByPeer(accepted) })
	if err := accepted.Close(); err != nil {
		t.Fatal(err)
	}
	if !ClosedByPeer(accepted) {
		t.Error("a connection closed on this side counts as open")
	}
}

// TestCloseListenerWhenEmpty has clients wait in the accept queue while the accepting goroutine is held up.
//
// Rule: all are accepted before the listener closes. Failure: the kernel resets what is left in the queue then.
func TestCloseListenerWhenEmpty(t *testing.T) {
	const clients = 4
	l := listen(t)
	for range clients {
		dial(t, l)
	}
	drained := make(chan error, 1)
	go func() { drained <- CloseListenerWhenEmpty(l, time.Now().Add(waitLimit)) }()
	for i := range clients {
		time.Sleep(20 * time.Millisecond) // as if held up
		conn, err := l.Accept()
		if err != nil {
			t.Fatalf("accepted %d of %d: %v", i, clients, err)
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept after the drain: %v, want %v", err, net.ErrClosed)
	}
}

// TestCloseListenerAtDeadline has nobody accept: the listener is closed all the same, and the client is reset.
func TestCloseListenerAtDeadline(t *testing.T) {
	const wait = 50 * time.Millisecond
	l := listen(t)
	client := dial(t, l)
	begunAt := time.Now()
	if err := CloseListenerWhenEmpty(l, begunAt.Add(wait)); err != nil {
		t.Error(err)
	}
	if took := time.Since(begunAt); took < wait {
		t.Errorf("closed after %v over a connection in the accept queue", took)
	}
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the client read %v, want %v", err, syscall.ECONNRESET)
	}
}

// TestNoSystemSocket takes connections without a system socket as open with nothing unread.
func TestNoSystemSocket(t *testing.T) {
	conn, peer := net.Pipe()
	t.Cleanup(func() {
		_ = conn.Close()
		_ = peer.Close()
	})
	if !IsOpenAndIdle(conn) || ClosedByPeer(conn) || !ShutdownIfIdle(conn, "", agree) {
		t.Errorf("quiet %v, closed by peer %v", IsOpenAndIdle(conn), ClosedByPeer(conn))
	}
}

// TestSinceLastData checks that the wait of bytes at this machine is known before and after they are read, and that it is never
// said to be longer than it was.
func TestSinceLastData(t *testing.T) {
	const waits = 60 * time.Millisecond
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
		if longest := time.Since(sentAt); !ok || elapsed < waits/2 || elapsed > longest {
			t.Errorf("%s: %v, %v; want at most %v", when, elapsed, ok, longest)
		}
	}
	time.Sleep(waits)
	check("unread")
	if _, err := io.ReadFull(accepted, make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	check("read")
	if err := accepted.Close(); err != nil {
		t.Fatal(err)
	}
	if elapsed, ok := SinceLastData(rawConn); ok {
		t.Errorf("closed: %v, want nothing", elapsed)
	}
}
