package upstream

import (
	"context"

	"dapplegate/internal/dispatcher"
	"dapplegate/scheduler"
)

// Dialer opens connections of one protocol.
type Dialer interface {
	// Dial connects to a host:port address. It ends with an error when the context does.
	Dial(ctx context.Context, addr string) (Conn, error)
}

// Conn is a connection to a target. It carries one attempt at a time.
type Conn interface {
	// RoundTrip carries an attempt to its end. It calls mayStart right before the first byte that could start anything at the
	// target, and sends nothing if that returns false: the target's state, the client and the clock may have changed while the
	// connection was being made. Close, from another goroutine, ends it early.
	//
	// ConnectFailed is the status of an attempt that was not sent completely, and so cannot have executed: besides a failed
	// dial and a full pool this is a write that failed or timed out. ConnectionReset is that of an attempt which was sent
	// completely and got no usable response before its deadline.
	RoundTrip(attempt dispatcher.Attempt, mayStart func() bool) RoundTripResult
	// IsIdle reports whether an unused connection is still open and nothing has arrived on it.
	IsIdle() bool
	Close() error
}

// RoundTripResult is how an attempt ended on a connection, and what becomes of the connection.
type RoundTripResult struct {
	// AttemptResult has neither RequestID, Number nor Target set.
	dispatcher.AttemptResult
	// CloseReason says why the connection must be closed; ReasonNone if it can carry another attempt.
	CloseReason CloseReason
}

// Reusable reports whether the connection can carry another attempt.
func (r *RoundTripResult) Reusable() bool { return r.CloseReason == ReasonNone }

// NoResponse is the result of an attempt that ended without a response.
func NoResponse(status scheduler.AttemptStatus, reason CloseReason) RoundTripResult {
	return RoundTripResult{AttemptResult: dispatcher.AttemptResult{Status: status}, CloseReason: reason}
}
