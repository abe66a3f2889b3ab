// Package socket asks the kernel for the state of a connection or a listener without reading anything from it, and closes
// either after a check that nothing has arrived that would get no response.
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

// acceptQueuePollInterval is how often CloseListenerWhenEmpty checks the accept queue.
const acceptQueuePollInterval = time.Millisecond

// maxClockTick is the longest tick of the kernel's clock, by which it counts the age of data.
const maxClockTick = 10 * time.Millisecond

// peekFlags make a receive look at the first byte without taking it and without waiting.
const peekFlags = syscall.MSG_PEEK | syscall.MSG_DONTWAIT

// IsOpenAndIdle reports whether a connection is open and nothing is unread on it. It never waits.
//
// Prevents the use of a pooled connection that the other side has closed, or on which a late response would be taken for that
// of the next request, because both show as a read that would not wait. It is so at the time of the call: whatever arrives
// later is for the caller to detect.
func IsOpenAndIdle(conn net.Conn) bool {
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

// ShutdownIfIdle shuts a connection down in both directions if it is open, nothing is unread on it, and confirm then returns
// true. It reports whether it did; the caller still has to close the connection. A finalMessage that is not empty is sent
// first, as far as the send buffer has space at once.
//
// Prevents a close over a request that arrives between the check and the close of a busy process, which may take long to run
// this goroutine again, because the raw system calls follow one another without a call into the Go scheduler. A small window
// remains between the two system calls: bytes that arrive in it are answered by a reset, as are those that arrive after the
// shutdown.
func ShutdownIfIdle(conn net.Conn, finalMessage string, confirm func() bool) bool {
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
		sendNow(fd, message)
		_, _, _ = syscall.RawSyscall(syscall.SYS_SHUTDOWN, fd, syscall.SHUT_RDWR, 0)
		shutDown = true
	})
	return err == nil && shutDown
}

// TrySend sends a message as far as the send buffer has space at once. It never waits.
func TrySend(conn net.Conn, message string) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return
	}
	_ = rawConn.Control(func(fd uintptr) { sendNow(fd, []byte(message)) }) // fails on a closed connection
}

// sendNow is TrySend for a file descriptor, without a call into the Go scheduler.
func sendNow(fd uintptr, message []byte) {
	if len(message) == 0 {
		return
	}
	_, _, _ = syscall.RawSyscall6(syscall.SYS_SENDTO, fd,
		uintptr(unsafe.Pointer(&message[0])), uintptr(len(message)), syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, 0, 0)
}

// ClosedByPeer reports whether the other side has closed or reset a connection, also if bytes from before are still unread. A
// close of its write side alone (half-close) counts as well: the two look the same from here. So does a connection that this
// side has closed.
//
// Prevents work for a client that has closed, which a read would show only after all unread bytes, such as those of pipelined
// requests, because the kernel reports the close apart from the data.
func ClosedByPeer(conn net.Conn) bool {
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

// pollNow reports whether a socket has one of the poll events, an error or a hang-up. It never waits. It returns an error if
// the socket is closed on this side.
func pollNow(rawConn syscall.RawConn, events int16) (happened bool, err error) {
	err = rawConn.Control(func(fd uintptr) {
		count, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, 0)
		happened = err == nil && count > 0
	})
	return happened, err
}

// SinceLastData returns how long ago the last bytes from the other side arrived at this machine, whether or not they have been
// read since. It is never more than the true time, and at most two ticks of the kernel's clock less. ok is false where the
// kernel does not say, or the socket is closed on this side.
func SinceLastData(rawConn syscall.RawConn) (elapsed time.Duration, ok bool) {
	var info *unix.TCPInfo
	var infoError error
	err := rawConn.Control(func(fd uintptr) {
		info, infoError = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoError != nil {
		return 0, false
	}
	return max(time.Duration(info.Last_data_recv)*time.Millisecond-maxClockTick, 0), true
}

// CloseListenerWhenEmpty closes a listener once its accept queue is empty, or at the deadline. Another goroutine must be
// accepting. It returns the error of Close.
//
// Prevents the kernel from resetting connections at shutdown that are in the accept queue when the listener closes, whose
// clients would see them end without a response, because the listener closes only after a check that the queue is empty. A
// connection that arrives after that check, or is still in the queue at the deadline, is reset.
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
