package dispatcher

import "time"

// AcceptGrace is how long after SIGTERM a server accepts new connections. Clients go on opening them for 0.4 s, and one
// that the kernel has accepted but no server has read from would be lost when the listener closes.
const AcceptGrace = 450 * time.Millisecond

// ShutdownSchedule is when each part of a graceful shutdown ends, counted from SIGTERM.
type ShutdownSchedule struct {
	// ServeConnsFor is how long a server reads new requests from the connections that are open: their clients know no other
	// initiator until the successor is up.
	ServeConnsFor time.Duration
	// AnswerBy is when requests received after AcceptGrace have their responses, so that the successor need not wait.
	AnswerBy time.Duration
	// FinalAnswerBy is when every request has its response: SIGKILL may follow soon after.
	FinalAnswerBy time.Duration
}

const (
	// maxAnswerBy bounds AnswerBy, so that the successor need not wait for the longest deadline.
	maxAnswerBy = 2600 * time.Millisecond
	// lastRequestTimeout is what is left between ServeConnsFor and AnswerBy for the last requests read.
	lastRequestTimeout = 800 * time.Millisecond
)

// SIGKILL may come killDelay after the longest deadline, of which at most maxKillDeadline counts. A request without a
// response by then is lost; killMargin is by how much a busy process may be late.
const (
	maxKillDeadline = 3 * time.Second
	killDelay       = 700 * time.Millisecond
	killMargin      = 200 * time.Millisecond
)

// NewShutdownSchedule returns the schedule for clients whose longest deadline is given.
func NewShutdownSchedule(maxDeadline time.Duration) ShutdownSchedule {
	finalAnswerBy := min(maxDeadline, maxKillDeadline) + killDelay - killMargin
	answerBy := min(maxAnswerBy, finalAnswerBy)
	return ShutdownSchedule{
		ServeConnsFor: max(answerBy-lastRequestTimeout, AcceptGrace),
		AnswerBy:      answerBy,
		FinalAnswerBy: finalAnswerBy,
	}
}

// LimitTimeout returns the timeout of a request that was received at the given time. Once the shutdown has begun (nil: it
// has not), a request received after AcceptGrace gets no more time than there is until AnswerBy; 0: none is left.
func (s ShutdownSchedule) LimitTimeout(timeout time.Duration, received time.Time, shutdownBegan *time.Time) time.Duration {
	if shutdownBegan == nil {
		return timeout
	}
	since := received.Sub(*shutdownBegan)
	if since <= AcceptGrace {
		return timeout
	}
	return max(min(timeout, s.AnswerBy-since), 0)
}
