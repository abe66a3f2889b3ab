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

// readAheadSize is the size, in bytes, of the read that follows a background read which received the start of a request.
const readAheadSize = 4 << 10

// arrivalTimes tells when bytes that were read together arrived at this machine.
type arrivalTimes struct {
	lastByte           time.Time // when the last byte arrived
	firstByteNotBefore time.Time // the earliest time at which the first byte can have arrived
}

// Read implements net.Conn. It returns bytes of one request at a time.
func (c *clientConn) Read(buffer []byte) (int, error) {
	n, err := c.read(buffer)
	if err != nil {
		c.recordCloseReason(c.readFailureReason(err))
		c.recordReadError(err)
	}
	return n, err
}

func (c *clientConn) read(buffer []byte) (int, error) {
	if len(c.readAhead) > 0 {
		return c.readFromReadAhead(buffer)
	}
	n, waited, err := c.readConn(buffer)
	if n == 0 {
		return 0, err
	}
	bufferFull := n == len(buffer)
	if c.isBackgroundRead(buffer) {
		c.markCloseDetectionLost()
		bufferFull = c.readAheadAvailable()
	}
	c.readAheadArrival = c.estimateArrival(waited, bufferFull)
	taken := c.deliver(buffer[:n], c.readAheadArrival, true)
	if taken < n {
		c.readAhead = bytes.Clone(buffer[taken:n])
	}
	return taken, err
}

// readFromReadAhead passes bytes that were read ahead to net/http.
func (c *clientConn) readFromReadAhead(buffer []byte) (int, error) {
	if c.state.Load() == stateClosed {
		return 0, net.ErrClosed
	}
	if c.isBackgroundRead(buffer) {
		c.markCloseDetectionLost()
	}
	n := copy(buffer, c.readAhead)
	taken := c.deliver(buffer[:n], c.readAheadArrival, n == len(c.readAhead))
	c.readAhead = c.readAhead[taken:]
	if len(c.readAhead) == 0 {
		c.readAhead = nil // releases the buffer
	}
	return taken, nil
}

// deliver passes bytes to net/http up to the end of the current request, and returns how many that is. arrived holds the
// arrival times of the bytes that were read together with data; includesLast is whether data ends with the last of them.
func (c *clientConn) deliver(data []byte, arrived arrivalTimes, includesLast bool) (taken int) {
	taken, complete := c.scanner.scan(data)
	if !complete {
		return taken
	}
	c.requestArrivedAt = arrived.firstByteNotBefore
	if includesLast && taken == len(data) {
		c.requestArrivedAt = arrived.lastByte
	}
	c.responsePending = true
	c.state.CompareAndSwap(stateReceiving, stateReceived)
	return taken
}

// isBackgroundRead reports whether the next read is one by which net/http detects that the client closes. Such a read
// follows a complete request and asks for a single byte.
func (c *clientConn) isBackgroundRead(buffer []byte) bool {
	return c.responsePending && len(buffer) == 1
}

// markCloseDetectionLost records that a background read received a byte. net/http then stops its background reads, and
// the handler has to detect a close by itself.
func (c *clientConn) markCloseDetectionLost() {
	if c.closeDetectionLost != nil {
		c.closeDetectionLostOnce.Do(func() { close(c.closeDetectionLost) })
	}
}

// readAheadAvailable reads ahead the available bytes of the next request, after a background read received its first
// byte. bufferFull is whether more may be unread.
//
// The arrival time of bytes is known only until further bytes follow them. Without reading ahead, a request that waits
// behind another would count as received later than it arrived.
func (c *clientConn) readAheadAvailable() (bufferFull bool) {
	if c.rawConn == nil {
		return false
	}
	buffer := make([]byte, readAheadSize)
	n := 0
	var err error
	controlError := c.rawConn.Control(func(fd uintptr) { n, err = c.readAvailable(int(fd), buffer) })
	if controlError != nil || err != nil || n == 0 {
		return false // the next read has the same result
	}
	c.readAhead = buffer[:n]
	return n == len(buffer)
}

// readConn reads new bytes from the connection, and waits for them if there are none. It reports whether it had to wait.
func (c *clientConn) readConn(buffer []byte) (n int, waited bool, err error) {
	if c.rawConn != nil {
		return c.readSocket(buffer)
	}
	n, err = c.Conn.Read(buffer)
	c.readStartedAt = time.Now()
	c.recordBytesRead(n)
	return n, true, err
}

// readSocket waits for bytes on the socket and reads them. It reports whether it had to wait.
func (c *clientConn) readSocket(buffer []byte) (n int, waited bool, err error) {
	waitError := c.rawConn.Read(func(fd uintptr) (done bool) {
		n, err = c.readAvailable(int(fd), buffer)
		nothingAvailable := errors.Is(err, syscall.EAGAIN)
		if nothingAvailable {
			waited = true
			c.unreadSince = c.readStartedAt
		}
		return !nothingAvailable
	})
	switch {
	case errors.Is(waitError, os.ErrDeadlineExceeded) && !c.isBackgroundRead(buffer):
		n, err = c.readAtDeadline(buffer, waitError)
	case waitError != nil:
		n, err = 0, waitError
		if abortedAt := c.readAbortedAt.Load(); waited && abortedAt != nil {
			c.unreadSince = latest(c.unreadSince, *abortedAt) // net/http has ended its background read, which found nothing
		}
	}
	return n, waited, err
}

// SetReadDeadline implements net.Conn. net/http ends its background read by a deadline in the past; the time is recorded,
// until which the read found nothing.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	if now := time.Now(); !deadline.IsZero() && deadline.Before(now) {
		c.readAbortedAt.Store(&now)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// estimateArrival returns when the bytes that were just read arrived. waited is whether nothing was available when the
// read began, and bufferFull whether the read filled its buffer, so that more may be unread.
//
// A request may have waited in the accept queue, behind another request or for the process to run. Its client's timeout
// was running meanwhile, so the request must not count as received only when it was read. The kernel tells how long ago
// the last bytes arrived. Where it does not, or they arrived just now, a request that may have waited behind another
// counts as received at the earliest time at which it can have arrived.
//
// All times are read before the call that they belong to. If the process is held up in between, a request then counts as
// received too early by that time at the most, and never too late.
func (c *clientConn) estimateArrival(waited, bufferFull bool) arrivalTimes {
	now := time.Now()
	mayHaveWaited := !waited && !c.unreadSince.IsZero()
	arrived := arrivalTimes{lastByte: now, firstByteNotBefore: now}
	if mayHaveWaited {
		arrived.lastByte = c.unreadSince
	}
	if sinceLastData := c.sinceLastData(); sinceLastData > 0 {
		arrived.lastByte = latest(c.unreadSince, now.Add(-sinceLastData))
	}
	arrived.firstByteNotBefore = arrived.lastByte
	if mayHaveWaited {
		arrived.firstByteNotBefore = c.unreadSince
	}
	c.unreadSince = c.readStartedAt
	if bufferFull {
		c.unreadSince = arrived.lastByte
	}
	return arrived
}

// sinceLastData returns how long ago the last bytes arrived at this machine, or 0 if they arrived just now or the time is
// unknown.
func (c *clientConn) sinceLastData() time.Duration {
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

// readAtDeadline is called when the deadline of a read has passed. It reads the bytes that have arrived. If there are
// none and the connection is idle, it shuts the connection down.
//
// If the process is delayed past the deadline, a request may still have arrived in time. The check for bytes and the
// close are one step, so that the connection of such a request is not closed without a response.
func (c *clientConn) readAtDeadline(buffer []byte, deadlineError error) (n int, err error) {
	if c.state.Load() == stateIdle {
		reason := c.readFailureReason(deadlineError)
		c.readMu.Lock()
		closed := c.closeIfNothingUnread(stateIdle)
		c.readMu.Unlock()
		if closed {
			c.recordCloseReason(reason)
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
// The read and the change of state are one step under readMu. Otherwise the connection could be closed as idle just
// after a request has been read from the socket, and that request would get no response.
func (c *clientConn) readAvailable(fd int, buffer []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.state.Load() == stateClosed {
		return 0, net.ErrClosed
	}
	c.readStartedAt = time.Now()
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
	c.recordBytesRead(n)
	return n, nil
}
