package scheduler

import "time"

// ActionKind says what an Action asks for.
type ActionKind int

const (
	// Send starts an attempt of RequestID at Target, with Timeout and StartWithin.
	Send ActionKind = iota
	// Reject ends RequestID with the promise that a repeat by the client is harmless; an idempotent request
	// may have been executed. RetryAfter is the advice to the client.
	Reject
	// Fail ends RequestID with no promise about its effect.
	Fail
	// SetTimer asks for a Timer event in After from now. It replaces a later timer.
	SetTimer
	// WatchEndpoints asks for the endpoint list and its changes.
	WatchEndpoints
)

// Action is one thing for the caller to do. A field that the Kind does not mention is zero.
type Action struct {
	Kind        ActionKind
	RequestID   string
	Target      string
	Timeout     time.Duration // of a Send: the attempt times out after it
	StartWithin time.Duration // of a Send: the first byte must leave within it; 0: at any time
	RetryAfter  time.Duration // of a Reject: how long the client should wait; 0: no advice
	Delay       time.Duration // of a SetTimer
}
