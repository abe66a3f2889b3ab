package nvme

import (
	"errors"
	"fmt"
)

// fatalErrorStatus is the FES field of a termination request.
type fatalErrorStatus uint16

// Values of fatalErrorStatus that are used here.
const (
	fesInvalidHeader fatalErrorStatus = 0x01 // invalid PDU header field
	fesSequence      fatalErrorStatus = 0x02 // PDU sequence error
	fesHeaderDigest  fatalErrorStatus = 0x03 // header digest error
	fesOutOfRange    fatalErrorStatus = 0x04 // data transfer out of range
	fesUnsupported   fatalErrorStatus = 0x06 // unsupported parameter
)

// protocolError is a violation of the transport's rules by the peer. It ends the connection with a termination request.
type protocolError struct {
	fes    fatalErrorStatus
	fei    uint32 // fatal error information: the offset of the wrong field, or the digest received
	cause  string
	header []byte // of the wrong PDU
}

// Error returns the cause with both fields of the termination request.
func (e *protocolError) Error() string {
	return fmt.Sprintf("%s (FES %#x, FEI %#x)", e.cause, uint16(e.fes), e.fei)
}

// commandError is a command that the controller completed with an error.
type commandError struct {
	opcode opcode
	status status
}

// Error returns the opcode and the status field.
func (e *commandError) Error() string {
	return fmt.Sprintf("command %#x ended with status %#x", byte(e.opcode), uint16(e.status))
}

// controllerError is an answer that a controller must not give. The connection is not used after it.
type controllerError struct{ cause string }

// Error returns the cause.
func (e *controllerError) Error() string { return e.cause }

func unexpectedPDU(p *pdu) error {
	return &controllerError{cause: fmt.Sprintf("unexpected PDU type %#x", byte(p.kind))}
}

// errHostTerminated ends a connection whose host sent a termination request.
var errHostTerminated = errors.New("host sent a termination request")

// errNoFreeQueue says that all I/O queues of an association are in use.
var errNoFreeQueue = errors.New("all I/O queues are in use")
