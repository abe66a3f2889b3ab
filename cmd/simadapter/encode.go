package main

import "dapplegate/scheduler"

// timerKey is sent with each timer and comes back when it is due. The scheduler has one timer only.
const timerKey = "step"

// encodeAction returns the action of an initiator as the simulator's message.
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
