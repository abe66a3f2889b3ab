package clienthttp

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"dapplegate/internal/socket"
)

// Read implements net.Conn. It returns bytes of one request at a time, once it is this connection's turn to use the processor.
// A client that sends at full speed thus delays the requests of others by one read, or by one of its own requests.
func (c *clientConn) Read(buffer []byte) (int, error) {
	isBackgroundRead := c.isBackgroundRead(buffer)
	n, err := c.read(buffer)
	switch {
	case n > 0 && isBackgroundRead:
		c.backgroundReadEnded.Store(true)
		c.markCloseDetectionLost()
	case n > 0:
		c.turn.Wait()
	}
	if err != nil {
		c.recordCloseReason(c.readFailureReason(err))
		c.recordReadError(err)
	}
	return n, err
}

func (c *clientConn) read(buffer []byte) (int, error) {
	if len(c.readAhead.bytes) > 0 {
		return c.readFromReadAhead(buffer)
	}
	n, waited, err := c.readConn(buffer)
	if n == 0 {
		return 0, err
	}
	var further []byte
	var drainedAt time.Time
	if c.isBackgroundRead(buffer) {
		further, drainedAt = c.readAllAvailable()
	}
	arrived := c.estimateArrival(waited)
	c.unreadSince = latest(c.unreadSince, drainedAt)
	taken, deliverError := c.deliver(buffer[:n], []readSegment{{n + len(further), arrived}})
	if deliverError != nil {
		return 0, deliverError
	}
	c.readAhead.add(buffer[taken:n], arrived)
	c.readAhead.add(further, arrived)
	return taken, err
}

// readFromReadAhead passes bytes that were read ahead to net/http.
func (c *clientConn) readFromReadAhead(buffer []byte) (int, error) {
	if c.state.Load() == stateClosed {
		return 0, net.ErrClosed
	}
	n := copy(buffer, c.readAhead.bytes)
	taken, err := c.deliver(buffer[:n], c.readAhead.segments)
	if err != nil {
		return 0, err
	}
	c.readAhead.drop(taken)
	return taken, nil
}

// deliver passes bytes to net/http up to the end of the current request, and returns how many that is. The segments begin with
// data. If the scanner rejects the head, deliver responds, passes nothing and returns the scanner's error as a failed read, after
// which net/http closes the connection without a response of its own.
func (c *clientConn) deliver(data []byte, segments []readSegment) (taken int, err error) {
	taken, complete := c.scanner.scan(data)
	if rejected := c.scanner.err; rejected != nil {
		socket.TrySend(c.Conn, rejected.response)
		c.recordCloseReason(rejected.reason)
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: rejected}
	}
	if !complete {
		return taken, nil
	}
	c.requestArrivedAt = arrivalOf(segments, taken)
	c.responsePending = true
	c.state.CompareAndSwap(stateReceiving, stateReceived)
	return taken, nil
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
