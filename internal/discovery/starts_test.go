package discovery

import (
	"testing"
	"time"

	"dapplegate/internal/endpoints"
)

// steppedClock is a wall clock that a test steps, beside one that runs on.
type steppedClock struct{ now, step time.Duration }

func (c *steppedClock) wall() time.Time { return time.Unix(0, int64(c.now+c.step)) }

// TestStartsOutlastClockSteps
//
// Symptom: a target that had just started got all of its traffic at once, or next to none for an hour.
// Sequence: the wall clock is stepped after the initiator's start, and a target starts. The list tells its start in wall-clock
// time.
// Cause: that time was held against a clock that was set by the wall clock once, at the initiator's start, so that the target
// seemed to have started an hour ago, or to start in an hour.
// Settled by this test: the age of a target that has just started is wrong by the step.
func TestStartsOutlastClockSteps(t *testing.T) {
	const hour, age = time.Hour, 2 * time.Second
	begun := time.Duration(time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC).UnixNano())
	for _, step := range []time.Duration{0, -hour, hour, -3 * time.Second, 3 * time.Second} {
		for _, before := range []bool{true, false} { // the target starts before the step, or after it
			c := &steppedClock{now: begun}
			s := NewStartTimes(c.wall, func() time.Duration { return c.now })
			s.Apply(&endpoints.List{Complete: true, Entries: []endpoints.Entry{{ID: "old"}}})
			c.now += time.Minute
			if !before {
				c.step = step
			}
			e := endpoints.Entry{ID: "new", StartedMs: c.wall().UnixMilli()}
			c.now += age
			c.step = step
			s.Apply(&endpoints.List{Entries: []endpoints.Entry{e}})
			at := s.At(e)
			if got := c.now - at; got < 0 || got > age+time.Second {
				t.Errorf("step %v, started before it %v: age %v, want %v", step, before, got, age)
			}
			c.now += time.Minute
			c.step -= hour
			s.Apply(&endpoints.List{Entries: []endpoints.Entry{e}})
			if s.At(e) != at {
				t.Errorf("step %v: the start of a target moved with a later step", step)
			}
			if s.At(endpoints.Entry{ID: "old"}) != 0 {
				t.Error("a start long ago is one no more")
			}
		}
	}
}
