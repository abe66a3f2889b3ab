package upstream

import (
	"context"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/scheduler"
)

// Dialer opens connections of one protocol.
type Dialer interface {
	// Dial connects to a host:port address. It returns an error once the context is done.
	Dial(ctx context.Context, addr string) (Conn, error)
}

// Conn is a connection to a target. It carries one attempt at a time.
type Conn interface {
	// RoundTrip sends an attempt and waits for its result. It calls mayStart right before the first byte that could make the
	// target start the request. If mayStart returns false, it sends nothing and the status is NotSent: while the connection
	// was being established, the target may have stopped serving, the client may have closed its connection, or SendBy may
	// have passed. If the client closes its connection or SendBy passes while a part of the request is written, the rest is not
	// sent, and the status is NotSent too. A call of Close from another goroutine ends the round trip early.
	//
	// The status is ConnectFailed if the attempt was not sent completely, and so cannot have executed, because a write
	// failed or timed out; a failed dial has the same status. The status is ConnectionReset if the attempt was sent
	// completely, and before its deadline the connection failed or the response turned out to be unusable.
	RoundTrip(attempt dispatcher.Attempt, mayStart func() bool) RoundTripResult
	// IsIdle reports whether a connection without an attempt is still open and has no unread bytes.
	IsIdle() bool
	// Close closes the connection. What has not been sent by then is never sent.
	Close() error
}

// RoundTripResult is the result of an attempt on a connection. It also says whether the connection can be used again.
type RoundTripResult struct {
	// The fields RequestID, Number and Target of AttemptResult are not set.
	dispatcher.AttemptResult
	// CloseReason is why the connection must be closed, or ReasonNone if it can carry another attempt.
	CloseReason CloseReason
	// WriteTook is the time from the beginning of the last check, mayStart, until the request was written; 0 if it was not.
	WriteTook time.Duration
}

// Reusable reports whether the connection can carry another attempt.
func (r *RoundTripResult) Reusable() bool { return r.CloseReason == ReasonNone }

// NoResponse returns the result of an attempt that ended without a response.
func NoResponse(status scheduler.AttemptStatus, reason CloseReason) RoundTripResult {
	return RoundTripResult{AttemptResult: dispatcher.AttemptResult{Status: status}, CloseReason: reason}
}
