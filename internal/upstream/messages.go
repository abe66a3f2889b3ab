package upstream

import "dapplegate/internal/dispatcher"

// message is a message to the actor of a target: one of the types in this file.
type message interface{ isMessage() }

// startAttempt starts an attempt.
type startAttempt struct{ attempt dispatcher.Attempt }

// cancelAttempt cancels the attempt of a request, if it is in flight.
type cancelAttempt struct{ requestID string }

// attemptEnded tells the actor that an attempt has ended, and returns its connection.
type attemptEnded struct {
	attempt *inFlightAttempt
	conn    *pooledConn // nil if it was closed, could not be established or is still being dialed
}

// backgroundDialEnded tells the actor that a background dial has ended, and passes it the connection.
type backgroundDialEnded struct {
	conn *pooledConn // nil if the dial failed
}

// endpointChanged tells the actor that the target's state or address may have changed.
type endpointChanged struct{}

func (startAttempt) isMessage()        {}
func (cancelAttempt) isMessage()       {}
func (attemptEnded) isMessage()        {}
func (backgroundDialEnded) isMessage() {}
func (endpointChanged) isMessage()     {}
