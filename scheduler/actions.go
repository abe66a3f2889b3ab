package scheduler

import "time"

// ActionKind is the kind of an Action.
type ActionKind int

const (
	// Send starts an attempt of RequestID at Target, with Timeout and SendWithin.
	Send ActionKind = iota
	// Reject ends RequestID and tells the client that it is safe to send the request again: it was not
	// executed, it is idempotent, or every target discards duplicates of it. RetryAfter is the advice to the
	// client.
	Reject
	// Fail ends RequestID without stating whether it was executed.
	Fail
	// SetTimer requests a Timer event after Delay. It replaces a timer that would fire later.
	SetTimer
	// WatchEndpoints requests the endpoint list and all later changes to it.
	WatchEndpoints
)

// Action is one instruction to the caller. Fields that the description of its Kind does not mention are
// zero.
type Action struct {
	Kind       ActionKind
	RequestID  string
	Target     string
	Timeout    time.Duration // for Send: maximum duration of the attempt
	SendWithin time.Duration // for Send: the last byte must be sent within this time; 0: no bound
	RetryAfter time.Duration // for Reject: how long the client should wait before it retries; 0: no advice
	Delay      time.Duration // for SetTimer: time from now to the Timer event
	EndReason  EndReason     // for Reject and Fail: why the request ends
}
