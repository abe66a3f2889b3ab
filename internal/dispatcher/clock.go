package dispatcher

import "time"

// Clock converts times of the process to scheduler time. Scheduler time is Unix time, because the endpoint list gives the
// start times of targets in Unix time. The wall clock is read only once, and the monotonic clock is used from then on, so
// that a step of the wall clock does not move deadlines.
type Clock struct {
	start time.Time // includes a monotonic clock reading
}

// NewClock returns a Clock. Only this function reads the wall clock.
func NewClock() Clock { return Clock{start: time.Now()} }

// At returns the scheduler time at t, which must include a monotonic clock reading.
func (c Clock) At(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}
