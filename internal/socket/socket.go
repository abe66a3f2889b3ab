// Package socket gets the state of connections and listeners from the kernel without reading data from them, and closes them
// after checking that nothing has arrived on them that would get no response.
//
// A net.Conn or net.Listener without a system socket, such as a net.Pipe in a test, counts as open with nothing unread.
package socket

import (
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptQueuePollInterval is how often CloseListenerWhenEmpty checks the accept queue.
const acceptQueuePollInterval = time.Millisecond

// maxClockTick is the longest tick of the clock with which the kernel measures the age of data.
const maxClockTick = 10 * time.Millisecond

// IsOpenAndIdle reports whether a connection is open and has no unread bytes. It never blocks and ignores deadlines.
//
// It detects pooled connections that must not be used again: those that the peer has closed, and those with unread bytes of
// a late response, which would be taken for the response to the next request. In both cases, a read would not block. The
// result holds for the time of the call; the caller must detect anything that arrives later.
func IsOpenAndIdle(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	// Control is used because RawConn.Read would wait for another read in progress.
	err = rawConn.Control(func(fd uintptr) { idle = peek(fd) == syscall.EAGAIN })
	return err == nil && idle
}

// ShutdownIfIdle shuts a connection down in both directions if it is open, has no unread bytes, and confirm then returns
// true. It reports whether it did. The caller must still close the connection. If finalMessage is not empty, as much of it
// as fits into the send buffer is sent first: all of it, unless the client leaves its responses unread. The kernel keeps the
// message back until the shutdown, so that the client gets it together with the end of the connection.
//
// A busy process may take long to run a goroutine again after a call into the Go scheduler, so ShutdownIfIdle makes none
// between its system calls. The process may still be held up at each of them: bytes that arrive after the check are answered
// by the message, and the connection is reset if they are unread when it is closed.
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
		if peek(fd) != syscall.EAGAIN || !confirm() {
			return
		}
		sendAll(fd, message, unix.MSG_MORE)
		_, _, _ = syscall.RawSyscall(syscall.SYS_SHUTDOWN, fd, syscall.SHUT_RDWR, 0)
		shutDown = true
	})
	return err == nil && shutDown
}

// UnreadBytes returns how many bytes have arrived on a connection and were not read, or 0 if the kernel does not tell. It
// also works on a connection that ShutdownIfIdle has shut down.
func UnreadBytes(conn net.Conn) int {
	return queuedBytes(conn, unix.TIOCINQ)
}

// UnsentBytes returns how many bytes that were written to a connection the kernel has not sent yet, or 0 if it does not tell.
// Bytes that were sent and are not acknowledged do not count.
func UnsentBytes(conn net.Conn) int {
	return queuedBytes(conn, unix.SIOCOUTQNSD)
}

// DiscardUnsentAtClose makes the Close of a connection discard the bytes that were not sent by then, by a reset. If there are
// none now, it changes nothing.
func DiscardUnsentAtClose(conn net.Conn) {
	if UnsentBytes(conn) == 0 {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection
	}
}

// queuedBytes returns the size of one of the kernel's queues of a connection, as an ioctl tells it, or 0 if that fails.
func queuedBytes(conn net.Conn, request uint) int {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	_ = rawConn.Control(func(fd uintptr) { queued, err = unix.IoctlGetInt(int(fd), request) }) // fails on a closed one
	if err != nil {
		return 0
	}
	return queued
}

// TrySend sends as much of a message as fits into the send buffer. It never blocks.
func TrySend(conn net.Conn, message string) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return
	}
	_ = rawConn.Control(func(fd uintptr) { sendAll(fd, []byte(message), 0) }) // fails on a closed connection
}

// WriteWhile writes data to a connection. Right before each part of it, as much as fits into the send buffer, it calls
// mayWrite with the number of bytes written so far, and stops if that returns false. It returns the number of bytes written,
// and an error if the connection is broken or its write deadline has passed. Nothing else may write to the connection
// meanwhile.
//
// No call into the Go scheduler lies between mayWrite and the write, so that a busy process does not write long after the
// check. mayWrite must not block.
func WriteWhile(conn net.Conn, data []byte, mayWrite func(written int) bool) (written int, err error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		if !mayWrite(0) {
			return 0, nil
		}
		return conn.Write(data)
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var sendError error
	waitError := rawConn.Write(func(fd uintptr) (done bool) {
		for written < len(data) && mayWrite(written) {
			n, errno := send(fd, data[written:], 0)
			switch errno {
			case 0:
				written += n
			case syscall.EAGAIN:
				return false // waits until more fits, and then checks again
			default:
				sendError = os.NewSyscallError("sendto", errno)
				return true
			}
		}
		return true
	})
	if sendError != nil {
		return written, sendError
	}
	return written, waitError
}

// ClosedByPeer reports whether the peer has closed or reset a connection, even if bytes that it sent earlier are still
// unread. It also returns true if the peer has closed only its write side (half-close), which looks the same on this side,
// and if this side has closed the connection.
//
// It avoids work for a client that has closed its connection. A read would show the close only after all unread bytes, such
// as those of pipelined requests, but the kernel reports it separately from the data.
func ClosedByPeer(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = rawConn.Control(func(fd uintptr) { closed, _ = pollNow(fd, unix.POLLRDHUP) })
	return err != nil || closed
}

// SinceLastData returns how long ago the last bytes from the peer arrived at this machine, whether or not they have been
// read since. The result is never longer than the true time, and at most two ticks of the kernel's clock shorter. ok is
// false if the kernel does not provide the time, or if this side has closed the socket.
func SinceLastData(rawConn syscall.RawConn) (elapsed time.Duration, ok bool) {
	var info *unix.TCPInfo
	var infoError error
	err := rawConn.Control(func(fd uintptr) {
		info, infoError = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoError != nil || info.Rto == 0 { // each connection has a retransmission timeout
		return 0, false
	}
	return max(time.Duration(info.Last_data_recv)*time.Millisecond-maxClockTick, 0), true
}

// CloseListenerWhenEmpty closes a listener once its accept queue is empty, or at the deadline. Another goroutine must be
// accepting connections meanwhile. It returns the error of Close.
//
// When a listener closes, the kernel resets the connections in its accept queue, and their clients get no response.
// CloseListenerWhenEmpty avoids this at shutdown by checking that the queue is empty before it closes the listener. A
// connection that arrives after the check, or is still in the queue at the deadline, is reset.
func CloseListenerWhenEmpty(listener net.Listener, deadline time.Time) error {
	syscallConn, ok := listener.(syscall.Conn)
	if !ok {
		return listener.Close()
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return listener.Close()
	}
	for time.Now().Before(deadline) && !isAcceptQueueEmpty(rawConn) {
		time.Sleep(acceptQueuePollInterval)
	}
	return listener.Close()
}

// isAcceptQueueEmpty reports whether no connection is waiting to be accepted, or the listener is closed. It returns false if
// that cannot be determined.
func isAcceptQueueEmpty(rawConn syscall.RawConn) bool {
	pending := false
	var errno syscall.Errno
	err := rawConn.Control(func(fd uintptr) { pending, errno = pollNow(fd, unix.POLLIN) })
	return err != nil || errno == 0 && !pending
}
