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
// is in flight. No other read of net/http is as small.
const backgroundReadSize = 1

// clientConn is a client's connection. It records when bytes arrived and why the connection ended, and its reads and its
// end exclude each other, so that no request is lost between them.
//
// Reads come from one goroutine at a time: the one that serves the connection, or net/http's background read while a
// request is in flight. "Reader" below is either; "state hook" is connTable.onConnState.
type clientConn struct {
	net.Conn
	// rawConn is nil where the connection offers none, in which case reads go through Conn.
	rawConn syscall.RawConn

	// readMutex is held while available bytes are read, and while it is decided whether to close the connection. It comes
	// after connTable.mutex, and is never held during Conn.Close, which waits for a read that has begun.
	readMutex sync.Mutex

	// state is written by the reader, the handler, the state hook and the table, by the transitions of connState.
	state atomicConnState
	// lastReadAt is when a read last brought bytes; nil: none did. Written by the reader, read by the handler and the table.
	lastReadAt atomic.Pointer[time.Time]
	// queuedSince is the earliest time at which the next request may have arrived, if it may have waited unread behind a
	// request in flight or in the listener's backlog; nil: it did not wait. Written by the accepting goroutine before the
	// first read, then by the reader; read by the handler.
	queuedSince atomic.Pointer[time.Time]
	// requestCount is the number of requests whose head has arrived. Written by the state hook, read for the log.
	requestCount atomic.Int64
	// hasResponded is whether a request has been answered. Written by the state hook, read by the reader and the table.
	hasResponded atomic.Bool
	// closeReason is the first reason that anyone noted; nil: none yet. Read for the log.
	closeReason atomic.Pointer[closeReason]
	// openRequestID is the client's id of the request in flight; nil: none is. Set by the handler, cleared by the state
	// hook, read for the log.
	openRequestID atomic.Pointer[string]

	// pipelined is closed once more than one request has arrived at a time; nil: not watched. Closed by the reader, by
	// way of markCloseUndetected; received from by the handler.
	closeUndetected     chan struct{}
	closeUndetectedOnce sync.Once

	// foundEmpty is whether net/http's last background read found nothing to read. Only the reader uses it.
	foundEmpty bool

	// idleSince is when the connection was accepted, last became idle, or could not be evicted since a request was arriving.
	// Guarded by connTable.mutex.
	idleSince time.Time
	// overLimit is whether the connection was accepted over the limit with none to evict for it. Set before the first read.
	overLimit bool
}

// newClientConn wraps an accepted connection, from which nothing has been read.
func newClientConn(conn net.Conn) *clientConn {
	c := &clientConn{Conn: conn, idleSince: time.Now(), closeUndetected: make(chan struct{})}
	if raw, ok := conn.(syscall.Conn); ok {
		c.rawConn, _ = raw.SyscallConn()
	}
	return c
}

// Read implements net.Conn.
func (c *clientConn) Read(buffer []byte) (int, error) {
	// net/http reads on after a response only once it has used up what it had read ahead. Until then a complete request may
	// wait in its buffer, and would be lost if the connection counted as idle and were closed.
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
	isBackgroundRead := len(buffer) == backgroundReadSize
	switch {
	case errors.Is(waitError, os.ErrDeadlineExceeded) && len(buffer) > backgroundReadSize:
		n, err = c.readAtDeadline(buffer, waitError)
	case waitError != nil:
		n, err = 0, waitError
	}
	if isBackgroundRead {
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
// It guards against closing a connection over a request that arrived in time: the process may have been held up past the
// deadline, and the client would see its connection end without a response. The guard holds since the check for bytes and
// the close are one step.
func (c *clientConn) readAtDeadline(buffer []byte, deadlineError error) (n int, err error) {
	if c.state.Load() == stateIdle {
		reason := c.readFailureReason(deadlineError)
		c.readMutex.Lock()
		closed := c.closeIfUnread(stateIdle)
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
// further request. A byte that was there at once may have arrived along with the request in flight.
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
// It guards against closing a connection as idle over a request that has just been read from its socket: the request would
// have no response. The guard holds since the read and the change of state are one step under readMutex.
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
	if n == 1 && len(buffer) == backgroundReadSize && c.closeUndetected != nil {
		// With this byte in hand net/http stops its background reads, and the handler has to detect a close by itself.
		c.closeUndetectedOnce.Do(func() { close(c.closeUndetected) })
	}
	return n, nil
}

// noteBytesRead records that a read brought n bytes, which may be none.
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

// CloseWrite lets net/http close the write side alone. Otherwise the reset that follows bytes which were never read could
// take the response from the client.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// closeIfUnread shuts the connection down and marks it closed if it is in the expected state and nothing is unread on it;
// a rejected connection is marked whatever is unread. The caller holds readMutex, and still has to call Conn.Close.
func (c *clientConn) closeIfUnread(observed connState) (closed bool) {
	markClosed := func() bool { return c.state.CompareAndSwap(observed, stateClosed) }
	switch observed {
	case stateMalformed:
		return markClosed()
	case stateReceiving:
		return socket.ShutdownIfQuiet(c.Conn, evictionResponse, markClosed)
	default:
		return socket.ShutdownIfQuiet(c.Conn, "", markClosed)
	}
}

// peerClosed reports whether the client has closed the connection, also if bytes from before are still unread.
func (c *clientConn) peerClosed() bool {
	return c.Conn != nil && socket.IsPeerClosed(c.Conn)
}

// isCloseUndetected reports whether more than one request has arrived at a time.
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
		c.state.CompareAndSwap(stateResponded, stateInFlight) || // all of it was read ahead, with the request before it
		c.state.CompareAndSwap(stateIdle, stateInFlight) // its last bytes were read ahead
	if !claimed {
		panic(http.ErrAbortHandler)
	}
}

// loggedRequestID is the client's id of the request in flight; empty: none is.
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

// readFailureReason is the reason that an error of Read gives for the connection's end.
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

// receivedAt is when the client's timeout starts to run: when the last byte of the request so far was read, which may be
// well before a busy process runs its handler. For a request that may have waited unread, it is the earliest time at which
// it may have arrived.
func (c *clientConn) earliestArrival() time.Time {
	if queuedSince := c.queuedSince.Load(); queuedSince != nil {
		return *queuedSince
	}
	return c.lastReadTime()
}

// lastReadTime is when a read last brought bytes, and the present time if none did.
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

// connFromContext is the connection that a request came on. A request that came on none, as from net/http/httptest, gets
// a zero one.
func connFromContext(ctx context.Context) *clientConn {
	if conn, ok := ctx.Value(connContextKey{}).(*clientConn); ok {
		return conn
	}
	return &clientConn{}
}
