package dispatcher

import (
	"context"
	"time"
)

// LingerFor is how long after SIGTERM a front takes new connections: clients come for 0.4 s, and one that the
// machine has accepted but nobody has read from would be lost with the listener.
const AcceptGrace = 450 * time.Millisecond

// Shutdown is a graceful one: how the program ends after SIGTERM, counted from there.
type ShutdownSchedule struct {
	// ServeFor is how long a front goes on with what comes on connections that it has: their clients know no other way,
	// and go without until the successor is up.
	ServeConnsFor time.Duration
	// AnswerBy is when what was taken after LingerFor has its answer, so that the successor need not wait.
	AnswerBy time.Duration
	// LastAnswer is when every request has its answer: SIGKILL may come soon after.
	FinalAnswerBy time.Duration
}

const (
	mostAnswerBy = 2600 * time.Millisecond
	// answerWithin is the time that the last requests have.
	answerWithin = 800 * time.Millisecond
	// killAfter and killMost say when SIGKILL may come: the longest deadline, at most killMost, and killAfter later.
	// Requests of the end that it finds without an answer are lost; killMargin is what a busy process may be late by.
	killAfter  = 700 * time.Millisecond
	killMost   = 3 * time.Second
	killMargin = 200 * time.Millisecond
)

// ShutdownFor is the end that fits clients who wait for so long at the longest.
func NewShutdownSchedule(longest time.Duration) ShutdownSchedule {
	last := min(longest, killMost) + killAfter - killMargin
	by := min(mostAnswerBy, last)
	return ShutdownSchedule{ServeConnsFor: max(by-answerWithin, AcceptGrace), AnswerBy: by, FinalAnswerBy: last}
}

// Pause waits until then, or until the context ends.
func WaitUntil(ctx context.Context, until time.Time) {
	select {
	case <-time.After(time.Until(until)):
	case <-ctx.Done():
	}
}

// Cut shortens a patience so that the answer is there by AnswerBy, for a request taken after LingerFor; left is the
// moment of SIGTERM, nil before it.
func (s ShutdownSchedule) LimitTimeout(patience time.Duration, arrived time.Time, left *time.Time) time.Duration {
	if left == nil {
		return patience
	}
	since := arrived.Sub(*left)
	if since <= AcceptGrace {
		return patience
	}
	return max(min(patience, s.AnswerBy-since), 0)
}
