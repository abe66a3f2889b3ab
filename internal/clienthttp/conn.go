package clienthttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dapplegate/internal/socket"
)

// backgroundReadSize is the size, in bytes, of the reads by which net/http detects that the client closes while a request
// is in flight.
const backgroundReadSize = 1

// isBackgroundRead reports whether the buffer is that of a background read, by its size alone. Another read is as small only
// if net/http's read buffer, or its limit on the head, has one byte left. Such a read is taken for a background read: the
// handler then checks by itself for a close, and the request may count as received earlier than it was.
func isBackgroundRead(buffer []byte) bool {
	return len(buffer) == backgroundReadSize
}

// clientConn is a client's connection. It records when bytes were read and why the connection ended. Its reads and its close
// exclude each other, so that no request that has just been read is closed over.
//
// One goroutine reads at a time: the one that serves the connection, or net/http's background read while a request is in
// flight. "Reader" below is either; "state hook" is connTable.onConnState.
type clientConn struct {
	net.Conn
	// rawConn is nil where the connection offers none, in which case reads go through Conn.
	rawConn syscall.RawConn

	// readMutex is held while available bytes are read, and while it is decided whether to close the connection. It is locked
	// after connTable.mutex, and is never held during Conn.Close, which waits for a read that has begun.
	readMutex sync.Mutex

	// state is written by the reader, the handler, the state hook and the table, by the transitions of connState.
	state atomicConnState
	// lastReadAt is when bytes were last read; nil: none were. Written by the reader, read by the handler and the table.
	lastReadAt atomic.Pointer[time.Time]
	// queuedSince is the earliest time at which the next request may have arrived, if it may have waited unread behind a
	// request in flight or in the accept queue; nil: it did not wait. Written by the accepting goroutine before the first
	// read, then by the reader; read by the handler.
	queuedSince atomic.Pointer[time.Time]
	// requestCount is how often net/http has reported the connection active: for each head that was read, and for most heads
	// that ended incomplete or were malformed. Written by the state hook, read for the log.
	requestCount atomic.Int64
	// hasResponded is whether a request has been answered. Written by the state hook, read by the reader and the table.
	hasResponded atomic.Bool
	// closeReason is the first reason that was noted; nil: none yet. Written by any goroutine, read for the log.
	closeReason atomic.Pointer[closeReason]
	// openRequestID is the client's id of the request in flight; nil: none is. Set by the handler, cleared by the state
	// hook, read for the log.
	openRequestID atomic.Pointer[string]

	// closeUndetected is closed once net/http no longer detects that the client closes, since its background read got the
	// first byte of a further request; nil: the connection is not watched. Closed by the reader, by way of
	// closeUndetectedOnce; received from by the handler.
	closeUndetected     chan struct{}
	closeUndetectedOnce sync.Once

	// foundEmpty is whether net/http's last background read found nothing to read. Only the reader uses it.
	foundEmpty bool

	// idleSince is when the connection was accepted, last became idle, or could not be evicted since a request was arriving.
	// Guarded by connTable.mutex.
	idleSince time.Time
	// acceptedAt is when the connection was accepted, and acceptTook how long that accept had been waiting. Set before the
	// first read.
	acceptedAt time.Time
	acceptTook time.Duration
	// overLimit is whether the connection was accepted over the limit with none to evict for it. Set before the first read.
	overLimit bool
}

// newClientConn wraps an accepted connection, from which nothing has been read.
func newClientConn(conn net.Conn) *clientConn {
	now := time.Now()
	c := &clientConn{Conn: conn, idleSince: now, acceptedAt: now, closeUndetected: make(chan struct{})}
	if raw, ok := conn.(syscall.Conn); ok {
		c.rawConn, _ = raw.SyscallConn()
	}
	return c
}

// Read implements net.Conn.
func (c *clientConn) Read(buffer []byte) (int, error) {
	// The connection counts as idle only from the first read after a response, and not from the response on: until net/http
	// reads again, a complete request may wait in its buffer, and a close would leave it without a response. A background
	// read begins before that request is claimed, however: see connState.
	c.state.CompareAndSwap(stateResponded, stateIdle)
	n, err := c.read(buffer)
	if err != nil {
		c.noteCloseReason(c.readFailureReason(err))
	}
	return n, err
}

func (c *clientConn) read(buffer []byte) (int, error) {
	if c.rawConn != nil {
		return c.readSocket(buffer)
	}
	n, err := c.Conn.Read(buffer)
	c.noteBytesRead(n)
	return n, err
}

// readSocket waits for bytes and reads them, and records since when a request may have waited behind one in flight.
func (c *clientConn) readSocket(buffer []byte) (n int, err error) {
	lastReadBefore := c.lastReadAt.Load()
	waited := false
	waitError := c.rawConn.Read(func(fd uintptr) (done bool) {
		n, err = c.readAvailable(int(fd), buffer)
		nothingAvailable := errors.Is(err, syscall.EAGAIN)
		waited = waited || nothingAvailable
		return !nothingAvailable
	})
	switch {
	case errors.Is(waitError, os.ErrDeadlineExceeded) && !isBackgroundRead(buffer):
		n, err = c.readAtDeadline(buffer, waitError)
	case waitError != nil:
		n, err = 0, waitError
	}
	if isBackgroundRead(buffer) {
		c.noteBackgroundRead(lastReadBefore, waited, n == 1)
	} else if c.foundEmpty || waited {
		c.queuedSince.Store(nil) // what is read now arrived after the request before it
		c.foundEmpty = false
	}
	return n, err
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

// noteBackgroundRead records what a background read found: whether it had to wait, and whether it got the first byte of a
// further request. If it did not have to wait, that byte may have arrived with the request in flight, at inFlightSince.
func (c *clientConn) noteBackgroundRead(inFlightSince *time.Time, waited, gotByte bool) {
	c.foundEmpty = waited && !gotByte
	if !gotByte || c.queuedSince.Load() != nil {
		return
	}
	if waited {
		c.queuedSince.Store(c.lastReadAt.Load())
		return
	}
	c.queuedSince.Store(inFlightSince)
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
	if n == 1 && isBackgroundRead(buffer) && c.closeUndetected != nil {
		// With this byte net/http stops its background reads, and the handler has to detect a close by itself.
		c.closeUndetectedOnce.Do(func() { close(c.closeUndetected) })
	}
	return n, nil
}

// noteBytesRead records that n bytes have been read, which may be none.
func (c *clientConn) noteBytesRead(n int) {
	if n <= 0 {
		return
	}
	now := time.Now()
	c.lastReadAt.Store(&now)
	c.state.CompareAndSwap(stateIdle, stateReceiving)
}

// Write implements net.Conn.
func (c *clientConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	if err != nil {
		c.noteCloseReason(reasonWriteFailed)
	}
	return n, err
}

// CloseWrite lets net/http close the write side alone after a response. A close over unread bytes sends a reset, after which
// the client may not be able to read the response.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// closeIfNothingUnread shuts the connection down and marks it closed if it is still in its observed state and nothing is unread on
// it. The caller holds readMutex, and still has to call Conn.Close.
//
// In stateMalformed the connection is marked closed whatever is unread: that is the rest of the malformed request, or follows
// it after a response that announces the close, and gets no response in either case.
func (c *clientConn) closeIfNothingUnread(observed connState) (closed bool) {
	markClosed := func() bool { return c.state.CompareAndSwap(observed, stateClosed) }
	switch observed {
	case stateMalformed:
		return markClosed()
	case stateReceiving:
		return socket.ShutdownIfQuiet(c.Conn, partialRequestResponse, markClosed)
	default:
		return socket.ShutdownIfQuiet(c.Conn, "", markClosed)
	}
}

// peerClosed reports whether the client has closed the connection or its write side, also if bytes from before are unread.
func (c *clientConn) peerClosed() bool {
	return c.Conn != nil && socket.IsPeerClosed(c.Conn)
}

// isCloseUndetected reports whether net/http no longer detects that the client closes.
func (c *clientConn) isCloseUndetected() bool {
	select {
	case <-c.closeUndetected:
		return true
	default:
		return false
	}
}

// claimRequest marks the request that has been read as in flight. It aborts the handler if the connection was closed in
// the meantime.
func (c *clientConn) claimRequest() {
	claimed := c.state.CompareAndSwap(stateReceiving, stateInFlight) ||
		c.state.CompareAndSwap(stateResponded, stateInFlight) || // it was read ahead, with the request before it
		c.state.CompareAndSwap(stateIdle, stateInFlight) // the same, and the background read has begun
	if !claimed {
		panic(http.ErrAbortHandler)
	}
}

// loggedRequestID returns the client's id of the request in flight; empty: none is.
func (c *clientConn) loggedRequestID() string {
	if id := c.openRequestID.Load(); id != nil {
		return *id
	}
	return ""
}

// noteCloseReason records why the connection ends, unless a reason has been recorded before.
func (c *clientConn) noteCloseReason(reason closeReason) {
	if reason != reasonNone {
		c.closeReason.CompareAndSwap(nil, &reason)
	}
}

// readFailureReason returns the reason that an error of Read gives for the connection's end.
func (c *clientConn) readFailureReason(err error) closeReason {
	switch {
	case errors.Is(err, io.EOF):
		return reasonClientClosed
	case errors.Is(err, syscall.ECONNRESET):
		return reasonClientReset
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return reasonReadFailed
	}
	state := c.state.Load()
	if state == stateReceiving {
		return reasonRequestReadTimeout
	}
	if state == stateIdle && !c.hasResponded.Load() {
		return reasonNoFirstRequest
	}
	// net/http ends its own background reads by a deadline in the past, which ends no connection. A connection stays idle
	// for net/http's whole idle timeout only during shutdown.
	return reasonNone
}

// earliestArrival returns when the client's timeout starts to run: when the last byte of the request so far was read, which
// may be well before a busy process runs its handler. For a request that may have waited unread, it is the earliest time at
// which it may have arrived.
func (c *clientConn) earliestArrival() time.Time {
	if queuedSince := c.queuedSince.Load(); queuedSince != nil {
		return *queuedSince
	}
	return c.lastReadTime()
}

// lastReadTime returns when bytes were last read, and the present time if none were.
func (c *clientConn) lastReadTime() time.Time {
	if lastReadAt := c.lastReadAt.Load(); lastReadAt != nil {
		return *lastReadAt
	}
	return time.Now()
}

// connContextKey is the context key of a request's *clientConn.
type connContextKey struct{}

func contextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// connFromContext returns the connection of a request. A request without one, as from net/http/httptest, gets a zero one.
func connFromContext(ctx context.Context) *clientConn {
	if conn, ok := ctx.Value(connContextKey{}).(*clientConn); ok {
		return conn
	}
	return &clientConn{}
}
