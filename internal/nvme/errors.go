package nvme

import (
	"errors"
	"fmt"
)

// fatalErrorStatus is the Fatal Error Status (FES) field of a termination request.
type fatalErrorStatus uint16

// Fatal Error Status values used by this package.
const (
	fesInvalidHeader fatalErrorStatus = 0x01 // invalid PDU header field
	fesSequence      fatalErrorStatus = 0x02 // PDU sequence error
	fesHeaderDigest  fatalErrorStatus = 0x03 // header digest error
	fesOutOfRange    fatalErrorStatus = 0x04 // data transfer out of range
	fesUnsupported   fatalErrorStatus = 0x06 // unsupported parameter
)

// protocolError is a violation of the transport protocol by the peer. It ends the connection with a termination request.
type protocolError struct {
	fes    fatalErrorStatus
	fei    uint32 // Fatal Error Information (FEI): the offset of the invalid field, or the digest received
	cause  string
	header []byte // of the faulty PDU
}

// Error returns the cause with the FES and FEI fields of the termination request.
func (e *protocolError) Error() string {
	return fmt.Sprintf("%s (FES %#x, FEI %#x)", e.cause, uint16(e.fes), e.fei)
}

// commandError reports that the controller completed a command with an error status.
type commandError struct {
	opcode opcode
	status status
}

// Error returns a message with the opcode and the status.
func (e *commandError) Error() string {
	return fmt.Sprintf("command %#x ended with status %#x", byte(e.opcode), uint16(e.status))
}

// controllerError reports an invalid response from the controller. The connection must not be used after it.
type controllerError struct{ cause string }

// Error returns the cause.
func (e *controllerError) Error() string { return e.cause }

func unexpectedPDU(p *pdu) error {
	return &controllerError{cause: fmt.Sprintf("unexpected PDU type %#x", byte(p.kind))}
}

// errHostTerminated is returned when the host has sent a termination request; the connection then ends.
var errHostTerminated = errors.New("host sent a termination request")

// errNoFreeQueue is returned when all I/O queues of an association are in use.
var errNoFreeQueue = errors.New("all I/O queues are in use")
