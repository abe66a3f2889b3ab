package dispatcher

import (
	"context"
	"log/slog"
	"time"
)

// Log events of a request, in the order in which they occur. The upstream logs "attempt begins" between the second and the
// third. If a request ends with reasonClientClosed while an attempt is in flight, "attempt ended" follows "request ended". A
// duplicate request has only "request ended".
const (
	eventRequestAccepted   = "request accepted"
	eventAttemptDispatched = "attempt dispatched"
	eventAttemptEnded      = "attempt ended"
	eventRequestEnded      = "request ended"
)

// eventStepLate is logged if the event loop ran late, for example because the process or the machine was paused.
const eventStepLate = "step was late"

// lateStepThreshold is the minimum delay of a step that is logged.
const lateStepThreshold = 20 * time.Millisecond

// Fields of these log lines.
const (
	fieldRequest        = "request" // the client's ID for the request
	fieldClass          = "class"
	fieldAge            = "age" // time since the last byte of the request arrived
	fieldClientTimeout  = "client_timeout"
	fieldAttemptTimeout = "attempt_timeout"
	fieldReason         = "reason"
	fieldTarget         = "target"
	fieldAttempt        = "attempt"  // number of the attempt, from 0
	fieldAttempts       = "attempts" // number of attempts begun
	fieldInFlight       = "in_flight"
	fieldLatency        = "latency"      // time since the attempt started
	fieldLate           = "late"         // how late a step was
	fieldLastAttempt    = "last_attempt" // status of the last attempt; absent if there was none
)

// reasonClientClosed is the reason of a request that ends without a response. The reason of any other request is the Status
// of its response, and the reason of an attempt is its scheduler.AttemptStatus.
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

// logLateStep logs, at debug level, how much later than its timer the step at the given time runs.
func (d *Dispatcher) logLateStep(now time.Time) {
	if d.nextTimer.IsZero() {
		return
	}
	if late := now.Sub(d.nextTimer); late >= lateStepThreshold {
		d.options.Logger.Debug(eventStepLate, slog.Duration(fieldLate, late))
	}
}
