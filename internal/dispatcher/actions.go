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
		if state := d.idleCall(action.RequestID); state != nil {
			d.send(state, now, action)
		}
	case scheduler.Reject:
		d.end(action.RequestID, Response{Status: Rejected, RetryAfter: action.RetryAfter})
	case scheduler.Fail:
		d.end(action.RequestID, Response{Status: Failed})
	case scheduler.WatchEndpoints:
		// Only the simulator's adapter serves this action. The discovery watcher of the daemon polls by itself.
	}
}

// idleCall returns the call if it is open and has no attempt in flight, otherwise nil: the action is dropped then.
//
// A call is unknown or answered if its client has closed the connection, and the scheduler ends the request on an event ahead of
// ClientClosed in the same batch: nobody reads the response. An attempt in flight cannot occur, since the scheduler ends or
// sends a request only after AttemptEnded; dropping the action keeps the rule that a request has one attempt at a time.
func (d *Dispatcher) idleCall(requestID string) *callState {
	state := d.calls.get(requestID)
	if state == nil || state.answered || state.inFlight {
		return nil
	}
	return state
}

// end gives an idle call its response and releases it.
func (d *Dispatcher) end(requestID string, response Response) {
	if state := d.idleCall(requestID); state != nil {
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
		ClientGone:      state.call.ClientGone,
		Payload:         state.call.Payload,
	}
	if action.StartWithin > 0 {
		attempt.StartBy = now.Add(action.StartWithin)
	}
	d.logCall(eventAttemptDispatched, state.call, slog.Int(fieldAttempt, attempt.Number),
		slog.String(fieldTarget, attempt.Target), slog.Duration(fieldAttemptTimeout, action.Timeout))
	d.upstream.Send(attempt)
}

// respond gives the final response. It does nothing if the call has one already: a client must never read two.
func (d *Dispatcher) respond(state *callState, response Response) {
	if state.answered {
		return
	}
	state.answered = true
	response.LastAttemptStatus = state.lastStatus
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
	attrs = append(attrs, slog.Duration(fieldAge, time.Since(state.call.ReceivedAt)))
	d.logCall(eventRequestEnded, state.call, attrs...)
}

// releaseIfDone removes a call that is answered and has no attempt in flight.
func (d *Dispatcher) releaseIfDone(state *callState) {
	if !state.answered || state.inFlight {
		return
	}
	d.calls.remove(state)
	d.openCalls.Add(-1)
	d.requestIDs.release(state.call.ClientRequestID, state.mayHaveExecuted)
}
