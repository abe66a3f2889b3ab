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
	statusDoNotRetry   status = 1 << 14 // DNR: the same command would fail again, or must not run twice
	maxRetryDelayIndex        = 3
)

// Status values that are used here.
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

// withRetryDelay returns the status with a Command Retry Delay: 0 is none, i is the controller's CRDTi.
func (s status) withRetryDelay(index int) status {
	return s | status(index&maxRetryDelayIndex)<<retryDelayShift
}

const retryDelayUnit = 100 * time.Millisecond

// retryDelays are CRDT1 to CRDT3 of Identify Controller, in units of 100 ms: how long a host that has enabled Advanced Command
// Retry (ACRE) waits before its retry.
var retryDelays = [maxRetryDelayIndex]uint16{1, 3, 10}

// retryDelayIndex returns the index of the first retry delay that covers the wait, else of the longest; 0: no wait.
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

// completionStatus returns the status for a command's final response:
//
//	response                         status                     DNR    promise to the host
//	Served                           Successful Completion      -      executed
//	Rejected                         Namespace Not Ready        clear  a repeat is harmless, with CRD if it has ACRE
//	Failed, the last attempt ended   Transient Transport Error  set    none: may have been executed
//	by its deadline or a reset
//	any other                        Internal Error             set    none: may have been executed
//
// DNR keeps a host from sending a command again by itself: a write would run twice.
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

// attemptStatus returns the scheduler's status for a target's completion. Namespace Not Ready without DNR is this program's
// convention for "not executed", on both sides; the specification does not give it that meaning. Any other error status
// promises nothing.
func attemptStatus(s status) scheduler.AttemptStatus {
	switch {
	case s == statusSuccess:
		return scheduler.Succeeded
	case s.code() == statusNamespaceNotReady && s&statusDoNotRetry == 0:
		return scheduler.Rejected
	}
	return scheduler.Errored
}
