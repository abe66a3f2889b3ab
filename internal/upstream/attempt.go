package upstream

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/scheduler"
)

// lateWriteThreshold is how long the last check and the write of an attempt may take together before that is logged.
const lateWriteThreshold = 20 * time.Millisecond

// inFlightAttempt is an attempt that has started and not ended.
type inFlightAttempt struct {
	dispatcher.Attempt
	cancelContext context.CancelFunc
	// leftBackgroundDial is true if this attempt's dial goes on in the background. The attempt's goroutine sets it; the
	// actor reads it after the attempt has ended.
	leftBackgroundDial bool

	mu        sync.Mutex
	conn      Conn // nil until the attempt has a connection
	cancelled bool
}

// cancel ends the attempt early by failing whatever it is waiting for.
func (a *inFlightAttempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	a.cancelContext()
	if a.conn != nil {
		_ = a.conn.Close() // the attempt's read or write fails, which ends the attempt
	}
}

// attach sets the connection for cancel to close. It returns false if the attempt has already been cancelled.
func (a *inFlightAttempt) attach(conn Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	return !a.cancelled
}

func (a *inFlightAttempt) isCancelled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancelled
}

// clientGone reports whether the client has closed its connection. The dispatcher also cancels the attempt in that case, but
// the actor may not have handled the message yet.
func (a *inFlightAttempt) clientGone() bool { return a.ClientClosed != nil && a.ClientClosed() }

// runAttempt gets a connection, sends the attempt on it and reports the result. A connection that cannot be used again is
// closed before the report, so that nothing of the attempt is in flight once the scheduler has the result.
func (t *target) runAttempt(ctx context.Context, a *inFlightAttempt, idle *pooledConn) {
	result := NoResponse(scheduler.ConnectFailed, ReasonConnectFailed)
	uses := 0
	conn := t.connect(ctx, a, idle)
	if conn != nil {
		result = t.exchange(ctx, a, conn)
		uses = conn.uses
	}
	if conn != nil && !result.Reusable() {
		conn.closeIgnoringError()
		conn = nil
		t.log.closed(uses, result.CloseReason, a.ClientRequestID)
	}
	if result.Status == scheduler.ConnectFailed && a.isCancelled() {
		// The client closed its connection or a shutdown began; neither says anything about the target.
		result.Status = scheduler.NotSent
	}
	result.RequestID = a.RequestID
	result.Number = a.Number
	result.Target = t.id
	// The pool gets the connection before the scheduler gets the result, so that the next attempt finds the connection
	// there.
	t.mailbox.Put(attemptEnded{attempt: a, conn: conn})
	t.reportResult(result.AttemptResult)
}

// connect returns the idle connection after its quarantine. If there is none, or it is no longer usable, connect dials a new
// one. It returns nil if no connection is established in time.
func (t *target) connect(ctx context.Context, a *inFlightAttempt, idle *pooledConn) *pooledConn {
	if idle != nil && t.awaitQuarantine(ctx, idle) {
		return idle
	}
	return t.dial(ctx, a)
}

// awaitQuarantine waits for the end of the connection's quarantine, or until the context is done. It reports whether the
// connection can be used. If the target has closed the connection or sent something by the end of the quarantine,
// awaitQuarantine closes it and returns false. It returns true if the context is done first: the connection goes back to the
// pool, and exchange ends the attempt.
func (t *target) awaitQuarantine(ctx context.Context, c *pooledConn) bool {
	if t.quarantine.remaining(c) <= 0 {
		return true
	}
	for remaining := t.quarantine.remaining(c); remaining > 0; remaining = t.quarantine.remaining(c) { // it may become longer
		select {
		case <-ctx.Done():
			return true
		case <-time.After(remaining):
		}
	}
	if c.IsIdle() {
		return true
	}
	reason := t.quarantine.notIdleReason(c, t.log)
	c.closeIgnoringError()
	t.log.closed(c.uses, reason, "")
	return false
}

// exchange sends the attempt on a connection and waits for the result. If the attempt has already been cancelled, its
// deadline has passed or its client has closed, nothing is sent, and the connection stays usable.
func (t *target) exchange(ctx context.Context, a *inFlightAttempt, c *pooledConn) RoundTripResult {
	if !a.attach(c.Conn) || ctx.Err() != nil || a.clientGone() {
		return NoResponse(scheduler.NotSent, ReasonNone)
	}
	c.uses++
	t.options.Logger.LogAttrs(ctx, slog.LevelDebug, "attempt begins",
		slog.String("request", a.ClientRequestID),
		slog.Int("attempt", a.Number),
		slog.String("target", t.id),
		slog.Int("conn_attempts", c.uses),
		slog.Duration("idle", c.idleTime()))
	result := c.RoundTrip(a.Attempt, func() bool { return t.mayStart(a, c) })
	if result.WriteTook >= lateWriteThreshold {
		t.log.writtenLate(a, result.WriteTook)
	}
	if !a.isCancelled() {
		return result
	}
	return cancelledResult(result)
}

// cancelledResult returns the result of an attempt that was cancelled during its round trip, which closed its connection. An
// attempt that succeeded before it was cancelled stays a success. An attempt that was not sent completely keeps its status
// too, since it cannot have executed.
func cancelledResult(result RoundTripResult) RoundTripResult {
	switch result.Status {
	case scheduler.Succeeded, scheduler.NotSent, scheduler.ConnectFailed:
		if result.Reusable() {
			result.CloseReason = ReasonClosed
		}
	default:
		result.Status = scheduler.Cancelled
		result.CloseReason = ReasonCancelled
	}
	return result
}

// mayStart is the last check before the first byte of an attempt. It returns false, and the attempt ends as NotSent, for one
// of four reasons: the target is no longer serving; SendBy has passed; the connection was closed or has unread bytes, which
// cannot be the response; the client has closed its connection. The last two can change at any time, so they come last.
func (t *target) mayStart(a *inFlightAttempt, c *pooledConn) bool {
	if !a.SendBy.IsZero() && !time.Now().Before(a.SendBy) {
		return false
	}
	if !t.isServing() {
		return false
	}
	if !c.IsIdle() {
		t.quarantine.notIdleReason(c, t.log)
		return false
	}
	return !a.clientGone()
}
