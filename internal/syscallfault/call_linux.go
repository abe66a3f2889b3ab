package syscallfault

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// maxReadBytes limits how many bytes Data reads.
const maxReadBytes = 64

// Call is a system call that a thread of the traced process is about to make. Its methods may be called from Decide only.
type Call struct {
	Number  int       // such as unix.SYS_POLL
	Args    [6]uint64 // as passed in registers
	process int
}

// Descriptor returns the file descriptor that the call is made on, for calls that have it as their first argument.
func (c Call) Descriptor() int { return int(int32(c.Args[0])) }

// IsTransfer reports whether the call reads from or writes to a descriptor, with the number of bytes as its third argument.
func (c Call) IsTransfer() bool {
	switch c.Number {
	case unix.SYS_READ, unix.SYS_WRITE, unix.SYS_SENDTO, unix.SYS_RECVFROM:
		return true
	}
	return false
}

// Data returns up to length of the bytes that a write or send call is about to write, and fewer if they cannot be read.
func (c Call) Data(length int) []byte {
	length = min(length, int(c.Args[2]), maxReadBytes)
	if length <= 0 {
		return nil
	}
	data := make([]byte, length)
	n := c.readMemory(c.Args[1], data)
	return data[:n]
}

// PollEvents returns the events of the first descriptor that a poll call waits for, or 0 if they cannot be read.
func (c Call) PollEvents() int16 {
	var entry unix.PollFd
	if c.readMemory(c.Args[0], unsafe.Slice((*byte)(unsafe.Pointer(&entry)), unsafe.Sizeof(entry))) == 0 {
		return 0
	}
	return entry.Events
}

// readMemory reads from the memory of the process and returns the number of bytes that could be read.
func (c Call) readMemory(address uint64, buffer []byte) int {
	local := []unix.Iovec{{Base: &buffer[0], Len: uint64(len(buffer))}}
	remote := []unix.RemoteIovec{{Base: uintptr(address), Len: len(buffer)}}
	n, err := unix.ProcessVMReadv(c.process, local, remote, 0)
	if err != nil {
		return 0
	}
	return n
}
