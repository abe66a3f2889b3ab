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

// Log events of delays.
const (
	// eventStepLate is logged if the event loop ran late, for example because the process or the machine was paused.
	eventStepLate = "step was late"
	// eventResponseLate is logged if a response was determined only after its client's timeout.
	eventResponseLate = "response is late"
)

const (
	// lateStepThreshold is the minimum delay of a step that is logged, at debug level.
	lateStepThreshold = 20 * time.Millisecond
	// pauseThreshold is the minimum delay of a step that is logged at info level.
	pauseThreshold = 100 * time.Millisecond
)

// Fields of these log lines.
const (
	fieldRequest        = "request" // the client's ID for the request
	fieldClass          = "class"
	fieldCause          = "cause" // a scheduler.EndReason; absent unless the scheduler ended the request
	fieldAge            = "age"   // time since the last byte of the request arrived
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

// logLateResponse logs a response that comes after its client's timeout, counted from the arrival of the request.
func (d *Dispatcher) logLateResponse(state *callState, response Response, age time.Duration) {
	if age <= state.call.ClientTimeout {
		return
	}
	d.options.Logger.Info(eventResponseLate,
		slog.String(fieldReason, response.Status.String()),
		slog.Int(fieldAttempts, state.attempts),
		slog.Duration(fieldAge, age),
		slog.Duration(fieldClientTimeout, state.call.ClientTimeout),
		slog.String(fieldRequest, state.call.ClientRequestID))
}

// logLateStep logs how much later than its timer the step at the given time runs.
func (d *Dispatcher) logLateStep(now time.Time) {
	if d.nextTimer.IsZero() {
		return
	}
	late := now.Sub(d.nextTimer)
	if late < lateStepThreshold {
		return
	}
	level := slog.LevelDebug
	if late >= pauseThreshold {
		level = slog.LevelInfo
	}
	d.options.Logger.Log(context.Background(), level, eventStepLate, slog.Duration(fieldLate, late))
}
