package socket

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// The functions of this file make system calls that never block, and repeat a call that a signal has interrupted: EINTR says
// nothing about the socket. They do not call into the Go scheduler, because a busy process may take long to run a goroutine
// again after that, and the result of a check would be outdated by the time it is used.

// peek looks for an unread byte on a socket. It returns EAGAIN if the socket is open and nothing is unread.
func peek(fd uintptr) syscall.Errno {
	var firstByte [1]byte
	for {
		_, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&firstByte[0])),
			uintptr(len(firstByte)), syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		if errno != syscall.EINTR {
			return errno
		}
	}
}

// pollNow reports whether one of the poll events, an error or a hang-up is pending on a socket.
func pollNow(fd uintptr, events int16) (pending bool, errno syscall.Errno) {
	entry := unix.PollFd{Fd: int32(fd), Events: events}
	var noWait unix.Timespec
	for {
		count, _, errno := syscall.RawSyscall6(unix.SYS_PPOLL, uintptr(unsafe.Pointer(&entry)), 1,
			uintptr(unsafe.Pointer(&noWait)), 0, 0, 0)
		if errno != syscall.EINTR {
			return errno == 0 && count > 0, errno
		}
	}
}

// send sends as much of the data as fits into the send buffer. It returns EAGAIN if nothing fits. The data is not empty.
// flags are added to those that all calls have.
func send(fd uintptr, data []byte, flags uintptr) (n int, errno syscall.Errno) {
	for {
		sent, _, errno := syscall.RawSyscall6(syscall.SYS_SENDTO, fd, uintptr(unsafe.Pointer(&data[0])), uintptr(len(data)),
			flags|syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, 0, 0)
		switch errno {
		case 0:
			return int(sent), 0
		case syscall.EINTR:
		default:
			return 0, errno
		}
	}
}

// sendAll repeats send until all data is sent, nothing more fits or the connection is broken.
func sendAll(fd uintptr, data []byte, flags uintptr) {
	for len(data) > 0 {
		n, errno := send(fd, data, flags)
		if errno != 0 {
			return
		}
		data = data[n:]
	}
}
