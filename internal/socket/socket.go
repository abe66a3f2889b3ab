// Package socket looks at the state of sockets without taking anything from them.
package socket

import (
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Quiet tells whether a connection is open and nothing has come on it that was not read.
func IsQuiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	// Control, not Read, which would wait for a reader that waits for bytes.
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && quiet
}

// EndQuiet ends a connection in both directions if it is open and nothing has come on it that was not read; claim is asked
// in between and may say no. Last words, if any, are sent as far as there is room at once. The system calls follow one
// another with no other goroutine between them: a busy process may take long to come back to this one, and what came
// meanwhile would be lost with the connection. What comes later is answered with a reset. The connection is still to be closed.
func ShutdownIfQuiet(c net.Conn, lastWords string, claim func() bool) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return claim()
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	words := []byte(lastWords)
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&one[0])), uintptr(len(one)),
			syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		if errno != syscall.EAGAIN || !claim() {
			return
		}
		if len(words) > 0 {
			syscall.RawSyscall6(syscall.SYS_SENDTO, fd, uintptr(unsafe.Pointer(&words[0])), uintptr(len(words)),
				syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, 0, 0)
		}
		syscall.RawSyscall(syscall.SYS_SHUTDOWN, fd, syscall.SHUT_RDWR, 0)
		ended = true
	})
	return err == nil && ended
}

// PeerGone tells whether the other side has closed or reset a connection, also where bytes that came before are still
// unread. A connection that was closed on this side counts as well.
func IsPeerClosed(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	gone, err := polled(raw, unix.POLLRDHUP)
	return err != nil || gone
}

// polled tells whether one of the events, an error or a hang-up is there on a socket now.
func polled(raw syscall.RawConn, events int16) (there bool, err error) {
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, 0)
		there = err == nil && n > 0
	})
	return there, err
}

// CloseListener closes a listener once the connections that the machine has accepted on it have been taken, or at the latest
// then. Somebody must be accepting: those left are reset.
func DrainListener(l net.Listener, latest time.Time) error {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return l.Close()
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return l.Close()
	}
	for ; time.Now().Before(latest); time.Sleep(time.Millisecond) {
		if waiting, err := polled(raw, unix.POLLIN); err != nil || !waiting {
			break
		}
	}
	return l.Close()
}
