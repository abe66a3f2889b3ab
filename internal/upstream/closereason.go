package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// CloseReason says in the log why a connection to a target ended.
type CloseReason string

// ReasonNone is that of a connection which stays open.
const ReasonNone CloseReason = ""

// Reasons that an attempt or the pool closes a connection for. Failed reads and writes have further ones: see
// ReadFailed and WriteFailed.
const (
	// ReasonConnectFailed: no connection came up for the attempt in time. It is not logged, since none has ended: the lines
	// "connection failed" and "connection overdue" tell of that. A full pool has no line.
	ReasonConnectFailed    CloseReason = "CONNECT_FAILED"
	ReasonNotSent          CloseReason = "NOT_SENT"
	ReasonCancelled        CloseReason = "CANCELLED"
	ReasonReadStalled      CloseReason = "READ_STALLED"
	ReasonResponseTooLarge CloseReason = "RESPONSE_TOO_LARGE"
	ReasonConnectionClose  CloseReason = "CONNECTION_CLOSE" // the target announced it, or sent more than its response
	ReasonClosed           CloseReason = "CLOSED"           // closed on this side while the attempt ended
	ReasonClosedWhileIdle  CloseReason = "CLOSED_WHILE_IDLE"
	ReasonPoolIdleTimeout  CloseReason = "POOL_IDLE_TIMEOUT"
	ReasonTargetNotServing CloseReason = "TARGET_NOT_SERVING" // draining or removed
	ReasonAddressChanged   CloseReason = "ADDRESS_CHANGED"
)

// ReadErrorReason returns the reason for closing a connection on which a read ended with the error.
func ReadErrorReason(err error) CloseReason { return "READ_" + errorReason(err) }

// WriteErrorReason returns the reason for closing a connection on which a write ended with the error.
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
