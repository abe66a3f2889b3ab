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

	"dapplegate/internal/runqueue"
	"dapplegate/internal/socket"
)

// clientConn is a client connection. It passes the bytes of one request at a time to net/http and keeps the bytes that
// follow, so that it knows whether any part of a further request has been read. It records when requests arrived and why
// the connection ended. Reading and closing exclude each other, so that the connection is not closed when a request has
// just been read.
//
// One goroutine reads at a time: the one that serves the connection or, while a request is in flight, net/http's
// background read, which detects when the client closes. In the comments below "reader" is either of them, and "state
// hook" is connTable.onConnState, which runs while no goroutine reads.
type clientConn struct {
	net.Conn
	// rawConn is nil if the connection does not provide one; reads then go through Conn.
	rawConn syscall.RawConn
	// turn is the connection's place in the server's run queue. Only the goroutine that serves the connection waits with it. It
	// is nil if the connection does not wait.
	turn *runqueue.Waiter

	// readMu is held while available bytes are read, and during the check whether to close the connection. It is
	// locked after connTable.mu. It is never held during Conn.Close, which waits for a read that has begun.
	readMu sync.Mutex

	// state is written by the reader, the handler, the state hook and the table: see connState for the transitions.
	state atomicConnState
	// lastReadAt is when bytes were last read, or when net/http proceeded to bytes that had been read ahead; nil if no
	// bytes were read. Written by the reader and the state hook, read by the table.
	lastReadAt atomic.Pointer[time.Time]
	// receivingSince is when the first bytes of the current request were read, or when net/http could begin with them if
	// they had been read ahead; nil if no request has begun. Written by the reader and the state hook, read by the table.
	receivingSince atomic.Pointer[time.Time]
	// requestCount is how often net/http has reported the connection as active: once for each head that was read, and for
	// most heads that were incomplete or malformed. Written by the state hook, read for the log.
	requestCount atomic.Int64
	// hasResponded is whether net/http has written a response and kept the connection. Written by the state hook, read by
	// the reader and the table.
	hasResponded atomic.Bool
	// closeReason is the first reason that was recorded; nil if there is none yet. Written by any goroutine, read for the log.
	closeReason atomic.Pointer[closeReason]
	// readError is the error that recordReadError has recorded; nil if there is none. Written by the reader, read for the
	// log.
	readError atomic.Pointer[error]
	// unreadAtClose is how many bytes were unread when the table closed the connection. Written by the table, read for the
	// log.
	unreadAtClose atomic.Int64
	// inFlightRequestID is the client's ID of the request in flight; nil if no request is in flight. Set by the handler,
	// cleared by the state hook, read for the log.
	inFlightRequestID atomic.Pointer[string]

	// closeHidden is whether so much is unread that the client's close cannot be detected: see readAllAvailable. Written by the
	// reader and by the goroutine that serves the connection, read by any goroutine.
	closeHidden atomic.Bool
	// backgroundReadEnded is whether the background read of the current request has received a byte. From then on the goroutine
	// that serves the connection is the reader. Written by the reader and the state hook.
	backgroundReadEnded atomic.Bool
	// closeDetectionLost is closed when net/http can no longer detect that the client closes, because its background read
	// received the first byte of a further request; nil if the connection is not monitored. The reader closes the channel,
	// through closeDetectionLostOnce; the handler receives from it.
	closeDetectionLost     chan struct{}
	closeDetectionLostOnce sync.Once

	// readAbortedAt is when net/http last ended a read by a deadline in the past; nil if it never did. Written by the goroutine
	// that serves the connection, read by the reader.
	readAbortedAt atomic.Pointer[time.Time]

	// The fields from here to unreadSince belong to the reader, and to the state hook between two reads. The goroutine that serves
	// the connection is the reader as soon as backgroundReadEnded is set.

	// scanner has scanned the bytes that were passed to net/http.
	scanner   requestScanner
	readAhead readAhead
	// responsePending is whether net/http has all of a request and has not responded yet. Meanwhile it reads in the
	// background.
	responsePending bool
	// requestArrivedAt is when the last byte of the request that was passed to net/http arrived at this machine: the
	// earliest possible time, where the exact time is not known.
	requestArrivedAt time.Time
	// readStartedAt is when the last read of available bytes began.
	readStartedAt time.Time
	// unreadSince is the earliest time at which bytes that are unread now can have arrived; zero if that is unknown.
	unreadSince time.Time

	// idleSince is when the connection was accepted, when it last became idle, or when it could not be evicted because a
	// request was arriving. Guarded by connTable.mu.
	idleSince time.Time
	// tableIndex is the connection's index in connTable.open, or notInTable. Guarded by connTable.mu.
	tableIndex int
	// acceptedAt is when the connection was accepted, and acceptTook is how long that Accept call took. Set before the
	// first read.
	acceptedAt time.Time
	acceptTook time.Duration
	// overLimit is whether the connection was accepted over the limit because no other could be evicted. Set before the
	// first read.
	overLimit bool
}

// newClientConn wraps an accepted connection, from which nothing has been read.
func newClientConn(conn net.Conn) *clientConn {
	now := time.Now()
	c := &clientConn{Conn: conn, idleSince: now, acceptedAt: now, tableIndex: notInTable, closeDetectionLost: make(chan struct{})}
	if raw, ok := conn.(syscall.Conn); ok {
		c.rawConn, _ = raw.SyscallConn()
	}
	return c
}

// recordBytesRead records that n bytes have been read; n may be zero.
func (c *clientConn) recordBytesRead(n int) {
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

// recordResponded records that the handler has written the response to the request in flight.
func (c *clientConn) recordResponded() {
	c.state.CompareAndSwap(stateInFlight, stateResponded)
}

// beginNextRequest records that net/http has finished a request and proceeds to the next. No goroutine reads meanwhile.
func (c *clientConn) beginNextRequest() {
	next := stateIdle
	c.backgroundReadEnded.Store(false)
	if len(c.readAhead.bytes) > 0 || !c.scanner.complete {
		now := time.Now()
		c.lastReadAt.Store(&now)
		c.receivingSince.Store(&now)
		next = stateReceiving
	}
	c.responsePending = false
	// The state is received or receiving if net/http has responded without calling the handler.
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
		c.recordCloseReason(reasonWriteFailed)
	}
	return n, err
}

// CloseWrite lets net/http close only the write side after a response. Closing a connection with unread bytes would send
// a reset, after which the client may not be able to read the response.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// These responses are sent before a close to a client that may otherwise get no response: see closeIfNothingUnread. No
// request that they answer is forwarded.
const (
	response503        = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + response503Rest
	response503NoDelay = "HTTP/1.1 503 Service Unavailable\r\n" + response503Rest // a retry may follow at once
	response503Rest    = "Content-Length: 0\r\nConnection: close\r\n\r\n"
)

// closeIfNothingUnread shuts the connection down and marks it closed if it is still in the observed state and nothing is
// unread on it. The caller holds readMu, and still has to call Conn.Close.
//
// What the client is sent depends on what it may expect, because its next request may already be on its way, or may arrive
// between the check and the shutdown:
//
//   - After a response: response503NoDelay, which answers a request that arrives before the shutdown. A client that finds
//     its connection closed sends its request once more, on a new connection.
//   - On a new connection: response503. The client's first request counts as accepted, and the client does not send it
//     again by itself.
//   - After part of a request, or a request that no handler has claimed: response503, for the same reason.
//   - After a malformed request: nothing. The client has its response, which announces the close. The connection is only
//     marked closed here, even if bytes are unread.
func (c *clientConn) closeIfNothingUnread(observed connState) (closed bool) {
	markClosed := func() bool { return c.state.CompareAndSwap(observed, stateClosed) }
	if observed == stateMalformed {
		return markClosed()
	}
	if observed == stateIdle && c.hasResponded.Load() {
		return socket.ShutdownIfIdle(c.Conn, response503NoDelay, markClosed)
	}
	return socket.ShutdownIfIdle(c.Conn, response503, markClosed)
}

// clientClosed reports whether the client has closed the connection or its write side, even if earlier bytes are still
// unread.
func (c *clientConn) clientClosed() bool {
	return c.Conn != nil && socket.ClosedByPeer(c.Conn)
}

// claimRequest marks the request that net/http has passed to the handler as in flight. It aborts the handler if the
// connection was closed meanwhile. A request that is malformed or does not go to the dispatcher is claimed even if not all
// of it has been read.
func (c *clientConn) claimRequest() {
	claimed := c.state.CompareAndSwap(stateReceived, stateInFlight) ||
		c.state.CompareAndSwap(stateReceiving, stateInFlight)
	if !claimed {
		panic(http.ErrAbortHandler)
	}
}

// loggedRequestID returns the client's ID of the request in flight, or "" if there is none.
func (c *clientConn) loggedRequestID() string {
	if id := c.inFlightRequestID.Load(); id != nil {
		return *id
	}
	return ""
}

// recordCloseReason records why the connection ends, unless a reason has already been recorded.
func (c *clientConn) recordCloseReason(reason closeReason) {
	if reason != reasonNone {
		c.closeReason.CompareAndSwap(nil, &reason)
	}
}

// recordReadError records the first error of Read for the log, except for ordinary ones: the client or this side has closed
// the connection, a deadline has passed, or the scanner has rejected the head.
func (c *clientConn) recordReadError(err error) {
	for _, ordinary := range []error{io.EOF, os.ErrDeadlineExceeded, net.ErrClosed, errTooManyFields, errUncertainEnd} {
		if errors.Is(err, ordinary) {
			return
		}
	}
	c.readError.CompareAndSwap(nil, &err)
}

// readFailureReason returns the reason that an error of Read gives for the end of the connection.
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
	// net/http ends its own background reads with a deadline in the past, which does not end the connection. A connection
	// stays idle for all of net/http's idle timeout only during shutdown.
	return reasonNone
}

// requestArrival returns the time from which the client's timeout counts: see requestArrivedAt. Only the goroutine that
// serves the connection may call it.
func (c *clientConn) requestArrival() time.Time {
	if c.requestArrivedAt.IsZero() {
		return time.Now()
	}
	return c.requestArrivedAt
}

// lastReadTime returns when bytes were last read, or the current time if none were.
func (c *clientConn) lastReadTime() time.Time {
	if lastReadAt := c.lastReadAt.Load(); lastReadAt != nil {
		return *lastReadAt
	}
	return time.Now()
}

// receivingFor returns how long ago the first bytes of the current request were read, or 0 if none were.
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

// connFromContext returns the connection of a request. A request without a connection, as from net/http/httptest, gets a
// placeholder.
func connFromContext(ctx context.Context) *clientConn {
	if conn, ok := ctx.Value(connContextKey{}).(*clientConn); ok {
		return conn
	}
	conn := &clientConn{}
	conn.state.Store(stateReceived)
	return conn
}
