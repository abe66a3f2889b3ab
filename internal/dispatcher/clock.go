package dispatcher

import "time"

// Clock maps the monotonic clock of the process onto the scheduler's time, which is Unix time as read once at the start:
// the endpoint list gives the starts of targets in Unix time, and a step of the wall clock must not move deadlines.
type Clock struct {
	start time.Time // with its monotonic reading
}

// NewClock reads the wall clock, for the only time.
func NewClock() Clock { return Clock{start: time.Now()} }

// At returns the scheduler's time at t, a time that has a monotonic reading.
func (c Clock) At(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}
