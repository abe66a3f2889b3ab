// Package socket asks the kernel for the state of a connection or a listener without reading anything from it, and closes
// either without losing what has arrived meanwhile.
//
// A Conn or Listener that has no system socket, such as a net.Pipe in a test, is taken as open with nothing unread.
package socket

import (
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// acceptQueuePollInterval is how often CloseListenerWhenEmpty looks at the backlog.
const acceptQueuePollInterval = time.Millisecond

// peekFlags make a receive look at the first byte without taking it and without waiting.
const peekFlags = syscall.MSG_PEEK | syscall.MSG_DONTWAIT

// IsQuiet reports whether a connection is open and nothing is unread on it. It never waits.
//
// It guards against using a pooled connection that the other side has closed, or on which a late response would be taken
// for that of the next request. It holds for the time of the call: whatever arrives later is for the caller to detect.
func IsQuiet(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var firstByte [1]byte
	// Control and not Read, which would wait for a read that has begun.
	err = rawConn.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), firstByte[:], peekFlags)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && quiet
}

// ShutdownIfQuiet shuts a connection down in both directions if it is open, nothing is unread on it, and confirm then agrees.
// It reports whether it did; the caller still has to close the connection. A finalMessage that is not empty is sent first, as
// far as the send buffer has space at once.
//
// It guards against closing a connection over a request that arrives between the check and the close: the client would see
// its connection end without a response. A busy process may take long to run this goroutine again. The guard holds since the
// raw system calls follow one another without a call into the Go scheduler, and since the kernel answers whatever arrives
// after the shutdown with a reset, from which the client knows that it was not read.
func ShutdownIfQuiet(conn net.Conn, finalMessage string, confirm func() bool) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return confirm()
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	shutDown := false
	message := []byte(finalMessage)
	err = rawConn.Control(func(fd uintptr) {
		var firstByte [1]byte
		_, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd,
			uintptr(unsafe.Pointer(&firstByte[0])), uintptr(len(firstByte)), peekFlags, 0, 0)
		if errno != syscall.EAGAIN || !confirm() {
			return
		}
		if len(message) > 0 {
			_, _, _ = syscall.RawSyscall6(syscall.SYS_SENDTO, fd,
				uintptr(unsafe.Pointer(&message[0])), uintptr(len(message)), syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, 0, 0)
		}
		_, _, _ = syscall.RawSyscall(syscall.SYS_SHUTDOWN, fd, syscall.SHUT_RDWR, 0)
		shutDown = true
	})
	return err == nil && shutDown
}

// IsPeerClosed reports whether the other side has closed or reset a connection, also if bytes from before are still unread. A
// connection that this side has closed counts as well.
//
// It guards against working for a client that has left: a read would show that only after all unread bytes, such as those of
// pipelined requests. The guard holds since the kernel reports the close apart from the data.
func IsPeerClosed(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	closed, err := pollNow(rawConn, unix.POLLRDHUP)
	return err != nil || closed
}

// pollNow reports whether a socket has one of the poll events, an error or a hang-up. It never waits. Its error is that the
// socket is closed on this side.
func pollNow(rawConn syscall.RawConn, events int16) (happened bool, err error) {
	err = rawConn.Control(func(fd uintptr) {
		count, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, 0)
		happened = err == nil && count > 0
	})
	return happened, err
}

// CloseListenerWhenEmpty closes a listener once its backlog is empty, or at the deadline. Another goroutine must be accepting. It
// returns the error of Close.
//
// It guards against losing clients at shutdown: the kernel resets each connection that is still in the backlog when the
// listener closes, and the client sees its connection end without a response. The guard holds until the deadline, and for
// connections that arrive before the last look at the backlog.
func CloseListenerWhenEmpty(listener net.Listener, deadline time.Time) error {
	syscallConn, ok := listener.(syscall.Conn)
	if !ok {
		return listener.Close()
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return listener.Close()
	}
	for time.Now().Before(deadline) {
		pending, err := pollNow(rawConn, unix.POLLIN)
		if err != nil || !pending {
			break
		}
		time.Sleep(acceptQueuePollInterval)
	}
	return listener.Close()
}
