package upstream

import (
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/socket"
	"dapplegate/scheduler"
)

// unsentCheckInterval is how often a connection is checked for bytes that the kernel has not sent yet.
const unsentCheckInterval = time.Millisecond

// MayWrite returns the check before each part of an attempt's request, for socket.WriteWhile. Nothing else may write to a
// target. The check before the first part is mayStart. The target can begin only with the last byte, so the others are sent
// only as long as the attempt may still begin: see mayBegin.
func MayWrite(attempt dispatcher.Attempt, mayStart func() bool) func(written int) bool {
	return func(written int) bool {
		if written == 0 {
			return mayStart()
		}
		return mayBegin(attempt)
	}
}

// mayBegin reports whether the target may still begin with the attempt: SendBy and Deadline have not passed, and the client
// has not closed its connection. The latter can change at any time, so it comes last.
func mayBegin(attempt dispatcher.Attempt) bool {
	return time.Now().Before(sendDeadline(attempt)) && (attempt.ClientClosed == nil || !attempt.ClientClosed())
}

// sendDeadline returns the time from which no byte of the attempt may be sent.
func sendDeadline(attempt dispatcher.Attempt) time.Time {
	if attempt.SendBy.IsZero() || attempt.Deadline.Before(attempt.SendBy) {
		return attempt.Deadline
	}
	return attempt.SendBy
}

// NotWritten returns the result of an attempt whose request was not written completely. err is the error of the write, or
// nil if the check before it returned false. A target that has not taken the request by SendBy has not failed: it may have had
// little time for it.
func NotWritten(attempt dispatcher.Attempt, written int, err error) RoundTripResult {
	sendByPassed := !attempt.SendBy.IsZero() && !time.Now().Before(attempt.SendBy)
	switch {
	case err != nil && !sendByPassed:
		return NoResponse(scheduler.ConnectFailed, WriteErrorReason(err))
	case written > 0 && sendByPassed:
		return NoResponse(scheduler.NotSent, ReasonUnsentAtSendBy)
	case written > 0:
		return NoResponse(scheduler.NotSent, ReasonCancelled)
	}
	return NoResponse(scheduler.NotSent, ReasonNotSent)
}

// awaitSent waits until the kernel has sent all of an attempt's request that was written. It returns false if a part is still
// unsent at SendBy. At Deadline it returns true, since the attempt then ends as one without a response.
func (c *httpConn) awaitSent(attempt dispatcher.Attempt) bool {
	if attempt.SendBy.IsZero() {
		return true
	}
	for socket.UnsentBytes(c.Conn) > 0 {
		now := time.Now()
		if !now.Before(attempt.Deadline) {
			return true
		}
		if !now.Before(attempt.SendBy) {
			return false
		}
		time.Sleep(unsentCheckInterval)
	}
	return true
}
