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

// clientConn is a client's connection. It gives net/http the bytes of one request at a time and keeps those that follow, so
// that it knows whether anything of a further request has been read. It records when requests arrived and why the connection
// ended. Its reads and its close exclude each other, so that no request that has just been read is closed over.
//
// One goroutine reads at a time: the one that serves the connection, or net/http's background read while a request is in
// flight, by which net/http detects that the client closes. "Reader" below is either; "state hook" is
// connTable.onConnState, which runs while nobody reads.
type clientConn struct {
	net.Conn
	// rawConn is nil where the connection offers none, in which case reads go through Conn.
	rawConn syscall.RawConn

	// readMutex is held while available bytes are read, and while it is decided whether to close the connection. It is locked
	// after connTable.mutex, and is never held during Conn.Close, which waits for a read that has begun.
	readMutex sync.Mutex

	// state is written by the reader, the handler, the state hook and the table, by the transitions of connState.
	state atomicConnState
	// lastReadAt is when bytes were last read, or when net/http went on to bytes that had been read ahead; nil: none were.
	// Written by the reader and the state hook, read by the table.
	lastReadAt atomic.Pointer[time.Time]
	// receivingSince is when the current request began to be read, or when net/http could begin with it; nil: none has been.
	// Written by the reader and the state hook, read by the table.
	receivingSince atomic.Pointer[time.Time]
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

	// What follows, until idleSince, belongs to the reader, and to the state hook between two reads.

	// scanner has taken the bytes that net/http was given.
	scanner requestScanner
	// readAhead are bytes of further requests that have been read and not given to net/http, and readAheadArrival is when
	// they arrived.
	readAhead        []byte
	readAheadArrival arrival
	// awaitsResponse is whether net/http was given all of a request that has no response yet. It reads in the background then.
	awaitsResponse bool
	// arrivedAt is when the last byte of the request that net/http was given had arrived at this machine, at the earliest.
	arrivedAt time.Time
	// unreadSince is when bytes that are unread now can have arrived at the earliest; zero: unknown.
	unreadSince time.Time

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

// noteBytesRead records that n bytes have been read, which may be none.
func (c *clientConn) noteBytesRead(n int) {
	if n <= 0 {
		return
	}
	now := time.Now()
	c.lastReadAt.Store(&now)
	if c.state.Load() == stateIdle {
		c.receivingSince.Store(&now)
		c.state.CompareAndSwap(stateIdle, stateReceiving)
	}
}

// noteResponded records that the handler has written the response of the request in flight.
func (c *clientConn) noteResponded() {
	c.state.CompareAndSwap(stateInFlight, stateResponded)
}

// beginNextRequest records that net/http has finished with a request and goes on to the next. Nobody reads meanwhile.
func (c *clientConn) beginNextRequest() {
	next := stateIdle
	if len(c.readAhead) > 0 || !c.scanner.complete {
		now := time.Now()
		c.lastReadAt.Store(&now)
		c.receivingSince.Store(&now)
		next = stateReceiving
	}
	c.awaitsResponse = false
	// From the last two if net/http has responded by itself.
	for _, from := range []connState{stateResponded, stateInFlight, stateReceived, stateReceiving} {
		if c.state.CompareAndSwap(from, next) {
			return
		}
	}
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

// unservedResponse ends a connection whose client may find no response otherwise: see closeIfNothingUnread. Nothing of a request
// on it is forwarded.
const unservedResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// closeIfNothingUnread shuts the connection down and marks it closed if it is still in its observed state and nothing is unread on
// it. The caller holds readMutex, and still has to call Conn.Close.
//
// What the client gets depends on what it may expect, since its next request may cross the close unseen:
//
//   - after a response, nothing: a client sends a request that finds its connection closed once more, on a new one;
//   - on a new connection, unservedResponse: its first request counts as accepted, and is not sent again by itself;
//   - after part of a request, or one that no handler has claimed, unservedResponse, for the same reason;
//   - after a malformed request, nothing: it has its response, which announces the close. The connection is marked closed
//     whatever is unread then.
func (c *clientConn) closeIfNothingUnread(observed connState) (closed bool) {
	markClosed := func() bool { return c.state.CompareAndSwap(observed, stateClosed) }
	if observed == stateMalformed {
		return markClosed()
	}
	if observed == stateIdle && c.hasResponded.Load() {
		return socket.ShutdownIfIdle(c.Conn, "", markClosed)
	}
	return socket.ShutdownIfIdle(c.Conn, unservedResponse, markClosed)
}

// peerClosed reports whether the client has closed the connection or its write side, also if bytes from before are unread.
func (c *clientConn) peerClosed() bool {
	return c.Conn != nil && socket.ClosedByPeer(c.Conn)
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
	claimed := c.state.CompareAndSwap(stateReceived, stateInFlight) ||
		c.state.CompareAndSwap(stateReceiving, stateInFlight) // it is malformed, and its rest has not been read
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

// requestArrival returns when the client's timeout starts to run: when the last byte of the request that net/http was given
// had arrived, at the earliest. It is for the goroutine that serves the connection.
func (c *clientConn) requestArrival() time.Time {
	if c.arrivedAt.IsZero() {
		return time.Now()
	}
	return c.arrivedAt
}

// lastReadTime returns when bytes were last read, and the present time if none were.
func (c *clientConn) lastReadTime() time.Time {
	if lastReadAt := c.lastReadAt.Load(); lastReadAt != nil {
		return *lastReadAt
	}
	return time.Now()
}

// receivingFor returns how long ago the current request began to be read.
func (c *clientConn) receivingFor() time.Duration {
	if receivingSince := c.receivingSince.Load(); receivingSince != nil {
		return time.Since(*receivingSince)
	}
	return 0
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
	conn := &clientConn{}
	conn.state.Store(stateReceived)
	return conn
}
