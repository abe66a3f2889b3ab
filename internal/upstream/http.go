package upstream

import (
	"context"
	"net"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/httpmsg"
	"dapplegate/internal/socket"
	"dapplegate/scheduler"
)

// HTTPDialer opens HTTP/1.1 connections. All of them share one memory budget for the bodies that they read.
type HTTPDialer struct {
	budget *memoryBudget
}

// NewHTTPDialer returns a dialer whose connections buffer at most maxBufferedBytes of response bodies that are being read at
// one time, and at least two bodies of the largest size.
func NewHTTPDialer(maxBufferedBytes int64) HTTPDialer {
	return HTTPDialer{newMemoryBudget(max(maxBufferedBytes, 2*maxBodyBytes))}
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
	host   string // of the Host header
	budget *memoryBudget
}

// RoundTrip implements Conn. How many bytes were written decides the status: short of the last one the target
// cannot have started, after it the attempt may have executed. Write, head and body are all bounded by the
// attempt's deadline.
func (c *httpConn) RoundTrip(attempt dispatcher.Attempt, mayStart func() bool) RoundTripResult {
	// SetDeadline fails only on a closed connection, on which the write fails too.
	_ = c.SetDeadline(attempt.Deadline)
	request := attempt.Payload.(*httpmsg.Request)
	message := encodeRequest(request, c.host, time.Until(attempt.Deadline))
	if !mayStart() {
		return NoResponse(scheduler.NotSent, ReasonNotSent)
	}
	if n, err := c.Write(message); n < len(message) {
		return NoResponse(scheduler.ConnectFailed, WriteErrorReason(err))
	}
	reader := newResponseReader(c.Conn, attempt.Deadline, c.budget)
	resp, err := reader.read(request.Method)
	if err != nil {
		return reader.failure(err)
	}
	return RoundTripResult{
		AttemptResult: resp.attemptResult(),
		CloseReason:   c.afterResponse(resp, reader.hasExcess()),
	}
}

// afterResponse makes the connection ready for the next attempt, or returns why there can be none.
func (c *httpConn) afterResponse(resp *response, excess bool) CloseReason {
	if resp.closeAfter || excess {
		return ReasonConnectionClose
	}
	// A deadline left on the connection would make IsIdle fail once it has passed, and a healthy connection
	// would be closed for it.
	if c.SetDeadline(time.Time{}) != nil {
		return ReasonClosed
	}
	return ReasonNone
}

// IsIdle implements Conn.
func (c *httpConn) IsIdle() bool { return socket.IsOpenAndIdle(c.Conn) }
