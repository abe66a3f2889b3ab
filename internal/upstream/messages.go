package upstream

import "dapplegate/internal/dispatcher"

// message is what a target's actor takes from its mailbox: one of the types in this file.
type message interface{ isMessage() }

// startAttempt asks for an attempt to be made.
type startAttempt struct{ attempt dispatcher.Attempt }

// cancelAttempt asks for the attempt of a request to be ended early, if it is in flight.
type cancelAttempt struct{ requestID string }

// attemptReleased returns the resources of an attempt to its actor.
type attemptReleased struct {
	attempt *inFlightAttempt
	conn    *pooledConn // to be used again; nil if it was closed, or is not up yet
}

// backgroundDialEnded ends a dial that outlasted its attempt.
type backgroundDialEnded struct {
	conn *pooledConn // nil if the dial failed
}

// endpointChanged says that the target's state or address may have changed.
type endpointChanged struct{}

// retire ends the actor once nothing of it is in flight.
type retire struct{}

func (startAttempt) isMessage()        {}
func (cancelAttempt) isMessage()       {}
func (attemptReleased) isMessage()     {}
func (backgroundDialEnded) isMessage() {}
func (endpointChanged) isMessage()     {}
func (retire) isMessage()              {}
