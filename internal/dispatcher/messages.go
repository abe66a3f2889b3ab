package dispatcher

import (
	"log/slog"
	"time"

	"dapplegate/scheduler"
)

// message is an input that the event loop receives from another goroutine: one of the types below.
type message interface{ message() }

type (
	callSubmitted     struct{ call *Call }
	callCancelled     struct{ call *Call }
	attemptEnded      struct{ result AttemptResult }
	endpointsUpdated  struct{ list scheduler.EndpointList }
	shutdownRequested struct{ deadline time.Time }
	// tableSizesRequested asks for the log line of LogTableSizes.
	tableSizesRequested struct{}
)

func (callSubmitted) message()       {}
func (callCancelled) message()       {}
func (attemptEnded) message()        {}
func (endpointsUpdated) message()    {}
func (shutdownRequested) message()   {}
func (tableSizesRequested) message() {}

// applyMessages applies a batch of messages to the calls and returns the resulting scheduler events, including the timer if
// it is due. The returned slice is valid until the next call.
//
// Endpoint lists come first. Otherwise a request that precedes a list in the batch could be sent to a target that is already
// known to be draining.
func (d *Dispatcher) applyMessages(now time.Time, messages []message) []scheduler.Event {
	d.clientRequestIDs.expire(now)
	d.events = d.events[:0]
	d.endpointEvents = d.endpointEvents[:0]
	for _, m := range messages {
		switch m := m.(type) {
		case callSubmitted:
			d.accept(now, m.call)
		case callCancelled:
			d.cancel(m.call)
		case attemptEnded:
			d.onAttemptEnded(now, m.result)
		case endpointsUpdated:
			d.endpointEvents = append(d.endpointEvents, m.list)
		case shutdownRequested:
			d.beginShutdown(now, m.deadline)
		case tableSizesRequested:
			d.logTableSizes(len(messages))
		}
	}
	if !d.nextTimer.IsZero() && !now.Before(d.nextTimer) {
		d.nextTimer = time.Time{}
		d.events = append(d.events, scheduler.Timer{})
	}
	d.cancelAtShutdownDeadline(now) // after nextTimer is cleared, because it sets the timer again
	d.endpointEvents = append(d.endpointEvents, d.events...)
	return d.endpointEvents
}

// accept opens a call, unless its client request ID is reserved. Targets identify requests by these IDs, and would treat a
// second request with the same ID as a hedged request.
func (d *Dispatcher) accept(now time.Time, call *Call) {
	if !d.clientRequestIDs.reserve(call.ClientRequestID) {
		d.openCalls.Add(-1)
		d.traffic.recordResponse(Duplicate)
		d.logCall(eventRequestEnded, call, slog.String(fieldReason, Duplicate.String()))
		call.Respond(Response{Status: Duplicate})
		return
	}
	d.calls.add(call)
	// The client's timeout starts when the request arrives, which may be long before a busy process reads the request.
	age := now.Sub(call.ReceivedAt)
	call.Timeout = call.ClientTimeout - age - d.options.ResponseWriteMargin
	d.logCall(eventRequestAccepted, call, slog.String(fieldClass, call.Class),
		slog.Duration(fieldClientTimeout, call.ClientTimeout), slog.Duration(fieldAge, age))
	d.events = append(d.events, call.Request)
}

// cancel ends, without a response, a call whose client has closed its connection.
func (d *Dispatcher) cancel(call *Call) {
	state := d.calls.get(call.ID)
	if state == nil || state.call != call || state.ended {
		return
	}
	state.ended = true
	d.traffic.clientClosed++
	d.logCall(eventRequestEnded, call, slog.String(fieldReason, reasonClientClosed),
		slog.Int(fieldAttempts, state.attempts), slog.Bool(fieldInFlight, state.inFlight))
	if state.inFlight {
		d.upstream.Cancel(state.target, call.ID)
	}
	d.events = append(d.events, scheduler.ClientClosed{RequestID: call.ID})
	d.releaseIfDone(state)
}

// onAttemptEnded handles the result of the attempt in flight and responds to the client if the attempt succeeded. After any
// other result, the scheduler decides whether the request gets a retry or ends.
func (d *Dispatcher) onAttemptEnded(now time.Time, result AttemptResult) {
	state := d.calls.get(result.RequestID)
	if state == nil || !state.isInFlight(result.Number) {
		return
	}
	latency := now.Sub(state.sentAt)
	state.endAttempt(result.Status)
	d.traffic.recordAttempt(result.Status)
	d.logCall(eventAttemptEnded, state.call, slog.Int(fieldAttempt, result.Number), slog.String(fieldTarget, result.Target),
		slog.String(fieldReason, result.Status.String()), slog.Duration(fieldLatency, latency))
	if result.Status == scheduler.Succeeded {
		d.respond(state, Response{Status: Served, Payload: result.Payload})
	}
	d.events = append(d.events, scheduler.AttemptEnded{
		RequestID:    result.RequestID,
		Attempt:      result.Number,
		Target:       result.Target,
		Status:       result.Status,
		Latency:      latency,
		RequestEnded: state.ended,
		LoadReport:   result.LoadReport,
		VolumeUsage:  result.VolumeUsage,
	})
	d.releaseIfDone(state)
}

// beginShutdown sets the shutdown's deadline and tells the scheduler how much time is left.
func (d *Dispatcher) beginShutdown(now, deadline time.Time) {
	d.shutdownDeadline = deadline
	d.setTimer(deadline)
	d.events = append(d.events, scheduler.Shutdown{GracePeriod: deadline.Sub(now)})
}

// cancelAtShutdownDeadline cancels all attempts in flight once the shutdown's deadline has passed. The scheduler ends their
// requests when the results arrive.
func (d *Dispatcher) cancelAtShutdownDeadline(now time.Time) {
	if d.shutdownDeadline.IsZero() {
		return
	}
	if now.Before(d.shutdownDeadline) {
		d.setTimer(d.shutdownDeadline)
		return
	}
	for id, state := range d.calls.byID {
		if state.inFlight {
			d.upstream.Cancel(state.target, id)
		}
	}
}
