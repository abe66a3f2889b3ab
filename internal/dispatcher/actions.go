package dispatcher

import (
	"log/slog"
	"time"

	"dapplegate/scheduler"
)

// execute carries out one action of the scheduler.
func (d *Dispatcher) execute(now time.Time, action scheduler.Action) {
	switch action.Kind {
	case scheduler.SetTimer:
		d.setTimer(now.Add(action.Delay))
	case scheduler.Send:
		if state := d.queuedCall(action.RequestID); state != nil {
			d.send(state, now, action)
		}
	case scheduler.Reject:
		d.finish(action.RequestID, Response{Status: Rejected, RetryAfter: action.RetryAfter, EndReason: action.EndReason})
	case scheduler.Fail:
		d.finish(action.RequestID, Response{Status: Failed, EndReason: action.EndReason})
	case scheduler.WatchEndpoints:
		// Only the simulator's adapter needs this action. In the initiator, the discovery watcher polls on its own.
	}
}

// queuedCall returns the call if it is queued in the scheduler: it has not ended and has no attempt in flight. Otherwise it
// returns nil, and the action is dropped.
//
// An action may refer to a call that has ended or been released: the client has closed the connection, and the scheduler has
// ended the request on an event that precedes ClientClosed in the same batch. Nobody would read the response. An action for
// a call with an attempt in flight cannot occur, since the scheduler ends or sends a request only after AttemptEnded.
// Dropping it anyway ensures that a request has one attempt at a time.
func (d *Dispatcher) queuedCall(requestID string) *callState {
	state := d.calls.get(requestID)
	if state == nil || state.ended || state.inFlight {
		return nil
	}
	return state
}

// finish gives a queued call its response and releases the call.
func (d *Dispatcher) finish(requestID string, response Response) {
	if state := d.queuedCall(requestID); state != nil {
		d.respond(state, response)
		d.releaseIfDone(state)
	}
}

// send starts the call's next attempt.
func (d *Dispatcher) send(state *callState, now time.Time, action scheduler.Action) {
	attempt := Attempt{
		RequestID:       action.RequestID,
		ClientRequestID: state.call.ClientRequestID,
		Number:          state.beginAttempt(action.Target, now),
		Target:          action.Target,
		Deadline:        now.Add(action.Timeout),
		ClientClosed:    state.call.ClientClosed,
		Payload:         state.call.Payload,
	}
	if action.SendWithin > 0 {
		attempt.SendBy = now.Add(action.SendWithin)
	}
	d.logCall(eventAttemptDispatched, state.call, slog.Int(fieldAttempt, attempt.Number),
		slog.String(fieldTarget, attempt.Target), slog.Duration(fieldAttemptTimeout, action.Timeout))
	d.upstream.Send(attempt)
}

// respond gives the call its final response. It does nothing if the call has ended, since a client must never get two
// responses.
func (d *Dispatcher) respond(state *callState, response Response) {
	if state.ended {
		return
	}
	state.ended = true
	response.LastAttemptStatus = state.lastStatus
	d.traffic.recordResponse(response.Status)
	d.logResponse(state, response)
	state.call.Respond(response)
}

// logResponse logs the end of a call that gets a response.
func (d *Dispatcher) logResponse(state *callState, response Response) {
	attrs := []slog.Attr{
		slog.String(fieldReason, response.Status.String()),
		slog.Int(fieldAttempts, state.attempts),
	}
	if state.attempts > 0 {
		attrs = append(attrs, slog.String(fieldLastAttempt, state.lastStatus.String()))
	}
	if response.EndReason != scheduler.EndUnspecified {
		attrs = append(attrs, slog.String(fieldCause, response.EndReason.String()))
	}
	age := time.Since(state.call.ReceivedAt)
	attrs = append(attrs, slog.Duration(fieldAge, age))
	d.logCall(eventRequestEnded, state.call, attrs...)
	d.logLateResponse(state, response, age)
}

// releaseIfDone releases a call that has ended and has no attempt in flight.
func (d *Dispatcher) releaseIfDone(state *callState) {
	if !state.ended || state.inFlight {
		return
	}
	d.calls.remove(state)
	d.openCalls.Add(-1)
	d.clientRequestIDs.release(state.call.ClientRequestID, state.mayHaveExecuted)
}
