package dispatcher

import "time"

// AcceptGrace is how long after SIGTERM a server accepts new connections. Clients keep opening connections for 0.4 s, and a
// connection that the kernel has accepted but no server has read from would be lost when the listener closes.
const AcceptGrace = 450 * time.Millisecond

// ShutdownSchedule holds when each phase of a graceful shutdown ends, as the time since SIGTERM.
type ShutdownSchedule struct {
	// ServeConnsFor is how long a server reads new requests from its open connections. Their clients know no other initiator
	// until the successor is up.
	ServeConnsFor time.Duration
	// AnswerBy is when requests received after AcceptGrace must have their responses, so that the successor does not have to
	// wait.
	AnswerBy time.Duration
	// FinalAnswerBy is when all requests must have their responses, because SIGKILL may follow soon after.
	FinalAnswerBy time.Duration
}

const (
	// maxAnswerBy limits AnswerBy, so that the successor does not have to wait for the longest deadline.
	maxAnswerBy = 2600 * time.Millisecond
	// lastRequestTimeout is how long before AnswerBy servers stop reading requests, so that the last ones can be served.
	lastRequestTimeout = 800 * time.Millisecond
)

// SIGKILL may come killDelay after the longest deadline, or killDelay after maxKillDeadline if that is shorter. A request
// that has no response by then is lost. The process may be held up for maxHoldUp when it gets SIGTERM, so that all times count from
// later than they should, and once more before SIGKILL; killMargin allows for both and for delays in a busy process.
const (
	maxKillDeadline = 3 * time.Second
	killDelay       = 700 * time.Millisecond
	maxHoldUp       = 150 * time.Millisecond
	killMargin      = 2*maxHoldUp + 50*time.Millisecond
)

// NewShutdownSchedule returns the schedule for requests whose longest deadline is maxDeadline.
func NewShutdownSchedule(maxDeadline time.Duration) ShutdownSchedule {
	finalAnswerBy := min(maxDeadline, maxKillDeadline) + killDelay - killMargin
	answerBy := min(maxAnswerBy, finalAnswerBy)
	return ShutdownSchedule{
		ServeConnsFor: max(answerBy-lastRequestTimeout, AcceptGrace),
		AnswerBy:      answerBy,
		FinalAnswerBy: finalAnswerBy,
	}
}

// LimitTimeout returns the timeout of a request that was received at the given time. If the shutdown has begun and the
// request was received after AcceptGrace, the timeout is limited to the time left until AnswerBy, and is 0 if none is left.
// shutdownBegan is nil if the shutdown has not begun.
func (s ShutdownSchedule) LimitTimeout(timeout time.Duration, received time.Time, shutdownBegan *time.Time) time.Duration {
	if shutdownBegan == nil {
		return timeout
	}
	sinceShutdown := received.Sub(*shutdownBegan)
	if sinceShutdown <= AcceptGrace {
		return timeout
	}
	return max(min(timeout, s.AnswerBy-sinceShutdown), 0)
}
