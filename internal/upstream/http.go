package upstream

import (
	"context"
	"net"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/httpmsg"
	"dapplegate/internal/memorybudget"
	"dapplegate/internal/socket"
	"dapplegate/scheduler"
)

// HTTPDialer opens HTTP/1.1 connections, which share one memory budget for the response bodies that they read.
type HTTPDialer struct {
	budget *memorybudget.Budget
}

// NewHTTPDialer returns a dialer. The response bodies that its connections are reading at the same time are limited to
// maxBufferedBytes in total, but the limit is at least two bodies of the largest size.
func NewHTTPDialer(maxBufferedBytes int64) HTTPDialer {
	return HTTPDialer{memorybudget.New(max(maxBufferedBytes, 2*maxBodyBytes))}
}

// Dial implements Dialer.
func (d HTTPDialer) Dial(ctx context.Context, addr string) (Conn, error) {
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &httpConn{Conn: conn, host: addr, budget: d.budget}, nil
}

// httpConn is one HTTP/1.1 connection to a target.
type httpConn struct {
	net.Conn
	host   string // value of the Host header
	budget *memorybudget.Budget
}

// RoundTrip implements Conn. The status depends on how much was written: before the last byte of the request is written, the
// target cannot have started the attempt; afterwards, the attempt may have executed. The attempt's deadline applies to the
// write and to the read of head and body.
func (c *httpConn) RoundTrip(attempt dispatcher.Attempt, mayStart func() bool) RoundTripResult {
	// These fail only on a closed connection, and then the write fails too.
	_ = c.SetReadDeadline(attempt.Deadline)
	_ = c.SetWriteDeadline(sendDeadline(attempt))
	request := attempt.Payload.(*httpmsg.Request)
	message := encodeRequest(request, c.host, time.Until(attempt.Deadline))
	checkedAt := time.Now()
	written, err := socket.WriteWhile(c.Conn, message, MayWrite(attempt, mayStart))
	if written < len(message) {
		return NotWritten(attempt, written, err)
	}
	writtenAt := time.Now()
	if !c.awaitSent(attempt) {
		return NoResponse(scheduler.DeadlineExceeded, ReasonUnsentAtSendBy) // the last byte may still leave before the close
	}
	result := c.awaitResponse(request.Method, attempt.Deadline)
	result.WriteTook = writtenAt.Sub(checkedAt)
	return result
}

// awaitResponse reads the response to a request of the given method that has been written, until the deadline.
func (c *httpConn) awaitResponse(method string, deadline time.Time) RoundTripResult {
	reader := newResponseReader(c.Conn, deadline, c.budget)
	resp, err := reader.read(method)
	hasExtraData := reader.buffer.Buffered() > 0 || socket.UnreadBytes(c.Conn) > 0
	if err == nil && hasExtraData {
		err = reader.checkExtraData(resp)
	}
	if err != nil {
		return reader.failureResult(err)
	}
	return RoundTripResult{
		AttemptResult: resp.attemptResult(),
		CloseReason:   c.prepareForReuse(resp, hasExtraData),
	}
}

// prepareForReuse prepares the connection for the next attempt, or returns why the connection must be closed.
func (c *httpConn) prepareForReuse(resp *response, hasExtraData bool) CloseReason {
	if resp.closeAfter || hasExtraData {
		return ReasonConnectionClose
	}
	// If the deadline stayed set, a read on the idle connection would fail once it had passed. IsIdle ignores deadlines,
	// but with a check that reads, the pool would close a healthy connection.
	if c.SetDeadline(time.Time{}) != nil {
		return ReasonClosed
	}
	return ReasonNone
}

// Close implements Conn. An orderly close would send what waits in the send buffer, however late the target takes it.
func (c *httpConn) Close() error {
	socket.DiscardUnsentAtClose(c.Conn)
	return c.Conn.Close()
}

// IsIdle implements Conn.
func (c *httpConn) IsIdle() bool { return socket.IsOpenAndIdle(c.Conn) }
