package nvme

import (
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/scheduler"
)

// status is the Status Field of a completion queue entry without the phase tag.
type status uint16

// Status code types.
const (
	genericStatus         status = 0 << 8
	commandSpecificStatus status = 1 << 8
)

const (
	codeMask           status = 0x7FF   // status code type and status code
	retryDelayShift           = 11      // CRD
	statusDoNotRetry   status = 1 << 14 // DNR: the same command would fail again, or must not be executed twice
	maxRetryDelayIndex        = 3
)

// Status values used by this package.
const (
	statusSuccess                   = genericStatus
	statusInvalidCommandOpcode      = genericStatus | 0x01
	statusInvalidFieldInCommand     = genericStatus | 0x02
	statusCommandIDConflict         = genericStatus | 0x03
	statusInternalError             = genericStatus | 0x06
	statusAbortRequested            = genericStatus | 0x07
	statusInvalidNamespace          = genericStatus | 0x0B
	statusCommandSequenceError      = genericStatus | 0x0C
	statusTransientTransport        = genericStatus | 0x22
	statusLBAOutOfRange             = genericStatus | 0x80
	statusNamespaceNotReady         = genericStatus | 0x82
	statusConnectIncompatibleFormat = commandSpecificStatus | 0x80
	statusConnectControllerBusy     = commandSpecificStatus | 0x81
	statusConnectInvalidParameters  = commandSpecificStatus | 0x82
)

// code returns the status code type and the status code, without CRD, More and DNR.
func (s status) code() status { return s & codeMask }

// withRetryDelay returns the status with the Command Retry Delay (CRD) field set to index: 0 means no delay, and 1 to 3
// select the delay times CRDT1 to CRDT3 of the controller.
func (s status) withRetryDelay(index int) status {
	return s | status(index&maxRetryDelayIndex)<<retryDelayShift
}

const retryDelayUnit = 100 * time.Millisecond

// retryDelays holds CRDT1 to CRDT3 of Identify Controller in units of 100 ms. A host that has enabled Advanced Command Retry
// (ACRE) waits for the delay that the status selects before it retries a command.
var retryDelays = [maxRetryDelayIndex]uint16{1, 3, 10}

// retryDelayIndex returns the CRDT index of the shortest retry delay that is at least as long as the wait, or of the longest
// delay if none is. It returns 0 if there is no wait.
func retryDelayIndex(wait time.Duration) int {
	if wait <= 0 {
		return 0
	}
	for i, delay := range retryDelays {
		if wait <= time.Duration(delay)*retryDelayUnit {
			return i + 1
		}
	}
	return len(retryDelays)
}

// completionStatus returns the status with which a command is completed after the dispatcher's final response:
//
//	response                         status                     DNR    guarantee to the host
//	Served                           Successful Completion      -      executed
//	Rejected                         Namespace Not Ready        clear  a retry is harmless; CRD is set if the host uses ACRE
//	Failed, and the last attempt     Transient Transport Error  set    none: may have been executed
//	timed out or its connection
//	was reset
//	any other                        Internal Error             set    none: may have been executed
//
// DNR prevents a host from retrying a command on its own, which could execute a write twice.
func completionStatus(response dispatcher.Response, advancedRetry bool) status {
	switch response.Status {
	case dispatcher.Served:
		return statusSuccess
	case dispatcher.Rejected:
		if advancedRetry {
			return statusNamespaceNotReady.withRetryDelay(retryDelayIndex(response.RetryAfter))
		}
		return statusNamespaceNotReady
	}
	if response.LastAttemptStatus == scheduler.DeadlineExceeded || response.LastAttemptStatus == scheduler.ConnectionReset {
		return statusTransientTransport | statusDoNotRetry
	}
	return statusInternalError | statusDoNotRetry
}

// attemptStatus converts the status of a target's completion to the scheduler's. Namespace Not Ready without DNR means "not
// executed" by a convention of this program, on both sides; the specification does not give it that meaning. With any other
// error status the command may have been executed.
func attemptStatus(s status) scheduler.AttemptStatus {
	switch {
	case s == statusSuccess:
		return scheduler.Succeeded
	case s.code() == statusNamespaceNotReady && s&statusDoNotRetry == 0:
		return scheduler.Rejected
	}
	return scheduler.Errored
}
