// Package socket looks at the state of a connection's socket without taking anything from it.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Quiet tells whether a connection is open and nothing has come on it that was not read.
func Quiet(c net.Conn) bool {
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

// PeerGone tells whether the other side has closed or reset a connection, also where bytes that came before are still
// unread. A connection that was closed on this side counts as well.
func PeerGone(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(look, 0)
		gone = err == nil && n > 0
	})
	return err != nil || gone
}
