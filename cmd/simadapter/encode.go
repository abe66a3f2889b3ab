package main

import "dapplegate/scheduler"

// timerKey is sent with each timer and returned by the simulator when the timer fires. The scheduler has only one timer.
const timerKey = "step"

// encodeAction converts an initiator's action to the simulator's message.
func encodeAction(action scheduler.Action, initiatorID string) wireAction {
	wire := wireAction{InitiatorID: initiatorID, Rid: action.RequestID}
	switch action.Kind {
	case scheduler.Send:
		wire.Type = "relay"
		wire.Target = action.Target
		wire.MaxWaitUs = action.Timeout.Microseconds()
	case scheduler.Reject:
		wire.Type = "decline"
		wire.HoldOffUs = action.RetryAfter.Microseconds()
	case scheduler.Fail:
		wire.Type = "lose"
	case scheduler.SetTimer:
		wire.Type = "remind"
		wire.KeyBack = timerKey
		wire.FromNowUs = action.Delay.Microseconds()
	case scheduler.WatchEndpoints:
		wire.Type = "streamChanges"
		wire.On = true
	}
	return wire
}
