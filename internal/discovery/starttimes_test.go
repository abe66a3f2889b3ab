package discovery

import (
	"testing"
	"time"

	"dapplegate/internal/endpoints"
)

// steppedClock is a wall clock that a test steps, beside a monotonic one.
type steppedClock struct{ monotonic, step time.Duration }

func (c *steppedClock) wall() time.Time { return time.Unix(0, int64(c.monotonic+c.step)) }

// TestStartTimesAcrossClockSteps
//
// Symptom: a target that had just started got all of its traffic at once, or next to none for an hour.
// Sequence: the wall clock is stepped after the initiator's start, and a target starts. The endpoint list
// has its start in wall-clock time.
// Cause: that time was held against a clock that was set by the wall clock once, at the initiator's start, so
// that the target seemed to have started an hour ago, or to start in an hour.
// Settled by this test: the age of a target that has just started is wrong by the step.
func TestStartTimesAcrossClockSteps(t *testing.T) {
	for _, step := range []time.Duration{0, -time.Hour, time.Hour, -3 * time.Second, 3 * time.Second} {
		for _, startsBeforeStep := range []bool{true, false} {
			testStartTimes(t, step, startsBeforeStep)
		}
	}
}

func testStartTimes(t *testing.T, step time.Duration, startsBeforeStep bool) {
	const age = 2 * time.Second
	epoch := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	clock := &steppedClock{monotonic: time.Duration(epoch.UnixNano())}
	starts := NewStartTimes(clock.wall, func() time.Duration { return clock.monotonic })
	oldEntry := endpoints.Entry{ID: "old"}
	starts.Apply(&endpoints.List{Complete: true, Entries: []endpoints.Entry{oldEntry}})
	clock.monotonic += time.Minute
	if !startsBeforeStep {
		clock.step = step
	}
	newEntry := endpoints.Entry{ID: "new", StartedMs: clock.wall().UnixMilli()}
	clock.monotonic += age
	clock.step = step
	starts.Apply(&endpoints.List{Entries: []endpoints.Entry{newEntry}})
	startedAt := starts.Lookup(newEntry)
	if got := clock.monotonic - startedAt; got < 0 || got > age+time.Second {
		t.Errorf("step %v, started before it %v: age %v, want %v", step, startsBeforeStep, got, age)
	}

	clock.monotonic += time.Minute
	clock.step -= time.Hour
	starts.Apply(&endpoints.List{Entries: []endpoints.Entry{newEntry}})
	if starts.Lookup(newEntry) != startedAt {
		t.Errorf("step %v: a target's start changed with a later step", step)
	}
	if starts.Lookup(oldEntry) != 0 {
		t.Error("a start long ago is one no more")
	}
}
