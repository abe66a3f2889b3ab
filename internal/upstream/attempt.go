package upstream

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/scheduler"
)

// backgroundDialFactor is how many times Options.DialTimeout a dial may take in all where it goes on in the background.
const backgroundDialFactor = 8

// inFlightAttempt is an attempt between its start and its result.
type inFlightAttempt struct {
	dispatcher.Attempt
	stop context.CancelFunc
	// leftBackgroundDial says that this attempt's dial goes on in the background. The attempt sets it, the actor reads it once
	// the attempt has ended.
	leftBackgroundDial bool

	mu        sync.Mutex
	conn      Conn // nil until the attempt has one
	cancelled bool
}

// cancel ends the attempt early: whatever it waits for fails at once.
func (a *inFlightAttempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	a.stop()
	if a.conn != nil {
		_ = a.conn.Close() // the attempt's read or write fails, and it ends by itself
	}
}

// attach lets cancel close the connection. It returns false if the attempt was cancelled before.
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

// clientGone reports whether the client has closed its connection. The dispatcher cancels the attempt for that too, but its
// message may not have been handled yet.
func (a *inFlightAttempt) clientGone() bool { return a.ClientGone != nil && a.ClientGone() }

// runAttempt connects, carries out the exchange and reports the result. A connection that cannot be used again is closed
// first: once the scheduler has the result, nothing of the attempt is in flight.
func (t *target) runAttempt(ctx context.Context, a *inFlightAttempt, idle *pooledConn) {
	result := NoResponse(scheduler.ConnectFailed, ReasonConnectFailed)
	uses := 0
	conn := t.connect(ctx, a, idle)
	if conn != nil {
		result = t.exchange(ctx, a, conn)
		uses = conn.uses
	}
	if conn != nil && !result.Reusable() {
		conn.abandon()
		conn = nil
		t.log.closed(uses, result.CloseReason, a.ClientRequestID)
	}
	if result.Status == scheduler.ConnectFailed && a.isCancelled() {
		result.Status = scheduler.NotSent // by the client's close or a shutdown; neither says anything about the target
	}
	result.RequestID = a.RequestID
	result.Number = a.Number
	result.Target = t.id
	// The pool gets the connection first, so that an attempt which the scheduler starts on this result finds it there.
	t.mailbox.Put(attemptReleased{attempt: a, conn: conn})
	t.report(result.AttemptResult)
}

// connect returns the idle connection once it is out of quarantine, or a new one if there is none or the
// target closed it; nil if no connection came up in time.
func (t *target) connect(ctx context.Context, a *inFlightAttempt, idle *pooledConn) *pooledConn {
	if idle != nil && t.awaitQuarantine(ctx, idle) {
		return idle
	}
	return t.dial(ctx, a)
}

// awaitQuarantine waits until the connection is out of quarantine, or the attempt ends. It returns whether the connection can
// be used: false, with the connection closed, if the target has closed it meanwhile or has sent something. It is true also
// if the attempt ends first: the connection is sound, and exchange ends the attempt.
func (t *target) awaitQuarantine(ctx context.Context, c *pooledConn) bool {
	remaining := c.quarantineLeft()
	if remaining <= 0 {
		return true
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return true
	case <-timer.C:
	}
	if c.IsIdle() {
		return true
	}
	c.abandon()
	t.log.closed(c.uses, ReasonClosedWhileIdle, "")
	return false
}

// dial opens a connection for the attempt; nil if it fails, or takes longer than Options.DialTimeout or the attempt. Such a
// dial goes on in the background, one at a time for each target, and a later attempt finds its connection in the pool:
// another dial might take as long.
func (t *target) dial(ctx context.Context, a *inFlightAttempt) *pooledConn {
	dialCtx, stopDial := context.WithTimeout(context.Background(), backgroundDialFactor*t.options.DialTimeout)
	dialed := t.startDial(dialCtx)
	timer := time.NewTimer(t.options.DialTimeout)
	defer timer.Stop()
	select {
	case c := <-dialed:
		stopDial()
		return c
	case <-timer.C:
	case <-ctx.Done():
	}
	t.log.dialOverdue(a.ClientRequestID)
	a.leftBackgroundDial = t.backgroundDialActive.CompareAndSwap(false, true)
	if !a.leftBackgroundDial {
		stopDial()
		if c := <-dialed; c != nil {
			c.abandon()
		}
		return nil
	}
	go func() {
		defer stopDial()
		t.mailbox.Put(backgroundDialEnded{conn: <-dialed})
	}()
	return nil
}

// startDial dials the target. The channel gets the connection, or nil if that failed.
func (t *target) startDial(ctx context.Context) <-chan *pooledConn {
	dialed := make(chan *pooledConn, 1)
	go func() {
		address := t.address()
		conn, err := t.options.Dialer.Dial(ctx, address)
		if err != nil {
			t.log.dialFailed(address, err)
			dialed <- nil
			return
		}
		dialed <- &pooledConn{Conn: conn, address: address}
	}()
	return dialed
}

// exchange carries the attempt on a connection. If the attempt was cancelled, its client closed or its deadline passed before
// that, nothing is sent, and the connection stays usable.
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
	if !a.isCancelled() {
		return result
	}
	return cancelledResult(result)
}

// cancelledResult is the result of an attempt that was cancelled during its round trip. Its connection was
// closed by that. A success that came before stays one, and what was not sent completely cannot have
// executed.
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

// mayStart is the last check before the first byte of an attempt. The attempt ends as NotSent for one of four causes: the
// connection was closed or has bytes to read, which cannot be the response; the target is not serving any more; StartBy has
// passed; the client has closed.
func (t *target) mayStart(a *inFlightAttempt, c *pooledConn) bool {
	if !c.IsIdle() || !t.isServing() {
		return false
	}
	if !a.StartBy.IsZero() && !time.Now().Before(a.StartBy) {
		return false
	}
	return !a.clientGone()
}
