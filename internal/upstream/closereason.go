package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// CloseReason is why a connection to a target was closed, as logged.
type CloseReason string

// ReasonNone stands for a connection that stays open.
const ReasonNone CloseReason = ""

// Reasons for which an attempt or the pool closes a connection. ReadErrorReason and WriteErrorReason return further ones.
const (
	// ReasonConnectFailed: no connection was established for the attempt in time. It is never logged, since no connection
	// was closed: "connection failed" and "attempt gave up waiting for a connection" are logged instead. Nothing is logged
	// if a limit on connections allows no new one.
	ReasonConnectFailed    CloseReason = "CONNECT_FAILED"
	ReasonNotSent          CloseReason = "NOT_SENT"
	ReasonCancelled        CloseReason = "CANCELLED"
	ReasonUnsentAtSendBy   CloseReason = "UNSENT_AT_SEND_BY" // the target had not taken all of a repeat in time
	ReasonReadStalled      CloseReason = "READ_STALLED"
	ReasonResponseTooLarge CloseReason = "RESPONSE_TOO_LARGE"
	ReasonExceedsLength    CloseReason = "RESPONSE_EXCEEDS_LENGTH" // what follows the response may be the rest of its body
	ReasonConnectionClose  CloseReason = "CONNECTION_CLOSE"        // the target asked for it, or sent more than its response
	ReasonClosed           CloseReason = "CLOSED"                  // closed by this process while the attempt ended
	ReasonClosedWhileIdle  CloseReason = "CLOSED_WHILE_IDLE"
	ReasonUnrequestedData  CloseReason = "UNREQUESTED_DATA" // such as the second copy of a response
	ReasonPoolIdleTimeout  CloseReason = "POOL_IDLE_TIMEOUT"
	ReasonTargetNotServing CloseReason = "TARGET_NOT_SERVING" // draining or removed
	ReasonAddressChanged   CloseReason = "ADDRESS_CHANGED"
)

// ReadErrorReason returns the reason for closing a connection after a read failed with the error.
func ReadErrorReason(err error) CloseReason { return "READ_" + errorReason(err) }

// WriteErrorReason returns the reason for closing a connection after a write failed with the error.
func WriteErrorReason(err error) CloseReason { return "WRITE_" + errorReason(err) }

func errorReason(err error) CloseReason {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "TIMEOUT"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "EOF"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "RESET"
	case errors.Is(err, net.ErrClosed):
		return "CLOSED"
	case errors.Is(err, errMemoryBudget):
		return "MEMORY_BUDGET"
	}
	return "MALFORMED"
}
