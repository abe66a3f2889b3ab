package clienthttp

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"dapplegate/internal/socket"
)

// readAheadSize is the size, in bytes, of the read that follows a background read which found the next request.
const readAheadSize = 4 << 10

// arrival is when bytes that were read in one step had arrived at this machine.
type arrival struct {
	last     time.Time // when the last of them had
	earliest time.Time // when the first of them had, at the earliest
}

// Read implements net.Conn. It gives bytes of one request at a time.
func (c *clientConn) Read(buffer []byte) (int, error) {
	n, err := c.read(buffer)
	if err != nil {
		c.noteCloseReason(c.readFailureReason(err))
	}
	return n, err
}

func (c *clientConn) read(buffer []byte) (int, error) {
	if len(c.readAhead) > 0 {
		return c.takeReadAhead(buffer)
	}
	n, waited, err := c.readUnread(buffer)
	if n == 0 {
		return 0, err
	}
	filled := n == len(buffer)
	if c.isBackgroundRead(buffer) {
		c.markCloseUndetected()
		filled = c.readFurther()
	}
	c.readAheadArrival = c.arrivalOf(waited, filled)
	taken := c.give(buffer[:n], c.readAheadArrival, true)
	if taken < n {
		c.readAhead = bytes.Clone(buffer[taken:n])
	}
	return taken, err
}

// takeReadAhead gives net/http bytes that were read before.
func (c *clientConn) takeReadAhead(buffer []byte) (int, error) {
	if c.state.Load() == stateClosed {
		return 0, net.ErrClosed
	}
	if c.isBackgroundRead(buffer) {
		c.markCloseUndetected()
	}
	n := copy(buffer, c.readAhead)
	taken := c.give(buffer[:n], c.readAheadArrival, n == len(c.readAhead))
	c.readAhead = c.readAhead[taken:]
	if len(c.readAhead) == 0 {
		c.readAhead = nil // frees the buffer
	}
	return taken, nil
}

// give passes bytes on to net/http, up to the end of the current request, and returns how many that are. areLast is whether
// they include the last of those that arrived.
func (c *clientConn) give(data []byte, arrived arrival, areLast bool) (taken int) {
	taken, complete := c.scanner.scan(data)
	if !complete {
		return taken
	}
	c.arrivedAt = arrived.earliest
	if areLast && taken == len(data) {
		c.arrivedAt = arrived.last
	}
	c.awaitsResponse = true
	c.state.CompareAndSwap(stateReceiving, stateReceived)
	return taken
}

// isBackgroundRead reports whether the next read is one by which net/http detects that the client closes: it was given the
// whole request, and reads a single byte.
func (c *clientConn) isBackgroundRead(buffer []byte) bool {
	return c.awaitsResponse && len(buffer) == 1
}

// markCloseUndetected records that a background read got a byte. With it net/http stops its background reads, and the handler
// has to detect a close by itself.
func (c *clientConn) markCloseUndetected() {
	if c.closeUndetected != nil {
		c.closeUndetectedOnce.Do(func() { close(c.closeUndetected) })
	}
}

// readFurther reads ahead what is there of the next request, whose first byte a background read got. filled is whether more
// may be unread.
//
// Prevents a request that waits behind another from counting as received later than it arrived, because the arrival of the
// bytes is known only until others follow them.
func (c *clientConn) readFurther() (filled bool) {
	if c.rawConn == nil {
		return false
	}
	buffer := make([]byte, readAheadSize)
	n := 0
	var err error
	controlError := c.rawConn.Control(func(fd uintptr) { n, err = c.readAvailable(int(fd), buffer) })
	if controlError != nil || err != nil || n == 0 {
		return false // the next read finds the same
	}
	c.readAhead = buffer[:n]
	return n == len(buffer)
}

// readUnread reads bytes that nobody has read yet, and waits for them if there are none. It reports whether it had to wait.
func (c *clientConn) readUnread(buffer []byte) (n int, waited bool, err error) {
	if c.rawConn != nil {
		return c.readSocket(buffer)
	}
	n, err = c.Conn.Read(buffer)
	c.noteBytesRead(n)
	return n, true, err
}

// readSocket waits for bytes and reads them, and reports whether it had to wait.
func (c *clientConn) readSocket(buffer []byte) (n int, waited bool, err error) {
	waitError := c.rawConn.Read(func(fd uintptr) (done bool) {
		n, err = c.readAvailable(int(fd), buffer)
		nothingAvailable := errors.Is(err, syscall.EAGAIN)
		if nothingAvailable {
			waited = true
			c.unreadSince = time.Now()
		}
		return !nothingAvailable
	})
	switch {
	case errors.Is(waitError, os.ErrDeadlineExceeded) && !c.isBackgroundRead(buffer):
		n, err = c.readAtDeadline(buffer, waitError)
	case waitError != nil:
		n, err = 0, waitError
		if waited { // net/http has ended its background read, which found nothing until now
			c.unreadSince = time.Now()
		}
	}
	return n, waited, err
}

// arrivalOf returns when the bytes had arrived that were just read. waited is whether nothing was there when the read began,
// and filled whether the buffer was, so that more may be unread.
//
// Prevents a request that waited in the accept queue, behind another request or for the process from counting as received when
// it was read, while its client's timeout was running: the kernel tells how long ago the last bytes arrived. Where it does
// not, or they came just now, a request that may have waited behind another counts as received when it could have
// arrived at the earliest.
func (c *clientConn) arrivalOf(waited, filled bool) arrival {
	now := time.Now()
	mayHaveWaited := !waited && !c.unreadSince.IsZero()
	arrived := arrival{last: now, earliest: now}
	if mayHaveWaited {
		arrived.last = c.unreadSince
	}
	if unreadFor := c.unreadFor(); unreadFor > 0 {
		arrived.last = latest(c.unreadSince, now.Add(-unreadFor))
	}
	arrived.earliest = arrived.last
	if mayHaveWaited {
		arrived.earliest = c.unreadSince
	}
	c.unreadSince = now
	if filled {
		c.unreadSince = arrived.last
	}
	return arrived
}

// unreadFor returns how long ago the last bytes arrived at this machine; 0: just now, or not known.
func (c *clientConn) unreadFor() time.Duration {
	if c.rawConn == nil {
		return 0
	}
	elapsed, _ := socket.SinceLastData(c.rawConn)
	return elapsed
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// readAtDeadline reads what has arrived by the time at which a read is to end, or closes an idle connection on which
// nothing has.
//
// Prevents a close over a request that arrived in time while the process was held up past the deadline, in which case the
// client would see its connection end without a response, because the check for bytes and the close are one step.
func (c *clientConn) readAtDeadline(buffer []byte, deadlineError error) (n int, err error) {
	if c.state.Load() == stateIdle {
		reason := c.readFailureReason(deadlineError)
		c.readMutex.Lock()
		closed := c.closeIfNothingUnread(stateIdle)
		c.readMutex.Unlock()
		if closed {
			c.noteCloseReason(reason)
			return 0, deadlineError
		}
	}
	controlError := c.rawConn.Control(func(fd uintptr) { n, err = c.readAvailable(int(fd), buffer) })
	if controlError != nil {
		return 0, controlError
	}
	if errors.Is(err, syscall.EAGAIN) {
		return 0, deadlineError
	}
	return n, err
}

// readAvailable reads without waiting, and returns syscall.EAGAIN if there is nothing to read.
//
// Prevents a close as idle over a request that has just been read from the socket, which would get no response, because the
// read and the change of state are one step under readMutex.
func (c *clientConn) readAvailable(fd int, buffer []byte) (int, error) {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	if c.state.Load() == stateClosed {
		return 0, net.ErrClosed
	}
	n, err := syscall.Read(fd, buffer)
	for errors.Is(err, syscall.EINTR) {
		n, err = syscall.Read(fd, buffer)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return 0, err
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(buffer) > 0:
		return 0, io.EOF
	}
	c.noteBytesRead(n)
	return n, nil
}
