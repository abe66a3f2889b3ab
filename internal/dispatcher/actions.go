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
		d.setTimer(now.Add(action.After))
	case scheduler.Send, scheduler.Reject, scheduler.Fail:
		state := d.calls.get(action.RequestID)
		if state == nil || state.answered || state.inFlight {
			return
		}
		d.executeForCall(state, now, action)
	case scheduler.WatchEndpoints:
		// Endpoints are watched from the start.
	}
}

// executeForCall carries out an action on an open call that has no attempt in flight.
func (d *Dispatcher) executeForCall(state *callState, now time.Time, action scheduler.Action) {
	switch action.Kind {
	case scheduler.Send:
		d.send(state, now, action)
	case scheduler.Reject:
		d.respond(state, Response{Status: Rejected, RetryAfter: action.RetryAfter})
		d.releaseIfDone(state)
	case scheduler.Fail:
		d.respond(state, Response{Status: Failed})
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
		slog.String(fieldTarget, attempt.Target), slog.Duration(fieldTimeout, action.Timeout))
	d.upstream.Send(attempt)
}

// respond gives the final response. It does nothing if the call has one already: a client must never read two.
func (d *Dispatcher) respond(state *callState, response Response) {
	if state.answered {
		return
	}
	state.answered = true
	response.LastAttempt = state.lastStatus
	d.logCall(eventRequestEnded, state.call, slog.String(fieldReason, response.Status.String()),
		slog.Int(fieldAttempts, state.attempts), slog.String(fieldLastAttempt, state.lastStatus.String()),
		slog.Duration(fieldAge, time.Since(state.call.ReceivedAt)))
	state.call.Respond(response)
}

// releaseIfDone forgets a call that is answered and has no attempt in flight.
func (d *Dispatcher) releaseIfDone(state *callState) {
	if !state.answered || state.inFlight {
		return
	}
	d.calls.remove(state)
	d.openCalls.Add(-1)
	d.requestIDs.release(state.call.ClientRequestID, state.mayHaveExecuted)
}
