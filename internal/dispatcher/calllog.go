package dispatcher

import (
	"context"
	"log/slog"
	"time"
)

// Log events of a request, in this order, with upstream's "attempt begins" between the second and the third. After
// reasonClientClosed with an attempt in flight, "attempt ended" still follows. A duplicate has "request ended" alone.
const (
	eventRequestAccepted   = "request accepted"
	eventAttemptDispatched = "attempt dispatched"
	eventAttemptEnded      = "attempt ended"
	eventRequestEnded      = "request ended"
)

// eventStepLate says that the event loop ran late, as when the process or the machine stood still.
const eventStepLate = "step was late"

// lateStepThreshold is how late a step must be to be logged.
const lateStepThreshold = 20 * time.Millisecond

// Fields of these log lines. Durations are from the last byte of the request (age) or from the attempt's start (latency).
const (
	fieldRequest        = "request" // the client's id for it
	fieldClass          = "class"
	fieldAge            = "age"
	fieldClientTimeout  = "client_timeout"
	fieldAttemptTimeout = "attempt_timeout"
	fieldReason         = "reason"
	fieldTarget         = "target"
	fieldAttempt        = "attempt"  // its number, from 0
	fieldAttempts       = "attempts" // how many were sent
	fieldInFlight       = "in_flight"
	fieldLatency        = "latency"
	fieldLate           = "late"         // by how much a step was late
	fieldLastAttempt    = "last_attempt" // its status; absent if there was no attempt
)

// reasonClientClosed ends a request without a response. Other requests end with their response's Status as the reason, and
// attempts with their scheduler.AttemptStatus.
const reasonClientClosed = "CLIENT_CLOSED"

// logCall logs an event of a call, at debug level.
func (d *Dispatcher) logCall(event string, call *Call, attrs ...slog.Attr) {
	ctx := context.Background()
	if !d.options.Logger.Enabled(ctx, slog.LevelDebug) {
		return
	}
	attrs = append(attrs, slog.String(fieldRequest, call.ClientRequestID))
	d.options.Logger.LogAttrs(ctx, slog.LevelDebug, event, attrs...)
}

// logLateStep logs, at debug level, by how much the step at the given time comes after the timer that asked for it.
func (d *Dispatcher) logLateStep(now time.Time) {
	if d.nextTimer.IsZero() {
		return
	}
	if late := now.Sub(d.nextTimer); late >= lateStepThreshold {
		d.options.Logger.Debug(eventStepLate, slog.Duration(fieldLate, late))
	}
}
